"""Steps about calls that must not be repeated."""

import collections
import dataclasses
import itertools
import threading

from behave import given
from behave import then
from behave import when

from features import builders
from features import request_fleet
from features.standins import caller
from features.standins import process

SERVICES = ("s0", "s1")
PATH = "/services/orders/orders"
PLACE = "POST /orders "
OK = 200
SETTLE_S = 20.0
RETRY_MS = 4000
OUTAGES = {
    "refuses": {"mode": "refuse"},
    "hangs": {"mode": "hang"},
    "loses replies": {"mode": "lose"},
    "takes writes late": {"mode": "late", "delay_s": 2.0},
}


@dataclasses.dataclass
class Try:
    """One try of an order, and how often it had run when refused."""

    order: str
    key: str
    reply: caller.Reply
    ran: int


def effects(context, order):
    """Return how often an order has run, at all services."""
    return sum(
        context.fleet.endpoints[name]
        .ctl.call("effects")["effects"]
        .get(PLACE + order, 0)
        for name in SERVICES
    )


def send(context, entry, order, key="", allowed_ms=2000):
    """Send an order and keep its `Try`."""
    who = context.fleet.entries[entry].caller(
        builders.key_of(request_fleet.CUSTOMER)
    )
    headers = {"X-Deadline-Ms": str(allowed_ms)}
    if key:
        headers["Idempotency-Key"] = key
    reply = who.request("POST", PATH, {"order": order}, headers)
    one = Try(order, key, reply, effects(context, order))
    context.tries.append(one)
    return one


def send_all(context, label, count=3, allowed_ms=1000):
    """Send orders with a key and without one, at all entries in turn."""
    entries = itertools.cycle(context.fleet.entries)
    calls = []
    for index in range(count):
        for key in ("", f"key-{label}-{index}"):
            order = f"{label}-{index}{'-keyed' if key else ''}"
            args = (context, next(entries), order, key, allowed_ms)
            calls.append(lambda args=args: send(*args))
    caller.parallel(calls)


@given("orders pass a proxy")
def step_proxy(context):
    for entry in context.fleet.entries:
        for service in SERVICES:
            context.fleet.link(entry, service)


@when("orders meet each of these faults of a service")
def step_service_faults(context):
    context.tries = []
    for row in context.table:
        for name in SERVICES:
            ctl = context.fleet.endpoints[name].ctl
            ctl.call("clear_faults")
            ctl.call("faults", kinds=[row["fault"]] * 2, delay_s=0.4)
        send_all(context, row["fault"])
    for name in SERVICES:
        context.fleet.endpoints[name].ctl.call("clear_faults")


@when("orders meet each of these faults of the network")
def step_network_faults(context):
    context.tries = []
    for row in context.table:
        set_links(context, row["fault"])
        send_all(context, row["fault"].replace(" ", "-"))
        set_links(context, "pass")
        wait_for_services(context)


def wait_for_services(context):
    """Wait until the services are let back in at each entry."""
    for entry in context.fleet.entries.values():
        process.wait_for(
            lambda: entry.caller().get("/services/orders/stock").status == OK,
            SETTLE_S,
            f"a call at {entry.name}",
        )


def set_links(context, fault):
    """Set the links between entries and services."""
    setting = {"mode": fault, "direction": "down", "after_bytes": None}
    if fault == "cut reply":
        setting.update(mode="pass", after_bytes=10)
    for entry in context.fleet.entries:
        for service in SERVICES:
            context.fleet.fault(entry, service, **setting)


@when("each order with a key is tried again at another entry")
def step_again(context):
    context.last = []
    running = [
        name
        for name, entry in context.fleet.entries.items()
        if entry.running()
    ]
    for one in list(context.tries):
        if one.key:
            entry = (
                running[-1] if one.order.endswith("0-keyed") else running[0]
            )
            last = send(context, entry, one.order, one.key, RETRY_MS)
            context.last.append(last)


@when("each of {count:d} keys comes {times:d} times at once to all entries")
def step_same_key(context, count, times):
    context.tries = []
    for name in SERVICES:
        context.fleet.endpoints[name].ctl.call("set", delay_s=0.2)
    entries = itertools.cycle(context.fleet.entries)
    caller.parallel(
        lambda i=i, entry=next(entries): send(
            context, entry, f"same-{i}", f"same-{i}", RETRY_MS
        )
        for i in list(range(count)) * times
    )


@when("a key comes again with another order")
def step_other_order(context):
    context.tries = []
    assert send(context, "e0", "one", "k").reply.status == OK
    context.other = send(context, "e0", "two", "k")


@when("an entry is killed while its orders run")
def step_kill_entry(context):
    context.tries = []
    for name in SERVICES:
        ctl = context.fleet.endpoints[name].ctl
        ctl.call("faults", kinds=["late"] * 4, delay_s=1.5)
    threads = [
        threading.Thread(
            target=send, args=(context, "e0", f"killed-{i}", f"killed-{i}")
        )
        for i in range(4)
    ]
    for thread in threads:
        thread.start()
    process.wait_for(
        lambda: sum(effects(context, f"killed-{i}") for i in range(4)) >= 2,
        SETTLE_S,
        "orders that ran",
    )
    context.fleet.entries["e0"].kill()
    for thread in threads:
        thread.join()
    for name in SERVICES:
        context.fleet.endpoints[name].ctl.call("clear_faults")


@when("orders come while the platform shows old copies")
def step_old_copies(context):
    context.tries = []
    context.fleet.platform.call("stale", count=200, table="once")
    send_all(context, "stale", count=6, allowed_ms=RETRY_MS)
    context.fleet.platform.call("stale", count=0, table="once")


@when("orders come while the platform {fault}")
def step_outage(context, fault):
    context.tries = []
    context.fleet.platform.call("outage", **OUTAGES[fault])
    send_all(context, fault.replace(" ", "-"), count=6)
    context.fleet.platform.call("outage", mode="off")


@then("no order ran twice")
def step_no_order_twice(context):
    ran = collections.Counter()
    for name in SERVICES:
        ctl = context.fleet.endpoints[name].ctl
        ran.update(ctl.call("effects")["effects"])
    orders = {k: n for k, n in ran.items() if k.startswith(PLACE)}
    twice = {order: count for order, count in orders.items() if count > 1}
    assert orders and not twice, twice


@then("each answer and each refusal of an order is true")
def step_true(context):
    for one in context.tries:
        reply = one.reply
        if reply.status == OK:
            assert effects(context, one.order) == 1, one
        else:
            assert reply.run in ("not_run", "unknown"), one
        if reply.run == "not_run":
            # Judged when it was said: a later try may run it.
            assert one.ran == 0, one


@then("some orders ran although no answer came")
def step_some_ran(context):
    lost = [t for t in context.tries if t.reply.status != OK and t.ran]
    assert lost, [t.reply.body for t in context.tries]


@then("all tries of a key got one answer")
def step_one_answer(context):
    bodies = collections.defaultdict(set)
    for one in context.tries:
        assert one.reply.status == OK, one
        bodies[one.key].add(one.reply.body)
    assert all(len(found) == 1 for found in bodies.values()), bodies


@then("each order with a key was answered in the end")
def step_answered_in_the_end(context):
    failed = [one for one in context.last if one.reply.status != OK]
    assert context.last and not failed, failed


@then("the other order is refused and did not run")
def step_other_refused(context):
    assert context.other.reply.status == 422, context.other
    assert effects(context, "two") == 0
    step_no_order_twice(context)
