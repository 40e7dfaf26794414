"""Steps about requests: their answers, deadlines and ends."""

import itertools
import json
import threading
import time

from behave import given
from behave import then
from behave import when

from features import builders
from features import fleet as fleets
from features.standins import answers
from features.standins import caller
from features.standins import process

CUSTOMER = "grower"
MODELS = "frames-lm"
MODEL = "spec"
ORDERS = "orders"
OK = 200
SETTLE_S = 20.0
SLACK_S = 0.3
REPLICAS = 2


def call(context, entry, prompt, headers=None, **fields):
    """Return a chat request's body and reply at an entry."""
    body = caller.chat_body(MODEL, prompt, **fields)
    who = context.fleet.entries[entry].caller(builders.key_of(CUSTOMER))
    reply = who.request("POST", "/v1/chat/completions", body, headers)
    return body, reply


def check_true(body, reply):
    """Check that a reply is whole, or says truthfully that it is not."""
    want = answers.expected(body)
    if reply.status == OK and reply.done:
        assert reply.text == want.text, (reply.text, want.text)
        return True
    if reply.status == OK:
        # The stream had begun: a prefix, then the error, no end mark.
        error = json.loads(reply.events[-1][1]).get("error")
        assert error and error["run"] == "unknown", reply.events[-1]
        assert not reply.error, reply.error
        assert want.text.startswith(reply.text), (reply.text, want.text)
        return False
    assert reply.status >= 400 and reply.run, (reply.status, reply.error)
    return False


@given("a request fleet of {entries:d} entries")
def step_request_fleet(context, entries, concurrency=32, pace_s=0.002):
    context.fleet = fleets.Fleet()
    build = builders.TextBuilder().zone("zone-a").zone("zone-b")
    build.models(MODELS, deadline_s=10)
    build.plain(
        ORDERS,
        deadline_s=5,
        once_routes=[{"method": "POST", "path": "/orders"}],
        open_routes=[{"method": "GET", "path": "/stock"}],
    )
    build.model(MODEL, MODELS, max_replicas=REPLICAS).customer(CUSTOMER)
    for index in range(REPLICAS):
        engine = context.fleet.add_engine(
            f"w{index}",
            concurrency=concurrency,
            fresh=concurrency,
            pace_s=pace_s,
        )
        build.endpoint(
            engine.name,
            MODELS,
            "zone-a",
            engine.address,
            memory_mb=1000,
            concurrency=concurrency,
            fresh_concurrency=concurrency,
            fencing=True,
        )
        service = context.fleet.add_service(f"s{index}")
        build.endpoint(
            service.name,
            ORDERS,
            "zone-b",
            service.address,
            fresh_concurrency=8,
        )
    for index in range(entries):
        context.fleet.add_entry(f"e{index}", "zone-a")
    context.builder = build


@given("a request fleet of {entries:d} entries whose engines bear 1 request")
def step_narrow_fleet(context, entries):
    step_request_fleet(context, entries, concurrency=1, pace_s=0.02)


@given("the request fleet runs")
def step_request_fleet_runs(context):
    context.fleet.set_vms()
    context.fleet.publish(context.builder.text())
    context.fleet.start()
    context.fleet.wait_ready()
    for entry in context.fleet.entries:
        process.wait_for(
            lambda: call(context, entry, "warm up")[1].status == OK,
            SETTLE_S,
            f"a first answer at {entry}",
        )
        who = context.fleet.entries[entry].caller()
        process.wait_for(
            lambda: who.get("/services/orders/stock").status == OK,
            SETTLE_S,
            f"a first call at {entry}",
        )


def put_faults(context, **fault):
    """Let the next reply of either engine fail."""
    for name in ("w0", "w1"):
        ctl = context.fleet.endpoints[name].ctl
        ctl.call("clear_faults")
    context.fleet.endpoints["w0"].ctl.call("faults", faults=[fault])
    context.fleet.endpoints["w1"].ctl.call("faults", faults=[fault])


