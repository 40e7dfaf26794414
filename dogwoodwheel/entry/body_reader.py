"""Reads the bodies of callers' requests in bounded memory and time.

Notes
-----
Workload: callers that send many large bodies at once, bodies in chunks of
one byte, or a byte now and then.
"""

import contextlib

from loguru import logger
import trio

from dogwoodwheel.engines import turns
from dogwoodwheel.requests import refusals

__all__ = ["BodyReader"]

# Bound on all bodies of a process, unless a setting tells more.
MAX_BYTES = 32 * 1024 * 1024
# Bodies of less than this size are not counted.  Most are smaller.
MIN_COUNTED_BYTES = 64 * 1024
# Time in which a body must arrive.
MAX_BODY_S = 60.0
# Processor time that a message of the HTTP server takes.
MESSAGE_WORK_S = 0.00005
RETRY_AFTER_S = 0.5


class _Body:
    """A body that arrives or is held."""

    def __init__(self):
        self.data = bytearray()
        self.scope = trio.CancelScope(
            deadline=trio.current_time() + MAX_BODY_S
        )
        self.is_evicted = False


class BodyReader:
    """Reads bodies and holds them until their requests end.

    Parameters
    ----------
    max_bytes : int
        Maximum size of all bodies together.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        # Incomplete bodies, in the order in which they began.
        self._incomplete = {}
        self._held_bytes = 0
        self._turn_limiter = turns.TurnLimiter()

    @contextlib.asynccontextmanager
    async def read(self, receive, max_body_bytes, content_length=0):
        """Return a context manager that reads a body and holds it.

        Parameters
        ----------
        receive : callable
            Function of the ASGI server.
        max_body_bytes : int or None
            Maximum size of the body; None if no body is needed.
        content_length : int
            Size that the caller states, 0 if unknown.

        Yields
        ------
        bytes or None
            None if the caller disconnected.

        Raises
        ------
        RefusedError
            If the body is too large or too slow, or there is no room for
            it.  The request has not run.

        Notes
        -----
        If there is no room, the incomplete body that began first is
        refused: it is the slowest, and of requests with complete bodies
        some have run.
        """
        body = _Body()
        self._incomplete[body] = None
        counted_bytes = 0
        try:
            try:
                with body.scope:
                    data = await self._receive(
                        body, receive, max_body_bytes, content_length
                    )
            finally:
                del self._incomplete[body]
                counted_bytes = _counted_bytes(body)
            if body.is_evicted:
                raise _no_room_error()
            if body.scope.cancelled_caught:
                raise refusals.refused(
                    "body_too_slow",
                    f"the body did not arrive within {MAX_BODY_S:.0f} s; "
                    f"send it faster",
                    408,
                )
            body.data.clear()
            yield data
        finally:
            self._held_bytes -= counted_bytes

    async def _receive(self, body, receive, max_body_bytes, content_length):
        turn = turns.Turn(self._turn_limiter)
        while True:
            turn.begin_wait()
            message = await receive()
            turn.end_wait()
            if message["type"] == "http.disconnect":
                return None
            before = _counted_bytes(body)
            body.data += message["body"]
            self._held_bytes += _counted_bytes(body) - before
            if max_body_bytes is not None and (
                max(len(body.data), content_length) > max_body_bytes
            ):
                raise refusals.refused(
                    "body_too_large",
                    f"a body is bounded by {max_body_bytes} bytes; "
                    f"send a shorter one",
                    413,
                )
            if not message["more_body"]:
                return bytes(body.data)
            self._make_room()
            turn.charge(MESSAGE_WORK_S)
            if turn.is_over:
                await turn.wait_next()

    def _make_room(self):
        """Refuse incomplete bodies until the others are within the bound."""
        excess_bytes = self._held_bytes - self._max_bytes
        for body in self._incomplete:
            if excess_bytes <= 0:
                return
            if body.is_evicted:
                excess_bytes -= _counted_bytes(body)
            elif _counted_bytes(body):
                excess_bytes -= _counted_bytes(body)
                body.is_evicted = True
                body.scope.cancel()
                logger.warning(
                    "body: refused for lack of memory",
                    bytes=len(body.data),
                    held_bytes=self._held_bytes,
                )


def _counted_bytes(body):
    size = len(body.data)
    return size if size >= MIN_COUNTED_BYTES else 0


def _no_room_error():
    return refusals.refused(
        "bodies_full",
        "the bodies of other requests take the memory; come back",
        503,
        retry_after_s=RETRY_AFTER_S,
    )
