"""Steps about a store that is restored, on a clock of the test."""

import math

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel import exceptions
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.platform import versions
from dogwoodwheel.wire import messages
from features import restored_fleet
from features.standins import rows as rows_module
from features import store_replay

ZONE = "zone-a"
WATCHED = "i-1"
OTHERS = {"i-2", "i-3"}


class Observer:
    """What each entry would use, at each moment."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.moments = []
        self.calls_before = {}
        self.began_at = 0.0

    async def watch(self):
        self.began_at = trio.current_time()
        self.calls_before = self.calls()
        while True:
            for entry in self.fleet.entries:
                state = entry.fleet_state
                self.moments.append(
                    (
                        trio.current_time(),
                        entry.cfg.name,
                        entry.usable(),
                        state.config.version if state.config else 0,
                        ZONE in state.evacuated_zones,
                    )
                )
            await trio.sleep(restored_fleet.TICK_S)

    def calls(self):
        return {
            entry.cfg.name: entry.store.call_count
            for entry in self.fleet.entries
        }


def play(context, story, for_s):
    """Play a story, then wait; observe all the while."""
    fleet = restored_fleet.RestoredFleet(context.count)
    context.observer = Observer(fleet)

    async def observed(fleet):
        fleet.nursery.start_soon(context.observer.watch)
        await story(fleet)
        await trio.sleep(for_s)
        context.ended_at = trio.current_time()
        context.calls = context.observer.calls()

    fleet.run(observed)


@given("{count:d} entries that follow the store")
def step_entries(context, count):
    context.count = count


@when("an endpoint drains, and the store is restored from {age_s:g} s before")
def step_drains_before(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        fleet.register(WATCHED, state="draining")
        context.drained_at = trio.current_time()
        await trio.sleep(1.5)
        await fleet.restore(age_s)

    play(context, story, 6.0)


@when("the store is restored from {age_s:g} s before, and an endpoint drains")
def step_drains_after(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        await fleet.restore(age_s, away_s=2.0)
        await trio.sleep(0.7)
        fleet.register(WATCHED, state="draining")
        context.drained_at = trio.current_time()

    play(context, story, 5.0)


@when("an endpoint leaves, and the store is restored from {age_s:g} s before")
def step_leaves(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        fleet.unregister(WATCHED)
        context.drained_at = trio.current_time()
        await trio.sleep(1.5)
        await fleet.restore(age_s, rewrite_s=1.8)

    play(context, story, 6.0)


@when("an endpoint leaves, and two restores in a row list it")
def step_leaves_twice(context):
    async def story(fleet):
        await trio.sleep(4.0)
        fleet.unregister(WATCHED)
        context.drained_at = trio.current_time()
        await trio.sleep(2.0)
        await fleet.restore(4.0, rewrite_s=60.0)
        await trio.sleep(1.8)
        await fleet.restore(1.0, rewrite_s=1.8)

    play(context, story, 6.0)


@when("an endpoint leaves, and the store goes away after it was restored")
def step_leaves_away(context):
    async def story(fleet):
        await trio.sleep(4.0)
        fleet.unregister(WATCHED)
        context.drained_at = trio.current_time()
        await trio.sleep(2.0)
        await fleet.restore(4.0, rewrite_s=60.0)
        await trio.sleep(1.0)
        for entry in fleet.entries:
            entry.http_client.is_cut = True
        await trio.sleep(5.0)
        for entry in fleet.entries:
            entry.http_client.is_cut = False
        fleet.rewrite()

    play(context, story, 3.0)


@when(
    "replies take {delay_s:g} s while the store is restored from "
    "{age_s:g} s before"
)
def step_late_replies(context, delay_s, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        fleet.register(WATCHED, state="draining")
        context.drained_at = trio.current_time()
        await trio.sleep(1.5)
        fleet.entries[0].http_client.delay_s = delay_s
        await trio.sleep(0.7)
        # Replies that are on their way were given before.
        fleet.rows.restore(age_s)
        await trio.sleep(0.6)
        fleet.register(WATCHED, state="draining")

    play(context, story, 6.0)


@then("no entry uses that endpoint later than {s:g} s after it drained")
def step_not_used(context, s):
    used = [
        (at - context.drained_at, name)
        for at, name, usable, _, _ in context.observer.moments
        if WATCHED in usable and at > context.drained_at + s
    ]
    assert not used, used[:3]


@then("the other endpoints are used all the time")
def step_others(context):
    for at, name, usable, _, _ in context.observer.moments:
        assert usable >= OTHERS, (at, name, usable)


@when(
    "an endpoint registers, and the store is restored from {age_s:g} s before"
)
def step_registers(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s - 2.0)
        fleet.register("i-new")
        await trio.sleep(1.0)
        context.known_at = trio.current_time()
        await fleet.restore(age_s)

    play(context, story, 6.0)


@when("an endpoint registers, and two restores in a row lose that")
def step_registers_twice(context):
    async def story(fleet):
        await trio.sleep(3.0)
        fleet.register("i-new")
        await trio.sleep(1.0)
        context.known_at = trio.current_time()
        await fleet.restore(3.0, rewrite_s=60.0)
        fleet.registered.pop("i-new")
        await trio.sleep(1.5)
        await fleet.restore(2.0)
        await trio.sleep(1.5)
        fleet.register("i-new")

    play(context, story, 5.0)


@then("all entries use that endpoint all the time")
def step_all_use(context):
    for at, name, usable, _, _ in context.observer.moments:
        if at > context.known_at:
            assert "i-new" in usable, (at - context.known_at, name, usable)


@when("a silent endpoint is listed after the store is restored")
def step_silent(context):
    async def story(fleet):
        fleet.register("i-new")
        await trio.sleep(1.0)
        fleet.registered.pop("i-new")
        copied_at = trio.current_time()
        await trio.sleep(2.0)
        store_replay.write(fleet.rows, registrations.TABLE, "i-new", None)
        await trio.sleep(2.0)
        await fleet.restore(trio.current_time() - copied_at, 0.5, 60.0)
        context.known_at = trio.current_time()

    play(context, story, 6.0)


@then("all entries use that endpoint within {s:g} s")
def step_use_again(context, s):
    for at, name, usable, _, _ in context.observer.moments:
        if at > context.known_at + s:
            assert "i-new" in usable, (at - context.known_at, name, usable)


@when("a configuration is confirmed, lost, and followed by a later one")
def step_configured(context):
    async def story(fleet):
        await trio.sleep(3.0)
        for version in (2, 3, 4):
            fleet.configure(version)
            await trio.sleep(0.5)
        await fleet.restore(2.0)
        await trio.sleep(1.0)
        fleet.configure(5)
        context.configured_at = trio.current_time()

    play(context, story, 4.0)


@when("long polls hang while the store is restored and configured")
def step_hang(context):
    async def story(fleet):
        await trio.sleep(3.0)
        for version in (2, 3, 4):
            fleet.configure(version)
            await trio.sleep(0.5)
        # Without an outage no poll is cut; those that wait get no reply.
        fleet.rows.restore(3.0)
        fleet.configure(5)
        context.configured_at = trio.current_time()

    play(context, story, 4.0)


@when("an entry is cut off until the restored store has passed its number")
def step_cut_off(context):
    async def story(fleet):
        await trio.sleep(3.0)
        for version in (2, 3, 4):
            fleet.configure(version)
            await trio.sleep(0.5)
        cut_off = fleet.entries[0]
        cut_off.http_client.is_cut = True
        known = fleet.rows.version
        await fleet.restore(2.5, skipped=cut_off)
        fleet.configure(5)
        while fleet.rows.version <= known:
            fleet.rewrite()
        await trio.sleep(1.0)
        cut_off.http_client.is_cut = False
        context.configured_at = trio.current_time()

    play(context, story, 4.0)


@then("all entries have the later one within {s:g} s and never an older one")
def step_later(context, s):
    highest = {}
    for at, name, _, version, _ in context.observer.moments:
        assert version >= highest.get(name, 0), (at, name, version)
        highest[name] = version
        if at > context.configured_at + s:
            assert version == 5, (at - context.configured_at, name, version)


@when("a zone is evacuated, and the store is restored from {age_s:g} s before")
def step_evacuated(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        fleet.evacuate(ZONE)
        await trio.sleep(1.0)
        context.known_at = trio.current_time()
        await fleet.restore(age_s)
        await trio.sleep(1.0)
        fleet.evacuate(ZONE)
        await trio.sleep(4.0)
        fleet.evacuate(ZONE, False)
        context.taken_back_at = trio.current_time()

    play(context, story, 3.0)


@then("the zone is evacuated at all entries until it is taken back")
def step_stays_evacuated(context):
    for at, name, _, _, is_evacuated in context.observer.moments:
        if context.known_at < at < context.taken_back_at:
            assert is_evacuated, (at - context.known_at, name)
        elif at > context.taken_back_at + 1:
            assert not is_evacuated, (at - context.taken_back_at, name)


@when("an evacuation that was lost is not written again")
def step_evacuation_lost(context):
    async def story(fleet):
        await trio.sleep(4.0)
        fleet.evacuate(ZONE)
        await trio.sleep(1.0)
        await fleet.restore(4.0)
        context.restored_at = trio.current_time()

    play(context, story, 8.0)


@then("the zone is in use again within {s:g} s")
def step_in_use(context, s):
    for at, name, _, _, is_evacuated in context.observer.moments:
        if at > context.restored_at + s:
            assert not is_evacuated, (at - context.restored_at, name)


@when("a peer passes on a scan from before the store was restored")
def step_old_scan(context):
    async def story(fleet):
        entry = fleet.entries[0]
        before = await entry.store.scan(registrations.TABLE)
        await trio.sleep(4.0)
        await fleet.restore(2.0)
        await trio.sleep(2.0)
        fleet.unregister(WATCHED)
        await trio.sleep(2.0)
        entry.endpoint_watcher.receive_scan(
            messages.EndpointRows(
                0,
                "entry-1",
                0.0,
                before.version,
                tuple((r.key, r.version, r.value) for r in before.rows),
            )
        )
        context.usable = entry.usable()

    play(context, story, 0.1)


@then("the scan is not applied")
def step_not_applied(context):
    assert context.usable == OTHERS, context.usable


@when('a peer names the eras "nan", "-1", "8000" and "10000000"')
def step_odd_eras(context):
    async def story(fleet):
        peer = fleet.entries[1].member
        state = peer.components.fleet_state
        operator_row = state.operator_row
        state.operator_row = 2**60
        for era in (math.nan, -1, 8000, 10000000):
            peer.store.era = era
            await peer.components.heartbeats.send_heartbeat()
        peer.store.era = 1
        state.operator_row = operator_row
        await trio.sleep(1.0)
        fleet.configure(5)
        context.configured_at = trio.current_time()

    play(context, story, 3.0)


@then("the entries follow the store as before")
def step_follow(context):
    for entry in context.observer.fleet.entries:
        assert entry.store.era == 1, entry.store.era
        assert entry.fleet_state.config.version == 5


@when("the store is restored twice, and an endpoint drains between")
def step_twice(context):
    async def story(fleet):
        await trio.sleep(6.0)
        fleet.configure(2)
        await fleet.restore(5.0)
        await trio.sleep(1.0)
        fleet.configure(4)
        fleet.register(WATCHED, state="draining")
        context.drained_at = trio.current_time()
        await trio.sleep(1.5)
        await fleet.restore(1.8)
        await trio.sleep(0.5)
        fleet.configure(5)
        context.configured_at = trio.current_time()

    play(context, story, 5.0)


@when("the store is restored from {age_s:g} s before")
def step_restored(context, age_s):
    async def story(fleet):
        await trio.sleep(age_s)
        fleet.configure(2)
        await trio.sleep(1.0)
        await fleet.restore(age_s, away_s=2.0)

    play(context, story, 8.0)


@then("each entry calls the store less than {rate:g} times a second")
def step_calls(context, rate):
    seconds = context.ended_at - context.observer.began_at
    for name, count in context.calls.items():
        made = count - context.observer.calls_before.get(name, 0)
        assert made < rate * seconds, (name, made, seconds)


@when("an entry starts as the store is restored")
def step_starts(context):
    async def story(fleet):
        await trio.sleep(4.0)
        fleet.configure(5)
        fleet.register("i-new")
        await trio.sleep(1.0)
        await fleet.restore(4.0)
        context.started = fleet.start_entry("entry-9")
        context.started_at = trio.current_time()
        await trio.sleep(1.0)
        fleet.configure(5)
        await trio.sleep(1.0)
        context.usable = context.started.usable()
        context.version = context.started.fleet_state.config.version
        await trio.sleep(3.0)
        rows = await context.started.store.scan("entries")
        context.registered = {row.key for row in rows.rows}

    play(context, story, 0.1)


@then("it has the configuration and the endpoints of its peers within 2 s")
def step_started(context):
    assert context.version == 5, context.version
    assert context.usable == {"i-new", WATCHED, *OTHERS}, context.usable


@then("it is registered for later entries")
def step_registered(context):
    names = {entry.cfg.name for entry in context.observer.fleet.entries}
    assert context.registered == names, context.registered


@given("a row whose version is given out again in the restored store")
def step_row(context):
    async def main():
        rows = rows_module.Rows(trio.current_time)
        store_replay.write(rows, "t", "a", "one")
        context.outcomes = []
        for knows_restore in (True, False):
            await trio.sleep(2.0)
            store_replay.write(rows, "t", "b", "two")
            store, _ = store_replay.open_store(rows)
            before = await store.read("t", "b")
            rows.restore(1.0)
            store_replay.write(rows, "t", "b", "other")
            assert rows.get("t", "b").version == (
                before.version - versions.era_start(store.era)
            )
            if knows_restore:
                await store.scan("t")
            context.outcomes.append(await commit(store, before))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def commit(store, before):
    """Commit over a row read before; return the kind of error, or none."""
    row = store_module.Row("t", "b", 0, b"late")
    try:
        await store.commit([before], [row])
    except exceptions.PlatformError as exc:
        return type(exc)
    return None


@when("an entry commits with the version of before")
def step_commits(context):
    assert len(context.outcomes) == 2


@then("the commit is refused, also if the entry learns of the restore by it")
def step_refused(context):
    assert context.outcomes == [
        exceptions.ConflictError,
        exceptions.OutcomeUnknownError,
    ], context.outcomes