@when("replies fail in each of these ways, whole and streamed")
def step_replies_fail(context):
    context.results = []
    entries = itertools.cycle(context.fleet.entries)
    for row in context.table:
        for stream in (False, True):
            put_faults(context, kind=row["fault"], tokens=3, delay_s=0.3)
            for turn in range(4):
                prompt = f"{row['fault']} {stream} {turn} tokens=9"
                result = call(context, next(entries), prompt, stream=stream)
                context.results.append((row["fault"], stream, *result))


@when("streams fail once in each of these ways")
def step_streams_fail_once(context):
    context.results = []
    for row in context.table:
        for entry in context.fleet.entries:
            put_faults(context, kind=row["fault"], tokens=3)
            context.fleet.endpoints["w1"].ctl.call("clear_faults")
            for turn in range(4):
                prompt = f"once {row['fault']} {entry} {turn} tokens=9"
                result = call(context, entry, prompt, stream=True)
                context.results.append((row["fault"], True, *result))


@when("{count:d} requests at once meet all of these faults")
def step_many_fail(context, count):
    faults = [
        {"kind": row["fault"], "tokens": 3, "delay_s": 0.2}
        for row in context.table
    ]
    for name in ("w0", "w1"):
        context.fleet.endpoints[name].ctl.call("faults", faults=faults)
    entries = list(context.fleet.entries)
    replies = caller.parallel(
        lambda i=i: call(
            context,
            entries[i % len(entries)],
            f"mixed {i} tokens={5 + i % 7}",
            stream=bool(i % 2),
        )
        for i in range(count)
    )
    context.results = [("mixed", None, *result) for result in replies]


@when("engines close kept connections just as they are used")
def step_close_kept(context):
    context.results = []
    for turn in range(8):
        for name in ("w0", "w1"):
            ctl = context.fleet.endpoints[name].ctl
            ctl.call("close", before_read=turn % 2, after_read=1 - turn % 2)
        result = call(context, "e0", f"kept {turn}", stream=turn > 3)
        context.results.append(("closed", turn > 3, *result))


@then("each caller got the whole answer to its own request")
def step_all_whole(context):
    failed = [
        (fault, stream, reply.status, reply.body[-300:])
        for fault, stream, body, reply in context.results
        if not check_true(body, reply)
    ]
    assert not failed, failed


@then("each got its whole answer, or a stream's truthful end")
def step_whole_or_true(context):
    for fault, stream, body, reply in context.results:
        whole = check_true(body, reply)
        begun = reply.status == OK
        assert whole or begun, (fault, stream, reply.status, reply.body)


@then("no answer was cut but after its first token")
def step_cut_after_token(context):
    for fault, stream, body, reply in context.results:
        if not check_true(body, reply):
            assert reply.text, (fault, stream, reply.body)


@when("a caller goes away from a long answer")
def step_goes_away(context):
    who = context.fleet.entries["e0"].caller(builders.key_of(CUSTOMER))
    conn = who.connect()
    body = caller.chat_body(MODEL, "long tokens=5000", stream=True)
    headers = {"Authorization": f"Bearer {builders.key_of(CUSTOMER)}"}
    conn.request(
        "POST", "/v1/chat/completions", json.dumps(body).encode(), headers
    )
    assert conn.getresponse().read(100)
    conn.close()


@then("the engine's work on it is cancelled")
def step_cancelled(context):
    def cancelled():
        events = [
            event
            for name in ("w0", "w1")
            for event in context.fleet.endpoints[name].events("request")
        ]
        return [e for e in events if e["outcome"] == "cancelled"]

    process.wait_for(cancelled, SETTLE_S, "a cancelled request")


@given("both engines hang")
@when("both engines hang")
def step_hang(context):
    for name in ("w0", "w1"):
        context.fleet.endpoints[name].ctl.call("set", hang=True)


