"""Compare fair queueing with first come, first served.

Notes
-----
One endpoint with a fixed number of slots serves the calls of several
customers; a call takes time in proportion to its tokens.  Two cases:
one customer sends five times its part; and one customer sends long
audits together with short questions.
Run ``python -m benchmarks.fairness`` from the root of the repository.
"""

import argparse
import collections
import dataclasses
import heapq
import math
import random

from benchmarks import report
from dogwoodwheel.customers import fair_queue

__all__ = ["main"]

SLOTS = 8
TOKENS_PER_S = 100.0
RUN_S = 300.0
MEAN_TOKENS = 300.0
LOAD = 0.8
GREEDY = 5.0
CUSTOMERS = ("a", "b", "c", "d", "greedy")
AUDIT_TOKENS = 4000
QUESTION_TOKENS = 60
AUDITS = 60
QUESTION_GAP_S = 2.0
QUESTION_RANK = 1
AUDIT_RANK = 9
SEEDS = (1, 2, 3, 4, 5)


@dataclasses.dataclass(frozen=True)
class Call:
    """One call that waits for a slot."""

    at: float
    number: int
    customer: str
    rank: int
    tokens: int


class Fifo:
    """First come, first served."""

    def __init__(self):
        self._items = collections.deque()

    def push(self, item, customer, weight, rank, cost):
        """Append an item."""
        self._items.append(item)

    def pop(self, max_rank=None):
        """Return the first item, or None."""
        return self._items.popleft() if self._items else None


# Queue, and slots that are kept for the lowest rank.
POLICIES = {
    "deficit round robin, a slot kept": (fair_queue.FairQueue, 1),
    "deficit round robin": (fair_queue.FairQueue, 0),
    "first come, first served": (Fifo, 0),
}


def draw_greedy(rng):
    """Return calls of customers inside their part, and of a greedy one."""
    part = SLOTS * TOKENS_PER_S / len(CUSTOMERS)
    calls = []
    for name in CUSTOMERS:
        rate = part * (GREEDY if name == "greedy" else LOAD)
        at = 0.0
        while at < RUN_S:
            at += rng.expovariate(rate / MEAN_TOKENS)
            tokens = int(rng.expovariate(1 / MEAN_TOKENS)) + 1
            calls.append(Call(at, len(calls), name, QUESTION_RANK, tokens))
    return sorted(calls, key=lambda call: call.at)


def draw_audits(rng):
    """Return one customer's audits at the start, and its questions."""
    calls = [
        Call(0.0, number, "husk", AUDIT_RANK, AUDIT_TOKENS)
        for number in range(AUDITS)
    ]
    at = 0.0
    while at < RUN_S:
        at += rng.expovariate(1 / QUESTION_GAP_S)
        number = len(calls)
        calls.append(Call(at, number, "husk", QUESTION_RANK, QUESTION_TOKENS))
    return sorted(calls, key=lambda call: call.at)


def simulate(policy, calls):
    """Serve calls through a queue; return their waits, seconds.

    Returns
    -------
    dict of Call to float
        Of a call that never got a slot, the time until the run's end.
    """
    make, kept = POLICIES[policy]
    queue = make()
    waits = {}
    ends = []
    waiting = collections.deque(calls)
    while waiting:
        upcoming = waiting[0].at
        if len(ends) >= SLOTS and ends[0] <= upcoming:
            now = heapq.heappop(ends)
        else:
            call = waiting.popleft()
            now = call.at
            queue.push(call, call.customer, 1.0, call.rank, call.tokens)
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        while len(ends) < SLOTS:
            spare = SLOTS - len(ends)
            call = queue.pop(QUESTION_RANK if spare <= kept else math.inf)
            if call is None:
                break
            waits[call] = now - call.at
            heapq.heappush(ends, now + call.tokens / TOKENS_PER_S)
    last = calls[-1].at
    return {call: waits.get(call, last - call.at) for call in calls}


def measure_greedy(policy, seed, rep):
    """Print how the worst-served customer fares beside a greedy one."""
    waits = simulate(policy, draw_greedy(random.Random(seed)))
    by_name = collections.defaultdict(list)
    for call, wait in waits.items():
        by_name[call.customer].append(wait)
    greedy = by_name.pop("greedy")
    worst = max(report.percentile(one, 99) for one in by_name.values())
    rep.figure(policy, "wait p99, worst customer", worst, "s", seed)
    median = report.percentile(greedy, 50)
    rep.figure(policy, "wait median, greedy customer", median, "s", seed)


def measure_audits(policy, seed, rep):
    """Print how long questions wait behind audits."""
    waits = simulate(policy, draw_audits(random.Random(seed)))
    questions = [
        wait for call, wait in waits.items() if call.rank == QUESTION_RANK
    ]
    p99 = report.percentile(questions, 99)
    rep.figure(policy, "wait p99, question behind audits", p99, "s", seed)


def main():
    """Run both cases with both queues and all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    cfg = parser.parse_args()
    rep = report.Report("fairness")
    for policy in POLICIES:
        for seed in cfg.seeds:
            measure_greedy(policy, seed, rep)
            measure_audits(policy, seed, rep)
    rep.summary()


if __name__ == "__main__":
    main()
