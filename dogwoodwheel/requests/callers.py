"""Replies to callers."""

import contextvars
import dataclasses

import trio

from dogwoodwheel.requests import refusals

__all__ = ["Answer", "Caller", "REQUEST_ID"]

STATUSES_WITHOUT_BODY = (204, 304)
# Id of the request for which a task and its child tasks run.
REQUEST_ID = contextvars.ContextVar("request_id", default="")


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete reply to a caller.

    Parameters
    ----------
    status : int
    headers : tuple of (bytes, bytes)
        Headers, of which none is a hop-by-hop header.
    body : bytes
    """

    status: int
    headers: tuple
    body: bytes


class Caller:
    """The connection to a caller, for one request.

    Parameters
    ----------
    request_id : str
    receive, send : callable
        Functions of the ASGI server.
    must_close : callable
        ``must_close()`` returns whether the connection must be closed
        after the reply.

    Attributes
    ----------
    reply_started : bool
        Whether the head of the reply was sent.
    reply_finished : bool
        Whether the reply was sent completely.
    is_event_stream : bool
        Whether the reply is a stream of server-sent events.
    endpoints : list of str
        Endpoints that the request was sent to, for the log.
    """

    def __init__(self, request_id, receive, send, must_close):
        self.request_id = request_id
        self.reply_started = False
        self.reply_finished = False
        self.is_event_stream = False
        self.endpoints = []
        self.receive = receive
        self._send = send
        self._must_close = must_close

    async def wait_for_disconnect(self):
        """Return if the caller disconnects while the reply is incomplete.

        Notes
        -----
        Does not return if the caller disconnects after the complete
        reply.
        """
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                break
        if self.reply_finished:
            await trio.sleep_forever()

    async def start(self, status, headers):
        """Send the head of the reply."""
        headers = list(headers)
        headers.append((b"x-request-id", self.request_id.encode()))
        if self._must_close():
            headers.append((b"connection", b"close"))
        self.reply_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send(self, data, more=True):
        """Send a part of the body."""
        self.reply_finished = not more
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def answer(self, answer):
        """Send a complete reply.

        Notes
        -----
        A deadline that passes meanwhile does not cut the reply.
        """
        headers = list(answer.headers)
        has_length = any(name == b"content-length" for name, _ in headers)
        if not has_length and answer.status not in STATUSES_WITHOUT_BODY:
            size = str(len(answer.body)).encode()
            headers.append((b"content-length", size))
        with trio.CancelScope(shield=True):
            await self.start(answer.status, headers)
            await self.send(answer.body, more=False)

    async def refuse(self, refusal, drain=None):
        """Send a refusal.

        Parameters
        ----------
        refusal : dogwoodwheel.wire.messages.Refusal
        drain : callable, optional
            ``await drain(receive)`` reads and discards the unread rest of
            the request's body.

        Notes
        -----
        If a stream of events has begun, an event with the error ends the
        stream in place of the end mark.  Any other reply that has begun
        is cut off; the caller detects the cut by the reply's length or
        framing.
        """
        body = refusals.body_of(refusal)
        if not self.reply_started:
            headers = refusals.headers_of(refusal)
            headers.append((b"content-length", str(len(body)).encode()))
            await self.start(refusal.status, headers)
            await self.send(body)
            if drain is not None:
                await drain(self.receive)
            await self.send(b"", more=False)
        elif self.is_event_stream:
            await self.send(b"data: " + body + b"\n\n", more=False)