@when("both engines are paused")
def step_pause_engines(context):
    for name in ("w0", "w1"):
        context.fleet.endpoints[name].proc.freeze()


@when("{count:d} requests wait with deadlines from {low:d} to {high:d} ms")
def step_wait(context, count, low, high, during=None):
    entries = [name for name, e in context.fleet.entries.items()]
    entries = getattr(context, "living", entries)
    step = (high - low) / max(1, count - 1)

    def one(index):
        allowed_ms = int(low + step * index)
        headers = {"X-Deadline-Ms": str(allowed_ms)}
        entry = entries[index % len(entries)]
        prompt = f"wait {index} tokens=20"
        body, reply = call(context, entry, prompt, headers)
        return allowed_ms / 1000, body, reply

    thread = None
    if during is not None:
        thread = threading.Thread(target=during)
        thread.start()
    context.waited = caller.parallel(lambda i=i: one(i) for i in range(count))
    if thread is not None:
        thread.join()


@when("{count:d} requests wait while {what} is {how}")
def step_wait_amid(context, count, what, how):
    entry = context.fleet.entries["e1"]
    living = [name for name in context.fleet.entries if name != "e1"]
    procs = {
        "another entry": entry.procs,
        "another coordinator": [entry.coordinator],
        "an engine": [context.fleet.endpoints["w0"].proc],
    }[what]
    context.living = living

    def strike():
        time.sleep(0.5)
        for proc in procs:
            proc.kill() if how == "killed" else proc.freeze()

    step_wait(context, count, 1000, 4000, strike)


@then("each waiting request ended by its deadline, truthfully")
def step_by_deadline(context):
    for allowed_s, body, reply in context.waited:
        check_true(body, reply)
        assert reply.took_s <= allowed_s + SLACK_S, (allowed_s, reply)


@then("some of them were answered")
def step_some_answered(context):
    answered = [r for _, _, r in context.waited if r.status == OK]
    assert answered, [r.body for _, _, r in context.waited]


@then("none that was refused as not run reached an engine")
def step_none_reached(context):
    ran = [
        event["prompt"]
        for name in ("w0", "w1")
        for event in context.fleet.endpoints[name].events("request")
    ]
    for _, body, reply in context.waited:
        if reply.status != OK and reply.run == "not_run":
            assert answers.prompt_of(body) not in ran, (body, reply.body)


@when("the coordinator of an entry is killed amid its streams")
def step_kill_coordinator(context):
    results = []

    def stream(index):
        prompt = f"stream {index} tokens=200"
        results.append(call(context, "e0", prompt, stream=True))

    for endpoint in ("w0", "w1"):
        context.fleet.endpoints[endpoint].ctl.call("set", pace_s=0.02)
    threads = [
        threading.Thread(target=stream, args=(index,)) for index in range(4)
    ]
    for thread in threads:
        thread.start()
    process.wait_for(
        lambda: _in_flight(context) == len(threads), SETTLE_S, "the streams"
    )
    context.fleet.entries["e0"].coordinator.kill()
    context.new = call(context, "e0", "new")[1]
    for thread in threads:
        thread.join()
    context.results = [("killed", True, *result) for result in results]


def _in_flight(context):
    return sum(
        context.fleet.endpoints[name].ctl.call("counters")["in_flight"]
        for name in ("w0", "w1")
    )


@then("a new request there was refused as not run within {bound:d} s")
def step_new_refused(context, bound):
    assert context.new.status == 503, context.new
    assert context.new.run == "not_run", context.new
    assert context.new.took_s < bound, context.new


@when("the coordinator is started again")
def step_restart_coordinator(context):
    context.fleet.entries["e0"].coordinator.start()


@then("requests are answered there again")
def step_again(context):
    process.wait_for(
        lambda: call(context, "e0", "again")[1].status == OK,
        SETTLE_S,
        "an answer",
    )
