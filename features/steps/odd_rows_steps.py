"""Steps about rows of another writer."""

import codecs
import dataclasses
import json
import math
import pathlib
import tempfile
import tracemalloc
import types

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from loguru import logger
import msgpack
import trio.testing

from dogwoodwheel.entry import datagrams
from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import membership
from dogwoodwheel.entry import registration_reader
from dogwoodwheel import exceptions
from dogwoodwheel.platform import engine_client
from dogwoodwheel.platform import http_headers
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import settings_file
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.platform import tables
from features import entry_builders
from features import odd_values

SCAN_INTERVAL_S = 0.7


class HttpClient:
    """Answers each call with the same body."""

    def __init__(self, body):
        self.body = body

    async def call(self, address, req, timeout_s, max_bytes, on_reply):
        return 200, self.body


def outcome(func, *args, refusal=exceptions.DeclarationError):
    """Return whether a decoder accepts, refuses, or fails otherwise."""
    try:
        func(*args)
    except refusal as exc:
        assert len(str(exc)) < 1000, str(exc)[:200]
        json.dumps({"why": str(exc)})
        str(exc).encode()
        return "refused"
    except Exception as exc:
        return f"failed with {type(exc).__name__}"
    return "accepted"


def check_refused(func, values, refusal=exceptions.DeclarationError):
    """Check that a decoder refuses each of some values, given by name."""
    outcomes = {
        name: outcome(func, value, refusal=refusal)
        for name, value in values.items()
    }
    others = {n: found for n, found in outcomes.items() if found != "refused"}
    assert not others, others


def check_random(strategy, count, check):
    """Call a check with values drawn from a strategy, the same each time."""
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(strategy)(check))()


def decode_registration(value):
    return registrations.decode("i-1", value)


@then("each registration with an odd field is refused as malformed")
def step_odd_fields(context):
    fields = {**odd_values.FIELDS}
    for name, text in odd_values.MODELS.items():
        fields[name] = ("models", text)
    check_refused(
        decode_registration,
        {
            name: odd_values.registration_with(*field)
            for name, field in fields.items()
        },
    )


@then("each row of odd bytes is refused as a malformed registration")
def step_odd_bytes(context):
    check_refused(decode_registration, odd_values.BYTES)


@then('a sound registration with the key "{key}" is refused as malformed')
@then('a sound registration with the key "" is refused as malformed')
def step_odd_key(context, key=""):
    key = codecs.decode(key, "unicode_escape")
    value = entry_builders.registration_body()
    assert outcome(registrations.decode, key, value) == "refused"


@then("a registration with whole numbers as floats is decoded")
def step_floats(context):
    value = entry_builders.registration_body(slots=8.0, coldLeftMs=1500.0)
    endpoint = decode_registration(value)
    assert (endpoint.slots, endpoint.cold_s) == (8, 1.5), endpoint


@then("a registration without its optional fields is decoded")
def step_optional(context):
    body = json.loads(entry_builders.registration_body())
    for name in ("coldLeftMs", "models", "stage", "sequence", "version"):
        del body[name]
    endpoint = decode_registration(json.dumps(body).encode())
    assert endpoint == entry_builders.endpoint(), endpoint


@then("a registration whose optional fields are null is decoded")
def step_null(context):
    value = entry_builders.registration_body(
        coldLeftMs=None, models=None, atHand=None, born=None
    )
    endpoint = decode_registration(value)
    assert endpoint == entry_builders.endpoint(), endpoint


@then("{count:d} random registrations are decoded or refused as malformed")
def step_random_registrations(context, count):
    def check(value):
        found = outcome(decode_registration, value)
        assert found in ("accepted", "refused"), (found, value)

    check_random(odd_values.json_texts(), count, check)
    sound = entry_builders.registration_body(atHand={}, born=7)
    check_random(odd_values.mutated_texts([sound]), count, check)


