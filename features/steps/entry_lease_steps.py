"""Steps that play leases of several entries on a clock of the test."""

import random

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import lease as lease_module
from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from features import entry_builders

APART_S = 3.0
BEAT_S = 0.25
TICK_S = 0.05
CALL_S = 0.01


class Rows:
    """One row, with calls that may be lost."""

    def __init__(self, rng):
        self.rng = rng
        self.version = 0
        self.value = None
        self.lost = 0.0


class Client:
    """An entry's client of the row.

    Parameters
    ----------
    rows : Rows
    entry : Entry
    """

    def __init__(self, rows, entry):
        self.rows = rows
        self.entry = entry

    async def _call(self, timeout_s):
        await self.entry.awake()
        if self.entry.cut:
            await trio.sleep(timeout_s)
            raise exceptions.PlatformError("cut")
        await trio.sleep(CALL_S)
        await self.entry.awake()

    async def read(self, table, key, timeout_s=1.0):
        await self._call(timeout_s)
        self.entry.answered_at = self.entry.clock()
        value = self.rows.value
        return store_module.Row(table, key, self.rows.version, value)

    async def commit(self, expected, writes, removes=(), timeout_s=1.0):
        await self._call(timeout_s)
        if expected[0].version != self.rows.version:
            raise exceptions.ConflictError("version")
        self.rows.version += 1
        self.rows.value = writes[0].value
        if self.rows.rng.random() < self.rows.lost:
            await trio.sleep(timeout_s)
            raise exceptions.OutcomeUnknownError("lost")
        self.entry.answered_at = self.entry.clock()
        return self.rows.version


