"""Steps that play large fleets of entries on a clock of the test."""

import math

from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel.entry import fleet_state as fleet_state_module
from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import watchers
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages
from features import datagram_net
from features import entry_builders

DRAIN_S = 3.0
CALL_S = 0.004
SETTLED_S = 8.0
TICK_S = 0.05
ENDPOINTS = 50
LOST_PART = 0.1
# Units charged to customers, as in the heartbeats of a busy fleet.
SPENT = {f"customer-{n}": 1e5 * n * math.pi for n in range(20)}
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


class Store:
    """A store whose calls are counted, and may hang."""

    def __init__(self):
        self.scans = []
        self.evacuated_at = None
        self.version = 2

    def rows(self, table):
        if table == operator_table.TABLE:
            text = entry_builders.config_body().decode()
            rows = [
                self._row(table, operator_table.CONFIGURATION_KEY, 1, text)
            ]
            if self.evacuated_at is not None:
                key = operator_table.EVACUATION_PREFIX + "zone-b"
                rows.append(self._row(table, key, 3, "{}"))
            return tuple(rows)
        body = entry_builders.registration_body().decode()
        return tuple(
            self._row(table, f"i-{n}", 2, body) for n in range(ENDPOINTS)
        )

    def _row(self, table, key, version, text):
        return store_module.Row(table, key, version, text.encode())


