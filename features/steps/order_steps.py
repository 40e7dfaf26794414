"""Steps about orders, and owners that die or are paused."""

import itertools

from behave import given
from behave import then
from behave import when

from dogwoodwheel.membership import view
from features import builders
from features import placing
from features.standins import caller
from features.standins import process

ACCEPTED = 202


@given("the next {count:d} loads fail half way")
def step_fail_loads(context, count):
    for endpoint in context.fleet.endpoints.values():
        endpoint.ctl.call("loading", fail_loads=count, load_s=0.1)


@when('the owner of engine "{endpoint}" is paused')
def step_pause_owner(context, endpoint):
    context.owner, context.epoch = placing.owner_of(context, endpoint)
    context.fleet.entries[context.owner].freeze()


@when("a request for a model that another entry decides is begun")
def step_begin_elsewhere(context):
    names = [f"frames-{index}" for index in range(64)]
    entries = list(context.fleet.entries)
    context.model = next(
        name
        for name in names
        if max(entries, key=lambda e: view.rendezvous_score(e, name))
        != context.owner
    )
    context.builder.model(context.model, placing.SERVICE, size_mb=600)
    context.fleet.publish(context.builder.text())
    entry = placing.others(context, context.owner)[0]
    process.wait_for(
        lambda: context.model in _models(context, entry),
        placing.DECIDE_S,
        "the new model to be in force",
    )
    placing.load_all(context, [(entry, context.model)])


def _models(context, entry):
    client = context.fleet.entries[entry].caller(
        builders.key_of(placing.CUSTOMER)
    )
    return [item["id"] for item in client.get("/v1/models").json["data"]]


@when("the decision is in the record")
def step_in_record(context):
    process.wait_for(
        lambda: placing.decided(context, context.model),
        placing.DECIDE_S,
        "a decision",
    )
    events = context.fleet.endpoints["w0"].events("order")
    loads = [e for e in events if e["order"]["kind"] == "load"]
    assert not loads, loads


@when("the owner is killed")
def step_kill_owner(context):
    context.fleet.entries[context.owner].kill()


@when('replies of engine "{name}" to its owner come late')
def step_late_replies(context, name):
    context.model = "frames"
    context.owner, context.epoch = placing.owner_of(context, name)
    context.fleet.fault(context.owner, name, delay_s=0.4, direction="down")


@when("a request at another entry is begun")
def step_begin(context):
    entry = placing.others(context, context.owner)[0]
    placing.load_all(context, [(entry, context.model)])


@when('engine "{name}" got an order to load')
def step_got_order(context, name):
    process.wait_for(
        lambda: placing.loads(context, name),
        placing.DECIDE_S,
        "an order to load",
    )


@then('engine "{name}" got 1 order to load from each owner at most')
def step_few_orders(context, name):
    epochs = [
        event["order"]["epoch"] for event in placing.loads(context, name)
    ]
    assert len(epochs) == len(set(epochs)), epochs


@given("a pull from the weight store takes {seconds:d} s")
def step_slow_weights(context, seconds):
    size = context.builder.maps["models"]["frames"]["size_mb"]
    context.fleet.platform.call("weights", mb_per_s=size / seconds)


@when(
    '{count:d} first requests for "{model}" come to all entries '
    "but the owner"
)
def step_burst_but_owner(context, count, model):
    # Its decision names the engine, and so the owner that is to die.
    prober = next(iter(context.fleet.entries))
    placing.load_all(context, [(prober, model)])
    first = context.futures
    (engine,) = process.wait_for(
        lambda: placing.decided(context, model), placing.DECIDE_S, "a decision"
    )
    process.wait_for(
        lambda: placing.loads(context, engine),
        placing.DECIDE_S,
        "an order to load",
    )
    context.owner, context.epoch = placing.owner_of(context, engine)
    entries = itertools.cycle(placing.others(context, context.owner))
    placing.load_all(context, [(next(entries), model) for _ in range(count)])
    if context.owner != prober:
        context.futures += first


