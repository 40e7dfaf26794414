"""Builders of values as a faulty writer leaves them."""

import functools
import json
import math
import zlib

import msgpack

from hypothesis import strategies

from dogwoodwheel.entry import datagrams as datagrams_module
from features import entry_builders

__all__ = [
    "BYTES",
    "CONFIG_FIELDS",
    "FIELDS",
    "HEARTBEAT_FIELDS",
    "MODELS",
    "REPORT_FIELDS",
    "config_with",
    "datagrams",
    "json_texts",
    "mutated_texts",
    "nested",
    "registration_with",
    "report_body",
    "report_with",
]


def _nest(depth):
    return functools.reduce(lambda value, _: (value,), range(depth), 1)


# Field of a registration and its JSON text, by what is odd about it.
FIELDS = {
    "too many slots": ("slots", "1" + "0" * 30),
    "infinite slots": ("slots", "1e400"),
    "no slots": ("slots", "0"),
    "negative slots": ("slots", "-1"),
    "slots as a text": ("slots", '"8"'),
    "slots as a truth value": ("slots", "true"),
    "slots with a fraction": ("slots", "1.5"),
    "slots of 5000 digits": ("slots", "9" * 5000),
    "an infinite start": ("born", "1e400"),
    "a start as a list": ("born", "[1]"),
    "port out of range": ("address", '"127.0.0.1:70000"'),
    "port 0": ("address", '"127.0.0.1:0"'),
    "port of another digit": ("address", '"127.0.0.1:\\u00b2"'),
    "port of 5000 digits": ("address", f'"127.0.0.1:{"9" * 5000}"'),
    "no port": ("address", '"127.0.0.1"'),
    "host that is no address": ("address", '"no such host:80"'),
    "host with a NUL": ("address", '"127.0.0.1\\u0000:80"'),
    "address as a number": ("address", "80"),
    "infinitely cold": ("coldLeftMs", "1e400"),
    "cold for no number": ("coldLeftMs", "NaN"),
    "cold as a text": ("coldLeftMs", '"7"'),
    "zone of a lone surrogate": ("zone", '"\\ud800"'),
    "zone with a line end": ("zone", '"a\\r\\nb"'),
    "zone as a list": ("zone", "[]"),
    "service as an object": ("service", "{}"),
    "service of a lone surrogate": ("service", '"\\udfff"'),
    "unknown state": ("state", '"resting"'),
    "state as a list": ("state", "[]"),
    "models as an object": ("models", "{}"),
    "models as numbers": ("models", "[1]"),
    "model without a name": ("models", '[{"adapters": []}]'),
    "model named by a list": ("models", '[{"name": [], "adapters": []}]'),
    "model of a surrogate": (
        "models",
        '[{"name": "\\ud800", "adapters": []}]',
    ),
    "adapters as a number": ("models", '[{"name": "m0", "adapters": 1}]'),
    "adapter as a list": ("models", '[{"name": "m0", "adapters": [[]]}]'),
    "adapter without a name": ("models", '[{"name": "m0", "adapters": [{}]}]'),
    "copies as a text": ("atHand", '"m0"'),
    "copies as lists": ("atHand", '{"inMemory": [[]], "onDisk": []}'),
    "copies as one text": ("atHand", '{"inMemory": "m0"}'),
    "deeply nested field": ("other", "[" * 900 + "]" * 900),
}


def nested(depth):
    """Return a JSON text of lists in lists."""
    return "[" * depth + "]" * depth


