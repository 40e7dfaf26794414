"""Steps about requests that wait, and about what they wait for."""

import threading
import time

from behave import given
from behave import then
from behave import when

from features import request_fleet
from features.standins import answers
from features.standins import caller
from features.standins import process

SLACK_S = 0.3


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
        body, reply = request_fleet.call(context, entry, prompt, headers)
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
        request_fleet.check_true(body, reply)
        assert reply.took_s <= allowed_s + SLACK_S, (allowed_s, reply)


@then("some of them were answered")
def step_some_answered(context):
    answered = [
        r for _, _, r in context.waited if r.status == request_fleet.OK
    ]
    assert answered, [r.body for _, _, r in context.waited]


@then("none that was refused as not run reached an engine")
def step_none_reached(context):
    ran = [
        event["prompt"]
        for name in ("w0", "w1")
        for event in context.fleet.endpoints[name].events("request")
    ]
    for _, body, reply in context.waited:
        if reply.status != request_fleet.OK and reply.run == "not_run":
            assert answers.prompt_of(body) not in ran, (body, reply.body)


@when("the other entry is {how} and a request waits for up to {most:d} s")
def step_other_entry(context, how, most):
    other = context.fleet.entries["e0"]
    if how == "killed":
        other.kill()
    else:
        other.freeze()
    headers = {"X-Deadline-Ms": str(1000 * most)}
    context.waited = [
        (most, *request_fleet.call(context, "e1", "outlive", headers))
    ]


@then("it is answered")
def step_it_answered(context):
    _, body, reply = context.waited[0]
    assert request_fleet.check_true(body, reply), (reply.status, reply.body)


@when("the coordinator of an entry is killed amid its streams")
def step_kill_coordinator(context):
    results = []

    def stream(index):
        prompt = f"stream {index} tokens=200"
        results.append(request_fleet.call(context, "e0", prompt, stream=True))

    for endpoint in ("w0", "w1"):
        context.fleet.endpoints[endpoint].ctl.call("set", pace_s=0.02)
    threads = [
        threading.Thread(target=stream, args=(index,)) for index in range(4)
    ]
    for thread in threads:
        thread.start()
    process.wait_for(
        lambda: _in_flight(context) == len(threads),
        request_fleet.SETTLE_S,
        "the streams",
    )
    context.fleet.entries["e0"].coordinator.kill()
    context.new = request_fleet.call(context, "e0", "new")[1]
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
        lambda: request_fleet.call(context, "e0", "again")[1].status
        == request_fleet.OK,
        request_fleet.SETTLE_S,
        "an answer",
    )
