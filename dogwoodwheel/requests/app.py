"""The ASGI application that callers meet."""

from loguru import logger
from returns import result
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import asgi
from dogwoodwheel.requests import bounds
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import routes
from dogwoodwheel.requests import services

__all__ = ["App"]


MAX_REQUESTS = 4000


class App:
    """Serves callers' requests.

    Parameters
    ----------
    parts : dogwoodwheel.requests.services.Parts
    """

    def __init__(self, parts):
        self.parts = parts

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.live(receive, send)
        elif scope["type"] == "http":
            await self._http(scope, receive, send)

    async def _http(self, scope, receive, send):
        stopping = self.parts.stopping
        fields = dict(scope["headers"])
        request_id = bounds.request_id(fields)
        caller = callers.Caller(
            request_id, receive, send, self._closing(scope["http_version"])
        )
        stopping.running += 1
        try:
            with logger.contextualize(request=request_id):
                await self._answer(scope, fields, caller)
        finally:
            stopping.running -= 1

    def _closing(self, http_version):
        # HTTP/2 has no such header; its connections end by themselves.
        if http_version.startswith("1"):
            return self.parts.stopping.leaving
        return bool

    async def _answer(self, scope, fields, caller):
        body = None
        try:
            self._check_room()
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

    def _check_room(self):
        if self.parts.stopping.running > MAX_REQUESTS:
            raise refusals.refused(
                "entry_busy",
                "this entry has too many requests; try another entry",
                503,
                retry_after_s=1,
            )

    async def _serve(self, route, incoming, caller):
        outcome = await _attended(
            caller, services.serve, route, self.parts, incoming, caller
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
        self.parts.metrics.count_refusal(refusal.code)
        logger.info(
            "requests: refused code={} run={}", refusal.code, refusal.run
        )
        await caller.refuse(refusal, None if body_read else bounds.drain)


def _incoming(request_id, scope, fields, body):
    return services.Incoming(
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
