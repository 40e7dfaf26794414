"""Decodes the table in which endpoints register themselves."""

import json

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions

__all__ = ["TABLE", "decode", "parse_loaded_models"]

TABLE = "servers"
READY = "ready"
STATES = (READY, "draining")
MS_PER_S = 1000.0


def decode(key, value):
    """Return the `Endpoint` that a registration describes.

    Parameters
    ----------
    key : str
        Key of the row: ID of the endpoint's process instance.
    value : bytes
        Value of the row: the registration, as JSON.

    Raises
    ------
    DeclarationError
        If the value is malformed or has an unknown state.
    """
    try:
        body = json.loads(value)
        return _parse_endpoint(key, body)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise exceptions.DeclarationError(
            (f"registration {key} is malformed ({exc!r}) and is ignored",)
        ) from exc


def parse_loaded_models(raw):
    """Return the models of a JSON list as `LoadedModel`, by name."""
    return {
        item["name"]: datatypes.LoadedModel(
            item["name"],
            frozenset(_parse_adapter(a) for a in item["adapters"]),
        )
        for item in raw
    }


def _parse_adapter(raw):
    return raw["name"] if isinstance(raw, dict) else str(raw)


def _parse_endpoint(key, body):
    if body["state"] not in STATES:
        raise ValueError(f"state {body['state']!r} is unknown")
    host, _, port = body["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {body['address']!r} is not IP:PORT")
    for name in ("service", "zone"):
        if not isinstance(body[name], str):
            raise TypeError(name)
    # Copies of weights in host memory or on disk, not in accelerator memory.
    cached_copies = body.get("atHand") or {}
    return datatypes.Endpoint(
        id=key,
        service=body["service"],
        address=body["address"],
        zone=body["zone"],
        ready=body["state"] == READY,
        slots=int(body["slots"]),
        cold_s=float(body.get("coldLeftMs") or 0) / MS_PER_S,
        started_ms=int(body.get("born") or 0),
        models=parse_loaded_models(body.get("models") or ()),
        memory_weights=frozenset(cached_copies.get("inMemory") or ()),
        disk_weights=frozenset(cached_copies.get("onDisk") or ()),
    )
