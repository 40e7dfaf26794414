"""Steps about requests and their answers."""

import itertools
import json

from behave import given
from behave import then
from behave import when

from features import builders
from features import request_fleet
from features.standins import caller
from features.standins import process


@given("a request fleet of {entries:d} entries")
def step_request_fleet(context, entries):
    request_fleet.build(context, entries)


@given("a request fleet of {entries:d} entries whose engines bear 1 request")
def step_narrow_fleet(context, entries):
    request_fleet.build(context, entries, concurrency=1, pace_s=0.02)


@given("the request fleet runs")
def step_request_fleet_runs(context):
    context.fleet.set_vms()
    context.fleet.publish(context.builder.text())
    context.fleet.start()
    context.fleet.wait_ready()
    for entry in context.fleet.entries:
        process.wait_for(
            lambda: request_fleet.call(context, entry, "warm up")[1].status
            == request_fleet.OK,
            request_fleet.SETTLE_S,
            f"a first answer at {entry}",
        )
        who = context.fleet.entries[entry].caller()
        process.wait_for(
            lambda: who.get("/services/orders/stock").status
            == request_fleet.OK,
            request_fleet.SETTLE_S,
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
                result = request_fleet.call(
                    context, next(entries), prompt, stream=stream
                )
                context.results.append((row["fault"], stream, *result))


@when("streams fail once in each of these ways")
def step_streams_fail_once(context):
    context.results = []
    for row in context.table:
        for entry in context.fleet.entries:
            put_fault_where_loaded(context, row["fault"])
            for turn in range(6):
                prompt = f"once {row['fault']} {entry} {turn} tokens=9"
                result = request_fleet.call(
                    context, entry, prompt, stream=True
                )
                context.results.append((row["fault"], True, *result))


def put_fault_where_loaded(context, kind):
    """Let one stream fail, at an engine that has the model."""
    engines = [context.fleet.endpoints[name] for name in ("w0", "w1")]
    for engine in engines:
        engine.ctl.call("clear_faults")
    holds = [e for e in engines if e.status()["models"]]
    holds[0].ctl.call("faults", faults=[{"kind": kind, "tokens": 3}])


@then("at least {count:d} streams were resumed")
def step_resumed(context, count):
    resumed = [
        event["headers"]["x-resume-from"]
        for name in ("w0", "w1")
        for event in context.fleet.endpoints[name].events("request")
        if "x-resume-from" in event["headers"]
    ]
    assert len(resumed) >= count, resumed


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
        lambda i=i: request_fleet.call(
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
        result = request_fleet.call(
            context, "e0", f"kept {turn}", stream=turn > 3
        )
        context.results.append(("closed", turn > 3, *result))


@then("each caller got the whole answer to its own request")
def step_all_whole(context):
    failed = [
        (fault, stream, reply.status, reply.body[-300:])
        for fault, stream, body, reply in context.results
        if not request_fleet.check_true(body, reply)
    ]
    assert not failed, failed


@then("each got its whole answer, or a stream's truthful end")
def step_whole_or_true(context):
    for fault, stream, body, reply in context.results:
        whole = request_fleet.check_true(body, reply)
        begun = reply.status == request_fleet.OK
        assert whole or begun, (fault, stream, reply.status, reply.body)


@then("no answer was cut but after its first token")
def step_cut_after_token(context):
    for fault, stream, body, reply in context.results:
        if not request_fleet.check_true(body, reply):
            assert reply.text, (fault, stream, reply.body)


@when("a caller goes away from a long answer")
def step_goes_away(context):
    who = context.fleet.entries["e0"].caller(
        builders.key_of(request_fleet.CUSTOMER)
    )
    conn = who.connect()
    body = caller.chat_body(
        request_fleet.MODEL, "long tokens=5000", stream=True
    )
    headers = {
        "Authorization": f"Bearer {builders.key_of(request_fleet.CUSTOMER)}"
    }
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

    process.wait_for(cancelled, request_fleet.SETTLE_S, "a cancelled request")
