"""Compare ways to share rates: wrongful refusals and overshoot.

Notes
-----
Eight ledgers run in one process under a mock clock, with messages that
take a fixed time.  Four customers use 0.7 of their rate on average,
most of it at one entry each; a fifth sends five times its rate.
Run ``python -m benchmarks.rates`` from the root of the repository.
"""

import argparse
import dataclasses
import random

import trio
import trio.testing

from benchmarks import memoryfleet
from benchmarks import policies
from benchmarks import report
from dogwoodwheel.declaration import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["main"]

ENTRIES = tuple(f"e{number}" for number in range(1, 9))
RATES = {"a": 200.0, "b": 500.0, "c": 1000.0, "d": 2000.0, "greedy": 500.0}
BURST_S = 10.0
INSIDE = 0.7
GREEDY = 5.0
RUN_S = 60.0
DOWN_FROM_S = 20.0
DOWN_TO_S = 35.0
TOKEN_S = 0.03
LOOSE_LIMIT = 4096
TIGHT_LIMIT = 512
LOOSE_PART = 0.8
MEAN_TOKENS = 360.0
SEEDS = (1, 2, 3, 4)


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller, and what became of it."""

    at: float
    customer: str
    entry: str
    prompt: int
    output: int
    limit: int
    admitted_at: float = -1.0

    @property
    def admitted(self):
        """Whether it was admitted."""
        return self.admitted_at >= 0

    @property
    def tokens(self):
        """The true cost."""
        return self.prompt + self.output


def draw_calls(rng, skew):
    """Return the calls of all customers, in order of time."""
    calls = []
    for name, rate in RATES.items():
        factor = GREEDY if name == "greedy" else INSIDE
        home = rng.choice(ENTRIES)
        at = 0.0
        while True:
            at += rng.expovariate(rate * factor / MEAN_TOKENS)
            if at >= RUN_S:
                break
            calls.append(draw_call(rng, at, name, home, skew))
    return sorted(calls, key=lambda call: call.at)


def draw_call(rng, at, name, home, skew):
    """Return one call, most likely at the customer's usual entry."""
    entry = home if rng.random() < skew else rng.choice(ENTRIES)
    loose = rng.random() < LOOSE_PART
    limit = LOOSE_LIMIT if loose else TIGHT_LIMIT
    prompt = min(int(rng.lognormvariate(4.8, 0.8)) + 1, 2000)
    output = min(int(rng.lognormvariate(4.8, 0.8)) + 1, limit)
    return Call(at, name, entry, prompt, output, limit)


async def simulate(policy, calls, seed):
    """Let the fleet answer all calls; return it."""
    customers = [
        datatypes.Customer(name, rate, rate * BURST_S)
        for name, rate in RATES.items()
    ]
    declaration = memoryfleet.declare(*customers)
    fleet = policy.build(declaration, ENTRIES, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        if policy.down:
            nursery.start_soon(take_down, fleet, ENTRIES[0])
        async with trio.open_nursery() as callers:
            for call in calls:
                await trio.sleep_until(call.at)
                callers.start_soon(run_call, fleet, call)
        nursery.cancel_scope.cancel()
    return fleet


async def take_down(fleet, name):
    """Cut an entry off for a while; nobody takes its share over."""
    await trio.sleep_until(DOWN_FROM_S)
    fleet.down.add(name)
    await trio.sleep_until(DOWN_TO_S)
    fleet.down.discard(name)


async def run_call(fleet, call):
    """Admit one call, let it stream, and settle it."""
    entry = call.entry
    if entry in fleet.down:
        entry = next(name for name in ENTRIES if name not in fleet.down)
    ledger = fleet.ledgers[entry]
    ask = memoryfleet.ask(call.customer, call.prompt, call.limit)
    try:
        charge = await ledger.admit(ask)
    except exceptions.RefusedError:
        return
    call.admitted_at = trio.current_time()
    await trio.sleep(call.output * TOKEN_S)
    ledger.settle(
        messages.Settle(
            0, charge, call.customer, "frames", call.tokens, call.output
        )
    )


class Oracle:
    """One bucket that knows every true cost beforehand."""

    def __init__(self, rate):
        self.rate = rate
        self.level = rate * BURST_S
        self.at = 0.0

    def advance(self, now):
        """Refill up to a time."""
        earned = self.rate * (now - self.at)
        self.level = min(self.level + earned, self.rate * BURST_S)
        self.at = now


def wrongful(calls, name):
    """Return the part refused of what an oracle admits."""
    oracle = Oracle(RATES[name])
    refused, allowed = 0, 0
    for call in calls:
        oracle.advance(call.at)
        if call.tokens <= oracle.level:
            oracle.level -= call.tokens
            allowed += 1
            refused += not call.admitted
    return refused / allowed


def overshoot(calls, name):
    """Return the worst window's excess, as a part of the burst."""
    oracle = Oracle(RATES[name])
    worst = 0.0
    admitted = [call for call in calls if call.admitted]
    for call in sorted(admitted, key=lambda call: call.admitted_at):
        oracle.advance(call.admitted_at)
        oracle.level -= call.tokens
        worst = max(worst, -oracle.level)
    return worst / (RATES[name] * BURST_S)


def used(calls, name):
    """Return the tokens used, as a part of what may be used."""
    tokens = sum(call.tokens for call in calls if call.admitted)
    return tokens / (RATES[name] * (RUN_S + BURST_S))


def measure(policy, seed, rep):
    """Run one policy with one seed and print its figures."""
    calls = draw_calls(random.Random(seed), policy.skew)
    clock = trio.testing.MockClock(autojump_threshold=0)
    fleet = trio.run(simulate, policy, calls, seed, clock=clock)
    by_name = {
        name: [call for call in calls if call.customer == name]
        for name in RATES
    }
    inside = [name for name in RATES if name != "greedy"]
    refused = [wrongful(by_name[name], name) for name in inside]
    most = max(overshoot(by_name[name], name) for name in RATES)
    rep.figure(
        policy.name,
        "wrongly refused, mean of customers inside their rate",
        100 * sum(refused) / len(refused),
        "%",
        seed,
    )
    rep.figure(
        policy.name,
        "wrongly refused, worst customer",
        100 * max(refused),
        "%",
        seed,
    )
    rep.figure(policy.name, "overshoot", 100 * most, "% of burst", seed)
    rep.figure(
        policy.name,
        "used by the greedy customer",
        100 * used(by_name["greedy"], "greedy"),
        "% of rate * time + burst",
        seed,
    )
    rep.figure(
        policy.name, "messages", fleet.calls / len(calls), "a call", seed
    )


def main():
    """Run all policies with all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    cfg = parser.parse_args()
    rep = report.Report("rates")
    for policy in policies.POLICIES:
        for seed in cfg.seeds:
            measure(policy, seed, rep)
    rep.summary()


if __name__ == "__main__":
    main()
