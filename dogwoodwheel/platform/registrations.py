"""Endpoints as they register themselves in the platform's store."""

import json

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions

__all__ = ["TABLE", "decode", "loaded"]

TABLE = "servers"
READY = "ready"
STATES = (READY, "draining")
MILLISECONDS = 1000.0


def decode(key, value):
    """Return the endpoint that a row describes.

    Parameters
    ----------
    key : str
        Name of the endpoint's incarnation.
    value : bytes

    Raises
    ------
    DeclarationError
        If the row names no endpoint to use.
    """
    try:
        body = json.loads(value)
        return _endpoint(key, body)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise exceptions.DeclarationError(
            (f"registration {key} cannot be read ({exc!r}); it is ignored",)
        ) from exc


def loaded(raw):
    """Return the models of a list, each with its adapters, by name."""
    return {
        item["name"]: datatypes.LoadedModel(
            item["name"], frozenset(_adapter(a) for a in item["adapters"])
        )
        for item in raw
    }


def _adapter(raw):
    return raw["name"] if isinstance(raw, dict) else str(raw)


def _endpoint(key, body):
    if body["state"] not in STATES:
        raise ValueError(f"state {body['state']!r}")
    host, _, port = body["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {body['address']!r}")
    for name in ("service", "zone"):
        if not isinstance(body[name], str):
            raise TypeError(name)
    # Copies of weights outside the accelerators' memory.
    at_hand = body.get("atHand") or {}
    return datatypes.Endpoint(
        id=key,
        service=body["service"],
        address=body["address"],
        zone=body["zone"],
        ready=body["state"] == READY,
        slots=int(body["slots"]),
        cold_s=float(body.get("coldLeftMs") or 0) / MILLISECONDS,
        started_ms=int(body.get("born") or 0),
        models=loaded(body.get("models") or ()),
        in_memory=frozenset(at_hand.get("inMemory") or ()),
        on_disk=frozenset(at_hand.get("onDisk") or ()),
    )
