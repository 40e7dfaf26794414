"""What a method and a path ask for."""

import dataclasses
import re
import urllib.parse

from dogwoodwheel.requests import refusals

__all__ = [
    "EntriesRoute",
    "ModelRoute",
    "ModelsRoute",
    "ServiceRoute",
    "covers",
    "find",
]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MODELS_PATH = "/v1/models"
ENTRIES_PATH = "/v1/entries"
SERVICES = "/services/"
AMBIGUOUS = re.compile(r"//|\\|[\x00-\x20\x7f]|(?:^|/)\.{1,2}(?:/|$)")
ENCODED_SLASH = re.compile(rb"%(?:2f|5c)", re.IGNORECASE)


@dataclasses.dataclass(frozen=True)
class ModelRoute:
    """A request to a model, at one of OpenAI's published paths."""

    path: str


@dataclasses.dataclass(frozen=True)
class ModelsRoute:
    """The list of models, or one of them where ``name`` is not empty."""

    name: str


@dataclasses.dataclass(frozen=True)
class EntriesRoute:
    """The list of entries to use."""


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """A call of a plain service.

    Parameters
    ----------
    service : str
    path : str
        Decoded path below the service's name, with its first slash.
    target : bytes
        The same as it came on the wire, with the query.
    """

    service: str
    path: str
    target: bytes


def find(method, scope):
    """Return the route of a request.

    Parameters
    ----------
    method : str
    scope : dict
        The ASGI scope.

    Raises
    ------
    RefusedError
        If there is no such path, or not by this method.
    """
    path = scope["path"]
    if path in MODEL_PATHS:
        _allow(method, "POST")
        return ModelRoute(path)
    if path == ENTRIES_PATH:
        _allow(method, "GET")
        return EntriesRoute()
    if path == MODELS_PATH or path.startswith(MODELS_PATH + "/"):
        _allow(method, "GET")
        return ModelsRoute(path[len(MODELS_PATH) + 1 :])
    if path.startswith(SERVICES):
        return _service_route(scope)
    raise refusals.refused(
        "not_found",
        "there is no such path; use /v1/chat/completions, "
        "/v1/completions, /v1/models, /v1/entries or /services/NAME/...",
        404,
    )


def covers(route, method, path, whole_segments):
    """Tell whether a declared route covers a call.

    Parameters
    ----------
    route : dogwoodwheel.declaration.model.Route
    method : str
    path : str
    whole_segments : bool
        Whether the prefix must end where a segment of the path ends.
        What gives a right asks for it, what takes one away does not.

    Examples
    --------
    >>> from dogwoodwheel.declaration import model
    >>> route = model.Route("GET", "/stock")
    >>> covers(route, "GET", "/stock/7", True)
    True
    >>> covers(route, "GET", "/stocktaking", True)
    False
    """
    if route.method not in ("*", method):
        return False
    if not path.startswith(route.path):
        return False
    rest = path[len(route.path) :]
    ends = not rest or rest[0] == "/" or route.path.endswith("/")
    return ends or not whole_segments


def _service_route(scope):
    raw = scope["raw_path"]
    path = urllib.parse.unquote_to_bytes(raw).decode("utf-8", "replace")
    if AMBIGUOUS.search(path) or ENCODED_SLASH.search(raw):
        raise refusals.refused(
            "path_ambiguous",
            "the path has empty, dot, blank or encoded segments; "
            "send its plain form",
            400,
        )
    name, slash, rest = path[len(SERVICES) :].partition("/")
    raw_rest = raw[len(SERVICES) :].partition(b"/")[2]
    target = b"/" + raw_rest
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return ServiceRoute(name, "/" + rest, target)


def _allow(method, allowed):
    if method != allowed:
        raise refusals.refused(
            "method_not_allowed", f"use the method {allowed} here", 405
        )
