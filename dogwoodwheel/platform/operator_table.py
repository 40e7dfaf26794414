"""What the platform's operator wrote, as the product's configuration."""

import json
import math

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions

__all__ = ["CONFIGURATION_KEY", "EVACUATION_PREFIX", "TABLE", "decode"]

TABLE = "op"
CONFIGURATION_KEY = "config"
# The rest of such a key is the zone that receives nothing more.
EVACUATION_PREFIX = "evacuate/"
KINDS = {
    "safe": datatypes.RouteKind.SAFE,
    "unsafe": datatypes.RouteKind.ONCE,
    "stream": datatypes.RouteKind.STREAM,
}
MILLISECONDS = 1000.0


def decode(value):
    """Return the configuration in a row.

    Parameters
    ----------
    value : bytes

    Returns
    -------
    dogwoodwheel.entry.datatypes.Configuration

    Raises
    ------
    DeclarationError
        If it cannot be read.
    """
    try:
        body = json.loads(value)
        return datatypes.Configuration(
            version=body["version"],
            routes=_routes(body["routes"]),
            services=_services(body["services"]),
            customers=_customers(body.get("tenants", ())),
            keys=_keys(body.get("tenants", ())),
            limits=_limits(body.get("limits", {})),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise exceptions.DeclarationError(
            (f"the configuration cannot be read ({exc!r}); write it anew",)
        ) from exc


def _routes(raw):
    hosts = {}
    for item in raw:
        hosts.setdefault(item["host"].lower(), []).append(_route(item))
    return {
        host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
        for host, routes in hosts.items()
    }


def _route(raw):
    split = raw.get("split")
    if split:
        services = tuple((s["service"], float(s["weight"])) for s in split)
    else:
        services = ((raw["service"], 1.0),)
    timeout_s = raw["timeoutMs"] / MILLISECONDS
    return datatypes.Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        # An unknown kind may have any effect, so it runs once at most.
        kind=KINDS.get(raw["kind"], datatypes.RouteKind.ONCE),
        services=services,
        timeout_s=timeout_s,
        target_latency_s=raw.get("targetLatencyMs", raw["timeoutMs"])
        / MILLISECONDS,
        priority=raw.get("priority", 0),
        max_attempts=raw.get("maxAttempts", 1),
        anonymous=raw.get("anonymous", False),
        resumable=raw.get("resumable", False),
        max_event_gap_s=raw.get("gapAimMs", math.inf) / MILLISECONDS,
    )


def _services(raw):
    return {
        item["name"]: datatypes.Service(
            name=item["name"],
            health_path=item.get("healthPath", "/health"),
            max_connections=item.get("maxConnections", 0),
            cold_requests_per_s=item.get("coldPerS", 0.0),
            engine=_engine(item["engine"]) if item.get("engine") else None,
        )
        for item in raw
    }


def _engine(raw):
    return datatypes.EngineSpec(
        models={m["name"]: _model(m) for m in raw.get("models", ())},
        # Weights and adapters share this memory.
        memory_mb=raw.get("weightsMb", 0.0),
        adapter_slots=raw.get("adapterSlots", 0),
        loads_per_s=raw.get("loadsPerS", 1.0),
        slots=raw.get("slots", 1),
        cache_tokens=raw.get("kvCacheTokens", 0),
        disk_mb=raw.get("diskMb", math.inf),
    )


def _model(raw):
    load_s = raw["loadS"]
    return datatypes.ModelSpec(
        name=raw["name"],
        size_mb=raw["weightsMb"],
        store_load_s=load_s,
        disk_load_s=raw.get("diskS", load_s),
        memory_load_s=raw.get("warmS", load_s),
        adapter_mb=raw.get("adapterMb", 0.0),
    )


def _customers(raw):
    return {
        item["name"]: datatypes.Customer(
            name=item["name"],
            rate=float(item.get("ratePerS") or 0),
            burst=float(item.get("burst") or 0),
            priority=item.get("priority"),
            rate_in_tokens=item.get("unit") == "tokens",
            default_tokens=float(item.get("plainTokens", 1)),
        )
        for item in raw
    }


def _keys(raw):
    return {key: item["name"] for item in raw for key in item["apiKeys"]}


def _limits(raw):
    base = datatypes.Limits()
    return datatypes.Limits(
        header_bytes=raw.get("maxHeaderBytes", base.header_bytes),
        body_bytes=raw.get("maxBodyBytes", base.body_bytes),
        header_timeout_s=_seconds(
            raw, "headerTimeoutMs", base.header_timeout_s
        ),
        idle_timeout_s=_seconds(raw, "idleTimeoutMs", base.idle_timeout_s),
    )


def _seconds(raw, name, default):
    return raw[name] / MILLISECONDS if name in raw else default
