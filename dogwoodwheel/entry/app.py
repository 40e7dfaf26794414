"""The ASGI applications of an entry: callers, readiness, directory."""

import json

from loguru import logger
import trio

from dogwoodwheel.entry import admission
from dogwoodwheel.entry import serving
from dogwoodwheel import exceptions
from dogwoodwheel.platform import directory
from dogwoodwheel.requests import asgi
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages

__all__ = ["CallerApp", "StatusApp"]

JSON = "application/json"


class CallerApp:
    """Serves callers' requests.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    leaving : callable
        ``leaving()`` tells whether callers should go elsewhere.

    Attributes
    ----------
    running : int
        Requests that have not ended.
    """

    def __init__(self, components, leaving):
        self.components = components
        self.leaving = leaving
        self.running = 0

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.live(receive, send)
        elif scope["type"] == "http":
            self.running += 1
            try:
                await self._serve(scope, receive, send)
            finally:
                self.running -= 1

    async def _serve(self, scope, receive, send):
        at = trio.current_time()
        fields = dict(scope["headers"])
        request_id = fields.get(b"x-request-id", b"").decode("latin-1")
        caller = callers.Caller(request_id, receive, send, self.leaving)
        try:
            body = await _read(self.components, fields, receive)
            if body is None:
                return
            incoming = _incoming(scope, body, at)
            admitted = admission.admit(self.components, incoming)
            await self._attended(admitted, caller)
        except exceptions.RefusedError as exc:
            await self._refuse(exc.refusal, caller, request_id, at)
        except exceptions.HttpStatusError as exc:
            await caller.answer(exc.answer)
        except exceptions.ReplyError as exc:
            # Leaving without the end of the body cuts the connection.
            logger.info("cut", id=request_id, why=str(exc))
        except Exception:
            logger.exception("fault", id=request_id)
            fault = refusals.refused(
                "internal_error",
                "a fault of this entry; look at its log",
                500,
                messages.MAY_HAVE_RUN,
            )
            await self._refuse(fault.refusal, caller, request_id, at)

    async def _attended(self, admitted, caller):
        """Serve a request until it ends or the caller goes away."""
        error = None
        async with trio.open_nursery() as nursery:

            async def end_with_caller():
                await caller.gone()
                logger.info("gone", id=admitted.request_headers.id)
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_with_caller)
            try:
                await serving.serve(self.components, admitted, caller)
            except exceptions.DogwoodwheelError as exc:
                error = exc
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _refuse(self, refusal, caller, request_id, at):
        if caller.started:
            return
        self.components.metrics.count_refusal(refusal.code)
        logger.info(
            "refused",
            id=request_id,
            status=refusal.status,
            code=refusal.code,
            run=refusal.run,
            retry_after_s=round(refusal.retry_after_s, 2),
            held_ms=round((trio.current_time() - at) * 1000),
            why=refusal.message,
        )
        body = refusals.body_of(refusal)
        headers = [(b"content-type", JSON.encode())]
        if refusal.retry_after_s > 0:
            seconds = f"{refusal.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", seconds))
        await caller.answer(
            callers.Answer(refusal.status, tuple(headers), body)
        )


class StatusApp:
    """Answers for readiness, the directory and metrics.

    Parameters
    ----------
    ready : callable
        ``ready()`` tells whether this entry takes requests.
    resolve : callable
        ``resolve()`` returns addresses to use, and the time for which
        they may be kept, seconds.
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, ready, resolve, metrics):
        self.ready = ready
        self.resolve = resolve
        self.metrics = metrics

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.live(receive, send)
        elif scope["type"] == "http":
            status, body = self._answer(scope)
            await asgi.reply(send, status, JSON, body)

    def _answer(self, scope):
        path = scope["path"]
        if path == directory.READY_PATH:
            return (200, b"{}") if self.ready() else (503, b"{}")
        if path == directory.RESOLVE_PATH:
            return 200, directory.resolve_body(*self.resolve())
        if path == "/metrics":
            return 200, self.metrics.render()
        return 404, json.dumps({"error": "no such path"}).encode()


def _incoming(scope, body, at):
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return admission.IncomingRequest(
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        target=target,
        headers=tuple(scope["headers"]),
        body=body,
        received_at=at,
    )


async def _read(components, fields, receive):
    """Return the body of a request; None if the caller went away."""
    config = components.fleet_state.config
    limit = config.limits.body_bytes if config else 0
    declared = fields.get(b"content-length", b"0")
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message["body"])
        size += len(message["body"])
        if config and (size > limit or int(declared) > limit):
            raise refusals.refused(
                "body_too_large",
                f"a body is bounded by {limit} bytes; send a shorter one",
                413,
            )
        if not message["more_body"]:
            return b"".join(chunks)
