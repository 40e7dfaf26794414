"""Who decides when a model's first requests come to all entries at once.

Compares a rendezvous decider with two ways that need none: every entry
decides at once, and every entry waits a random time first and decides
only if no other has, as section 8.2 of the Pangaea memo proposes for
repairs.  A table with compare-and-set and the delays of one region are
simulated on trio's test clock.
"""

import random

import trio
import trio.testing

from benchmarks import report

__all__ = ["main"]

ENTRIES = 8
REQUESTS = 24
BURST_S = 0.010
HOP_S = 0.0015
TABLE_S = 0.004
JITTER = 0.5
WAITS_S = (0.02, 0.1)
SEEDS = range(1, 6)
BURSTS = 40


class Table:
    """One row that only the first of several commits may write."""

    def __init__(self, rng):
        self.rng = rng
        self.decided = False
        self.tried = 0
        self.conflicts = 0

    async def read(self):
        """Return whether the replica is decided."""
        await self._delay()
        return self.decided

    async def commit(self):
        """Decide; False where another entry was first."""
        self.tried += 1
        await self._delay()
        if self.decided:
            self.conflicts += 1
            return False
        self.decided = True
        return True

    async def _delay(self):
        low, high = TABLE_S * (1 - JITTER), TABLE_S * (1 + JITTER)
        await trio.sleep(self.rng.uniform(low, high))


class Entry:
    """One entry: one decision at a time, whatever waits for it."""

    def __init__(self, table, wait_s=0.0):
        self.table = table
        self.wait_s = wait_s
        self.lock = trio.Lock()
        self.known = False

    async def decide(self):
        """Return once the replica is decided, by whomever."""
        async with self.lock:
            if self.known:
                return
            await trio.sleep(self.wait_s * self.table.rng.random())
            if not await self.table.read():
                await self.table.commit()
            self.known = True


def entries_of(policy, table):
    """Return the entry that decides for each of the entries."""
    if policy == "rendezvous":
        return [Entry(table)] * ENTRIES
    wait_s = 0.0
    if policy.startswith("random wait"):
        wait_s = float(policy.split()[-2])
    return [Entry(table, wait_s) for _ in range(ENTRIES)]


async def burst(policy, table, delays):
    """Send one burst of first requests."""
    entries = entries_of(policy, table)

    async def one(index, at):
        await trio.sleep(at)
        began = trio.current_time()
        if policy == "rendezvous" and index % ENTRIES:
            await trio.sleep(2 * HOP_S)
        await entries[index % ENTRIES].decide()
        delays.append(trio.current_time() - began)

    async with trio.open_nursery() as nursery:
        for index in range(REQUESTS):
            nursery.start_soon(one, index, table.rng.uniform(0, BURST_S))


async def measure(policy, seed, figures):
    """Run many bursts of one policy and report its figures."""
    rng = random.Random(seed)
    tables = []
    delays = []
    for _ in range(BURSTS):
        tables.append(Table(rng))
        await burst(policy, tables[-1], delays)
    tried = sum(table.tried for table in tables) / BURSTS
    conflicts = sum(table.conflicts for table in tables) / BURSTS
    figures.figure(policy, "commits a burst", tried, "1", seed)
    figures.figure(policy, "conflicts a burst", conflicts, "1", seed)
    for percent in (50, 99):
        delay_ms = report.percentile(delays, percent) * 1000
        figures.figure(policy, f"delay p{percent}", delay_ms, "ms", seed)


def main():
    """Print the figures of each policy."""
    figures = report.Report("decisions")
    policies = ["rendezvous", "at once"]
    policies += [f"random wait up to {wait_s} s" for wait_s in WAITS_S]
    for policy in policies:
        for seed in SEEDS:
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(measure, policy, seed, figures, clock=clock)
    figures.summary()


if __name__ == "__main__":
    main()
