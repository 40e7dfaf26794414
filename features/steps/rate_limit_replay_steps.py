"""Steps that replay limits of endpoints on the decisions of entries."""

from behave import given
from behave import then
from behave import when

from features import rate_limit_replay

PLAY_S = 40.0
WINDOW_S = 4.0
MAX_RATIO = 1.5
SLACK = 5
RATE = 20.0


@given(
    "{count:d} entries with heartbeats every {beat_s:f} s, "
    "{loss:g} of them lost"
)
def step_entries(context, count, beat_s, loss):
    context.replay = rate_limit_replay.Fleet(count, beat_s, loss)


@when(
    "callers send {rate:g} requests a second, and the endpoint names {limit:g}"
)
def step_send(context, rate, limit):
    context.limit = limit
    context.replay.run(0.0, PLAY_S, limit, rate)


@when("entries are frozen and restarted as an endpoint names {limit:g}")
def step_disrupted(context, limit):
    context.limit = limit
    fleet = context.replay
    fleet.run(0.0, 8.0, limit, RATE)
    fleet.frozen |= {0, 1}
    fleet.run(8.0, 12.0, limit, RATE)
    fleet.frozen.clear()
    fleet.restart(2)
    fleet.run(12.0, 16.0, limit, RATE)
    fleet.restart(3)
    fleet.run(16.0, PLAY_S, limit, RATE)


@when("an endpoint names {limit:g} for {seconds:g} s and then none")
def step_end(context, limit, seconds):
    context.replay.run(0.0, seconds, limit, RATE)
    context.now = seconds
    context.rate = RATE


@when(
    "an endpoint names {limit:g} for {seconds:g} s and is not asked for "
    "{idle_s:g} s"
)
def step_idle(context, limit, seconds, idle_s):
    context.limit = limit
    context.replay.run(0.0, seconds, limit, RATE)
    context.replay.run(seconds, seconds + idle_s, None, 0.0)
    context.now = seconds + idle_s
    context.rate = 0.0


@when("callers then send {rate:g} requests a second for {seconds:g} s")
def step_burst(context, rate, seconds):
    end = context.now + seconds
    context.replay.run(context.now, end, context.limit, rate)


@when("it names none when callers send {rate:g} requests a second again")
def step_none_again(context, rate):
    context.rate = rate


@when("entry {index:d} is restarted")
def step_restarted(context, index):
    context.replay.restart(index)


@when("entry {index:d} has an answer that names {limit} at {now:g} s")
def step_answer(context, index, limit, now):
    fleet = context.replay
    fleet.run(getattr(context, "now", 0.0), now, None, 0.0)
    fleet.entries[index].record_answer(
        rate_limit_replay.ENDPOINT,
        None if limit == "none" else float(limit),
        now,
    )
    context.now = now


@when("entry {index:d} is restarted at {now:g} s")
def step_restarted_at(context, index, now):
    context.replay.run(context.now, now, None, 0.0)
    context.replay.restart(index)
    context.replay.begun.clear()
    context.now = now


@then("at {now:g} s entry {index:d} knows no limit")
def step_unknown(context, now, index):
    context.replay.run(context.now, now, None, 0.0)
    assert not context.replay.begun[index], context.replay.begun


@then("{seconds:g} s later entry {index:d} knows the limit")
def step_known(context, seconds, index):
    _run_without_limit(context, seconds)
    known = context.replay.entries[index].limit(rate_limit_replay.ENDPOINT)
    assert known == context.limit, known


@then("each entry has begun to observe a limit once")
def step_begun_once(context):
    begun = context.replay.begun
    entries = range(len(context.replay.entries))
    assert all(begun[index] == 1 for index in entries), begun


@then("from {after_s:g} s on no 4 s have more requests than the limit allows")
def step_bound(context, after_s):
    allowed = MAX_RATIO * context.limit * WINDOW_S + SLACK
    most = context.replay.busiest(WINDOW_S, after_s)
    assert 0 < most <= allowed, (most, allowed)


@then("at least {share:g} of what the limit allows is sent")
def step_used(context, share):
    sent = len(context.replay.sent)
    assert sent >= share * context.limit * PLAY_S, sent


@then("{seconds:g} s later no entry holds requests back")
def step_free(context, seconds):
    _run_without_limit(context, seconds)
    for limits in context.replay.entries:
        assert limits.limit(rate_limit_replay.ENDPOINT) is None


def _run_without_limit(context, seconds):
    """Go on for some time as the endpoint names no limit."""
    end = context.now + seconds
    context.replay.run(context.now, end, None, context.rate)
    context.now = end
