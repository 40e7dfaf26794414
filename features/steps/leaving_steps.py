"""Steps about endpoints that say in their answers that they leave."""

import concurrent.futures
import dataclasses
import time

from behave import given
from behave import then
from behave import when
from loguru import logger
import trio
import trio.testing

from dogwoodwheel.engines import http
from dogwoodwheel.entry import crash_guard
from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel.entry import membership
from dogwoodwheel.platform import store as store_module
from features import entry_builders
from features import notice_builders
from features.standins import process

STARTED_MS = 1_790_000_000_000
ASKED = 200
PLAIN = ("p1", "p2")
# An entry reads the registrations about every 0.7 s.
SCANNED_S = 2.0


@dataclasses.dataclass
class Play:
    """An entry on a clock that steps move.

    Parameters
    ----------
    entry : dogwoodwheel.entry.components.Components
    endpoints : dict of str to dogwoodwheel.entry.datatypes.Endpoint
    """

    entry: object
    endpoints: dict
    version: int = 1
    now: float = 100.0

    def at_now(self, func, *args):
        """Return what a function returns at the present time."""

        async def main():
            return func(*args)

        return run_at(self.now, main)

    def scan(self, endpoints):
        """Let the entry read registrations, some time after the last."""
        self.now += 0.7
        self.version += 1
        notice_builders.register(self.entry, endpoints, self.now, self.version)

    def used(self, entry=None):
        """Return the endpoints that requests go to."""
        entry = entry or self.entry

        def select_all():
            found = set()
            required = notice_builders.requirements(entry, self.now + 4.0)
            while True:
                selected = endpoint_selection.select_endpoint(
                    entry, required, found
                )
                if selected is None:
                    return found
                found.add(selected.endpoint.id)

        return self.at_now(select_all)


