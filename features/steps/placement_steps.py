"""Steps about decisions, memory and idle replicas."""

import itertools

from behave import given
from behave import then
from behave import when

from features import builders
from features import fleet as fleets
from features import placing
from features.standins import process

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@given("{entries:d} entries and {count:d} engines of {memory:d} MB")
@given("{entries:d} entries and {count:d} engine of {memory:d} MB")
def step_fleet(context, entries, count, memory, fencing=True):
    context.fleet = fleets.Fleet()
    context.builder = (
        builders.TextBuilder()
        .models(placing.SERVICE)
        .customer(placing.CUSTOMER)
    )
    for zone in ZONES:
        context.builder.zone(zone)
    zones = itertools.cycle(ZONES)
    for index in range(count):
        name = f"w{index}"
        engine = context.fleet.add_engine(name, memory, fencing=fencing)
        context.builder.endpoint(
            name,
            placing.SERVICE,
            next(zones),
            engine.address,
            memory_mb=memory,
            concurrency=8,
            fresh_concurrency=1,
            fencing=fencing,
        )
    for index in range(entries):
        context.fleet.add_entry(f"e{index}", ZONES[index % len(ZONES)])


@given(
    "{entries:d} entries and 1 engine of {memory:d} MB that ignores fencing"
)
def step_no_fencing(context, entries, memory):
    step_fleet(context, entries, 1, memory, fencing=False)


@given('the model "{name}" of {size:d} MB with {count:d} replica')
@given('the model "{name}" of {size:d} MB with {count:d} replicas')
def step_model(context, name, size, count, idle_s=300):
    context.builder.model(
        name, placing.SERVICE, size_mb=size, max_replicas=count, idle_s=idle_s
    )


@given(
    'the model "{name}" of {size:d} MB with 1 replica, idle after {idle:d} s'
)
def step_idle_model(context, name, size, idle):
    context.model = name
    step_model(context, name, size, 1, idle)


@given('the adapter "{name}" on "{base}"')
def step_adapter(context, name, base):
    context.builder.adapter(name, base)


@given("orders to the engines pass a proxy")
def step_proxy(context):
    for entry in context.fleet.entries:
        for endpoint in context.fleet.endpoints:
            context.fleet.link(entry, endpoint)


@given("the placement fleet runs")
def step_run(context):
    context.fleet.set_vms()
    context.fleet.publish(context.builder.text())
    context.fleet.start()
    context.fleet.wait_ready()
    process.wait_for(
        lambda: [
            placing.owner_of(context, e) for e in context.fleet.endpoints
        ],
        placing.TAKE_OVER_S,
        "an owner of each engine",
    )
    process.wait_for(
        lambda: placing.is_balanced(context),
        placing.TAKE_OVER_S,
        "hand-overs of the start to end",
    )


@given("the platform loses the replies to the next {count:d} writes")
def step_lose(context, count):
    context.fleet.platform.call(
        "outage", mode="lose", services=["table"], count=count
    )


@given('a request for "{model}" is answered')
@then('a request for "{model}" is answered within {bound:d} s')
def step_one_answered(context, model, bound=10):
    reply = placing.call(context, "e0", model, bound)
    assert reply.status == placing.OK, reply
    assert reply.took_s < bound, reply.took_s


@then('a request for "{model}" is refused as not run within {bound:d} s')
def step_one_refused(context, model, bound):
    reply = placing.call(context, "e0", model, 2 * bound)
    assert reply.status != placing.OK and reply.run == "not_run", reply
    assert reply.took_s < bound, reply.took_s


@when("the platform is out")
def step_out(context):
    context.fleet.platform.call("outage", mode="refuse")


@when("the platform is back")
def step_back(context):
    context.fleet.platform.call("outage", mode="off")


@when('{count:d} first requests for "{model}" come to all entries at once')
def step_burst(context, count, model):
    entries = itertools.cycle(context.fleet.entries)
    placing.load_all(context, [(next(entries), model) for _ in range(count)])


@when('{count:d} requests for "{a}" and "{b}" come in turn to all entries')
def step_turns(context, count, a, b):
    entries = itertools.cycle(context.fleet.entries)
    models = itertools.cycle([a, b])
    placing.load_all(
        context, [(next(entries), next(models)) for _ in range(count)]
    )


@then("each of them is answered")
@then("the request is answered")
def step_all_answered(context):
    replies = [future.result() for future in context.futures]
    failed = [r for r in replies if r.status != placing.OK or not r.done]
    assert not failed, failed


@then("each request at a living entry is answered or truly not run")
def step_all_true(context):
    replies = [future.result() for future in context.futures]
    ran = sum(
        event["outcome"] == "ok"
        for endpoint in context.fleet.endpoints.values()
        for event in endpoint.events("request")
    )
    refused = [r for r in replies if r.status != placing.OK]
    untrue = [r for r in refused if not r.run]
    assert not untrue, untrue
    unknown = [r for r in refused if r.run == "unknown"]
    answered = len(replies) - len(refused)
    assert answered <= ran <= answered + len(unknown), (answered, ran)


@then('at most {count:d} replica of "{model}" was ever loaded')
def step_most(context, count, model):
    most = context.fleet.most_loaded(model)
    assert 1 <= most <= count, most


@then("at most 1 replica of it was ever loaded")
def step_most_of_it(context):
    step_most(context, 1, context.model)


@then('{count:d} replica of "{model}" is decided')
def step_decided(context, count, model):
    assert len(placing.decided(context, model)) == count, placing.decided(
        context, model
    )


@then("no engine was overcommitted")
def step_no_overcommit(context):
    for endpoint in context.fleet.endpoints.values():
        kinds = [v["kind"] for v in endpoint.violations()]
        assert "overcommit" not in kinds, endpoint.violations()


@then("the model is unloaded once idle")
@then('the model "{name}" is unloaded once idle')
def step_unloaded(context, name=None):
    name = name or context.model
    process.wait_for(
        lambda: not placing.decided(context, name),
        placing.TAKE_OVER_S,
        "an idle unload",
    )
    for endpoint in context.fleet.endpoints.values():
        assert not endpoint.status()["models"], endpoint.status()