class Reader:
    """A reader of registrations whose log lines are kept."""

    def __init__(self):
        self.reader = registration_reader.RegistrationReader()
        self.lines = []
        self.decoded = 0

    def read(self, rows):
        """Return the endpoints of a scan; keep the lines that are logged."""
        sink = logger.add(
            lambda message: self.lines.append(message.record), level="WARNING"
        )
        try:
            return self.reader.read(rows)
        finally:
            logger.remove(sink)


def row(key, value, version=1):
    """Return a row of the endpoints' table."""
    return store_module.Row(registrations.TABLE, key, version, value)


def play(scenario):
    """Run an async function on a clock that jumps."""
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


@when("{odd:d} odd registrations stand among {sound:d} sound ones in a scan")
def step_scan(context, odd, sound):
    context.reader = Reader()
    rows = [
        row(f"i-{n}", entry_builders.registration_body()) for n in range(sound)
    ]
    rows[2:2] = [row(f"odd-{n}", b"[" * 65536) for n in range(odd)]

    async def scenario():
        context.endpoints = context.reader.read(rows)

    play(scenario)


@then(
    "the {sound:d} sound endpoints are known, and {count:d} lines are logged"
)
def step_known(context, sound, count):
    assert sorted(context.endpoints) == [f"i-{n}" for n in range(sound)]
    assert len(context.reader.lines) == count, context.reader.lines


@when("a scan each {s:g} s for {total:d} s has an odd row of another version")
def step_changing(context, s, total):
    context.reader = Reader()
    context.scans = int(total / s)

    async def scenario():
        for n in range(context.scans):
            value = f'{{"state": {n}}}'.encode()
            context.reader.read([row(f"odd-{n}", value, n)])
            await trio.sleep(s)

    play(scenario)


@then("at most {count:d} lines are logged, and what was not logged is counted")
def step_bounded(context, count):
    lines = context.reader.lines
    assert 0 < len(lines) <= count, len(lines)
    logged = [li for li in lines if li["message"] == "endpoints: malformed"]
    counted = sum(
        line["extra"]["count"]
        for line in lines
        if line["message"] == "endpoints: malformed, not logged"
    )
    left = context.scans - len(logged) - counted
    assert counted > 0 and 0 <= left <= 66, (len(logged), counted, left)


@then("no more rows are kept than the scan had")
def step_kept(context):
    reader = context.reader.reader
    sizes = [
        len(value)
        for value in vars(reader).values()
        if isinstance(value, (dict, set, list))
    ]
    assert max(sizes) <= 1, sizes


@when("{scans:d} scans have the same odd row")
def step_same(context, scans):
    context.reader = Reader()
    context.decoded = []
    decode = registrations.decode

    def counted(key, value):
        context.decoded.append(key)
        return decode(key, value)

    async def scenario():
        for _ in range(scans):
            context.reader.read([row("odd", b"[" * 65536)])
            await trio.sleep(SCAN_INTERVAL_S)

    registrations.decode = counted
    try:
        play(scenario)
    finally:
        registrations.decode = decode


@then("it is decoded once and logged once")
def step_once(context):
    assert len(context.decoded) == len(context.reader.lines) == 1, (
        context.decoded,
        context.reader.lines,
    )


@when("a row changes and keeps its version")
def step_same_version(context):
    context.reader = Reader()

    async def scenario():
        for state in ("ready", "draining"):
            value = entry_builders.registration_body(state=state)
            context.endpoints = context.reader.read([row("i-1", value, 3)])

    play(scenario)


@then("the endpoint is as the row says")
def step_as_row(context):
    endpoint, version = context.endpoints["i-1"]
    assert version == 3 and not endpoint.ready, endpoint


def fetch_report(body):
    """Return the report that an engine's answer contains."""
    client = engine_client.EngineClient(HttpClient(body))
    return trio.run(client.fetch_report, entry_builders.endpoint())


@then("each odd report is an error of that endpoint")
def step_odd_reports(context):
    values = {
        name: odd_values.report_with(*field)
        for name, field in odd_values.REPORT_FIELDS.items()
    }
    values.update(odd_values.BYTES)
    check_refused(fetch_report, values, exceptions.EndpointError)