# Field of an engine's report and its JSON text, by what is odd about it.
REPORT_FIELDS = {
    "infinitely many orders": ("sequence", "1e400"),
    "orders as a text": ("sequence", '"2"'),
    "negative orders": ("sequence", "-1"),
    "orders of 30 digits": ("sequence", "9" * 30),
    "no orders": ("sequence", "null"),
    "busy as a number": ("busy", "0"),
    "infinite queue": ("queued", "1e400"),
    "running as a list": ("active", "[]"),
    "no tokens": ("kvUsed", "NaN"),
    "adapters as numbers": ("coming", "[1]"),
    "adapters as a text": ("coming", '"m0/a1@1"'),
    "models as a text": ("models", '"m0"'),
    "model of a surrogate": (
        "models",
        '[{"name": "\\ud800", "adapters": []}]',
    ),
    "models nested deeply": ("models", "[" * 100_000),
    "copies as numbers": ("atHand", '{"inMemory": [1]}'),
}
# Path in a configuration and the value there, by what is odd about it.
CONFIG_FIELDS = {
    "version as a text": (("version",), "7"),
    "infinite version": (("version",), math.inf),
    "version as a truth value": (("version",), True),
    "routes as an object": (("routes",), {}),
    "route as a list": (("routes", 0), []),
    "host as a number": (("routes", 0, "host"), 1),
    "prefix of a surrogate": (("routes", 0, "prefix"), "/\ud800/"),
    "infinite time limit": (("routes", 0, "timeoutMs"), math.inf),
    "time limit as a text": (("routes", 0, "timeoutMs"), "5000"),
    "time limit of 30 digits": (("routes", 0, "timeoutMs"), 10**30),
    "priority as a text": (("routes", 0, "priority"), "1"),
    "attempts as a list": (("routes", 0, "maxAttempts"), []),
    "resumable as a number": (("routes", 0, "resumable"), 1),
    "gap that is no number": (("routes", 0, "gapAimMs"), math.nan),
    "service as a list": (("routes", 0, "service"), []),
    "split as a number": (("routes", 0, "split"), 1),
    "negative weight": (
        ("routes", 0, "split"),
        [{"service": "plain", "weight": -1}],
    ),
    "services as a number": (("services",), 1),
    "connections as a text": (("services", 0, "maxConnections"), "100"),
    "models as numbers": (("services", 0, "engine", "models"), [1]),
    "infinite weights": (("services", 0, "engine", "weightsMb"), math.inf),
    "model named by a list": (
        ("services", 0, "engine", "models", 0, "name"),
        [],
    ),
    "load time as a text": (
        ("services", 0, "engine", "models", 0, "loadS"),
        "6",
    ),
    "customers as a text": (("tenants",), "husk"),
    "customer's name with a line end": (("tenants", 0, "name"), "a\r\nb"),
    "keys as a text": (("tenants", 0, "apiKeys"), "key"),
    "keys as lists": (("tenants", 0, "apiKeys"), [[]]),
    "infinite rate": (("tenants", 0, "ratePerS"), math.inf),
    "limits as a list": (("limits",), [1]),
    "size limit as a text": (("limits", "maxBodyBytes"), "1"),
    "negative time limit": (("limits", "idleTimeoutMs"), -1),
}
# Field of a heartbeat and its value, by what is odd about it.
HEARTBEAT_FIELDS = {
    "peers without a port": ("peers", "127.0.0.1"),
    "peers of a name": ("peers", "a" * 70 + ".example:1"),
    "peers as a number": ("peers", 7),
    "port of peers out of range": ("peers", "127.0.0.1:70000"),
    "front as a list": ("front", ()),
    "name as a map": ("name", {}),
    "state as a number": ("state", 1),
    "version as a text": ("config_version", "7"),
    "age that is no number": ("store_age_s", math.nan),
    "infinite age": ("scan_age_s", math.inf),
    "row as nothing": ("operator_row", None),
    "link as a text": ("link_mbps", "fast"),
    "known as a text": ("known", "127.0.0.1:1"),
    "known as numbers": ("known", (1, 2)),
    "known of odd ports": ("known", ("127.0.0.1:99999", "x:\u00b2")),
    "load as a list": ("load", ()),
    "load as numbers": ("load", {"e1": 1}),
    "load of a text": ("load", {"e1": (1, "2", {})}),
    "outcomes that are no numbers": ("outcomes", {"p1": (math.nan, 1.0)}),
    "spent as a list": ("spent", (1,)),
    "infinitely spent": ("spent", {"husk": math.inf}),
    "asked as a text": ("asked", "m0"),
    "asked by a text": ("asked", {"m0": "many"}),
    "waiting as a number": ("waiting", 7),
    "lease as a number": ("lease", 7),
    "lease of texts": ("lease", ("1", "2")),
    "holdings as a list": ("holdings", ()),
    "holdings of no age": ("holdings", {"e1": (math.nan, {}, "")}),
    "limits as a list": ("limits", (1,)),
    "start of a leaving endpoint as a text": ("leaving", {"p1": "x"}),
    "leaving as a list": ("leaving", (1,)),
    "era as a text": ("store_era", "2"),
    "sound parts as a text": ("sound_parts", "ab"),
    "nested id": ("id", _nest(400)),
}
# Value of a row, by what is odd about it.
BYTES = {
    "empty": b"",
    "no JSON": b"not json",
    "no UTF-8": b"\xff\xfe{}",
    "a NUL": b"\0",
    "a number": b"7",
    "a list": b"[]",
    "null": b"null",
    "an empty object": b"{}",
    "deeply nested": nested(100_000).encode(),
    "deeply nested objects": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "deeply nested, cut off": b"[" * 100_000,
}
MODELS = {
    "deeply nested models": f"[{nested(100_000)}]",
    "a model of nested lists": f'[{{"name": {nested(500)}, "adapters": []}}]',
}


