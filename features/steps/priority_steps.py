"""Steps about priority classes inside a customer."""

import concurrent.futures

from behave import given
from behave import then
from behave import when

from features import builders
from features.standins import process

MODEL = "frames"
HEADER = "X-Priority"
WARM_S = 30.0


def ask(context, index, tokens, priority):
    """Return the reply to a chat, sent to the entries in turn."""
    names = sorted(context.fleet.entries)
    entry = context.fleet.entries[names[index % len(names)]]
    one = entry.caller(builders.key_of("k1"), timeout_s=60.0)
    headers = {HEADER: priority}
    prompt = f"{priority} {index} tokens={tokens}"
    return one.chat(MODEL, prompt, headers=headers)


def begin(context, count, tokens, priority):
    """Begin chats; return their futures."""
    return [
        context.pool.submit(ask, context, index, tokens, priority)
        for index in range(count)
    ]


@given("the engine is warm")
def step_warm(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(32)
    engine = context.fleet.endpoints["w0"]

    def warm():
        ask(context, 0, 3, "normal")
        counters = engine.ctl.call("counters")
        declared = context.scene.text.maps["endpoints"]["w0"]
        return counters["bears"] == declared["concurrency"]

    process.wait_for(warm, WARM_S, "the engine to be warm")


@when('{count:d} audits of {tokens:d} tokens are sent in the class "{name}"')
def step_audits(context, count, tokens, name):
    context.audits = begin(context, count, tokens, name)
    engine = context.fleet.endpoints["w0"]
    limit = context.scene.text.maps["endpoints"]["w0"]["concurrency"]
    process.wait_for(
        lambda: engine.ctl.call("counters")["in_flight"] >= limit - 1,
        WARM_S,
        "the audits to run",
    )


@when('{count:d} questions of {tokens:d} tokens follow in the class "{name}"')
def step_questions(context, count, tokens, name):
    context.questions = begin(context, count, tokens, name)


@then("each question is answered before any audit ends")
def step_questions_first(context):
    questions = [future.result() for future in context.questions]
    codes = [reply.status for reply in questions]
    assert codes == [200] * len(codes), codes
    audits = [future.result() for future in context.audits]
    first = min(reply.ended for reply in audits)
    late = [r.took_s for r in questions if r.ended > first]
    assert not late, f"{len(late)} questions waited, up to {max(late):.1f} s"


@then("each audit is answered whole")
def step_audits_whole(context):
    for future in context.audits:
        reply = future.result()
        assert reply.status == 200 and reply.done, reply.status
        assert len(reply.text.split()) == 1500, len(reply.text.split())