@then("{count:d} random reports are decoded or an error of that endpoint")
def step_random_reports(context, count):
    def check(value):
        found = outcome(fetch_report, value, refusal=exceptions.EndpointError)
        assert found in ("accepted", "refused"), (found, value)

    check_random(odd_values.json_texts(), count, check)
    texts = [odd_values.report_body()]
    check_random(odd_values.mutated_texts(texts), count, check)


@then("a sound report is decoded")
def step_sound_report(context):
    report = fetch_report(odd_values.report_body())
    assert report == datatypes.EngineReport(
        models={"m0": datatypes.LoadedModel("m0", frozenset(["a1"]))},
        busy=False,
        orders_accepted=2,
        queued_requests=1,
        running_requests=12,
        cache_used_tokens=41000,
        loading_adapters=frozenset(["m0/a2"]),
        memory_weights=frozenset(["m0"]),
    ), report


@then("each odd configuration is refused as malformed")
def step_odd_configs(context):
    values = {
        name: odd_values.config_with(*field)
        for name, field in odd_values.CONFIG_FIELDS.items()
    }
    values.update(odd_values.BYTES)
    check_refused(operator_table.decode, values)


@then("{count:d} random configurations are decoded or refused as malformed")
def step_random_configs(context, count):
    def check(value):
        found = outcome(operator_table.decode, value)
        assert found in ("accepted", "refused"), (found, value)

    check_random(odd_values.json_texts(), count, check)
    texts = [entry_builders.config_body()]
    check_random(odd_values.mutated_texts(texts), count, check)


@then("a sound configuration is decoded")
def step_sound_config(context):
    split = [{"service": "plain", "weight": 90}]
    routes = [
        entry_builders.route_body(),
        entry_builders.route_body(prefix="/chat/long/", split=split),
        entry_builders.route_body("odd", host="B.example", kind="other"),
    ]
    config = operator_table.decode(entry_builders.config_body(routes=routes))
    long, short = config.routes[entry_builders.HOST]
    assert (long.prefix, long.services) == (
        "/chat/long/",
        (("plain", 90.0),),
    ), long
    assert short == datatypes.Route(
        name="chat",
        host=entry_builders.HOST,
        prefix="/chat/",
        kind="stream",
        services=(("models", 1.0),),
        timeout_s=5.0,
        target_latency_s=0.5,
        priority=1,
        max_attempts=2,
        resumable=True,
        max_event_gap_s=0.4,
    ), short
    assert config.routes["b.example"][0].kind == datatypes.RouteKind.ONCE
    engine = config.services["models"].engine
    assert engine.memory_mb == 200 and len(engine.models) == 4, engine
    assert engine.disk_mb == math.inf, engine
    assert config.services["plain"].engine is None
    assert config.keys["key-husk"] == "husk"
    assert config.customers["frost"].rate_in_tokens
    assert config.limits.idle_timeout_s == 15.0


def exchange():
    """Return an exchange of heartbeats that has met no peer."""
    heartbeats = heartbeats_module.HeartbeatExchange("127.0.0.1:1")
    heartbeats.on_scan = lambda msg: [len(key) for key, _, _ in msg.rows]
    heartbeats.on_heartbeat = lambda previous, heartbeat: None
    return heartbeats


def odd_datagrams():
    """Return odd datagrams by what is odd about them."""
    found = odd_values.datagrams()
    for name, (field, value) in odd_values.HEARTBEAT_FIELDS.items():
        found[name] = datagrams.encode(
            dataclasses.replace(
                entry_builders.heartbeat("odd"), **{field: value}
            )
        )
    return found


def process(datagram):
    """Return the exchange that has received a datagram, and its lines."""
    heartbeats = exchange()
    lines = []
    sink = logger.add(lambda m: lines.append(m.record), level="WARNING")

    async def scenario():
        heartbeats._process_datagram(datagram)

    try:
        play(scenario)
    finally:
        logger.remove(sink)
    return heartbeats, lines


