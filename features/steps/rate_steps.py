"""Steps about customers' rates, judged by the plain service."""

import itertools
import time

from behave import given
from behave import then
from behave import when

from features import builders
from features import scenes
from features.standins import process

CALL = ("POST", "/services/shop/calls")
SHARES_S = 30.0
TOO_MANY = 429


@given(
    'the customer "{name}" with {rate:d} tokens a second '
    "and a burst of {burst:d}"
)
def step_customer(context, name, rate, burst):
    context.rate = rate
    context.burst = burst
    context.scene.text.customer(name, rate=rate, burst=burst)


def load(context, name, rate, entries):
    """Begin calls that count one token each."""
    callers = [
        context.fleet.entries[e].caller(builders.key_of(name)) for e in entries
    ]
    # An open loop: what one entry holds up does not slow the others.
    turns = itertools.cycle(callers)

    def send(index):
        return next(turns).request(*CALL, {"order": str(index)})

    context.began = time.monotonic()
    context.load = scenes.Load(send, rate).start()
    context.add_cleanup(context.load.stop)


def end(context):
    """End the calls and keep their replies."""
    context.replies = context.load.stop()
    context.lasted_s = time.monotonic() - context.began


@when(
    '"{name}" sends {rate:d} calls a second to all entries '
    "for {seconds:d} s"
)
def step_send_all(context, name, rate, seconds):
    load(context, name, rate, list(context.fleet.entries))
    context.load.wait(seconds)
    end(context)


@when(
    '"{name}" sends {rate:d} calls a second to entry "{entry}" '
    "for {seconds:d} s"
)
def step_send_one(context, name, rate, entry, seconds):
    load(context, name, rate, [entry])
    context.load.wait(seconds)
    end(context)


@when('"{name}" begins to send {rate:d} calls a second to all entries')
def step_begin(context, name, rate):
    load(context, name, rate, list(context.fleet.entries))


@when('"{name}" ends')
def step_end(context, name):
    end(context)


@when('entry "{name}" is paused for {seconds:d} s')
def step_pause_for(context, name, seconds):
    context.fleet.entries[name].freeze()
    context.load.wait(seconds)
    context.fleet.entries[name].resume()


@when('entry "{name}" is cut off from its peers for {seconds:d} s')
def step_cut_for(context, name, seconds):
    context.scene.set_peers(name, "cut")
    context.load.wait(seconds)
    context.scene.set_peers(name, "pass")


@when("the platform is out for {seconds:d} s")
def step_out_for(context, seconds):
    context.fleet.platform.call("outage", mode="hang")
    context.load.wait(seconds)


@when('the others hold the shares of "{name}"')
def step_shares_passed(context, name):
    process.wait_for(
        lambda: not shares_of(context, name),
        SHARES_S,
        f"the shares of {name} to pass on",
    )


def shares_of(context, name):
    """Return the shares that an entry holds by the table."""
    row = context.fleet.dump()["entries"].get(name)
    return row["value"]["shares"] if row else {}


def used_at(context):
    """Return when each token was used, by the service's own history."""
    events = context.fleet.endpoints["s0"].events("request")
    return [e["effect"] for e in events if e["effect"] is not None]


@then('over every window "{name}" used at most its rate and burst')
def step_held(context, name):
    times = used_at(context)
    assert times, "nothing was used"
    # A call is charged at its entry before the service runs it.
    slack_s = max(
        (r.took_s for r in context.replies if r.status == 200), default=0
    )
    excess = scenes.held_under(times, context.rate, context.burst, slack_s)
    assert excess <= 0, f"{excess:.1f} tokens above the bound"


@then('"{name}" used at least {part:f} of what it may')
def step_used(context, name, part):
    allowed = context.burst + context.rate * context.lasted_s
    used = len(used_at(context))
    assert used >= part * allowed, f"{used} of {allowed:.0f}"


@then("every refusal said not run and when to come again")
def step_refusals(context):
    refused = [r for r in context.replies if r.status != 200]
    assert refused, "nothing was refused"
    for reply in refused:
        assert reply.status == TOO_MANY, (reply.status, reply.body)
        assert reply.run == "not_run", reply.body
        assert int(reply.headers["retry-after"]) >= 1, reply.headers


@then('no call of "{name}" is refused')
def step_none_refused(context, name):
    bad = [(r.status, r.body[:200]) for r in context.replies]
    bad = [item for item in bad if item[0] != 200]
    assert not bad, (len(bad), len(context.replies), bad[:3])
