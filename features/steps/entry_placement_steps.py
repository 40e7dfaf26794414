"""Steps that replay demand for models against the planner."""

import dataclasses
import types


from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel.entry import adapter_planner
from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import endpoint_waits
from dogwoodwheel.entry import engine_state
from dogwoodwheel.entry import fleet_state
from dogwoodwheel.entry import leader
from dogwoodwheel.entry import order_sender
from dogwoodwheel.entry import planner
from dogwoodwheel.entry import rates
from dogwoodwheel import exceptions
from features import entry_builders


@given('engines "{a}" with "{held_a}" and "{b}" with "{held_b}"')
@given('engines "{a}" with "" and "{b}" with ""')
def step_engines(context, a, b, held_a="", held_b=""):
    context.spec = entry_builders.engine_spec()
    context.views = {
        name: entry_builders.engine_view(name, held.split())
        for name, held in ((a, held_a), (b, held_b))
    }
    context.rates = {}
    context.waiting = {}
    context.unserved = {}
    context.store_loads = 2
    context.was_held = set()


def change(context, name, **fields):
    context.views[name] = dataclasses.replace(context.views[name], **fields)


@given('engine "{name}" has "{models}" on its disk')
def step_disk(context, name, models):
    change(context, name, disk_weights=frozenset(models.split()))


@given("all engines have all models on their disks")
def step_disks(context):
    for name in context.views:
        change(context, name, disk_weights=frozenset(context.spec.models))


@given('requests are in flight for "{held}" at "{name}"')
def step_flying(context, held, name):
    change(context, name, in_flight={held: 2})


@given('engine "{name}" is busy')
def step_busy(context, name):
    change(context, name, busy=True)


@given('{count:d} requests for "{name}" were not served')
def step_unserved(context, count, name):
    context.unserved[name] = count


@given('engine "{name}" fails its requests')
def step_fails(context, name):
    change(context, name, failing=True)


@when('{count:d} request waits for "{name}"')
def step_wait(context, count, name):
    context.waiting[name] = count


@when('{count:d} request waits for each of "{names}"')
def step_wait_each(context, count, names):
    for name in names.split():
        context.waiting[name] = count


@when('"{name}" is asked for {rate:d} times a second')
def step_rate(context, name, rate):
    context.rates[name] = float(rate)


@when("nothing is asked for")
def step_nothing(context):
    context.rates = {}


@when("{count:d} load from the weight store may begin")
def step_store_loads(context, count):
    context.store_loads = count


@then('the plan loads "{name}"')
def step_plan_loads(context, name):
    assert [step.model for step in plan(context)] == [name], plan(context)


@when("no load may begin")
def step_ceiling(context):
    context.store_loads = 0


def plan(context):
    demand = planner.Demand(
        context.rates, context.waiting, unserved=context.unserved
    )
    return planner.plan(
        context.spec,
        list(context.views.values()),
        demand,
        context.store_loads,
    )


def carry_out(context, step):
    """Carry out the orders of a step as an engine does."""
    view = context.views[step.endpoint]
    held = dict(view.models)
    for order in step.orders:
        if order.load:
            held[order.model] = datatypes.LoadedModel(order.model)
            size_mb = sum(context.spec.models[m].size_mb for m in held)
            assert size_mb <= context.spec.memory_mb, held
        else:
            del held[order.model]
    change(
        context,
        step.endpoint,
        models=held,
        disk_weights=view.disk_weights | {step.model},
    )


def play(context, rounds):
    """Carry out the plans of some rounds."""
    steps = []
    for _ in range(rounds):
        for step in plan(context):
            carry_out(context, step)
            steps.append(step)
        for view in context.views.values():
            context.was_held |= set(view.models)
        for name in context.was_held:
            context.waiting.pop(name, None)
    return steps


@then('the plan makes room on "{name}" for "{wanted}"')
def step_room(context, name, wanted):
    steps = plan(context)
    assert [step.endpoint for step in steps] == [name], steps
    assert [order.load for order in steps[0].orders] == [False, True]
    play(context, 1)
    assert wanted in context.views[name].models


@then('the plan unloads a model other than "{kept}" at "{name}"')
def step_unload(context, kept, name):
    steps = plan(context)
    assert [step.endpoint for step in steps] == [name], steps
    unloaded = [o.model for o in steps[0].orders if not o.load]
    assert unloaded and kept not in unloaded, steps


@then('within {rounds:d} rounds "{name}" is held by {count:d} engines')
def step_held_by(context, rounds, name, count):
    play(context, rounds)
    held = sum(name in view.models for view in context.views.values())
    assert held >= count, context.views


@then("nothing is unloaded")
def step_no_unload(context):
    steps = play(context, 6)
    assert all(len(step.orders) == 1 for step in steps), steps


@then('"{one}" and "{two}" are loaded from the store')
def step_copies(context, one, two):
    play(context, 6)
    assert {one, two} <= context.was_held, context.was_held


@then('within {rounds:d} rounds each of "{names}" was held')
def step_each_held(context, rounds, names):
    play(context, rounds)
    assert set(names.split()) <= context.was_held, context.was_held


@then("the plan loads nothing")
def step_no_load(context):
    assert not plan(context)


