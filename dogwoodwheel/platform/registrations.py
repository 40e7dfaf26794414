"""Decodes the table in which endpoints register themselves."""

import reprlib

from dogwoodwheel.entry import datatypes
from dogwoodwheel.platform import decoding

__all__ = ["TABLE", "cached_weights", "decode", "parse_loaded_models"]

TABLE = "servers"
READY = "ready"
STATES = (READY, "draining")
MS_PER_S = 1000.0
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 24 * 3600 * MS_PER_S
# Maximum size of a row that the platform's store documents.
MAX_ROW_BYTES = 1024 * 1024


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
        If the key or the value is malformed or has an unknown state.
    """
    # The key becomes the value of a header of each request.
    if not decoding.is_identifier(key):
        raise decoding.error(
            f"registration {reprlib.repr(key)}",
            "its key is no ASCII text without spaces",
        )
    body = decoding.JsonObject.from_json(
        value, f"registration {key}", MAX_ROW_BYTES
    )
    state = body.text("state")
    if state not in STATES:
        raise decoding.error(body.what, f"state {state!r} is unknown")
    memory_weights, disk_weights = cached_weights(body)
    return datatypes.Endpoint(
        id=key,
        service=body.text("service"),
        address=body.address("address"),
        zone=body.text("zone"),
        ready=state == READY,
        slots=body.integer("slots", minimum=1, maximum=MAX_SLOTS),
        cold_s=body.number("coldLeftMs", 0, maximum=MAX_COLD_MS) / MS_PER_S,
        started_ms=body.integer("born", 0),
        models=parse_loaded_models(body),
        memory_weights=memory_weights,
        disk_weights=disk_weights,
    )


def parse_loaded_models(body):
    """Return the models that an endpoint lists as `LoadedModel`, by name.

    Parameters
    ----------
    body : dogwoodwheel.platform.decoding.JsonObject

    Raises
    ------
    DeclarationError
        If the list is malformed.
    """
    models = {}
    for item in body.children("models", ()):
        name = item.text("name")
        models[name] = datatypes.LoadedModel(
            name, frozenset(_adapter_names(item))
        )
    return models


def cached_weights(body):
    """Return models with copies of weights in host memory, and on disk.

    Parameters
    ----------
    body : dogwoodwheel.platform.decoding.JsonObject

    Returns
    -------
    memory_weights, disk_weights : frozenset of str

    Raises
    ------
    DeclarationError
        If a list of copies is malformed.
    """
    copies = body.child("atHand", None)
    return (
        frozenset(copies.texts("inMemory", ())),
        frozenset(copies.texts("onDisk", ())),
    )


def _adapter_names(model):
    """Return the adapters of a model, listed as names or as objects."""
    names = [
        item["name"] if isinstance(item, dict) and "name" in item else item
        for item in model.items("adapters")
    ]
    return decoding.JsonObject({"adapters": names}, model.what).texts(
        "adapters"
    )
