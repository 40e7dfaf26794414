"""Builders of the data that an entry decides by."""

import json
import zlib

from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import fleet_state
from dogwoodwheel.entry import planner
from dogwoodwheel.wire import messages

__all__ = [
    "heartbeat",
    "config_body",
    "endpoint",
    "engine_spec",
    "engine_view",
    "registration_body",
    "settings",
    "tracked_endpoint",
]

HOST = "frames.example"


def endpoint(name="i-1", **fields):
    """Return an endpoint of an engine service."""
    base = {
        "id": name,
        "service": "models",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "slots": 8,
    }
    return datatypes.Endpoint(**{**base, **fields})


def tracked_endpoint(name="i-1", **fields):
    """Return an endpoint that was just seen."""
    return fleet_state.TrackedEndpoint(endpoint(name, **fields))


def engine_spec(models=6, size_mb=60.0, memory_mb=200.0, **fields):
    """Return a service's engines with equal models ``m0``, ``m1``, ..."""
    specs = {
        f"m{n}": datatypes.ModelSpec(f"m{n}", size_mb, 6.0, 0.5, 0.3)
        for n in range(models)
    }
    base = {
        "models": specs,
        "memory_mb": memory_mb,
        "adapter_slots": 2,
        "weight_store_loads_per_s": 1.6,
        "slots": 64,
        "cache_tokens": 232000,
    }
    return datatypes.EngineSpec(**{**base, **fields})


def engine_view(name, models=(), adapters=(), **fields):
    """Return what the leader knows of an engine."""
    held = {m: datatypes.LoadedModel(m, frozenset(adapters)) for m in models}
    return planner.EngineView(name, held, **fields)


def settings(name="entry-1", **fields):
    """Return the settings of an entry."""
    host = _host(f"settings of {name}")
    base = {
        "name": name,
        "zone": "zone-a",
        "region": "region",
        "front": f"{host}:2",
        "readiness": f"{host}:3",
        "directory": f"{host}:4",
        "peers": f"{host}:1",
        "metrics": f"{host}:5",
        "store": "store:1",
    }
    return datatypes.Settings(**{**base, **fields})


def heartbeat(name="entry-1", **fields):
    """Return a beat of an entry."""
    base = {
        "id": 1,
        "name": name,
        "incarnation": f"{name}-one",
        "zone": "zone-a",
        "peers": f"{_host(name)}:1",
        "front": f"{_host(name)}:2",
        "state": "serving",
    }
    return messages.EntryBeat(**{**base, **fields})


def route_body(name="chat", **fields):
    """Return a route as the operator writes it."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "models",
        "maxAttempts": 2,
        "anonymous": False,
        "resumable": True,
        "gapAimMs": 400,
    }
    return {**base, **fields}


def engine_body(**fields):
    """Return an engine service as the operator writes it."""
    models = [
        {
            "name": f"m{n}",
            "weightsMb": 60.0,
            "loadS": 0.6,
            "adapters": 2,
            "adapterMb": 1.0,
            "warmS": 0.05,
            "diskS": 0.1,
        }
        for n in range(4)
    ]
    base = {
        "slots": 8,
        "kvCacheTokens": 100000,
        "models": models,
        "weightsMb": 200.0,
        "adapterSlots": 2,
        "loadsPerS": 4.0,
    }
    return {**base, **fields}


def config_body(version=1, max_body_bytes=65536, **fields):
    """Return a configuration as the operator writes it."""
    base = {
        "version": version,
        "routes": [
            route_body(),
            route_body("draft", maxAttempts=1, resumable=False),
            route_body("orders", kind="unsafe", service="plain"),
            route_body("stock", kind="safe", service="plain"),
            route_body("open", kind="safe", service="plain", anonymous=True),
        ],
        "services": [
            {
                "name": "models",
                "healthPath": "/health",
                "maxConnections": 100,
                "coldPerS": 6.5,
                "engine": engine_body(),
            },
            {
                "name": "plain",
                "healthPath": "/health",
                "maxConnections": 100,
                "coldPerS": 0.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "frost",
                "apiKeys": ["key-frost", "key-other"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 100000,
                "burst": 200000,
            },
            {
                "name": "husk",
                "apiKeys": ["key-husk"],
                "priority": 0,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            },
        ],
    }
    return json.dumps({**base, **fields}).encode()


def registration_body(**fields):
    """Return an endpoint's registration as it writes it."""
    base = {
        "service": "models",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": []}],
        "sequence": 4,
    }
    return json.dumps({**base, **fields}).encode()


def _host(name):
    """Return an address of the loopback network for a name."""
    number = zlib.crc32(name.encode())
    return f"127.{number % 250 + 1}.{number // 250 % 250}.9"
