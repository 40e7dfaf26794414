"""Steps about calls of the store that are lost without a reset."""

import time
import types

from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from features.standins import process

CALL_S = 0.004


@when("the operator writes a configuration")
def step_write(context):
    context.fleet.configure(2)
    context.written_at = time.monotonic()


@when("the store loses all calls {after:g} s later, for {seconds:g} s")
def step_lose(context, after, seconds):
    time.sleep(max(0.0, context.written_at + after - time.monotonic()))
    context.fleet.store.call("outage", mode="mute")
    time.sleep(seconds)
    context.fleet.store.call("outage", mode="off")


@when('zone "{zone}" is evacuated')
def step_evacuate(context, zone):
    context.fleet.store.call(
        "put", table="op", key=f"evacuate/{zone}", value="{}"
    )


@then('within {s:d} s the workers of "{zone}" get nothing more')
def step_evacuated(context, s, zone):
    (name,) = [
        name
        for name, fields in context.fleet.registered.items()
        if fields["service"] == "plain" and fields["zone"] == zone
    ]

    def gets_nothing():
        before = len(context.fleet.history(name))
        for _ in range(6):
            assert context.fleet.ask("one", "/stock/7").status == 200
        return len(context.fleet.history(name)) == before

    process.wait_for(gets_nothing, s)


class HttpClient:
    """Answers calls after a time that the target names, or never."""

    def __init__(self):
        self.is_lost = False

    async def call(self, address, req, timeout_s, max_bytes, on_reply):
        """Return an empty reply, or raise after the timeout."""
        wait_s = CALL_S
        if b"waitMs=" in req.target:
            wait_s = int(req.target.rpartition(b"waitMs=")[2]) / 1000
        if self.is_lost or wait_s > timeout_s:
            await trio.sleep(timeout_s)
            raise exceptions.ReplyError("no reply; wait")
        await trio.sleep(wait_s)
        on_reply(types.SimpleNamespace(header=lambda name: b"1"))
        return 200, b'{"rows": [], "ver": 1}'


def run(func):
    """Run an async function with a store, on a clock that jumps."""
    client = HttpClient()

    async def main():
        store = store_module.Store("store:1", client)
        store.observe_era(1)
        with trio.fail_after(600):
            await func(store, client)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


async def poll(store, wait_s, ends):
    """Poll once; record the time at which the poll ended."""
    version = store_module.versions.era_start(1) + 1
    try:
        await store.poll_changes("op", version, wait_s)
    except exceptions.PlatformError:
        pass
    ends.append(trio.current_time())


@when(
    "a long poll is lost in an outage of {seconds:g} s in which no peer scans"
)
def step_poll_lost(context, seconds):
    ends = []

    async def story(store, client):
        store.observe_reply(trio.current_time())
        client.is_lost = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll, store, 15.0, ends)
            await trio.sleep(seconds)
            context.scanned_at = trio.current_time()
            store.observe_reply(context.scanned_at)

    run(story)
    context.ends = ends


@then("it is given up within {s:g} s after a peer has scanned again")
def step_given_up(context, s):
    (ended_at,) = context.ends
    assert 0 <= ended_at - context.scanned_at <= s, context.ends


@when(
    "peers scan every {interval:g} s for {seconds:d} s, and long polls wait "
    "{wait:d} s"
)
def step_calm(context, interval, seconds, wait):
    ends = []

    async def story(store, client):
        async def scans():
            while True:
                store.observe_reply(trio.current_time() - CALL_S)
                await trio.sleep(interval)

        with trio.move_on_after(seconds + 0.1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scans)
                while True:
                    await poll(store, wait, ends)
        context.polls = len(ends)

    run(story)


@then("the store was polled {count:d} times")
def step_polls(context, count):
    assert context.polls == count, context.polls


@when("a call fails, and the reply to an earlier one arrives after it")
def step_late_reply(context):
    ends = []

    async def story(store, client):
        store.observe_reply(trio.current_time())
        sent_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            client.is_lost = True
            nursery.start_soon(store_scan, store)
            await trio.sleep(0.1)
            client.is_lost = False
            nursery.start_soon(poll, store, 4.0, ends)
            await trio.sleep(1.0)
            store.observe_reply(sent_at - 0.1)
        context.took_s = ends[0] - sent_at

    run(story)


async def store_scan(store):
    """Scan a table, whether it works or not."""
    try:
        await store.scan("servers")
    except exceptions.PlatformError:
        pass


@then("a call that was sent between is not given up")
def step_not_given_up(context):
    assert 4.0 <= context.took_s <= 4.2, context.took_s
