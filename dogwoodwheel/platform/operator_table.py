"""Decodes the table in which the operators configure all entries."""

import math

from dogwoodwheel.entry import datatypes
from dogwoodwheel.platform import decoding

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "TABLE",
    "decode",
]

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
    body = decoding.JsonObject.from_json(value, "the configuration")
    tenants = body.children("tenants", ())
    return datatypes.Configuration(
        version=body.integer("version"),
        routes=_parse_routes(body.children("routes")),
        services=_parse_services(body.children("services")),
        customers=_parse_customers(tenants),
        keys=_parse_keys(tenants),
        limits=_parse_limits(body.child("limits", None)),
    )


def _parse_routes(items):
    routes_by_host = {}
    for item in items:
        route = _parse_route(item)
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
        for host, routes in routes_by_host.items()
    }


def _parse_route(raw):
    timeout_ms = raw.number("timeoutMs")
    return datatypes.Route(
        name=raw.text("name"),
        host=raw.text("host").lower(),
        prefix=raw.text("prefix", max_length=decoding.MAX_TEXT_LENGTH),
        # A request of an unknown kind may have side effects, so it must not
        # run more than once.
        kind=ROUTE_KINDS.get(raw.text("kind"), datatypes.RouteKind.ONCE),
        services=_parse_split(raw),
        timeout_s=timeout_ms / MS_PER_S,
        target_latency_s=raw.number("targetLatencyMs", timeout_ms) / MS_PER_S,
        priority=raw.integer("priority", 0),
        max_attempts=raw.integer("maxAttempts", 1),
        anonymous=raw.flag("anonymous", False),
        resumable=raw.flag("resumable", False),
        max_event_gap_s=raw.number("gapAimMs", math.inf) / MS_PER_S,
    )


def _parse_split(route):
    split = route.children("split", ())
    if not split:
        return ((route.text("service"), 1.0),)
    return tuple(
        (item.text("service"), float(item.number("weight"))) for item in split
    )


def _parse_services(items):
    return {
        item.text("name"): datatypes.Service(
            name=item.text("name"),
            health_path=item.text(
                "healthPath", "/health", decoding.MAX_TEXT_LENGTH
            ),
            max_connections=item.integer("maxConnections", 0),
            cold_requests_per_s=item.number("coldPerS", 0.0),
            engine=_parse_engine(item.child("engine", None)),
        )
        for item in items
    }


def _parse_engine(raw):
    if not raw.raw:
        return None
    models = [_parse_model(item) for item in raw.children("models", ())]
    return datatypes.EngineSpec(
        models={model.name: model for model in models},
        # Despite the field's name, this memory also holds adapters.
        memory_mb=raw.number("weightsMb", 0.0),
        adapter_slots=raw.integer("adapterSlots", 0),
        weight_store_loads_per_s=raw.number("loadsPerS", 1.0),
        slots=raw.integer("slots", 1),
        cache_tokens=raw.integer("kvCacheTokens", 0),
        disk_mb=raw.number("diskMb", math.inf),
    )


def _parse_model(raw):
    load_s = raw.number("loadS")
    return datatypes.ModelSpec(
        name=raw.text("name"),
        size_mb=raw.number("weightsMb"),
        store_load_s=load_s,
        disk_load_s=raw.number("diskS", load_s),
        memory_load_s=raw.number("warmS", load_s),
        adapter_mb=raw.number("adapterMb", 0.0),
    )


def _parse_customers(items):
    return {
        item.text("name"): datatypes.Customer(
            name=item.text("name"),
            rate=float(item.number("ratePerS", 0)),
            burst=float(item.number("burst", 0)),
            priority=item.integer("priority", None),
            rate_in_tokens=item.text("unit", "") == "tokens",
            default_request_tokens=float(item.number("plainTokens", 1)),
        )
        for item in items
    }


def _parse_keys(items):
    return {
        key: item.text("name")
        for item in items
        for key in item.texts("apiKeys", max_length=decoding.MAX_TEXT_LENGTH)
    }


def _parse_limits(raw):
    defaults = datatypes.Limits()
    return datatypes.Limits(
        header_bytes=raw.integer("maxHeaderBytes", defaults.header_bytes),
        body_bytes=raw.integer("maxBodyBytes", defaults.body_bytes),
        header_timeout_s=_ms_field_in_s(
            raw, "headerTimeoutMs", defaults.header_timeout_s
        ),
        idle_timeout_s=_ms_field_in_s(
            raw, "idleTimeoutMs", defaults.idle_timeout_s
        ),
    )


def _ms_field_in_s(raw, name, default_s):
    value_ms = raw.number(name, None)
    return default_s if value_ms is None else value_ms / MS_PER_S
