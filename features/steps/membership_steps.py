"""Steps about what the entries hold, by the table and by themselves."""

from behave import then
from behave import when

from features.standins import caller
from features.standins import process

SETTLE_S = 30.0


@when("replies to the next {count:d} writes are lost")
def step_lose_replies(context, count):
    context.fleet.platform.call(
        "outage", mode="lose", services=["table"], count=count
    )


@when("the next {count:d} writes take effect {seconds:d} s late")
def step_late_writes(context, count, seconds):
    context.fleet.platform.call(
        "outage",
        mode="late",
        services=["table"],
        count=count,
        delay_s=seconds,
    )


@when('entry "{name}" is stopped')
def step_stop(context, name):
    codes = context.fleet.entries[name].stop()
    assert codes == [0] * len(codes), codes


def held(context, kind):
    """Return the partitions of each row of the table."""
    table = context.fleet.dump()["entries"]
    return {name: set(row["value"][kind]) for name, row in table.items()}


def live(context):
    """Return the entries whose processes run."""
    entries = context.fleet.entries
    return {name for name, entry in entries.items() if entry.running()}


@then("every partition stands in one row of a live entry")
def step_one_row(context):
    count = context.fleet.dump()["partitions"]["free"]["value"]["count"]
    process.wait_for(
        lambda: all(
            stands_once(context, kind, count)
            for kind in ("shares", "holdings")
        ),
        SETTLE_S,
        "every partition at a live entry",
    )


def stands_once(context, kind, count):
    """Tell whether every partition is held, once, by a live entry."""
    rows = held(context, kind)
    parts = [part for parts in rows.values() for part in parts]
    assert len(parts) == len(set(parts)), f"{kind} stand twice: {rows}"
    dead = [name for name in set(rows) - live(context) if rows[name]]
    return len(parts) == count and not dead


@then("each entry acts on just what its row names")
def step_acts(context):
    for name in live(context):
        process.wait_for(
            lambda: acts_as_named(context, name),
            SETTLE_S,
            f"{name} to act on what its row names",
        )


def acts_as_named(context, name):
    """Compare an entry's own status with its row."""
    entry = context.fleet.entries[name]
    status = caller.Caller(entry.admin).get("/status").json
    shares = {int(part) for part in held(context, "shares")[name]}
    return set(status["shares_held"]) == shares


@then('within {seconds:d} s the others hold the endpoints of "{name}"')
def step_taken(context, seconds, name):
    process.wait_for(
        lambda: not held(context, "holdings")[name],
        seconds,
        f"the endpoints of {name} to pass on",
    )


@then('the table still names the shares of "{name}"')
def step_shares_stay(context, name):
    assert held(context, "shares")[name], "the shares passed on unproved"


@when('another VM starts with the name "{name}"')
def step_same_name(context, name):
    other = context.fleet.add_entry(f"{name}-copy")
    other.name = name
    context.fleet.start_entry(other)
    context.other = other


@then("it ends with an error that names the remedy")
def step_ends(context):
    code = context.other.coordinator.finish()
    tail = context.other.coordinator.tail()
    assert code == 1, (code, tail)
    assert "give this VM another name" in tail, tail
