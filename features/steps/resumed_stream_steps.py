"""Steps about streams that go on at another endpoint."""

from behave import given
from behave import then
from behave import when

from features.standins import stream_faults

ENGINES = ("e1", "e2")
MAX_STREAMS = 30


def events(last):
    return b"".join(stream_faults.event(n) for n in range(1, last + 1))


@given('the next request at 1 engine meets "{fault}"')
def step_fault(context, fault):
    context.fleet.workers["e1"].call("faults", kinds=[fault])


@when('a caller asks for a stream of "{model}" until each engine was asked')
def step_until_asked(context, model):
    context.answers = []
    while len(context.answers) < MAX_STREAMS:
        context.answers.append(context.fleet.stream("one", model=model))
        if all(context.fleet.history(name) for name in ENGINES):
            return
    raise AssertionError("an engine was never asked")


@then("its answer has the events 1 to {last:d}, and is cut")
def step_cut(context, last):
    answer = context.answer
    assert answer.body == events(last), answer
    assert answer.status == 200 and not answer.whole, answer


@then("each answer has the events 1 to {last:d}, and is whole")
def step_whole(context, last):
    for answer in context.answers:
        assert answer.body == events(last), answer
        assert answer.status == 200 and answer.whole, answer