def registration_with(field, text):
    """Return a registration with the JSON text of one field."""
    return _with_field(entry_builders.registration_body(), field, text)


def config_with(path, value):
    """Return a configuration with another value at a path."""
    body = json.loads(entry_builders.config_body())
    container = body
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return json.dumps(body).encode()


def datagrams():
    """Return odd datagrams by what is odd about them."""
    frames = {
        "no map": 7,
        "an empty map": {},
        "version as a text": {"v": "1", "k": "EntryBeat", "r": 0, "f": {}},
        "no version": {"v": None, "k": "EntryBeat", "r": 0, "f": {}},
        "a nested class": {"v": 1, "k": _nest(400), "r": 0, "f": {}},
        "fields as a list": {"v": 1, "k": "EntryBeat", "r": 0, "f": [1]},
        "no fields": {"v": 1, "k": "EntryBeat", "r": 0, "f": {}},
        "a message of another program": {
            "v": 1,
            "k": "Ok",
            "r": 0,
            "f": {"id": 1},
        },
        "rows as numbers": _scan(rows=[1]),
        "rows as a text": _scan(rows="abc"),
        "a row of numbers": _scan(rows=[[1, 2, 3]]),
        "a row without a value": _scan(rows=[["i-1", 2, None]]),
        "rows of no age": _scan(age_s=math.nan),
        "rows of a later time": _scan(age_s=-math.inf),
    }
    found = {name: pack(body) for name, body in frames.items()}
    found["no message"] = b"not a datagram"
    found["an empty one"] = b""
    found["nested lists"] = _compress(b"\0\0\0\0" + b"\x91" * 20_000)
    found["a bomb"] = _compress(b"\0" * 50_000_000)
    found["cut off"] = pack(frames["no fields"])[:-3]
    return found


def pack(body):
    """Return the datagram of a frame's body."""
    return _compress(b"\0\0\0\0" + msgpack.packb(body))


def _scan(**fields):
    base = {"id": 0, "name": "x", "age_s": 0.0, "version": 1, "rows": []}
    return {"v": 1, "k": "EndpointRows", "r": False, "f": {**base, **fields}}


def _compress(data):
    compressor = zlib.compressobj(
        9, zdict=datagrams_module.COMPRESSION_DICTIONARY
    )
    return compressor.compress(data) + compressor.flush()


def report_body():
    """Return the report of an engine."""
    body = {
        "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
        "busy": False,
        "sequence": 2,
        "queued": 1,
        "active": 12,
        "kvUsed": 41000,
        "kvCapacity": 90000,
        "coming": ["m0/a2@1"],
        "atHand": {"inMemory": ["m0"], "onDisk": []},
    }
    return json.dumps(body).encode()


def report_with(field, text):
    """Return an engine's report with the JSON text of one field."""
    return _with_field(report_body(), field, text)


def json_texts():
    """Return a strategy of JSON texts with odd values."""
    return _json_values().map(lambda v: json.dumps(v).encode())


def mutated_texts(texts):
    """Return a strategy of sound JSON texts in which some values are odd.

    Parameters
    ----------
    texts : sequence of bytes
    """
    return strategies.builds(
        _mutate,
        strategies.sampled_from(texts),
        strategies.lists(
            strategies.tuples(strategies.integers(0, 10**6), _json_values()),
            min_size=1,
            max_size=4,
        ),
    )


def _with_field(value, field, text):
    body = json.loads(value)
    body.pop(field, None)
    return (json.dumps(body)[:-1] + f', "{field}": {text}}}').encode()


def _json_values():
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.sampled_from([10**30, -(10**30), 2**63, 0, 1, -1])
        | strategies.floats()
        | strategies.text(max_size=8)
        | strategies.sampled_from(["\ud800", "a\r\nb", "²", "1" * 5000])
    )
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner),
        max_leaves=8,
    )


def _mutate(text, changes):
    body = json.loads(text)
    for place, value in changes:
        places = list(_places(body))
        container, key = places[place % len(places)]
        container[key] = value
    return json.dumps(body).encode()


def _places(body):
    items = body.items() if isinstance(body, dict) else enumerate(body)
    for key, value in list(items):
        yield body, key
        if isinstance(value, (dict, list)):
            yield from _places(value)
