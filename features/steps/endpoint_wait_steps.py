"""Steps about endpoints that turn requests away for a time."""

import concurrent.futures
import json
import time

from behave import then
from behave import when
import trio

from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel import exceptions
from features import notice_builders
from features.steps import leaving_steps

PLAIN = ("p1", "p2")
THREADS = 32
MARGIN_S = 0.1
TURNED_AWAY = "turned away"


@when('"{name}" answers {status:d} with "retry-after" {value}')
def step_status(context, name, status, value):
    reply = notice_builders.reply(status, retry_after=value.encode())
    leaving_steps.answer(context, name, reply)


@then('{seconds:g} s later requests go to "{names}" only')
def step_later(context, seconds, names):
    context.play.now += seconds
    leaving_steps.step_used(context, names)


@when('"{name}" is ejected as an outlier')
def step_ejected(context, name):
    play = context.play
    for _ in range(3):
        play.at_now(play.entry.record_outcome, name, False)
    detector = play.entry.outlier_detector
    assert detector.is_ejected(name, play.now)


@when("all endpoints have named a wait of {seconds} s")
def step_all(context, seconds):
    reply = notice_builders.reply(503, retry_after=seconds.encode())
    for name in context.play.endpoints:
        leaving_steps.answer(context, name, reply)


def wait_for_endpoint(context, left_s):
    """Return for how long a request waited, and its refusal or None."""
    play = context.play
    required = notice_builders.requirements(
        play.entry, play.now + left_s, deadline_s=left_s
    )

    async def main():
        try:
            await endpoint_selection.wait_for_endpoint(
                play.entry, required, set()
            )
        except exceptions.RefusedError as exc:
            return trio.current_time() - play.now, exc.refusal
        return trio.current_time() - play.now, None

    return leaving_steps.run_at(play.now, main)


@then(
    "a request with {left:g} s left is refused at once, to return in "
    "{seconds:g} s"
)
def step_refused_at_once(context, left, seconds):
    waited_s, refusal = wait_for_endpoint(context, left)
    assert waited_s < MARGIN_S and refusal.status == 503, (waited_s, refusal)
    assert abs(refusal.retry_after_s - seconds) < MARGIN_S, refusal


@then("a request with {left:g} s left is sent after {seconds:g} s")
def step_sent_after(context, left, seconds):
    waited_s, refusal = wait_for_endpoint(context, left)
    assert refusal is None, refusal
    assert abs(waited_s - seconds) < MARGIN_S, waited_s


@when(
    '"{name}" turns requests away, to return in {seconds:g} s, until it has '
    "done so once"
)
def step_turn_away(context, name, seconds):
    context.fleet.workers[name].call(
        "set", turn_away=f"{seconds:g}", turn_away_count=1
    )


@when(
    "all plain workers turn requests away, to return in {seconds:g} s, until "
    "each has"
)
def step_all_once(context, seconds):
    for name in PLAIN:
        step_turn_away(context, name, seconds)


@when("all plain workers turn requests away, to return in {seconds:g} s")
def step_all_away(context, seconds):
    for name in PLAIN:
        context.fleet.workers[name].call("set", turn_away=f"{seconds:g}")


def send_all(context, send, rate, seconds):
    began = time.monotonic()

    def one(at):
        time.sleep(max(0.0, at - time.monotonic()))
        return send()

    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        calls = [
            pool.submit(one, began + number / rate)
            for number in range(int(rate * seconds))
        ]
        context.answers = [call.result() for call in calls]


@when(
    'callers ask "{entry}" for "{path}" {rate:d} times a second for '
    "{seconds:d} s"
)
def step_ask(context, entry, path, rate, seconds):
    send_all(context, lambda: context.fleet.ask(entry, path), rate, seconds)


@when(
    'callers begin a stream at "{entry}" {rate:d} times a second for '
    "{seconds:d} s"
)
def step_stream(context, entry, rate, seconds):
    send_all(context, lambda: context.fleet.stream(entry), rate, seconds)


@then("all were answered with 200")
def step_all_answered(context):
    statuses = {answer.status for answer in context.answers}
    assert statuses == {200}, statuses


def turned_away_at(context, name):
    times = [
        event["at"]
        for event in context.fleet.history(name)
        if event["fault"] == TURNED_AWAY
    ]
    assert times, f"{name} turned no request away"
    return times[0]


def times_within(context, name, kind, begin, end):
    at = turned_away_at(context, name)
    return [
        event["at"] - at
        for event in context.fleet.history(name, kind)
        if begin <= event["at"] - at <= end
    ]


@then(
    '"{name}" got at most {count:d} requests between {begin:g} s and {end:g} '
    "s after it turned one away"
)
def step_at_most(context, name, count, begin, end):
    times = times_within(context, name, "request", begin, end)
    assert len(times) <= count, times


@then(
    '"{name}" got neither reports nor orders between {begin:g} s and {end:g} '
    "s after it"
)
def step_no_calls(context, name, begin, end):
    for kind in ("report", "order"):
        times = times_within(context, name, kind, begin, end)
        assert not times, (kind, times)


@then('"{name}" got requests again after that')
def step_again(context, name):
    assert times_within(context, name, "request", 3.0, 10.0)


@then('no worker counts as failing at "{entry}"')
def step_no_failure(context, entry):
    outcomes = [
        line["outcome"] for line in context.fleet.log(entry, "attempt")
    ]
    assert set(outcomes) <= {"ok", "not_run 503"}, outcomes


@when('a caller with {deadline:d} ms asks for "{path}"')
def step_caller(context, deadline, path):
    began = time.monotonic()
    context.answer = context.fleet.ask(
        "one", path, X_Request_Deadline=deadline
    )
    context.took_s = time.monotonic() - began


@when("{seconds:g} s has gone by")
def step_gone_by(context, seconds):
    time.sleep(seconds)


@then("it is refused within {seconds:g} s, to return in {low:g} to {high:g} s")
def step_refused(context, seconds, low, high):
    answer = context.answer
    assert answer.status == 503, answer
    assert json.loads(answer.body)["error"]["run"] == "not_run", answer
    assert context.took_s < seconds, context.took_s
    assert low <= float(answer.headers["retry-after"]) <= high, answer.headers


@then("it is answered with 200 after {low:g} to {high:g} s")
def step_answered(context, low, high):
    assert context.answer.status == 200, context.answer
    assert low <= context.took_s <= high, context.took_s


@then("the plain workers got at most {count:d} requests each")
def step_few(context, count):
    for name in PLAIN:
        times = [event["at"] for event in context.fleet.history(name)]
        assert len(times) <= count, (name, times)
