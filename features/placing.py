"""What the steps about placement ask of a fleet."""

import concurrent.futures

from dogwoodwheel.membership import assignment
from dogwoodwheel.membership import view
from features import builders

__all__ = [
    "CUSTOMER",
    "DECIDE_S",
    "OK",
    "SERVICE",
    "TAKE_OVER_S",
    "call",
    "decided",
    "load_all",
    "loads",
    "others",
    "owner_of",
    "rows",
]

SERVICE = "lm"
CUSTOMER = "nursery"
OK = 200
DECIDE_S = 10.0
TAKE_OVER_S = 20.0


def call(context, entry, model, deadline_s=20.0, **fields):
    """Return the reply to a chat request at an entry."""
    key = builders.key_of(CUSTOMER)
    headers = {"X-Deadline-Ms": str(int(deadline_s * 1000))}
    client = context.fleet.entries[entry].caller(key)
    return client.chat(model, headers=headers, **fields)


def rows(context, table):
    """Return the values of a table's rows by key."""
    found = context.fleet.dump().get(table, {})
    return {key: row["value"] for key, row in found.items()}


def owner_of(context, endpoint):
    """Return the name and the epoch of an endpoint's owner."""
    count = rows(context, "partitions")["free"]["count"]
    part = str(view.partition_of(endpoint, count))
    for name, entry in rows(context, "entries").items():
        if part in entry["holdings"]:
            return name, entry["holdings"][part][0]
    raise AssertionError(f"{endpoint} has no owner")


def is_balanced(context):
    """Tell whether each engine has the owner that it keeps."""
    live = sorted(context.fleet.entries)
    count = rows(context, "partitions")["free"]["count"]
    return all(
        owner_of(context, name)[0]
        == assignment.assigned_entry(
            assignment.HOLDING, view.partition_of(name, count), live
        )
        for name in context.fleet.endpoints
    )


def decided(context, model):
    """Return the endpoints decided for a model."""
    return rows(context, "models").get(model, {}).get("endpoints", [])


def others(context, name):
    """Return the names of all entries but one."""
    return [entry for entry in context.fleet.entries if entry != name]


def load_all(context, requests):
    """Begin requests, each (entry, model), and keep their futures."""
    context.pool = concurrent.futures.ThreadPoolExecutor(32)
    context.futures = [
        context.pool.submit(call, context, entry, model)
        for entry, model in requests
    ]


def loads(context, endpoint):
    """Return the orders to load that an engine got, taken or not."""
    events = context.fleet.endpoints[endpoint].events("order")
    return [event for event in events if event["order"]["kind"] == "load"]