class Client:
    """An entry's client of the store."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.hangs = False
        self.reply_age_s = 0.0
        self.era = 0

        self.hinted_era = 0

    def hint_era(self, era):
        """Do nothing, as this store is never restored."""

    def observe_reply(self, sent_at):
        """Do nothing, as calls that hang are given up by `Store` only."""

    async def scan(self, table, timeout_s=1.0):
        if table == registrations.TABLE:
            self.store.scans.append((trio.current_time(), self.name))
        await trio.sleep(CALL_S)
        return store_module.Rows(self.store.rows(table), self.store.version)

    async def poll_changes(self, table, after, wait_s):
        with trio.move_on_after(wait_s):
            while self.hangs or self.store.version <= after:
                await trio.sleep(TICK_S)
        rows = [r for r in self.store.rows(table) if r.version > after]
        return store_module.Rows(tuple(rows), self.store.version)


class Entry:
    """An entry of a fleet: its board and what it follows."""

    def __init__(self, number, zone, store, net):
        name = f"entry-{number}"
        self.cfg = entry_builders.settings(name, zone=zone, drain_s=DRAIN_S)
        self.client = Client(store, name)
        self.known = fleet_state_module.FleetState()
        self.beats = 0
        self.is_leader = False
        self.heartbeats = heartbeats_module.HeartbeatExchange(self.cfg.peers)
        self.heartbeats.compose = self.compose
        self.heartbeats.on_heartbeat = self.receive_heartbeat
        self.heartbeats._sock = net.sockets[self.cfg.peers] = (
            datagram_net.Socket(net)
        )
        self.heartbeats.is_leader = lambda: self.is_leader
        self.endpoints = watchers.EndpointWatcher(
            self.client, self.known, self.heartbeats, self.cfg
        )
        self.scope = trio.CancelScope()

    def compose(self, brief, outcomes):
        self.beats += 1
        return entry_builders.heartbeat(
            self.cfg.name,
            id=self.beats,
            zone=self.cfg.zone,
            peers=self.cfg.peers,
            operator_row=self.known.operator_row,
            spent=SPENT,
            lease=(5, 5) if self.is_leader else None,
        )

    def receive_heartbeat(self, before, heartbeat):
        self.known.peer_operator_version = max(
            self.known.peer_operator_version, heartbeat.operator_row
        )

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.heartbeats.run)
                nursery.start_soon(self.endpoints.run)
                watcher = watchers.OperatorWatcher(
                    self.client, self.known, self.heartbeats
                )
                nursery.start_soon(watcher.run)


class Play:
    """A fleet that runs on the test's clock."""

    def __init__(self, count, zones, lost_part=0.0, queue_bytes=math.inf):
        self.queue_bytes = queue_bytes
        self.count = count
        self.zones = ZONES[:zones]
        self.lost_part = lost_part
        self.store = Store()
        self.entries = []
        self.ages = []
        self.silent = []
        self.began = 0.0

    def run(self, story):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._main, story, clock=clock)

    async def _main(self, story):
        async with trio.open_nursery() as nursery:
            self.net = datagram_net.Net(
                nursery, self.lost_part, self.queue_bytes
            )
            self.entries = [
                Entry(n, self.zones[n % len(self.zones)], self.store, self.net)
                for n in range(self.count)
            ]
            addresses = [entry.cfg.peers for entry in self.entries]
            for entry in self.entries:
                entry.heartbeats.add_contacts(addresses)
                nursery.start_soon(entry.run)
            await trio.sleep(SETTLED_S)
            self.began = trio.current_time()
            await story(self)
            nursery.cancel_scope.cancel()

    async def watch(self, seconds):
        """Keep the ages of what the entries that run know."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(TICK_S)
            self.ages += [
                (trio.current_time(), entry.cfg.name, entry.known.scan_age_s)
                for entry in self.entries
                if not entry.scope.cancel_called
            ]
            self.silent += [
                (trio.current_time(), entry.cfg.name, len(live))
                for entry in self.entries
                if not entry.scope.cancel_called
                and len(live := entry.heartbeats.live_peers()) + 1 < self.count
            ]


@when("{count:d} entries of {zones:d} zones follow the endpoints for {s:d} s")
def step_follow(context, count, zones, s):
    context.play = Play(count, zones)
    context.play.run(lambda play: play.watch(s))


@when(
    "{count:d} entries of {zones:d} zones follow the endpoints for {s:d} s, "
    "and whoever read last is frozen"
)
def step_frozen(context, count, zones, s):
    async def story(play):
        for _ in range(5):
            name = play.store.scans[-1][1]
            for entry in play.entries:
                if entry.cfg.name == name:
                    entry.scope.cancel()
            await play.watch(s / 5)

    context.play = Play(count, zones)
    context.play.run(story)


@when(
    "{count:d} entries of {zones:d} zones follow the endpoints for {s:d} s, "
    "and datagrams are lost"
)
def step_lost(context, count, zones, s):
    context.play = Play(count, zones, LOST_PART)
    context.play.run(lambda play: play.watch(s))


@then("no entry takes a live one for silent")
def step_none_silent(context):
    assert context.play.silent == [], context.play.silent[:5]


@then("the fleet reads them at most {most:g} times in {s:g} s")
def step_reads(context, most, s):
    play = context.play
    lasted = play.ages[-1][0] - play.began
    scans = [at for at, _ in play.store.scans if at >= play.began]
    assert scans and len(scans) <= most * lasted / s, (len(scans), lasted)


@then("no entry ever acts on endpoints that are older than {s:g} s")
def step_ages(context, s):
    late = [item for item in context.play.ages if item[2] > s]
    assert context.play.ages and not late, (len(late), late[:3])


@then("each entry has read them itself, every {s:g} s at least")
def step_each(context, s):
    play = context.play
    for entry in play.entries:
        times = [
            at
            for at, name in play.store.scans
            if name == entry.cfg.name and at >= play.began
        ]
        gaps = [b - a for a, b in zip(times, times[1:])]
        assert gaps and max(gaps) <= s, (entry.cfg.name, gaps)


@when(
    "{count:d} entries of {zones:d} zones follow the endpoints for {s:d} s, "
    "over links that queue {size:d} bytes"
)
def step_narrow(context, count, zones, s, size):
    context.play = Play(count, zones, queue_bytes=size)
    context.play.run(lambda play: play.watch(s))


@when(
    "{count:d} entries of {zones:d} zones follow the operator, "
    "and the calls of one hang"
)
def step_hang(context, count, zones):
    context.play = Play(count, zones)


@when("the operator evacuates a zone")
def step_evacuates(context):
    async def story(play):
        play.entries[0].client.hangs = True
        play.store.evacuated_at = trio.current_time()
        play.store.version = 3
        context.took_s = None
        while (
            trio.current_time()
            < play.began + 2 * watchers.LARGE_FLEET_LONG_POLL_TIMEOUT_S
        ):
            await trio.sleep(TICK_S)
            if "zone-b" in play.entries[0].known.evacuated_zones:
                context.took_s = trio.current_time() - play.began
                return

    context.play.run(story)


@then("that entry knows it within {s:g} s")
def step_knows(context, s):
    assert context.took_s is not None and context.took_s <= s, context.took_s


@when("an entry of {count:d} tells that a request waits")
def step_tells(context, count):
    async def story(play):
        leader, other = play.entries[:2]
        leader.is_leader = True
        await trio.sleep(2.0)
        # All beat at the same moments, in two bursts an interval; the moment
        # that is looked at lies between two of them.
        await trio.sleep(other.heartbeats.interval_s / 4)
        before = dict(play.net.carried)
        other.heartbeats.send_soon(to_all=False)
        await trio.sleep(CALL_S)
        context.told = {
            address: play.net.carried[address] - before[address]
            for address in before
        }
        context.leader = leader.cfg.peers

    context.play = Play(count, 2)
    context.play.run(story)


@then("only the entry that leads is told before the next beat")
def step_only_leader(context):
    for address, count in context.told.items():
        assert count == (address == context.leader), (address, count)


@when("an entry hears that an endpoint has left, and then an older read")
def step_older_read(context):
    async def main():
        async with trio.open_nursery() as nursery:
            entry = Entry(1, "zone-a", Store(), datagram_net.Net(nursery, 0.0))
            rows = [
                (row.key, row.version, row.value)
                for row in Store().rows(registrations.TABLE)
            ]
            for version, kept in ((5, rows), (9, rows[1:]), (6, rows)):
                await trio.sleep(1.0)
                entry.endpoints.receive_scan(
                    messages.EndpointRows(
                        0, "entry-2", 0.0, version, tuple(kept)
                    )
                )
            context.known = set(entry.known.endpoints)
            context.gone = rows[0][0]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it takes the endpoint for gone")
def step_gone(context):
    assert len(context.known) == ENDPOINTS - 1
    assert context.gone not in context.known
