"""Steps that replay queries of death on the decisions of entries."""

from behave import given
from behave import then
from behave import when

from dogwoodwheel.entry import query_of_death
from features import query_of_death_replay

FREE_CRASHES = 5
FREE_LOOK_UP_CRASHES = 3
BEAT_S = 0.25


@given(
    "{count:d} entries that send heartbeats every {beat_s:f} s, "
    "{loss:g} of them lost"
)
def step_entries(context, count, beat_s, loss):
    context.replay = query_of_death_replay.Fleet(count, beat_s, loss)
    context.changes = []


@given("{count:d} engines with {rate:g} sound requests a second")
def step_engines(context, count, rate):
    context.play = query_of_death_replay.Play(context.replay, count, rate, 0)


@given("{count:d} endpoints with {rate:g} sound look-ups a second")
def step_endpoints(context, count, rate):
    context.play = query_of_death_replay.LookUpPlay(
        context.replay, count, rate, 0
    )


@given(
    "entry {frozen:d} is frozen from {begin:g} s to {end:g} s, and entry "
    "{restarted:d} is restarted at {at:g} s"
)
def step_disrupted(context, frozen, begin, end, restarted, at):
    fleet = context.replay
    context.changes = [
        (begin, lambda: fleet.frozen.add(frozen)),
        (end, lambda: fleet.frozen.discard(frozen)),
        (at, lambda: fleet.restart(restarted)),
    ]


@when("{rate:g} requests a second with the section come for {seconds:d} s")
@when("one look-up comes {rate:g} times a second for {seconds:d} s")
def step_requests(context, rate, seconds):
    play = context.play
    play.rates[query_of_death_replay.POISON] = rate
    now = 0.0
    for at, change in sorted(context.changes, key=lambda item: item[0]):
        play.run(now, at)
        change()
        now = at
    # The section ends before its quarantine does.
    play.run(now, seconds - 2.0)
    context.end = seconds - 2.0


@then(
    "at most {count:d} of them are sent later than {seconds:d} s after "
    "the fifth crash"
)
def step_late(context, count, seconds):
    assert context.play.crashes
    check_late(context.play, FREE_CRASHES, count, seconds)


def check_late(play, free_crashes, count, seconds):
    """Check how many requests are sent too late after the last free crash."""
    crashes = play.crashes
    if len(crashes) >= free_crashes:
        bound = crashes[free_crashes - 1] + seconds
        late = [at for at in play.poison_sent if at > bound]
        assert len(late) <= count, (crashes, late)


@then("at most {count:d} of them are sent later than {s:d} s after the third")
def step_late_look_ups(context, count, s):
    assert len(context.play.crashes) >= 2, context.play.crashes
    check_late(context.play, FREE_LOOK_UP_CRASHES, count, s)


@then("fewer than {share:g} of the sound requests are refused")
def step_share(context, share):
    play = context.play
    assert play.refused_sound < share * play.sound, (
        play.refused_sound,
        play.sound,
    )


@then("{seconds:d} s after the last crash no sound request is refused")
def step_sound_later(context, seconds):
    play = context.play
    play.rates[query_of_death_replay.POISON] = 0.0
    before = play.refused_sound
    assert play.crashes[-1] + seconds < context.end
    play.run(context.end, context.end + seconds)
    assert play.refused_sound == before, play.refused_sound - before


@then("from {seconds:g} s on none of them is sent")
def step_none_sent(context, seconds):
    late = [at for at in context.play.poison_sent if at >= seconds]
    assert context.play.crashes and not late, late


def detector(context):
    """Return the scenario's detector."""
    if not hasattr(context, "detector"):
        context.detector = query_of_death.QueryOfDeathDetector()
    return context.detector


@given('the section "{section}" with an answer at {at:g} s')
@given('the request "{section}" with an answer at {at:g} s')
@when('an answer to the section "{section}" comes at {at:g} s')
@when('an answer to the request "{section}" comes at {at:g} s')
def step_answer(context, section, at):
    detector(context).record_sound((section,), at)


@when("it crashes engines at {first:g} s and at {second:g} s")
def step_it_crashes(context, first, second):
    step_crashes(context, "a", first, second)


@when(
    'the section "{prompt}" crashes engines at {first:g} s and at {last:g} s'
)
@when('the prompt "{prompt}" crashes engines at {first:g} s and at {last:g} s')
@when(
    'the request "{prompt}" crashes engines at {first:g} s and at {last:g} s'
)
def step_crashes(context, prompt, first, last):
    for at in (first, last):
        step_crash(context, prompt, at)


@when('the section "{prompt}" crashes an engine at {at:g} s')
@when('the prompt "{prompt}" crashes an engine at {at:g} s')
@when('the request "{prompt}" crashes an engine at {at:g} s')
def step_crash(context, prompt, at):
    sections = tuple(prompt.split("/"))
    detector(context).record_crash(f"engine-{at}", sections, True, at)


@when('endpoints crash at {first:g} s and at {last:g} s while "{names}" runs')
@when('endpoints crash at {first:g} s and at {last:g} s while "{names}" run')
def step_crashes_beside(context, first, last, names):
    for at in (first, last):
        for name in names.split():
            detector(context).record_crash(
                f"engine-{at}", tuple(name.split("/")), False, at
            )


@when("a peer reports a crash at {at:g} s while a request without parts ran")
def step_no_parts(context, at):
    crash = ("engine-1", 0.0, ((1.0, ()),), (1,))
    detector(context).record_peer_report((crash,), {}, {}, at)


def peer_of(context, now):
    """Return the detector of a peer that the scenario's detector told."""
    peer = query_of_death.QueryOfDeathDetector()
    peer.record_peer_report(*detector(context).report(now), now)
    return peer


@when("all that a peer tells of it until {end:g} s is read at {now:g} s")
def step_backlog(context, end, now):
    told_at = 2.1
    peer = peer_of(context, told_at)
    while told_at < end:
        report = peer.report(told_at)
        detector(context).record_peer_report(*report, now)
        told_at += BEAT_S


@when("a peer whose clock is {lag_s:g} s behind tells of it at {now:g} s")
def step_lagging(context, lag_s, now):
    report = peer_of(context, 2.1).report(now - lag_s)
    detector(context).record_peer_report(*report, now)


@when("an entry starts and is told of it at {now:g} s")
def step_started(context, now):
    context.detector = peer_of(context, now)


@when("{count:d} engines crash at once, each with {size:d} requests in flight")
def step_mass_crash(context, count, size):
    for engine in range(count):
        for number in range(size):
            sections = ("first", f"second-{(engine * size + number) % 46}")
            detector(context).record_crash(
                f"engine-{engine}", sections, False, 1.0
            )
    # The requests that were broken off are answered elsewhere.
    for number in range(46):
        detector(context).record_sound(("first", f"second-{number}"), 1.4)


@then('"{section}" is quarantined at {now:g} s')
def step_quarantined(context, section, now):
    detector(context).expire(now)
    assert detector(context).find_quarantine((section,), now)


@then('"{section}" is not quarantined at {now:g} s')
def step_not_quarantined(context, section, now):
    assert detector(context).find_quarantine((section,), now) is None


@then("nothing is quarantined at {now:g} s")
def step_nothing(context, now):
    detector(context).expire(now)
    assert not detector(context).quarantines, detector(context).quarantines
