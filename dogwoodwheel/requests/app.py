"""ASGI application that serves callers' HTTP requests."""

from loguru import logger
from returns import result
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import request_limits
from dogwoodwheel.requests import routes
from dogwoodwheel.requests import services

__all__ = ["App"]


MAX_RUNNING_REQUESTS = 4000


class App:
    """Serves callers' requests at a gateway.

    Parameters
    ----------
    components : dogwoodwheel.requests.services.Components
    """

    def __init__(self, components):
        self.components = components

    async def __call__(self, scope, receive, send):
        if scope["type"] == "http":
            await self._http(scope, receive, send)

    async def _http(self, scope, receive, send):
        graceful_shutdown = self.components.graceful_shutdown
        headers_by_name = dict(scope["headers"])
        request_id = request_limits.request_id(headers_by_name)
        caller = callers.Caller(
            request_id, receive, send, self._must_close(scope["http_version"])
        )
        graceful_shutdown.running_requests += 1
        try:
            with logger.contextualize(request=request_id):
                await self._answer(scope, headers_by_name, caller)
        finally:
            graceful_shutdown.running_requests -= 1

    def _must_close(self, http_version):
        """Return the ``must_close`` function of a `callers.Caller`."""
        # HTTP/2 has no Connection header, so a reply cannot close the
        # connection: the function is bool, and bool() returns False.
        if http_version.startswith("1"):
            return self.components.graceful_shutdown.leaving
        return bool

    async def _answer(self, scope, headers_by_name, caller):
        body = None
        try:
            self._check_capacity()
            self.components.graceful_shutdown.check_open()
            request_limits.check_headers(
                scope, self.components.max_header_bytes
            )
            route = routes.find(scope["method"], scope)
            body = await request_limits.read_body(
                headers_by_name, caller.receive, self.components.max_body_bytes
            )
            if body is not None:
                incoming_request = _incoming_request(
                    caller.request_id, scope, headers_by_name, body
                )
                await self._serve(route, incoming_request, caller)
        except exceptions.RefusedError as exc:
            await self._refuse(exc.refusal, caller, body is not None)
        except Exception:
            logger.exception("requests: internal error of the gateway")
            await self._refuse(
                _internal_error().refusal, caller, body is not None
            )

    def _check_capacity(self):
        if (
            self.components.graceful_shutdown.running_requests
            > MAX_RUNNING_REQUESTS
        ):
            raise refusals.refused(
                "entry_busy",
                "this entry has too many requests; try another entry",
                503,
                retry_after_s=1,
            )

    async def _serve(self, route, incoming_request, caller):
        outcome = await _run_until_disconnect(
            caller,
            services.serve,
            route,
            self.components,
            incoming_request,
            caller,
        )
        if outcome is None:
            logger.debug("requests: the caller disconnected")
            return
        answer = outcome.unwrap() if _is_success(outcome) else None
        if answer is not None:
            await caller.answer(answer)
        elif not _is_success(outcome):
            raise outcome.failure()

    async def _refuse(self, refusal, caller, body_read):
        self.components.metrics.count_refusal(refusal.code)
        logger.info(
            "requests: refused code={} run={}", refusal.code, refusal.run
        )
        await caller.refuse(
            refusal, None if body_read else request_limits.discard_body
        )


def _incoming_request(request_id, scope, headers_by_name, body):
    return services.IncomingRequest(
        id=request_id,
        method=scope["method"],
        headers=tuple(scope["headers"]),
        headers_by_name=headers_by_name,
        authorization=headers_by_name.get(b"authorization", b"").decode(
            "latin-1"
        ),
        body=body,
    )


async def _run_until_disconnect(caller, func, *args):
    """Run a function, and cancel the run if the caller disconnects.

    Returns
    -------
    returns.result.Result or None
        The value that the function returned, or the RefusedError that
        it raised; None if the caller disconnected.
    """
    outcome = None
    async with trio.open_nursery() as nursery:

        async def cancel_on_disconnect():
            await caller.wait_for_disconnect()
            nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_on_disconnect)
        try:
            outcome = result.Success(await func(*args))
        except exceptions.RefusedError as exc:
            outcome = result.Failure(exc)
        nursery.cancel_scope.cancel()
    return outcome


def _is_success(outcome):
    return isinstance(outcome, result.Success)


def _internal_error():
    return refusals.refused(
        "internal_error",
        "a fault of this entry; look at its log by the request's id",
        500,
        "unknown",
    )
