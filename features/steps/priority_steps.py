"""Steps about priority classes inside a customer."""

import concurrent.futures

from behave import given
from behave import then
from behave import when

from features import builders
from features.standins import process

MODEL = "frames"
PATIENT_S = 60
WARM_S = 30.0


def ask(context, index, tokens, priority, deadline_s=PATIENT_S):
    """Return the reply to a chat, sent to the entries in turn."""
    names = sorted(context.fleet.entries)
    entry = context.fleet.entries[names[index % len(names)]]
    one = entry.caller(builders.key_of("k1"), timeout_s=90.0)
    deadline_ms = str(deadline_s * 1000)
    headers = {"X-Priority": priority, "X-Deadline-Ms": deadline_ms}
    prompt = f"{priority} {index} tokens={tokens}"
    return one.chat(MODEL, prompt, headers=headers)


def begin(context, count, tokens, priority, deadline_s=PATIENT_S):
    """Begin chats; return their futures."""
    return [
        context.pool.submit(ask, context, index, tokens, priority, deadline_s)
        for index in range(count)
    ]


@given("the engine is warm")
def step_warm(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(64)
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


@when(
    '{count:d} questions of {tokens:d} tokens follow in the class "{name}" '
    "within {seconds:d} s"
)
def step_questions(context, count, tokens, name, seconds):
    context.questions = begin(context, count, tokens, name, seconds)


@when("{count:d} of the audits have ended")
def step_audits_ended(context, count):
    process.wait_for(
        lambda: sum(future.done() for future in context.audits) >= count,
        PATIENT_S,
        f"{count} audits to end",
    )


@then("each question is answered")
def step_answered(context):
    replies = [future.result() for future in context.questions]
    bad = [(r.status, r.body[:200]) for r in replies if r.status != 200]
    assert not bad, bad


@then("each question is answered before any audit ends")
def step_questions_first(context):
    step_answered(context)
    questions = [future.result() for future in context.questions]
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
