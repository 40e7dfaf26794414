"""How each route is served."""

import dataclasses
import functools
import json

from dogwoodwheel.requests import callers
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import control as control_module
from dogwoodwheel.requests import deadlines
from dogwoodwheel.requests import detached as detached_module
from dogwoodwheel.requests import dispatch
from dogwoodwheel.requests import forwarding
from dogwoodwheel.requests import idempotency
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import routes
from dogwoodwheel.requests import stopping as stopping_module

__all__ = ["Incoming", "Parts", "serve"]

PLAIN = "plain"
SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
MAX_KEY_CHARS = 255
JSON_HEADERS = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the application is built of.

    Parameters
    ----------
    address : str
        ``IP:PORT`` at which callers reach this gateway.
    max_body_bytes, max_header_bytes : int
    control, dispatcher, records, stopping, detached
        Of the modules of these names.
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    address: str
    max_body_bytes: int
    max_header_bytes: int
    control: control_module.Control
    dispatcher: dispatch.Dispatcher
    records: idempotency.Records
    stopping: stopping_module.Stopping
    detached: detached_module.Detached
    metrics: object


@dataclasses.dataclass(frozen=True)
class Incoming:
    """A request as it came.

    Parameters
    ----------
    id : str
    method : str
    headers : tuple of (bytes, bytes)
    fields : dict of bytes to bytes
        The headers by name.
    authorization : str
    body : bytes
    """

    id: str
    method: str
    headers: tuple
    fields: dict = dataclasses.field(repr=False)
    authorization: str = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)


@functools.singledispatch
async def serve(route, parts, incoming, caller):
    """Serve a request by its route.

    Returns
    -------
    dogwoodwheel.requests.callers.Answer or None
        None where the caller got the whole reply already.

    Raises
    ------
    RefusedError
    """
    raise NotImplementedError(type(route))


@serve.register
async def _entries(route: routes.EntriesRoute, parts, incoming, caller):
    entries = parts.stopping.entries(parts.address)
    lifetime_s = stopping_module.LIFETIME_S
    headers = (
        *JSON_HEADERS,
        (b"cache-control", f"max-age={lifetime_s}".encode()),
    )
    body = {"entries": list(entries), "lifetime_s": lifetime_s}
    return callers.Answer(200, headers, json.dumps(body).encode())


@serve.register
async def _models(route: routes.ModelsRoute, parts, incoming, caller):
    dispatch.authorise(parts.control, incoming.authorization)
    declaration = parts.control.declaration()
    names = [*declaration.models, *declaration.adapters]
    if route.name and route.name not in names:
        raise refusals.refused(
            "model_not_found",
            "there is no such model; GET /v1/models lists them",
            404,
        )
    shown = [
        {"id": name, "object": "model", "created": 0, "owned_by": "operators"}
        for name in ([route.name] if route.name else names)
    ]
    body = shown[0] if route.name else {"object": "list", "data": shown}
    return callers.Answer(200, JSON_HEADERS, json.dumps(body).encode())


@serve.register
async def _model(route: routes.ModelRoute, parts, incoming, caller):
    control = parts.control
    customer = dispatch.authorise(control, incoming.authorization)
    forwarding.check_key_free(incoming.authorization, incoming.body)
    declaration = control.declaration()
    call = calls.read_model_call(
        declaration,
        route.path,
        incoming.body,
        id=incoming.id,
        customer=customer.name,
        authorization=incoming.authorization,
        priority=calls.priority_of(incoming.fields, declaration, customer),
        deadline_of=functools.partial(deadlines.deadline_of, incoming.fields),
    )
    return await parts.dispatcher.run(call, caller)


@serve.register
async def _service(route: routes.ServiceRoute, parts, incoming, caller):
    call = _plain_call(route, parts.control, incoming)
    if call.once and call.key:
        # Goes on without the caller, who may ask again for the answer.
        return await parts.detached.call(
            parts.records.run, call, parts.dispatcher.run
        )
    return await parts.dispatcher.run(call, caller)


def _plain_call(route, control, incoming):
    declaration = control.declaration(keyed=False)
    service = declaration.services.get(route.service)
    if service is None or service.kind != PLAIN:
        raise refusals.refused(
            "service_not_found",
            f"there is no plain service {route.service[:80]!r}",
            404,
        )
    customer = None
    if not _covered(service.open_routes, route, incoming.method, True):
        customer = dispatch.authorise(control, incoming.authorization)
    forwarding.check_key_free(
        incoming.authorization, route.target, incoming.body
    )
    once = _covered(service.once_routes, route, incoming.method, False)
    return calls.PlainCall(
        id=incoming.id,
        service=service,
        customer=customer.name if customer else "",
        authorization=incoming.authorization,
        priority=calls.priority_of(incoming.fields, declaration, customer),
        deadline=deadlines.deadline_of(incoming.fields, service),
        body=incoming.body,
        method=incoming.method,
        path=route.path,
        target=route.target,
        headers=forwarding.request_headers(
            incoming.headers, incoming.authorization
        ),
        once=once or incoming.method not in SAFE_METHODS,
        key=_idempotency_key(incoming.fields),
    )


def _covered(declared, route, method, whole_segments):
    return any(
        routes.covers(one, method, route.path, whole_segments)
        for one in declared
    )


def _idempotency_key(fields):
    key = fields.get(b"idempotency-key", b"").decode("latin-1")
    if len(key) > MAX_KEY_CHARS:
        raise refusals.refused(
            "bad_idempotency_key",
            f"an Idempotency-Key has at most {MAX_KEY_CHARS} characters",
            400,
        )
    return key
