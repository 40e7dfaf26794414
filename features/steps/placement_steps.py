"""Steps about decisions, records and orders."""

import concurrent.futures
import itertools

from behave import given
from behave import then
from behave import when

from dogwoodwheel.membership import view
from features import builders
from features import fleet as fleets
from features.standins import caller
from features.standins import process

SERVICE = "lm"
CUSTOMER = "nursery"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
TAKE_OVER_S = 20.0
OK = 200
ACCEPTED = 202
DECIDE_S = 10.0


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


@given("{entries:d} entries and {count:d} engines of {memory:d} MB")
@given("{entries:d} entries and {count:d} engine of {memory:d} MB")
def step_fleet(context, entries, count, memory, fencing=True):
    context.fleet = fleets.Fleet()
    context.builder = builders.TextBuilder().models(SERVICE).customer(CUSTOMER)
    for zone in ZONES:
        context.builder.zone(zone)
    zones = itertools.cycle(ZONES)
    for index in range(count):
        name = f"w{index}"
        engine = context.fleet.add_engine(name, memory, fencing=fencing)
        context.builder.endpoint(
            name,
            SERVICE,
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
        name, SERVICE, size_mb=size, max_replicas=count, idle_s=idle_s
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
        lambda: [owner_of(context, e) for e in context.fleet.endpoints],
        TAKE_OVER_S,
        "an owner of each engine",
    )


@given("the next {count:d} loads fail half way")
def step_fail_loads(context, count):
    for endpoint in context.fleet.endpoints.values():
        endpoint.ctl.call("loading", fail_loads=count, load_s=0.1)


@given("the platform loses the replies to the next {count:d} writes")
def step_lose(context, count):
    context.fleet.platform.call(
        "outage", mode="lose", services=["table"], count=count
    )


@given('a request for "{model}" is answered')
@then('a request for "{model}" is answered within {bound:d} s')
def step_one_answered(context, model, bound=10):
    reply = call(context, "e0", model, bound)
    assert reply.status == OK, reply
    assert reply.took_s < bound, reply.took_s


@then('a request for "{model}" is refused as not run within {bound:d} s')
def step_one_refused(context, model, bound):
    reply = call(context, "e0", model, 2 * bound)
    assert reply.status != OK and reply.run == "not_run", reply
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
    load_all(context, [(next(entries), model) for _ in range(count)])


@when('{count:d} requests for "{a}" and "{b}" come in turn to all entries')
def step_turns(context, count, a, b):
    entries = itertools.cycle(context.fleet.entries)
    models = itertools.cycle([a, b])
    load_all(context, [(next(entries), next(models)) for _ in range(count)])


@when('the owner of engine "{endpoint}" dies amid {count:d} requests in turn')
def step_kill_amid(context, endpoint, count):
    owner, _ = owner_of(context, endpoint)
    entries = itertools.cycle(others(context, owner))
    models = itertools.cycle(context.builder.maps["models"])
    load_all(context, [(next(entries), next(models)) for _ in range(count)])
    process.wait_for(
        lambda: any(f.done() for f in context.futures),
        DECIDE_S,
        "a first answer",
    )
    context.fleet.entries[owner].kill()


@when('the owner of engine "{endpoint}" is paused')
def step_pause_owner(context, endpoint):
    context.owner, context.epoch = owner_of(context, endpoint)
    context.fleet.entries[context.owner].freeze()


@when("a request for a model that another entry decides is begun")
def step_begin_elsewhere(context):
    names = [f"frames-{index}" for index in range(64)]
    entries = list(context.fleet.entries)
    context.model = next(
        name
        for name in names
        if max(entries, key=lambda e: view.rank(e, name)) != context.owner
    )
    context.builder.model(context.model, SERVICE, size_mb=600)
    context.fleet.publish(context.builder.text())
    entry = others(context, context.owner)[0]
    process.wait_for(
        lambda: context.model in _models(context, entry),
        DECIDE_S,
        "the new model to be in force",
    )
    load_all(context, [(entry, context.model)])


def _models(context, entry):
    client = context.fleet.entries[entry].caller(builders.key_of(CUSTOMER))
    return [item["id"] for item in client.get("/v1/models").json["data"]]


