"""ASGI applications of an entry, for callers and for the platform."""

import json
import math

from loguru import logger
import trio

from dogwoodwheel.entry import admission
from dogwoodwheel.entry import body_reader
from dogwoodwheel.entry import serving
from dogwoodwheel import exceptions
from dogwoodwheel.platform import directory
from dogwoodwheel.requests import asgi
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages

__all__ = ["CallerApp", "StatusApp"]

# Causes for which a request gets no complete answer.
BROKEN_OFF = "broken_off"
CALLER_DISCONNECTED = "caller_disconnected"
CANCELLED = "cancelled"
INTERNAL_ERROR = "internal_error"

# Part of the memory of the process that bodies of requests may take.
BODY_MEMORY_FRACTION = 0.15
JSON_CONTENT_TYPE = "application/json"


class CallerApp:
    """Serves the requests of callers.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    is_leaving : callable
        ``is_leaving()`` returns whether callers should use another entry;
        if so, each connection is closed after its next reply.

    Attributes
    ----------
    running_requests : int
        Number of requests that have arrived and are not finished.
    """

    def __init__(self, components, is_leaving):
        self.components = components
        self.is_leaving = is_leaving
        self.running_requests = 0
        self._stop_deadline = math.inf
        memory_bytes = components.settings.memory_bytes
        self._body_reader = (
            body_reader.BodyReader(int(BODY_MEMORY_FRACTION * memory_bytes))
            if memory_bytes
            else body_reader.BodyReader()
        )
        self._deadline_scopes = set()

    def end_requests_at(self, stop_deadline):
        """Answer all requests by a time, whether they have run or not.

        Parameters
        ----------
        stop_deadline : float
            Time of trio's clock.
        """
        self._stop_deadline = stop_deadline
        for scope in self._deadline_scopes:
            scope.deadline = min(scope.deadline, stop_deadline)

    async def __call__(self, scope, receive, send):
        if scope["type"] == "http":
            self.running_requests += 1
            try:
                await self._serve(scope, receive, send)
            finally:
                self.running_requests -= 1

    async def _serve(self, scope, receive, send):
        received_at = trio.current_time()
        headers_by_name = dict(scope["headers"])
        request_id = headers_by_name.get(b"x-request-id", b"").decode(
            "latin-1"
        )
        callers.REQUEST_ID.set(request_id)
        caller = callers.Caller(request_id, receive, send, self.is_leaving)
        # Remains if the server of callers cancels the request.
        cause, why = CANCELLED, ""
        try:
            cfg = self.components.fleet_state.config
            async with self._body_reader.read(
                receive,
                cfg.limits.body_bytes if cfg else None,
                int(headers_by_name.get(b"content-length", b"0")),
            ) as body:
                if body is None:
                    cause = CALLER_DISCONNECTED
                    return
                incoming_request = _incoming_request(scope, body, received_at)
                admitted_request = admission.admit(
                    self.components, incoming_request
                )
                await self._serve_until_disconnect(admitted_request, caller)
            cause = CALLER_DISCONNECTED
        except exceptions.RefusedError as exc:
            await self._refuse(exc.refusal, caller, request_id, received_at)
        except exceptions.HttpStatusError as exc:
            await caller.answer(exc.answer)
        except exceptions.ReplyError as exc:
            # The reply is incomplete, so the HTTP server closes the
            # connection.
            cause, why = BROKEN_OFF, str(exc)
        except Exception as exc:
            cause, why = INTERNAL_ERROR, repr(exc)
            logger.exception("internal error", id=request_id)
            internal_error = refusals.refused(
                "internal_error",
                "a fault of this entry; look at its log",
                500,
                messages.MAY_HAVE_RUN,
            )
            await self._refuse(
                internal_error.refusal, caller, request_id, received_at
            )
        finally:
            if not caller.reply_finished:
                self._record_unanswered(caller, cause, why, received_at)

    def _record_unanswered(self, caller, cause, why, received_at):
        """Log and count a request that ends without a complete answer."""
        self.components.metrics.count_unanswered(cause)
        logger.info(
            "connection closed without an answer",
            id=caller.request_id,
            cause=cause,
            endpoints=",".join(caller.endpoints),
            reply_started=caller.reply_started,
            held_ms=round((trio.current_time() - received_at) * 1000),
            why=why,
        )

    async def _serve_until_disconnect(self, admitted_request, caller):
        """Serve a request; cancel it if the caller disconnects."""
        service_error = None
        deadline_scope = trio.CancelScope(
            deadline=min(admitted_request.deadline, self._stop_deadline)
        )
        self._deadline_scopes.add(deadline_scope)
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect():
                await caller.wait_for_disconnect()
                logger.info(
                    "caller disconnected",
                    id=admitted_request.request_headers.id,
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            try:
                await serving.serve(
                    self.components, admitted_request, caller, deadline_scope
                )
            except exceptions.DogwoodwheelError as exc:
                service_error = exc
            finally:
                self._deadline_scopes.discard(deadline_scope)
            nursery.cancel_scope.cancel()
        if service_error is not None:
            raise service_error

    async def _refuse(self, refusal, caller, request_id, received_at):
        """Log and send a refusal; do nothing if a reply has started."""
        if caller.reply_started:
            return
        self.components.metrics.count_refusal(refusal.code)
        logger.info(
            "refused",
            id=request_id,
            status=refusal.status,
            code=refusal.code,
            run=refusal.run,
            retry_after_s=round(refusal.retry_after_s, 2),
            held_ms=round((trio.current_time() - received_at) * 1000),
            why=refusal.message,
        )
        body = refusals.body_of(refusal)
        headers = [(b"content-type", JSON_CONTENT_TYPE.encode())]
        if refusal.retry_after_s > 0:
            seconds = f"{refusal.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", seconds))
        await caller.answer(
            callers.Answer(refusal.status, tuple(headers), body)
        )


class StatusApp:
    """Serves the readiness check, the directory of entries and the metrics.

    Parameters
    ----------
    is_ready : callable
        ``is_ready()`` returns whether this entry accepts requests.
    resolve : callable
        ``resolve()`` returns the addresses of the entries that callers
        should use, and the time for which callers may cache the
        addresses, in seconds.
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, is_ready, resolve, metrics):
        self.is_ready = is_ready
        self.resolve = resolve
        self.metrics = metrics

    async def __call__(self, scope, receive, send):
        if scope["type"] == "http":
            status, body = self._build_reply(scope)
            await asgi.send_response(send, status, JSON_CONTENT_TYPE, body)

    def _build_reply(self, scope):
        path = scope["path"]
        if path == directory.READY_PATH:
            return (200, b"{}") if self.is_ready() else (503, b"{}")
        if path == directory.RESOLVE_PATH:
            return 200, directory.resolve_body(*self.resolve())
        if path == "/metrics":
            return 200, self.metrics.render()
        return 404, json.dumps({"error": "no such path"}).encode()


def _incoming_request(scope, body, received_at):
    request_target = scope["raw_path"]
    if scope["query_string"]:
        request_target += b"?" + scope["query_string"]
    return admission.IncomingRequest(
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        target=request_target,
        headers=tuple(scope["headers"]),
        body=body,
        received_at=received_at,
    )
