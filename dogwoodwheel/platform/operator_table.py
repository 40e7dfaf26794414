"""Decodes the table in which the operators configure all entries."""

import json
import math

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions

__all__ = ["CONFIGURATION_KEY", "EVACUATION_PREFIX", "TABLE", "decode"]

TABLE = "op"
CONFIGURATION_KEY = "config"
# The key of a row that evacuates an availability zone is this prefix and the
# name of the zone.  Endpoints of an evacuated zone get no new requests.
EVACUATION_PREFIX = "evacuate/"
ROUTE_KINDS = {
    "safe": datatypes.RouteKind.SAFE,
    "unsafe": datatypes.RouteKind.ONCE,
    "stream": datatypes.RouteKind.STREAM,
}
MS_PER_S = 1000.0


def decode(value):
    """Return the configuration that a row of the operators' table contains.

    Parameters
    ----------
    value : bytes
        Value of the row with key `CONFIGURATION_KEY`, as JSON.

    Returns
    -------
    dogwoodwheel.entry.datatypes.Configuration

    Raises
    ------
    DeclarationError
        If the value is malformed or lacks a required field.
    """
    try:
        body = json.loads(value)
        return datatypes.Configuration(
            version=body["version"],
            routes=_parse_routes(body["routes"]),
            services=_parse_services(body["services"]),
            customers=_parse_customers(body.get("tenants", ())),
            keys=_parse_keys(body.get("tenants", ())),
            limits=_parse_limits(body.get("limits", {})),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise exceptions.DeclarationError(
            (f"the configuration is malformed ({exc!r}); correct it",)
        ) from exc


def _parse_routes(raw):
    routes_by_host = {}
    for item in raw:
        routes_by_host.setdefault(item["host"].lower(), []).append(
            _parse_route(item)
        )
    return {
        host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
        for host, routes in routes_by_host.items()
    }


def _parse_route(raw):
    split = raw.get("split")
    if split:
        services = tuple((s["service"], float(s["weight"])) for s in split)
    else:
        services = ((raw["service"], 1.0),)
    timeout_s = raw["timeoutMs"] / MS_PER_S
    return datatypes.Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        # A request of an unknown kind may have side effects, so it must not
        # run more than once.
        kind=ROUTE_KINDS.get(raw["kind"], datatypes.RouteKind.ONCE),
        services=services,
        timeout_s=timeout_s,
        target_latency_s=raw.get("targetLatencyMs", raw["timeoutMs"])
        / MS_PER_S,
        priority=raw.get("priority", 0),
        max_attempts=raw.get("maxAttempts", 1),
        anonymous=raw.get("anonymous", False),
        resumable=raw.get("resumable", False),
        max_event_gap_s=raw.get("gapAimMs", math.inf) / MS_PER_S,
    )


def _parse_services(raw):
    return {
        item["name"]: datatypes.Service(
            name=item["name"],
            health_path=item.get("healthPath", "/health"),
            max_connections=item.get("maxConnections", 0),
            cold_requests_per_s=item.get("coldPerS", 0.0),
            engine=(
                _parse_engine(item["engine"]) if item.get("engine") else None
            ),
        )
        for item in raw
    }


def _parse_engine(raw):
    return datatypes.EngineSpec(
        models={m["name"]: _parse_model(m) for m in raw.get("models", ())},
        # Despite the field's name, this memory also holds adapters.
        memory_mb=raw.get("weightsMb", 0.0),
        adapter_slots=raw.get("adapterSlots", 0),
        weight_store_loads_per_s=raw.get("loadsPerS", 1.0),
        slots=raw.get("slots", 1),
        cache_tokens=raw.get("kvCacheTokens", 0),
        disk_mb=raw.get("diskMb", math.inf),
    )


def _parse_model(raw):
    load_s = raw["loadS"]
    return datatypes.ModelSpec(
        name=raw["name"],
        size_mb=raw["weightsMb"],
        store_load_s=load_s,
        disk_load_s=raw.get("diskS", load_s),
        memory_load_s=raw.get("warmS", load_s),
        adapter_mb=raw.get("adapterMb", 0.0),
    )


def _parse_customers(raw):
    return {
        item["name"]: datatypes.Customer(
            name=item["name"],
            rate=float(item.get("ratePerS") or 0),
            burst=float(item.get("burst") or 0),
            priority=item.get("priority"),
            rate_in_tokens=item.get("unit") == "tokens",
            default_request_tokens=float(item.get("plainTokens", 1)),
        )
        for item in raw
    }


def _parse_keys(raw):
    return {key: item["name"] for item in raw for key in item["apiKeys"]}


def _parse_limits(raw):
    defaults = datatypes.Limits()
    return datatypes.Limits(
        header_bytes=raw.get("maxHeaderBytes", defaults.header_bytes),
        body_bytes=raw.get("maxBodyBytes", defaults.body_bytes),
        header_timeout_s=_ms_field_in_s(
            raw, "headerTimeoutMs", defaults.header_timeout_s
        ),
        idle_timeout_s=_ms_field_in_s(
            raw, "idleTimeoutMs", defaults.idle_timeout_s
        ),
    )


def _ms_field_in_s(raw, name, default_s):
    return raw[name] / MS_PER_S if name in raw else default_s
