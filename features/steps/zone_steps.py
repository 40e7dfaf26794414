"""Steps about availability zones."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

from features import builders
from features import scenes
from features.standins import caller
from features.standins import process

TOKENS = 4000
WATCH_S = 4.0


def engines_in(context, zone):
    """Return the engines in a zone, by the text."""
    declared = context.scene.text.maps["endpoints"]
    return [
        context.fleet.endpoints[name]
        for name, fields in declared.items()
        if fields["zone"] == zone and name.startswith("w")
    ]


def chat(context, index, key="k2"):
    """Send a short chat, to entries and models in turn."""
    names = list(context.fleet.entries)
    models = models_of(context)
    entry = context.fleet.entries[names[index % len(names)]]
    one = entry.caller(builders.key_of(key))
    model = models[index // len(names) % len(models)]
    return one.chat(model, f"short {index} tokens=3")


def models_of(context):
    """Return a model for each engine; two of them fit into one."""
    return [f"frames-{index}" for index in range(len(engines_of(context)))]


def begin_calls(context):
    """Begin short chats at all entries, unless they run already."""
    if getattr(context, "load", None) is None:
        context.load = scenes.Load(
            lambda index: chat(context, index), 40
        ).start()
        context.add_cleanup(context.load.stop)


@given("a model for each engine")
def step_models(context):
    for model in models_of(context):
        context.scene.text.model(model, scenes.MODELS, size_mb=450)


@given('each engine streams for "{key}"')
def step_streams(context, key):
    pool = concurrent.futures.ThreadPoolExecutor(8)
    entries = list(context.fleet.entries.values())
    context.streams = []
    for index, model in enumerate(models_of(context)):
        one = entries[index % len(entries)].caller(builders.key_of(key))
        body = caller.chat_body(model, f"tokens={TOKENS}", stream=True)
        future = pool.submit(one.request, "POST", "/v1/chat/completions", body)
        context.streams.append((model, future))
    try:
        process.wait_for(
            lambda: all(
                engine.ctl.call("counters")["in_flight"]
                for engine in engines_of(context)
            ),
            20.0,
            "a stream at each engine",
        )
    except AssertionError as exc:
        ended = [
            (model, fut.result().status, fut.result().body[:300])
            for model, fut in context.streams
            if fut.done()
        ]
        tables = context.fleet.dump()
        placed = {name: tables.get(name) for name in ("models", "endpoints")}
        raise AssertionError(f"{exc}: ended {ended}, {placed}") from exc


def engines_of(context):
    """Return all engines."""
    return [
        endpoint
        for name, endpoint in context.fleet.endpoints.items()
        if name.startswith("w")
    ]


@when('zone "{zone}" is taken out')
def step_out(context, zone):
    begin_calls(context)
    context.scene.text.change("zones", zone, state="out")
    context.scene.publish()
    context.out_at = time.monotonic()


@when('zone "{zone}" is taken in again')
def step_in(context, zone):
    context.scene.text.change("zones", zone, state="in")
    context.scene.publish()
    context.in_at = time.monotonic()


def begun_in(context, zone, since, until):
    """Return requests that began in a zone in a time."""
    return [
        event
        for endpoint in endpoints_in(context, zone)
        for event in endpoint.events("request")
        if since <= event["time"] <= until
    ]


def endpoints_in(context, zone):
    """Return all endpoints in a zone, by the text."""
    declared = context.scene.text.maps["endpoints"]
    return [
        context.fleet.endpoints[name]
        for name, fields in declared.items()
        if fields["zone"] == zone
    ]


@then(
    '{seconds:d} s later no work begins in zone "{zone}" '
    "while callers go on"
)
def step_no_work(context, seconds, zone):
    since = context.out_at + seconds
    until = since + WATCH_S
    before = len(context.load.replies)
    context.load.wait(until - time.monotonic())
    assert len(context.load.replies) > before, "no caller went on"
    begun = begun_in(context, zone, since, until)
    assert not begun, f"{len(begun)} requests began after {seconds} s"


@then("the streams that ran came whole")
def step_whole(context):
    for model, future in context.streams:
        reply = future.result()
        assert reply.done, (model, reply.status, reply.error, reply.body)
        assert len(reply.text.split()) == TOKENS, len(reply.text.split())


@then('the entries of "{zone}" are off the list')
def step_off_list(context, zone):
    away = {
        address
        for entry in context.fleet.entries.values()
        if entry.zone == zone
        for address in entry.gateways
    }
    for entry in context.fleet.entries.values():
        listed = entry.caller().get("/v1/entries").json["entries"]
        assert listed and not away & set(listed), (away, listed)


@then(
    'the plain service of zone "{zone}" is called again within {seconds:d} s'
)
def step_work(context, zone, seconds):
    one = context.fleet.entries["e1"].caller(builders.key_of("k2"))
    call = ("POST", "/services/shop/calls", {"order": "again"})
    process.wait_for(
        lambda: one.request(*call).status == 200,
        seconds,
        f"work in zone {zone}",
    )
    assert begun_in(context, zone, context.in_at, time.monotonic())


@then("no engine ever had more in flight than it bears")
def step_no_overload(context):
    for endpoint in engines_of(context):
        assert not endpoint.violations(), endpoint.violations()[:3]


@then("no call was refused although it could run")
def step_none_refused(context):
    replies = context.load.stop()
    bad = [(r.status, r.body[:200], r.error) for r in replies]
    bad = [item for item in bad if item[0] != 200]
    assert not bad, (len(bad), len(replies), bad[:3])
