"""Steps about answers whose heads stop on the way."""

import json

from behave import given
from behave import then
from behave import when

from features.standins import cut_heads

PLAIN = ("p1", "p2")
ENGINES = ("e1", "e2")
EVENTS = 6
# By kind of request: the workers, and what is sent.
KINDS = {
    "look-up": (PLAIN, lambda fleet: fleet.ask("one", "/stock/a")),
    "order": (
        PLAIN,
        lambda fleet: fleet.ask("one", "/orders/a", "POST", b"1"),
    ),
    "draft": (ENGINES, lambda fleet: fleet.stream("one", "/draft/a")),
    "stream": (ENGINES, lambda fleet: fleet.stream("one")),
    "resumed stream": (ENGINES, lambda fleet: fleet.stream("one")),
}
# Requests that leave an idle connection to each worker.
WARM_UP = 6


@given("connections to all workers that are kept")
def step_kept(context):
    for _ in range(WARM_UP):
        for _, send in KINDS.values():
            answer = send(context.fleet)
            assert answer.status == 200 and answer.whole, answer


@when("the head of the answers to a {kind} stops at each place")
def step_cut(context, kind):
    workers, send = KINDS[kind]
    prefix = "resumed_" if kind == "resumed stream" else ""
    context.answers = {}
    context.cut_workers = workers
    for fault in cut_heads.FAULTS:
        for name in workers:
            context.fleet.workers[name].call("faults", kinds=[prefix + fault])
        context.answers[fault] = send(context.fleet)
        # A request that is sent to one worker only leaves the other's fault.
        for name in workers:
            context.fleet.workers[name].call("clear_faults")


@then("each of these heads was met")
def step_met(context):
    met = {
        event["fault"]
        for name in context.cut_workers
        for event in context.fleet.history(name)
    }
    assert met >= set(cut_heads.FAULTS), set(cut_heads.FAULTS) - met


@then("none of them is answered as a success")
def step_no_success(context):
    wrong = {
        fault: answer
        for fault, answer in context.answers.items()
        if answer.status == 200 and answer.whole
    }
    assert not wrong, wrong


@then("a {kind} without a fault is answered whole")
def step_answered(context, kind):
    answer = KINDS[kind][1](context.fleet)
    assert answer.status == 200 and answer.whole, answer
    if KINDS[kind][0] == PLAIN:
        assert json.loads(answer.body)["by"] in PLAIN, answer
    else:
        assert answer.body.count(b"data:") == EVENTS, answer


@then("it has the worker's whole body")
def step_whole(context):
    assert json.loads(context.answer.body)["by"] in PLAIN, context.answer
