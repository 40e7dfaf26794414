"""Steps about refusals that endpoints write once more."""

import collections
import re
import threading

from behave import given
from behave import then
from behave import when
import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from features.standins import repeater

TIMEOUT_S = 2.0
ENGINES = ("e1", "e2")
PLAIN = ("p1", "p2")
STATUSES = {"refused": repeater.REFUSED, "served": repeater.SERVED}


@given(
    'an endpoint that {did} "{first_id}", and then writes a refusal of {of}'
)
def step_repeater(context, did, first_id, of):
    context.first_id = first_id
    context.first_status = STATUSES[did]
    context.repeat_headers = [
        ("X-Request-Id", name) for name in re.findall('"(.)"', of)
    ]


@when('requests "{ids}" follow on its kept connections')
def step_follow(context, ids):
    request_ids = ids.replace("-", "").split(" ")
    context.outcomes = trio.run(exchange, context, request_ids)


async def exchange(context, request_ids):
    """Return status and body, or the error, of each request.

    Notes
    -----
    The first requests run at once, so that each of the others finds a kept
    connection of its own.
    """
    outcomes = []
    async with repeater.serve(
        context.first_status, context.repeat_headers
    ) as address:
        client = http.HttpClient()

        async def call(request_id):
            return await client.call(
                address, http.Request(request_id, "GET", b"/"), TIMEOUT_S
            )

        async with trio.open_nursery() as nursery:
            for _ in request_ids:
                nursery.start_soon(call, context.first_id)
        for request_id in request_ids:
            try:
                outcomes.append(await call(request_id))
            except exceptions.ReplyError as exc:
                outcomes.append(exc)
    return outcomes


@then("each gets its own reply or none")
def step_own(context):
    for outcome in context.outcomes:
        is_own = outcome in ((200, b"own"), (503, b"first"))
        assert is_own or isinstance(outcome, exceptions.ReplyError), outcome


@when('{count:d} callers post to "{path}" at once')
def step_at_once(context, count, path):
    threads = [
        threading.Thread(
            target=context.fleet.ask, args=("one", path, "POST", b"order")
        )
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when('the next {count:d} requests at each plain worker meet "{fault}"')
def step_meet(context, count, fault):
    for name in PLAIN:
        context.fleet.workers[name].call("faults", kinds=count * [fault])


@given('the next requests at each engine meet "{one}" and "{two}"')
def step_meet_in_turn(context, one, two):
    for name in ENGINES:
        context.fleet.workers[name].call("faults", kinds=[one, two])


@when('{count:d} callers post to "{path}" one by one')
def step_one_by_one(context, count, path):
    context.answers = [
        context.fleet.ask("one", path, "POST", b"order") for _ in range(count)
    ]


@then("no order ran twice, and none that ran is answered as not run")
def step_promise_kept(context):
    runs = collections.Counter(
        event["id"]
        for name in PLAIN
        for event in context.fleet.history(name)
        if event["ran"]
    )
    assert max(runs.values()) == 1, runs
    for answer in context.answers:
        assert answer.status in (200, 502), answer


@then("{count:d} engine ran it")
def step_engine_ran(context, count):
    ran = [
        event
        for name in ENGINES
        for event in context.fleet.history(name)
        if event["ran"]
    ]
    assert len(ran) == count, ran