@then("each odd datagram is refused as malformed or its fields are")
def step_odd_datagrams(context):
    faults = {}
    for name, datagram in odd_datagrams().items():
        try:
            heartbeats, lines = process(datagram)
        except Exception as exc:
            faults[name] = f"failed with {type(exc).__name__}"
            continue
        if heartbeats.peers or heartbeats.contact_addresses:
            faults[name] = "accepted"
        elif len(lines) != 1 or len(str(lines[0]["extra"])) > 1000:
            faults[name] = f"logged {lines}"
    assert not faults, faults
    heartbeats, _ = process(datagrams.encode(entry_builders.heartbeat()))
    assert list(heartbeats.peers) == ["entry-1"], heartbeats.peers


@then("a bomb of 50 MB is refused within {limit:d} MB of memory")
def step_bomb(context, limit):
    bomb = odd_values.datagrams()["a bomb"]
    tracemalloc.start()
    try:
        process(bomb)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < limit * 1e6, peak


@then("{count:d} random datagrams are processed")
def step_random_datagrams(context, count):
    sound = entry_builders.heartbeat(
        load={"e1": (1, 2, {"m0": 1})},
        lease=(1, 2),
        known=("127.0.0.9:1",),
        holdings={"e1": (0.1, {"m0": ("a1",)}, "")},
        limits={"p1": (1.0, None, 3)},
    )
    fields = {
        "v": 1,
        "k": "EntryBeat",
        "r": False,
        "f": dataclasses.asdict(sound),
    }
    text = json.dumps(fields).encode()

    def check(value):
        body = json.loads(value)
        try:
            datagram = odd_values.pack(body)
        except (OverflowError, UnicodeEncodeError, ValueError):
            return
        process(datagram)

    check_random(odd_values.json_texts(), count, check)
    check_random(odd_values.mutated_texts([text]), count, check)


@when("odd rows stand among those of two peers")
def step_peer_rows(context):
    def packed(body):
        return msgpack.packb(body)

    values = [
        packed({"peers": "127.0.0.2:1", "zone": "zone-a"}),
        b"\xc1",
        b"\x91" * 20_000,
        b"",
        None,
        packed(7),
        packed({}),
        packed({"peers": 7}),
        packed({"peers": "127.0.0.4:70000"}),
        packed({"peers": "no such host:1"}),
        packed({"peers": "a" * 70 + ".example:1"}),
        packed({"peers": "127.0.0.5:\u00b2"}),
        packed({"peers": "127.0.0.3:1", "zone": "zone-a"}),
    ]
    rows = [row(f"peer-{n}", value) for n, value in enumerate(values)]
    heartbeats = exchange()
    lines = []

    async def scenario():
        member = membership.Member(
            types.SimpleNamespace(heartbeats=heartbeats), Rows(rows), "one"
        )
        for _ in range(3):
            await member._scan_peers()
        rows.append(row("peer-x", b"\xc1", 2))
        await member._scan_peers()

    sink = logger.add(lambda m: lines.append(m.record), level="WARNING")
    try:
        play(scenario)
    finally:
        logger.remove(sink)
    context.heartbeats, context.lines = heartbeats, lines


class Rows:
    """A store with the same rows in each scan."""

    def __init__(self, rows):
        self.rows = rows

    async def scan(self, table):
        return store_module.Rows(tuple(self.rows), 1)


@then("both peers are contacted, and no other address")
def step_contacted(context):
    found = context.heartbeats.contact_addresses
    assert found == {"127.0.0.2:1", "127.0.0.3:1"}, found


@then("one line tells of the odd rows, and one more after a change")
def step_peer_lines(context):
    counts = [line["extra"]["count"] for line in context.lines]
    assert counts == [11, 12], context.lines


DIGITS = ("9" * 5000, "9" * 300, "²", "٣", "1_0", "-1", "nan", "inf", "1e400")


def caller_headers(name, value):
    """Return a caller's request headers as decoded; None if refused."""
    headers = [(name, value.encode("latin-1", "replace"))]
    try:
        return http_headers.decode(headers)
    except ValueError as exc:
        assert len(str(exc)) < 500, str(exc)[:600]
        return None


