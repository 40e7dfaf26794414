"""Steps that replay days at the worst load against the leader's decisions."""

from behave import then
from behave import when

from features import placement_replay

END_S = 40.0
SEED = 1


@when("a day of the {fleet} fleet is replayed")
def step_replay(context, fleet):
    fleets = {
        "small": placement_replay.small_fleet,
        "large": placement_replay.large_fleet,
    }
    context.day = fleets[fleet](SEED).run(END_S)


@when(
    "a day of the large fleet is replayed, in which {count:d} engines are "
    "lost and the requests for busy models double"
)
def step_lost(context, count):
    lost = [(f"e{n:02}", 5.0 + 0.3 * n) for n in range(count)]
    context.day = placement_replay.large_fleet(
        SEED, burst=(9.0, 15.0, 2.0), lost=lost
    ).run(END_S)


@then(
    "at most {least:d} and {percent:d} in 100 of the models asked for "
    "throughout are never served"
)
def step_starved(context, least, percent):
    starved, asked = context.day.starved()
    assert len(asked) > 20, asked
    assert len(starved) <= least + percent * len(asked) / 100, starved


@then("at least {share:g} of the worth is earned")
def step_worth(context, share):
    assert context.day.share_of_worth() >= share, context.day.share_of_worth()
