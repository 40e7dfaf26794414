"""The ASGI application that callers meet."""

import dataclasses
import functools
import json

from loguru import logger
from returns import result
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import bounds
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

__all__ = ["App", "Parts"]

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


class App:
    """Serves callers' requests.

    Parameters
    ----------
    parts : Parts
    """

    def __init__(self, parts):
        self.parts = parts

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await _live(receive, send)
        elif scope["type"] == "http":
            await self._http(scope, receive, send)

    async def _http(self, scope, receive, send):
        stopping = self.parts.stopping
        fields = dict(scope["headers"])
        request_id = bounds.request_id(fields)
        caller = callers.Caller(request_id, receive, send, stopping.leaving)
        stopping.running += 1
        try:
            with logger.contextualize(request=request_id):
                await self._answer(scope, fields, caller)
        finally:
            stopping.running -= 1

    async def _answer(self, scope, fields, caller):
        body = None
        try:
            self.parts.stopping.check_open()
            bounds.check_headers(scope, self.parts.max_header_bytes)
            route = routes.find(scope["method"], scope)
            body = await bounds.read_body(
                fields, caller.receive, self.parts.max_body_bytes
            )
            if body is not None:
                incoming = _incoming(caller.request_id, scope, fields, body)
                await self._serve(route, incoming, caller)
        except exceptions.RefusedError as exc:
            await self._refuse(exc.refusal, caller, body is not None)
        except Exception:
            logger.exception("requests: fault of the gateway")
            await self._refuse(_fault().refusal, caller, body is not None)

    async def _serve(self, route, incoming, caller):
        outcome = await _attended(
            caller, serve, route, self.parts, incoming, caller
        )
        if outcome is None:
            logger.debug("requests: the caller went away")
            return
        answer = outcome.unwrap() if _is_success(outcome) else None
        if answer is not None:
            await caller.answer(answer)
        elif not _is_success(outcome):
            raise outcome.failure()

    async def _refuse(self, refusal, caller, body_read):
        self.parts.metrics.refused(refusal.code)
        logger.info(
            "requests: refused code={} run={}", refusal.code, refusal.run
        )
        await caller.refuse(refusal, None if body_read else bounds.drain)


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


def _incoming(request_id, scope, fields, body):
    return Incoming(
        id=request_id,
        method=scope["method"],
        headers=tuple(scope["headers"]),
        fields=fields,
        authorization=fields.get(b"authorization", b"").decode("latin-1"),
        body=body,
    )


async def _attended(caller, func, *args):
    """Run a function until it ends or the caller goes away.

    Returns
    -------
    returns.result.Result or None
        What it returned, or the RefusedError that it raised; None if
        the caller went away.
    """
    outcome = None
    async with trio.open_nursery() as nursery:

        async def end_with_caller():
            await caller.gone()
            nursery.cancel_scope.cancel()

        nursery.start_soon(end_with_caller)
        try:
            outcome = result.Success(await func(*args))
        except exceptions.RefusedError as exc:
            outcome = result.Failure(exc)
        nursery.cancel_scope.cancel()
    return outcome


def _is_success(outcome):
    return isinstance(outcome, result.Success)


def _fault():
    return refusals.refused(
        "internal_error",
        "a fault of this entry; look at its log by the request's id",
        500,
        "unknown",
    )


async def _live(receive, send):
    # The server crashes where an application leaves this scope at once.
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return