@when("the decision is in the record")
def step_in_record(context):
    process.wait_for(
        lambda: decided(context, context.model), DECIDE_S, "a decision"
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
    context.owner, context.epoch = owner_of(context, name)
    context.fleet.fault(context.owner, name, delay_s=0.4, direction="down")


@when("a request at another entry is begun")
def step_begin(context):
    entry = others(context, context.owner)[0]
    load_all(context, [(entry, context.model)])


def _loads(context, name):
    events = context.fleet.endpoints[name].events("order")
    return [event for event in events if event["order"]["kind"] == "load"]


@when('engine "{name}" got an order to load')
def step_got_order(context, name):
    process.wait_for(
        lambda: _loads(context, name), DECIDE_S, "an order to load"
    )


@then('engine "{name}" got 1 order to load from each owner at most')
def step_few_orders(context, name):
    epochs = [event["order"]["epoch"] for event in _loads(context, name)]
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
    load_all(context, [(prober, model)])
    first = context.futures
    (engine,) = process.wait_for(
        lambda: decided(context, model), DECIDE_S, "a decision"
    )
    process.wait_for(
        lambda: _loads(context, engine), DECIDE_S, "an order to load"
    )
    context.owner, context.epoch = owner_of(context, engine)
    entries = itertools.cycle(others(context, context.owner))
    load_all(context, [(next(entries), model) for _ in range(count)])
    if context.owner != prober:
        context.futures += first


@given('"{model}" of {size:d} MB was loaded at engine "{name}" by hand')
def step_by_hand(context, model, size, name):
    address = context.fleet.endpoints[name].address
    order = {
        "kind": "load",
        "model": model,
        "version": "1",
        "epoch": owner_of(context, name)[1],
        "base": "",
        "memory_mb": size,
    }
    reply = caller.Caller(address).request("POST", "/orders", order)
    assert reply.status == ACCEPTED, reply


@when("an order to load is held up and its owner is paused")
def step_hold_order(context):
    context.owner, context.epoch = owner_of(context, "w0")
    context.fleet.fault(context.owner, "w0", mode="freeze", direction="up")
    entry = others(context, context.owner)[0]
    load_all(context, [(entry, context.model)])
    process.wait_for(
        lambda: decided(context, context.model), DECIDE_S, "a decision"
    )
    before = _connections(context)
    process.wait_for(
        lambda: _connections(context) > before,
        DECIDE_S,
        "an order in the proxy",
    )
    context.fleet.entries[context.owner].freeze()


def _connections(context):
    links = context.fleet.proxy.call("links")["links"]
    return links[f"{context.owner}->w0"]["open"]


@when('another entry owns engine "{endpoint}"')
def step_taken_over(context, endpoint):
    process.wait_for(
        lambda: owner_of(context, endpoint)[1] > context.epoch,
        TAKE_OVER_S,
        "a take-over",
    )


@when("the owner continues and the order arrives")
def step_continue(context):
    context.events = len(context.fleet.endpoints["w0"].events("order"))
    context.fleet.entries[context.owner].resume()
    context.fleet.fault(context.owner, "w0", mode="pass")


@then("each of them is answered")
@then("the request is answered")
def step_all_answered(context):
    replies = [future.result() for future in context.futures]
    failed = [r for r in replies if r.status != OK or not r.done]
    assert not failed, failed


@then("each request at a living entry is answered or truly not run")
def step_all_true(context):
    replies = [future.result() for future in context.futures]
    ran = sum(
        event["outcome"] == "ok"
        for endpoint in context.fleet.endpoints.values()
        for event in endpoint.events("request")
    )
    refused = [r for r in replies if r.status != OK]
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
    assert len(decided(context, model)) == count, decided(context, model)


@then("no engine was overcommitted")
def step_no_overcommit(context):
    for endpoint in context.fleet.endpoints.values():
        kinds = [v["kind"] for v in endpoint.violations()]
        assert "overcommit" not in kinds, endpoint.violations()


@then("requests at the other entries are answered")
def step_others_answered(context):
    step_all_answered(context)
    for entry in others(context, context.owner):
        reply = call(context, entry, context.model)
        assert reply.status == OK, reply


@then("requests at the other entries are refused as not run")
def step_others_refused(context):
    for entry in others(context, context.owner):
        reply = call(context, entry, context.model, deadline_s=2.0)
        assert reply.status != OK and reply.run == "not_run", reply


@then("the model is unloaded once idle")
@then('the model "{name}" is unloaded once idle')
def step_unloaded(context, name=None):
    name = name or context.model
    process.wait_for(
        lambda: not decided(context, name), TAKE_OVER_S, "an idle unload"
    )
    for endpoint in context.fleet.endpoints.values():
        assert not endpoint.status()["models"], endpoint.status()


@then('engine "{name}" got no order of the new owner')
def step_no_order(context, name):
    events = context.fleet.endpoints[name].events("order")
    newer = [e for e in events if e["order"]["epoch"] > context.epoch]
    assert not newer, newer


@then('engine "{name}" refuses the order')
def step_refused(context, name):
    (late,) = process.wait_for(
        lambda: _late_loads(context, name), DECIDE_S, "the late order"
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
        lambda: _late_loads(context, "w0"), DECIDE_S, "the late order"
    )
    for item in endpoint.status()["models"]:
        record = rows(context, "endpoints")["w0"]["models"]
        assert item["name"] in record, (item, record)
    assert context.fleet.most_loaded(context.model) <= 1