def adapter_orders(context):
    reports = {
        name: datatypes.EngineReport(view.models, view.busy, 0)
        for name, view in context.views.items()
    }
    demand = planner.Demand({}, context.waiting)
    return adapter_planner.plan(
        context.spec, list(context.views.values()), demand, reports, {}
    )


@then("one adapter order is given")
def step_one_adapter(context):
    orders = adapter_orders(context)
    assert len(orders) == 1 and orders[0].adapter == "a1", orders


@when('engine "{name}" holds the adapter "{adapter}"')
def step_adapter(context, name, adapter):
    held = dict(context.views[name].models)
    held["m0"] = datatypes.LoadedModel("m0", frozenset([adapter]))
    change(context, name, models=held)


@then("no adapter order is given")
def step_no_adapter(context):
    assert not adapter_orders(context)


@when("two entries count requests and one of them starts anew")
def step_rates(context):
    context.followed = rates.RequestRates()
    first, second = 0, 100
    for n in range(200):
        now = n * 0.25
        first += 1
        second += 1
        if n == 100:
            second = 0
        key = ("two-b" if n >= 100 else "two-a", "m0")
        totals = {("one", "m0"): first, key: second}
        context.followed.update(totals, now)


@then("the rate is that of both")
def step_both(context):
    rate = context.followed.short_term_rates()["m0"]
    assert 7.5 < rate < 8.5, rate


@given('a leader that had the load of "{name}" taken at an engine with "{at}"')
def step_leader(context, name, at):
    components = types.SimpleNamespace(
        fleet_state=types.SimpleNamespace(
            holdings={}, update_holdings=lambda *_: None
        ),
        heartbeats=types.SimpleNamespace(send_soon=lambda to_all=True: None),
    )
    context.leader = leader.Leader(components, None, None)
    held = {at: datatypes.LoadedModel(at)}
    context.engine = engine_state.EngineState(
        entry_builders.endpoint(),
        report=datatypes.EngineReport(held, False, 0),
        orders_accepted=1,
        last_order_at=10.0,
        loading_model=name,
    )
    context.at = 10.3


def take(context, at, accepted):
    held = {"m0": datatypes.LoadedModel("m0")}
    report = datatypes.EngineReport(held, False, accepted)
    context.leader._apply_report("i-1", context.engine, report, at)


@when('a report says that nothing goes on and lists only "{name}"')
def step_lacking(context, name):
    take(context, context.at, 1)


@when("such a report comes {s:d} s later")
def step_later(context, s):
    take(context, context.at + s, 1)


@when("a report shows one order less than were taken")
def step_older(context):
    take(context, context.at, 0)


@then('the engine counts as busy with "{name}"')
def step_counts(context, name):
    assert context.engine.loading_model == name
    assert context.engine.orders_accepted == 1


@then("the engine is free for another order")
def step_free(context):
    assert not context.engine.loading_model
    assert context.engine.can_accept_order(context.at + 2)


class Client:
    """A client of an engine that carries out adapter orders at once.

    An unload that nothing has to wait for is answered as if it held.
    """

    def __init__(self):
        self.expected = []

    async def send_order(self, endpoint, order, token, holder, accepted):
        self.expected.append(accepted)
        return order.load


class BusyClient:
    """A client of an engine that is carrying out another order."""

    async def send_order(self, endpoint, order, token, holder, accepted):
        raise exceptions.BusyError("another order is under way")


@when(
    'the engine refuses an order for adapter "{adapter}" of "{name}" as busy'
)
def step_refused_as_busy(context, adapter, name):
    orders = order_sender.OrderSender(
        types.SimpleNamespace(
            settings=types.SimpleNamespace(name="entry-1"),
            fleet_state=fleet_state.FleetState(),
            endpoint_waits=endpoint_waits.EndpointWaits(),
            metrics=types.SimpleNamespace(count_order=lambda kind: None),
        ),
        types.SimpleNamespace(fencing_token=7, may_order=True),
        BusyClient(),
        context.leader._publish_holdings,
    )
    order = datatypes.Order("i-1", True, name, adapter)

    async def play():
        await orders.send(context.engine, (order,), "asked for")

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the engine still counts as loading "{name}"')
def step_still_loading(context, name):
    assert context.engine.loading_model == name, context.engine


@when(
    'adapter "{first}" of "{name}" is unloaded there at once, and "{second}" '
    "loaded"
)
def step_swap(context, first, name, second):
    context.client = Client()
    orders = order_sender.OrderSender(
        types.SimpleNamespace(settings=types.SimpleNamespace(name="entry-1")),
        types.SimpleNamespace(fencing_token=7),
        context.client,
        context.leader._publish_holdings,
    )
    held = {name: datatypes.LoadedModel(name, frozenset([first]))}
    context.engine.report = datatypes.EngineReport(held, False, 1)

    async def play():
        for load, adapter in ((False, first), (True, second)):
            order = datatypes.Order("i-1", load, name, adapter)
            await orders._send_once(context.engine, order)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the engine is told to expect one order more for the second one")
def step_expects(context):
    assert context.client.expected == [1, 2], context.client.expected
    held = context.engine.report.models["m0"].adapters
    assert held == {"a2"}, held
