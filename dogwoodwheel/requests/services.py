"""Handlers of the routes."""

import dataclasses
import functools
import json

from dogwoodwheel.requests import callers
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import coordinator_client as client_module
from dogwoodwheel.requests import deadlines
from dogwoodwheel.requests import detached as detached_module
from dogwoodwheel.requests import dispatch
from dogwoodwheel.requests import forwarding
from dogwoodwheel.requests import idempotency
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import routes
from dogwoodwheel.requests import stopping as stopping_module

__all__ = ["IncomingRequest", "Components", "serve"]

PLAIN_KIND = "plain"
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
MAX_IDEMPOTENCY_KEY_CHARS = 255
JSON_HEADERS = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(frozen=True)
class Components:
    """Components of a gateway that serve requests.

    Parameters
    ----------
    address : str
        ``IP:PORT`` at which callers reach this gateway.
    max_body_bytes, max_header_bytes : int
        Maximum size of a request's body, and of its headers together.
    coordinator_client : CoordinatorClient
        Of `dogwoodwheel.requests.coordinator_client`.
    dispatcher : dogwoodwheel.requests.dispatch.Dispatcher
    idempotent_calls : dogwoodwheel.requests.idempotency.IdempotentCalls
    graceful_shutdown : dogwoodwheel.requests.stopping.GracefulShutdown
    detached_tasks : dogwoodwheel.requests.detached.DetachedTasks
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    address: str
    max_body_bytes: int
    max_header_bytes: int
    coordinator_client: client_module.CoordinatorClient
    dispatcher: dispatch.Dispatcher
    idempotent_calls: idempotency.IdempotentCalls
    graceful_shutdown: stopping_module.GracefulShutdown
    detached_tasks: detached_module.DetachedTasks
    metrics: object


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """A request as received from a caller.

    Parameters
    ----------
    id : str
    method : str
    headers : tuple of (bytes, bytes)
    headers_by_name : dict of bytes to bytes
    authorization : str
        Value of the ``Authorization`` header.
    body : bytes
    """

    id: str
    method: str
    headers: tuple
    headers_by_name: dict = dataclasses.field(repr=False)
    authorization: str = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)


@functools.singledispatch
async def serve(route, components, incoming_request, caller):
    """Serve a request by its route.

    Returns
    -------
    dogwoodwheel.requests.callers.Answer or None
        None if the reply was already sent to the caller.

    Raises
    ------
    RefusedError
    """
    raise NotImplementedError(type(route))


@serve.register
async def _serve_entries(
    route: routes.EntriesRoute, components, incoming_request, caller
):
    entries = components.graceful_shutdown.entries(components.address)
    lifetime_s = stopping_module.ENTRIES_CACHE_S
    headers = (
        *JSON_HEADERS,
        (b"cache-control", f"max-age={lifetime_s}".encode()),
    )
    body = {"entries": list(entries), "lifetime_s": lifetime_s}
    return callers.Answer(200, headers, json.dumps(body).encode())


@serve.register
async def _serve_models(
    route: routes.ModelsRoute, components, incoming_request, caller
):
    dispatch.authenticate(
        components.coordinator_client, incoming_request.authorization
    )
    declaration = components.coordinator_client.declaration()
    names = [*declaration.models, *declaration.adapters]
    if route.name and route.name not in names:
        raise refusals.refused(
            "model_not_found",
            "there is no such model; GET /v1/models lists them",
            404,
        )
    found_models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "operators"}
        for name in ([route.name] if route.name else names)
    ]
    body = (
        found_models[0]
        if route.name
        else {"object": "list", "data": found_models}
    )
    return callers.Answer(200, JSON_HEADERS, json.dumps(body).encode())


@serve.register
async def _serve_model(
    route: routes.ModelRoute, components, incoming_request, caller
):
    coordinator_client = components.coordinator_client
    customer = dispatch.authenticate(
        coordinator_client, incoming_request.authorization
    )
    forwarding.check_key_not_exposed(
        incoming_request.authorization, incoming_request.body
    )
    declaration = coordinator_client.declaration()
    call = calls.read_model_call(
        declaration,
        route.path,
        incoming_request.body,
        id=incoming_request.id,
        customer=customer.name,
        authorization=incoming_request.authorization,
        priority=calls.priority_of(
            incoming_request.headers_by_name, declaration, customer
        ),
        deadline_of=functools.partial(
            deadlines.deadline_of, incoming_request.headers_by_name
        ),
    )
    return await components.dispatcher.run(call, caller)


@serve.register
async def _serve_plain_service(
    route: routes.ServiceRoute, components, incoming_request, caller
):
    call = _plain_call(route, components.coordinator_client, incoming_request)
    if call.at_most_once and call.idempotency_key:
        # The call continues if the caller disconnects; the caller gets
        # the answer by repeating the request with the same key.
        return await components.detached_tasks.call(
            components.idempotent_calls.run, call, components.dispatcher.run
        )
    return await components.dispatcher.run(call, caller)


def _plain_call(route, coordinator_client, incoming_request):
    declaration = coordinator_client.declaration(must_be_current=False)
    service = declaration.services.get(route.service)
    if service is None or service.kind != PLAIN_KIND:
        raise refusals.refused(
            "service_not_found",
            f"there is no plain service {route.service[:80]!r}",
            404,
        )
    customer = None
    if not _matches_any(
        service.open_routes, route, incoming_request.method, True
    ):
        customer = dispatch.authenticate(
            coordinator_client, incoming_request.authorization
        )
    forwarding.check_key_not_exposed(
        incoming_request.authorization, route.target, incoming_request.body
    )
    once = _matches_any(
        service.once_routes, route, incoming_request.method, False
    )
    return calls.PlainCall(
        id=incoming_request.id,
        service=service,
        customer=customer.name if customer else "",
        authorization=incoming_request.authorization,
        priority=calls.priority_of(
            incoming_request.headers_by_name, declaration, customer
        ),
        deadline=deadlines.deadline_of(
            incoming_request.headers_by_name, service
        ),
        body=incoming_request.body,
        method=incoming_request.method,
        path=route.path,
        target=route.target,
        headers=forwarding.request_headers(
            incoming_request.headers, incoming_request.authorization
        ),
        at_most_once=once or incoming_request.method not in IDEMPOTENT_METHODS,
        idempotency_key=_idempotency_key(incoming_request.headers_by_name),
    )


def _matches_any(declared_routes, route, method, whole_segments):
    return any(
        routes.matches(declared, method, route.path, whole_segments)
        for declared in declared_routes
    )


def _idempotency_key(headers_by_name):
    key = headers_by_name.get(b"idempotency-key", b"").decode("latin-1")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise refusals.refused(
            "bad_idempotency_key",
            f"an Idempotency-Key has at most {MAX_IDEMPOTENCY_KEY_CHARS} "
            f"characters",
            400,
        )
    return key
