"""Routing of requests by method and path."""

import dataclasses
import re
import urllib.parse

from dogwoodwheel.requests import refusals

__all__ = [
    "EntriesRoute",
    "ModelRoute",
    "ModelsRoute",
    "ServiceRoute",
    "matches",
    "find",
]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MODELS_PATH = "/v1/models"
ENTRIES_PATH = "/v1/entries"
SERVICES_PREFIX = "/services/"
AMBIGUOUS_PATH = re.compile(r"//|\\|[\x00-\x20\x7f]|(?:^|/)\.{1,2}(?:/|$)")
ENCODED_SLASH = re.compile(rb"%(?:2f|5c)", re.IGNORECASE)


@dataclasses.dataclass(frozen=True)
class ModelRoute:
    """A request to a model, at one of OpenAI's published paths."""

    path: str


@dataclasses.dataclass(frozen=True)
class ModelsRoute:
    """The list of models, or the model ``name`` if ``name`` is not empty."""

    name: str


@dataclasses.dataclass(frozen=True)
class EntriesRoute:
    """The list of entries that callers should use."""


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """A request to a service without models.

    Parameters
    ----------
    service : str
    path : str
        Decoded path below the service's name, with a leading slash.
    target : bytes
        The same path as received, not decoded, with the query.
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
        If there is no such path, or the path does not allow the method.
    """
    path = scope["path"]
    if path in MODEL_PATHS:
        _check_method(method, "POST")
        return ModelRoute(path)
    if path == ENTRIES_PATH:
        _check_method(method, "GET")
        return EntriesRoute()
    if path == MODELS_PATH or path.startswith(MODELS_PATH + "/"):
        _check_method(method, "GET")
        return ModelsRoute(path[len(MODELS_PATH) + 1 :])
    if path.startswith(SERVICES_PREFIX):
        return _service_route(scope)
    raise refusals.refused(
        "not_found",
        "there is no such path; use /v1/chat/completions, "
        "/v1/completions, /v1/models, /v1/entries or /services/NAME/...",
        404,
    )


def matches(route, method, path, whole_segments):
    """Return whether a declared route matches a call.

    Parameters
    ----------
    route : dogwoodwheel.declaration.datatypes.Route
    method : str
    path : str
        Decoded path below the service's name.
    whole_segments : bool
        Whether the route's path must match complete segments of ``path``.
        True for routes that grant a right, as ``open_routes`` grant
        access without a key; False for routes that restrict calls, as
        ``once_routes`` do.

    Examples
    --------
    >>> from dogwoodwheel.declaration import datatypes
    >>> route = datatypes.Route("GET", "/stock")
    >>> matches(route, "GET", "/stock/7", True)
    True
    >>> matches(route, "GET", "/stocktaking", True)
    False
    """
    if route.method not in ("*", method):
        return False
    if not path.startswith(route.path):
        return False
    rest = path[len(route.path) :]
    ends_segment = not rest or rest[0] == "/" or route.path.endswith("/")
    return ends_segment or not whole_segments


def _service_route(scope):
    raw_path = scope["raw_path"]
    path = urllib.parse.unquote_to_bytes(raw_path).decode("utf-8", "replace")
    if AMBIGUOUS_PATH.search(path) or ENCODED_SLASH.search(raw_path):
        raise refusals.refused(
            "path_ambiguous",
            "the path has empty, dot, blank or encoded segments; "
            "send its plain form",
            400,
        )
    name, slash, rest = path[len(SERVICES_PREFIX) :].partition("/")
    raw_service_path = raw_path[len(SERVICES_PREFIX) :].partition(b"/")[2]
    target = b"/" + raw_service_path
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return ServiceRoute(name, "/" + rest, target)


def _check_method(method, allowed):
    if method != allowed:
        raise refusals.refused(
            "method_not_allowed", f"use the method {allowed} here", 405
        )