def run_at(now, main):
    """Run a function on a clock that begins at a time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    clock.jump(now)
    return trio.run(main, clock=clock)


def plain_endpoint(name, **fields):
    return entry_builders.endpoint(
        name,
        service="plain",
        address=f"10.0.0.{name[-1]}:9",
        started_ms=STARTED_MS,
        **fields,
    )


@given('an entry with the endpoints "{names}"')
def step_endpoints(context, names):
    endpoints = {name: plain_endpoint(name) for name in names.split()}
    context.play = Play(notice_builders.components(), endpoints)
    context.play.scan(endpoints.values())
    context.lines = []
    handler = logger.add(lambda line: context.lines.append(line.record))
    context.add_cleanup(logger.remove, handler)


@given(
    'an entry with the endpoints "{names}", of which "{name}" has said that '
    "it leaves"
)
def step_said(context, names, name):
    step_endpoints(context, names)
    answer(context, name, notice_builders.reply(server_leaving=b"1"))


def answer(context, name, reply):
    play = context.play
    play.at_now(play.entry.record_reply, play.endpoints[name], reply)


@when('an answer of "{name}" has the header "{header}" with {value}')
def step_header(context, name, header, value):
    raw = notice_builders.header_value(value)
    fields = {header.replace("-", "_"): raw}
    status = 503 if header == "retry-after" else 200
    answer(context, name, notice_builders.reply(status, **fields))


@then("an answer was logged as malformed")
def step_malformed(context):
    messages = [record["message"] for record in context.lines]
    assert any("malformed" in message for message in messages), messages


@when("the registrations are unchanged")
def step_unchanged(context):
    context.play.scan(context.play.endpoints.values())


@when("the registrations are missing for {seconds:d} s and back")
def step_missing(context, seconds):
    play = context.play
    rest = [e for e in play.endpoints.values() if e.id != "i-1"]
    end_at = play.now + seconds
    while play.now < end_at:
        play.scan(rest)
        play.at_now(
            play.entry.fleet_state.leaving.retain,
            play.entry.fleet_state.endpoints,
            play.now,
        )
    play.scan(play.endpoints.values())


@when("the registrations are draining for i-1, and then ready")
def step_drain_and_ready(context):
    step_draining(context)
    context.play.scan(context.play.endpoints.values())


@when("the registrations are draining for i-1")
def step_draining(context):
    context.play.scan(
        [plain_endpoint("i-1", ready=False), plain_endpoint("i-2")]
    )


@when("the registrations are restored from an older start of i-1")
def step_restored(context):
    older = dataclasses.replace(
        context.play.endpoints["i-1"], started_ms=STARTED_MS - 9000
    )
    context.play.scan([older, plain_endpoint("i-2")])


@when("the registrations are of a later start of i-1")
def step_later(context):
    later = dataclasses.replace(
        context.play.endpoints["i-1"], started_ms=STARTED_MS + 9000
    )
    context.play.scan([later, plain_endpoint("i-2")])


@when("the registrations are of i-3 at the address of i-1")
def step_other(context):
    other = dataclasses.replace(context.play.endpoints["i-1"], id="i-3")
    context.play.scan([other, plain_endpoint("i-2")])


@then('requests go to "{names}" only')
def step_used(context, names):
    used = context.play.used()
    assert used == set(names.split()), used


@when("a peer hears of it in a heartbeat")
def step_peer(context):
    play = context.play
    context.peer = notice_builders.components("entry-2")
    notice_builders.register(
        context.peer, play.endpoints.values(), play.now, 1
    )
    beat = entry_builders.heartbeat(leaving=report(play.entry))
    store = store_module.Store("store:1", http.HttpClient())
    member = membership.Member(context.peer, store, "two")
    play.at_now(member.receive_heartbeat, None, beat)


def report(entry):
    return entry.fleet_state.leaving.report(
        tracked.endpoint for tracked in entry.fleet_state.endpoints.values()
    )


@then('the peer sends requests to "{names}" only')
def step_peer_used(context, names):
    used = context.play.used(context.peer)
    assert used == set(names.split()), used


@then("the peer does not pass on what it heard")
def step_not_passed(context):
    assert report(context.peer) == {}


@then('heartbeats do not mention that "{name}" leaves')
def step_not_mentioned(context, name):
    assert report(context.play.entry) == {}


@when('"{name}" loads a model, and says that it leaves')
def step_loads(context, name):
    play = context.play
    state = play.entry.fleet_state
    play.at_now(state.update_holdings, name, {}, play.now, "m1")
    assert play.at_now(state.loading_since, "m1") is not None
    answer(context, name, notice_builders.reply(server_leaving=b"1"))


@then("no request waits for that load")
def step_no_wait(context):
    play = context.play
    state = play.entry.fleet_state
    assert play.at_now(state.loading_since, "m1") is None


@when('the answer to a prompt breaks off at "{name}"')
def step_break(context, name):
    play = context.play

    async def main():
        guard = crash_guard.CrashGuard(play.entry, "r", ("ab", "request:1"))
        guard.begin_attempt()
        guard.record_head()
        return await guard.record_break(play.endpoints[name])

    context.is_crash = run_at(play.now, main)


@then("nothing connects to it, and it does not count as a crash")
def step_no_crash(context):
    assert not context.is_crash
    assert context.play.entry.http_client.opened_connections == 0


@given('the worker "{name}" with the model "{model}"')
def step_worker(context, name, model):
    context.fleet.add_worker(name, "models", model)


@when('"{name}" says in its answers that it leaves')
def step_says(context, name):
    context.fleet.workers[name].call("set", leaving="1")


def is_told(context, entry, name):
    return any(
        line["endpoint"] == name
        for line in context.fleet.log(entry, "endpoint: leaving")
    )


@when('callers ask "{entry}" for "{path}" until "{name}" has answered')
def step_until(context, entry, path, name):
    for _ in range(ASKED):
        if context.fleet.history(name):
            break
        assert context.fleet.ask(entry, path).status == 200
    context.answered_at = time.time()
    assert context.fleet.history(name)


@when(
    'callers ask "{entry}" for streams of "{model}" until "{name}" has '
    "answered"
)
def step_until_stream(context, entry, model, name):
    # The leader's reports may have told the entry before.
    for _ in range(ASKED):
        if context.fleet.history(name) or is_told(context, entry, name):
            break
        context.fleet.stream(entry, model=model)
    context.answered_at = time.time()


@then(
    'from then on {count:d} requests for "{path}" at "{entry}" reach only '
    '"{name}"'
)
def step_only(context, count, path, entry, name):
    before = {n: len(context.fleet.history(n)) for n in PLAIN}
    for _ in range(count):
        assert context.fleet.ask(entry, path).status == 200
    gained = {n: len(context.fleet.history(n)) - before[n] for n in PLAIN}
    assert gained == {n: count * (n == name) for n in PLAIN}, gained


@then(
    '{seconds:d} s later {count:d} requests for "{path}" at "{entry}" reach '
    'only "{name}"'
)
def step_later_only(context, seconds, count, path, entry, name):
    time.sleep(seconds)
    step_only(context, count, path, entry, name)


@then('the log of "{entry}" tells that "{name}" leaves, from an "{source}"')
@then('the log of "{entry}" tells that "{name}" leaves, from a "{source}"')
def step_log(context, entry, name, source):
    lines = context.fleet.log(entry, "endpoint: leaving")
    told = [(line["endpoint"], line["source"]) for line in lines]
    assert told == [(name, source)], lines


@when('the registration of "{name}" goes for {seconds:g} s and comes back')
def step_goes(context, name, seconds):
    context.fleet.unregister(name)
    time.sleep(seconds)
    context.fleet.register(name)
    time.sleep(SCANNED_S)


@when('"{name}" has started again under the same id')
def step_started(context, name):
    context.fleet.workers[name].call("set", leaving="")
    context.fleet.register(name, born=STARTED_MS)


@then('callers who ask "{entry}" for "{path}" reach "{name}" again')
def step_again(context, entry, path, name):
    before = len(context.fleet.history(name))

    def reaches():
        context.fleet.ask(entry, path)
        return len(context.fleet.history(name)) > before

    process.wait_for(reaches, what=f"a request at {name}")


@when(
    '{count:d} callers begin a stream at "{entry}", of which "{name}" breaks '
    "off one"
)
def step_streams(context, count, entry, name):
    context.fleet.workers[name].call("faults", kinds=["break"])
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = []
        for _ in range(count):
            calls.append(pool.submit(context.fleet.stream, entry))
            time.sleep(0.15)
        context.answers = [call.result() for call in calls]
    context.answered_at = min(e["at"] for e in context.fleet.history(name))


@then("all streams are whole")
def step_whole(context):
    for reply in context.answers:
        assert reply.status == 200 and reply.whole, context.answers
        assert reply.body.count(b"id: ") == 6, reply


@then(
    '"{name}" gets no request later than {seconds:g} s after its first answer'
)
def step_no_request(context, name, seconds):
    check_none_after(context, name, "request", seconds)


@then(
    '"{name}" gets neither reports nor orders later than {seconds:g} s after '
    "it"
)
def step_no_orders(context, name, seconds):
    time.sleep(2.0)
    check_none_after(context, name, "report", seconds)
    check_none_after(context, name, "order", seconds)


def check_none_after(context, name, kind, seconds):
    late = [
        event["at"] - context.answered_at
        for event in context.fleet.history(name, kind)
        if event["at"] > context.answered_at + seconds
    ]
    assert not late, (kind, late)


@then(
    'within {seconds:g} s a stream of "{model}" at "{entry}" is answered '
    'elsewhere than at "{name}"'
)
def step_elsewhere(context, seconds, model, entry, name):
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        reply = context.fleet.stream(entry, model=model)
        if reply.status == 200 and reply.headers["x-server-seal"] != (
            f"seal.{name}"
        ):
            return
        time.sleep(0.1)
    raise AssertionError(reply)