@given('"{model}" of {size:d} MB was loaded at engine "{name}" by hand')
def step_by_hand(context, model, size, name):
    address = context.fleet.endpoints[name].address
    order = {
        "kind": "load",
        "model": model,
        "version": "1",
        "epoch": placing.owner_of(context, name)[1],
        "base": "",
        "memory_mb": size,
    }
    reply = caller.Caller(address).request("POST", "/orders", order)
    assert reply.status == ACCEPTED, reply


@when("an order to load is held up and its owner is paused")
def step_hold_order(context):
    context.owner, context.epoch = placing.owner_of(context, "w0")
    context.fleet.fault(context.owner, "w0", delay_s=0.5, direction="up")
    entry = placing.others(context, context.owner)[0]
    placing.load_all(context, [(entry, context.model)])
    sent = f"order sent kind=load model={context.model} "
    owner = context.fleet.entries[context.owner]
    process.wait_for(
        lambda: sent in owner.coordinator.tail(), placing.DECIDE_S, "an order"
    )
    context.fleet.fault(context.owner, "w0", mode="freeze", direction="up")
    owner.freeze()
    assert not placing.loads(context, "w0"), placing.loads(context, "w0")


@when('another entry owns engine "{endpoint}"')
def step_taken_over(context, endpoint):
    process.wait_for(
        lambda: placing.owner_of(context, endpoint)[1] > context.epoch,
        placing.TAKE_OVER_S,
        "a take-over",
    )


@when("the owner continues and the order arrives")
def step_continue(context):
    context.events = len(context.fleet.endpoints["w0"].events("order"))
    # In this order: a program that goes on resets what has taken too long.
    context.fleet.fault(context.owner, "w0", mode="pass")
    context.fleet.entries[context.owner].resume()


@then("requests at the other entries are answered")
def step_others_answered(context):
    context.execute_steps("Then each of them is answered")
    for entry in placing.others(context, context.owner):
        reply = placing.call(context, entry, context.model)
        assert reply.status == placing.OK, reply


@then("requests at the other entries are refused as not run")
def step_others_refused(context):
    for entry in placing.others(context, context.owner):
        reply = placing.call(context, entry, context.model, deadline_s=2.0)
        assert reply.status != placing.OK and reply.run == "not_run", reply


@then('engine "{name}" got no order of the new owner')
def step_no_order(context, name):
    events = context.fleet.endpoints[name].events("order")
    newer = [e for e in events if e["order"]["epoch"] > context.epoch]
    assert not newer, newer


@then('engine "{name}" refuses the order')
def step_refused(context, name):
    (late,) = process.wait_for(
        lambda: _late_loads(context, name), placing.DECIDE_S, "the late order"
    )
    assert not late["taken"], late


def _late_loads(context, name):
    """Return the loads of the earlier owner since it continued."""
    events = context.fleet.endpoints[name].events("order")
    return [
        event
        for event in events[context.events :]
        if event["order"]["kind"] == "load"
        and event["order"]["epoch"] <= context.epoch
    ]


@then("nothing is loaded that is not decided")
def step_nothing_undecided(context):
    endpoint = context.fleet.endpoints["w0"]
    process.wait_for(
        lambda: _late_loads(context, "w0"), placing.DECIDE_S, "the late order"
    )
    for item in endpoint.status()["models"]:
        record = placing.rows(context, "endpoints")["w0"]["models"]
        assert item["name"] in record, (item, record)
    assert context.fleet.most_loaded(context.model) <= 1


@when('the owner of engine "{endpoint}" dies amid {count:d} requests in turn')
def step_kill_amid(context, endpoint, count):
    owner, _ = placing.owner_of(context, endpoint)
    entries = itertools.cycle(placing.others(context, owner))
    models = itertools.cycle(context.builder.maps["models"])
    placing.load_all(
        context, [(next(entries), next(models)) for _ in range(count)]
    )
    process.wait_for(
        lambda: any(f.done() for f in context.futures),
        placing.DECIDE_S,
        "a first answer",
    )
    context.fleet.entries[owner].kill()
