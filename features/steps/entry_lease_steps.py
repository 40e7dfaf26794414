"""Steps that play leases of several entries on a clock of the test."""

import math
import random

from behave import given
from behave import then
from behave import when
import msgpack
import trio
import trio.testing

from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import lease as lease_module
from dogwoodwheel import exceptions
from features import entry_builders
from features.standins import rows as rows_module
from features import store_replay

APART_S = 3.0
BEAT_S = 0.25
TICK_S = 0.05
CONTACT_S = 0.5
ODD_ROWS = (
    b"\xc1",
    b"\x93\x01",
    b"\x91" * 2000,
    msgpack.packb(7),
    msgpack.packb({"holder": ["a"]}),
    msgpack.packb({"holder": "a", "before": {"b": 1}, "era": "x"}),
)
CONTACT_TIMEOUT_S = 0.6


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
        self.frozen_until = 0.0
        self.deaf_until = 0.0
        self.heartbeats = HeartbeatExchange(self)
        self.store, self.http_client = store_replay.open_store(rows)
        self.http_client.paused = self.awake
        self.lease = lease_module.Lease(
            self.store,
            name,
            APART_S,
            self.heartbeats,
            self.clock,
            link_mbps,
            first_start=True,
        )

    def clock(self):
        return trio.current_time()

    @property
    def cut(self):
        return self.http_client.is_cut

    @cut.setter
    def cut(self, is_cut):
        self.http_client.is_cut = is_cut

    @property
    def is_frozen(self):
        return trio.current_time() < self.frozen_until

    @property
    def hears(self):
        return not self.is_frozen and trio.current_time() >= self.deaf_until

    async def awake(self):
        while self.is_frozen:
            await trio.sleep(TICK_S)

    def might_order(self):
        return not self.is_frozen and self.lease.may_order


class Play:
    """Entries, what happens to them, and what each moment showed."""

    def __init__(self, count, seed=1, links=()):
        self.rng = random.Random(seed)
        self.rows = rows_module.Rows(trio.current_time)
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
                    store_age_s=one.store.reply_age_s,
                    store_era=one.store.era,
                )
                for other in self.entries:
                    if other is not one and other.hears:
                        other.store.hint_era(heartbeat.store_era)
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

    async def contacts(self, entry):
        """Call the store now and then, as other tasks of an entry do."""
        while True:
            try:
                await entry.store.scan("op", timeout_s=CONTACT_TIMEOUT_S)
            except exceptions.PlatformError:
                pass
            await trio.sleep(CONTACT_S)

    def run(self, script):
        """Play a script once somebody holds the lease."""

        async def main():
            async with trio.open_nursery() as nursery:
                for task in (self.beats, self.watch):
                    nursery.start_soon(task)
                for entry in self.entries:
                    nursery.start_soon(self.contacts, entry)
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
        for entry in made.entries:
            entry.http_client.loses_reply = lambda: made.rng.random() < 0.5
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


async def restore(made, age_s, away_s):
    """Let the store be away for all, and come back from a copy."""
    was_cut = [entry.cut for entry in made.entries]
    for entry in made.entries:
        entry.cut = True
    await trio.sleep(away_s)
    made.rows.restore(age_s)
    for entry, is_cut in zip(made.entries, was_cut):
        entry.cut = is_cut


@when(
    "the store is away for {away_s:g} s and is restored from {age_s:g} s ago"
)
def step_restore(context, away_s, age_s):
    async def script(made):
        context.first = made.holder()
        await restore(made, age_s, away_s)
        await trio.sleep(6)

    play(context, script)


@when("the holder is cut off for {s:g} s and the store then restored")
def step_restore_changed(context, s):
    async def script(made):
        first = made.holder()
        began_at = trio.current_time()
        first.cut = True
        while made.holder() in (None, first):
            await trio.sleep(TICK_S)
        await trio.sleep(context.after_s)
        first.cut = False
        # The first holder does not hear that another entry is the holder.
        first.deaf_until = trio.current_time() + s
        await restore(made, trio.current_time() - began_at, 0.3)
        await trio.sleep(8)

    for context.after_s in (0.1, 0.4, 0.7, 1.5, 3.0):
        play(context, script)


@when("the lease's first row is lost as the store is restored")
def step_restore_absent(context):
    async def script(made):
        await restore(made, trio.current_time() + 1, 1.0)
        await trio.sleep(6)

    play(context, script)


@when("the lease's row is replaced by odd bytes, one after the other")
def step_odd_rows(context):
    async def script(made):
        made.rows.write(
            [rows_module.Row(lease_module.TABLE, lease_module.ROW_KEY, 0, odd)]
        )
        await trio.sleep(6)

    for odd in ODD_ROWS:
        play(context, script)


@then("some entry might order at the end of each play")
def step_ends_well(context):
    for made in context.plays:
        assert made.moments[-1][1], made.moments[-1]


@when("entries are frozen and cut and the store is restored, with {n:d} seeds")
def step_random_restores(context, n):
    async def script(made):
        until = trio.current_time() + 60
        while trio.current_time() < until:
            entry = made.rng.choice(made.entries)
            drawn = made.rng.random()
            if drawn < 0.4:
                for_s = made.rng.uniform(0.5, 5)
                entry.frozen_until = trio.current_time() + for_s
            elif drawn < 0.6:
                entry.cut = not entry.cut
            elif drawn < 0.7:
                entry.deaf_until = trio.current_time() + 3
            else:
                await restore(
                    made, made.rng.uniform(1, 9), made.rng.uniform(0, 2)
                )
            await trio.sleep(made.rng.uniform(0.2, 3))

    for seed in range(n):
        play(context, script, seed)


@then("no holder orders again within {s:g} s of another one's orders")
def step_turns(context, s):
    for made in context.plays:
        last_moments = {}
        holder = None
        for at, able in made.moments:
            for name in able:
                if name != holder:
                    since = at - last_moments.get(name, -math.inf)
                    assert since >= s, (at, name, since)
                holder = name
                last_moments[name] = at


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