def check_bounded(found):
    """Check that numbers of a request can be computed with."""
    tokens = [found.prompt_tokens, found.output_tokens]
    tokens += [count for _, count in found.prompt_prefix]
    assert all(0 <= count <= 10**9 for count in tokens), found
    assert 0 <= found.last_event_id <= 10**15, found
    assert found.deadline_s is None or math.isfinite(found.deadline_s), found


@then("each odd header of a caller is refused or counts as absent")
def step_odd_headers(context):
    for digits in DIGITS:
        refused = {
            b"x-token-count": (digits, f"1,{digits}"),
            b"x-prompt-prefix": (f"ab:{digits}",),
        }
        for name, values in refused.items():
            for value in values:
                assert caller_headers(name, value) is None, (name, value)
        found = caller_headers(b"last-event-id", digits)
        assert found.last_event_id == 0 and found.resumes_stream, found
        found = caller_headers(b"x-request-deadline", digits)
        if found is not None:
            check_bounded(found)


@then("{count:d} random headers of callers are refused or within their bounds")
def step_random_headers(context, count):
    names = (
        b"x-token-count",
        b"x-prompt-prefix",
        b"last-event-id",
        b"x-request-deadline",
        b"authorization",
        b"host",
        b"x-model",
    )

    def check(header):
        found = caller_headers(*header)
        if found is not None:
            check_bounded(found)

    check_random(
        strategies.tuples(
            strategies.sampled_from(names),
            strategies.text("0123456789,:;.-+eEinfa² _/", max_size=12),
        ),
        count,
        check,
    )


@then("event ids and loads of odd digits count as absent")
def step_odd_numbers(context):
    for digits in DIGITS:
        data = digits.encode()
        assert http_headers.event_id(b"id: " + data + b"\ndata: 1") is None
        reply = types.SimpleNamespace(header=lambda name: b"1,0," + data)
        assert http_headers.reported_request_counts(reply) is None
    assert http_headers.event_id(b"id: 12\ndata: 1") == 12
    reply = types.SimpleNamespace(header=lambda name: b"3, 0,8")
    assert http_headers.reported_request_counts(reply) == (3, 0, 8)


@then('the settings with "{field}" as "{value}" are refused, naming it')
def step_odd_setting(context, field, value):
    fields = {
        "node": "one",
        "ip": "127.0.0.1",
        "zone": "zone-a",
        "region": "region",
        "listen.front": "127.0.0.1:1",
        "listen.readiness": "127.0.0.1:2",
        "listen.directory": "127.0.0.1:3",
        "portRange": "7600,7615",
        "platform.address": "127.0.0.1:4",
    }
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "settings"
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        assert settings_file.read(file).peers == "127.0.0.1:7600"
        fields[field] = value
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        try:
            settings_file.read(file)
        except exceptions.SettingsError as exc:
            assert field in str(exc), exc
        else:
            raise AssertionError(f"{field}={value} was accepted")


@when("odd rows stand in a table beside a sound one")
def step_table(context):
    values = list(odd_values.BYTES.values())
    context.odd = [row(f"odd-{n}", value) for n, value in enumerate(values)]
    context.sound = row("sound", b'{"change": "a", "value": {"state": 1}}')


@then("a scan finds the sound one, and a read of each other is refused")
def step_table_scan(context):
    async def scan(table, timeout_s):
        return store_module.Rows((*context.odd, context.sound), 1)

    async def read(table, key, timeout_s):
        return next(r for r in context.odd if r.key == key)

    store = types.SimpleNamespace(scan=scan, read=read)
    table = tables.PlatformTableStore(store)
    found = trio.run(table.scan, "t")
    assert [r.value for r in found] == [{"state": 1}], found
    for odd in context.odd:
        try:
            trio.run(table.read, "t", odd.key)
        except exceptions.PlatformError:
            continue
        raise AssertionError(f"{odd.value[:40]} was accepted")