class HeartbeatExchange:
    """An entry's view of the others' beats.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry):
        self.entry = entry
        self.peers = {}

    def live_peers(self):
        if self.entry.is_frozen:
            # A frozen process extends no lease.
            return {}
        now = trio.current_time()
        return {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.received_at <= 0.9
        }

    is_large_fleet = False

    def send_soon(self):
        pass


class Entry:
    """An entry that may be frozen, and cut from the store."""

    def __init__(self, name, rows, link_mbps):
        self.name = name
        self.link_mbps = link_mbps
        self.cut = False
        self.frozen_until = 0.0
        self.answered_at = 0.0
        self.heartbeats = HeartbeatExchange(self)
        self.lease = lease_module.Lease(
            Client(rows, self),
            name,
            APART_S,
            self.heartbeats,
            self.clock,
            link_mbps,
        )

    def clock(self):
        return trio.current_time()

    @property
    def is_frozen(self):
        return trio.current_time() < self.frozen_until

    async def awake(self):
        while self.is_frozen:
            await trio.sleep(TICK_S)

    def might_order(self):
        return not self.is_frozen and self.lease.may_order


class Play:
    """Entries, what happens to them, and what each moment showed."""

    def __init__(self, count, seed=1, links=()):
        self.rng = random.Random(seed)
        self.rows = Rows(self.rng)
        links = links or [0.0] * count
        self.entries = [
            Entry(f"entry-{n}", self.rows, link)
            for n, link in enumerate(links)
        ]
        self.moments = []

    def holder(self):
        for entry in self.entries:
            if entry.might_order():
                return entry
        return None

    async def beats(self):
        number = 0
        while True:
            number += 1
            for one in self.entries:
                if one.is_frozen:
                    continue
                heartbeat = entry_builders.heartbeat(
                    one.name,
                    id=number,
                    lease=one.lease.claim(),
                    link_mbps=one.link_mbps,
                    store_age_s=trio.current_time() - one.answered_at,
                )
                for other in self.entries:
                    if other is not one and not other.is_frozen:
                        other.heartbeats.peers[one.name] = (
                            heartbeats_module.Peer(
                                heartbeat, trio.current_time()
                            )
                        )
            await trio.sleep(BEAT_S)

    async def watch(self):
        while True:
            able = [e for e in self.entries if e.might_order()]
            tokens = {e.name: e.lease.fencing_token for e in able}
            self.moments.append((trio.current_time(), tokens))
            await trio.sleep(TICK_S)

    async def contacts(self):
        while True:
            for entry in self.entries:
                if not entry.cut and not entry.is_frozen:
                    entry.answered_at = trio.current_time()
            await trio.sleep(0.5)

    def run(self, script):
        """Play a script once somebody holds the lease."""

        async def main():
            async with trio.open_nursery() as nursery:
                for task in (self.beats, self.watch, self.contacts):
                    nursery.start_soon(task)
                for entry in self.entries:
                    nursery.start_soon(entry.lease.run, lambda: True)
                    nursery.start_soon(entry.lease.extend)
                while self.holder() is None:
                    await trio.sleep(TICK_S)
                await trio.sleep(2.0)
                self.began = trio.current_time()
                await script(self)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)


@given("{count:d} entries that share a store")
def step_entries(context, count):
    context.count = count
    context.plays = []


def play(context, script, seed=1):
    made = Play(context.count, seed)
    context.plays.append(made)
    made.run(script)
    return made


@when("the holder is frozen for {s:d} s")
def step_freeze(context, s):
    async def script(made):
        context.first = made.holder()
        context.first.frozen_until = trio.current_time() + s
        await trio.sleep(s + 5)
        context.last = made.holder()

    play(context, script)


@when("one of them has a wide link, and the holder is frozen now and then")
def step_links(context):
    context.holders = []

    async def script(made):
        for _ in range(3):
            context.holders.append(made.holder())
            await trio.sleep(10)
            made.holder().frozen_until = trio.current_time() + 5
            await trio.sleep(10)

    for wide in range(context.count):
        links = [5.0] * context.count
        links[wide] = 100.0
        made = Play(context.count, wide, links)
        context.plays.append(made)
        made.run(script)


@then("whoever has the wide link holds the lease at first")
def step_wide(context):
    for wide, first in enumerate(context.holders[::3]):
        assert first.name == f"entry-{wide}", (wide, first.name)


@when("the holder is cut from the store for {s:d} s")
def step_cut(context, s):
    async def script(made):
        context.first = made.holder()
        context.first.cut = True
        await trio.sleep(s)
        context.first.cut = False
        await trio.sleep(4)

    play(context, script)


@when("the store is away for all for {s:d} s")
def step_away(context, s):
    async def script(made):
        for entry in made.entries:
            entry.cut = True
        await trio.sleep(s)
        for entry in made.entries:
            entry.cut = False
        await trio.sleep(3)

    play(context, script)


@when(
    "the store is away for all for {s:d} s and the holder is frozen for "
    "{f:d} s"
)
def step_away_frozen(context, s, f):
    async def script(made):
        first = made.holder()
        for entry in made.entries:
            entry.cut = True
        await trio.sleep(1)
        first.frozen_until = trio.current_time() + f
        await trio.sleep(s - 1)
        for entry in made.entries:
            entry.cut = False
        await trio.sleep(5)

    play(context, script)


@when("the store loses half of its answers for {s:d} s")
def step_lose(context, s):
    async def script(made):
        made.rows.lost = 0.5
        await trio.sleep(s)

    play(context, script)


@when("entries are frozen and cut at random for {s:d} s, with {n:d} seeds")
def step_random(context, s, n):
    async def script(made):
        until = trio.current_time() + s
        while trio.current_time() < until:
            entry = made.rng.choice(made.entries)
            if made.rng.random() < 0.5:
                for_s = made.rng.uniform(0.5, 5)
                entry.frozen_until = trio.current_time() + for_s
            else:
                entry.cut = not entry.cut
            await trio.sleep(made.rng.uniform(0.2, 3))

    for seed in range(n):
        play(context, script, seed)


@when(
    "the store is away for {away_s:g} s, and then answers one that was "
    "frozen {frozen_s:g} s"
)
def step_thaw_candidate(context, away_s, frozen_s):
    async def script(made):
        candidates = [e for e in made.entries if e is not made.holder()]
        for entry in made.entries:
            entry.cut = True
        await trio.sleep(away_s)
        candidate = candidates[context.candidate]
        candidate.frozen_until = trio.current_time() + frozen_s
        candidate.cut = False
        await trio.sleep(away_s)

    for context.candidate in range(context.count - 1):
        play(context, script)


@when("the holder is frozen for {s:d} s and then the next one is")
def step_back(context, s):
    async def script(made):
        context.first = made.holder()
        context.first.frozen_until = trio.current_time() + s
        while made.holder() is None:
            await trio.sleep(TICK_S)
        context.second = made.holder()
        await trio.sleep(s)
        context.second.frozen_until = trio.current_time() + 20
        context.frozen_at = trio.current_time()
        await trio.sleep(12)

    play(context, script)


@then("another entry holds the lease")
def step_another(context):
    assert context.last is not None and context.last is not context.first


@then("at no moment two entries might order")
def step_one(context):
    for made in context.plays:
        for at, able in made.moments:
            assert len(able) <= 1, (at, able)


@then("tokens rose with each holder")
def step_tokens(context):
    for made in context.plays:
        highest = 0
        for at, able in made.moments:
            for token in able.values():
                assert token >= highest, (at, able, highest)
                highest = token


@then("another entry orders within {s:g} s")
def step_soon(context, s):
    (made,) = context.plays
    others = [
        at - made.began
        for at, able in made.moments
        if at > made.began and able and context.first.name not in able
    ]
    assert others and others[0] <= s, others[:1]


@then("the same entry might order all the time")
def step_all(context):
    (made,) = context.plays
    after = [able for at, able in made.moments if at > made.began]
    assert all(after), [len(able) for able in after].count(0)
    assert len({name for able in after for name in able}) == 1


@then("some entry might order most of the time")
def step_most(context):
    (made,) = context.plays
    after = [able for at, able in made.moments if at > made.began]
    assert sum(map(bool, after)) > 0.6 * len(after)


@then("orders of the first one begin again {s:d} s later at the soonest")
def step_again(context, s):
    (made,) = context.plays
    again = [
        at
        for at, able in made.moments
        if at > context.frozen_at and context.first.name in able
    ]
    assert again and again[0] - context.frozen_at >= s, again[:1]
