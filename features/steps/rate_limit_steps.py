"""Steps about limits that endpoints name."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

ENTRIES = ("one", "two")
WORKERS = {"engine": ("e1", "e2"), "plain worker": ("p1", "p2")}
WINDOW_S = 4.0
# By how much the requests of a window may exceed the limit.
MAX_RATIO = 1.5
SLACK = 5
THREADS = 64


@given("each {kind} names a limit of {limit:g} requests a second")
@when("each {kind} names a limit of {limit:g} requests a second")
def step_limit(context, kind, limit):
    context.kind = kind
    context.limit = limit
    for name in WORKERS[kind]:
        context.fleet.workers[name].call("set", limit=limit)


@given('each {kind} names a limit of "{limit}" requests a second')
def step_malformed(context, kind, limit):
    step_limit(context, kind, limit)


@then('the log of "{name}" tells of the malformed limit "{limit}"')
def step_logged(context, name, limit):
    lines = context.fleet.log(name, "limit: malformed")
    assert {line["value"] for line in lines} == {limit}, lines


@when(
    "callers send {rate:g} requests a second to each entry for {seconds:d} s"
)
def step_send(context, rate, seconds):
    began = time.monotonic()
    context.sent_from = time.time()
    context.seconds = seconds

    def send(entry, at):
        time.sleep(max(0.0, at - time.monotonic()))
        sent = time.monotonic()
        if context.kind == "engine":
            answer = context.fleet.stream(entry)
        else:
            answer = context.fleet.ask(entry, "/stock/1")
        return answer, time.monotonic() - sent

    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        calls = [
            pool.submit(send, entry, began + number / rate)
            for number in range(int(rate * seconds))
            for entry in ENTRIES
        ]
        context.answers = [call.result() for call in calls]


@then("from {begin:d} s on no {kind} gets more than its limit allows in 4 s")
def step_bound(context, begin, kind):
    allowed = MAX_RATIO * context.limit * WINDOW_S + SLACK
    for name in WORKERS[kind]:
        times = [
            event["at"]
            for event in context.fleet.history(name)
            if event["at"] >= context.sent_from + begin
        ]
        for at in times:
            count = sum(at <= other < at + WINDOW_S for other in times)
            assert count <= allowed, (name, count, allowed)


@then("at least {share:g} of what the limits allow is answered")
def step_used(context, share):
    answered = sum(answer.status == 200 for answer, _ in context.answers)
    allowed = context.limit * context.seconds * len(WORKERS[context.kind])
    assert answered >= share * allowed, (answered, allowed)


@then(
    "what is refused was refused within {seconds:g} s, with the time to return"
)
def step_refused(context, seconds):
    refused = [a for a in context.answers if a[0].status != 200]
    assert refused
    for answer, took_s in refused:
        assert answer.status == 503, answer
        assert float(answer.headers["retry-after"]) > 0.0, answer
        assert took_s < seconds, (took_s, answer)


@then("of the last {count:d} requests all are answered")
def step_all_answered(context, count):
    statuses = [answer.status for answer, _ in context.answers[-count:]]
    assert statuses == count * [200], statuses
