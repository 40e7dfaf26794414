"""The reply to one caller."""

import dataclasses

import trio

from dogwoodwheel.requests import refusals

__all__ = ["Answer", "Caller"]

BODYLESS = (204, 304)


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole reply.

    Parameters
    ----------
    status : int
    headers : tuple of (bytes, bytes)
        Without those of the connection.
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
        Of the ASGI server.
    closing : callable
        ``closing()`` tells whether the connection is to be closed after
        the reply.

    Attributes
    ----------
    started : bool
        Whether the caller has got the head of the reply.
    finished : bool
        Whether the caller has got the whole reply.
    events : bool
        Whether the reply is a stream of events.
    """

    def __init__(self, request_id, receive, send, closing):
        self.request_id = request_id
        self.started = False
        self.finished = False
        self.events = False
        self.receive = receive
        self._send = send
        self._closing = closing

    async def gone(self):
        """Wait until the caller has gone before the end of the reply."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                break
        if self.finished:
            await trio.sleep_forever()

    async def start(self, status, headers):
        """Send the head of the reply."""
        headers = list(headers)
        headers.append((b"x-request-id", self.request_id.encode()))
        if self._closing():
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send(self, data, more=True):
        """Send a part of the body."""
        self.finished = not more
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def answer(self, answer):
        """Send a whole reply."""
        headers = list(answer.headers)
        known = any(name == b"content-length" for name, _ in headers)
        if not known and answer.status not in BODYLESS:
            size = str(len(answer.body)).encode()
            headers.append((b"content-length", size))
        await self.start(answer.status, headers)
        await self.send(answer.body, more=False)

    async def refuse(self, refusal, drain=None):
        """Send a refusal.

        Parameters
        ----------
        refusal : dogwoodwheel.wire.messages.Refusal
        drain : callable, optional
            ``await drain(receive)`` takes the rest of a body that was
            not read.

        Notes
        -----
        A stream of events that has begun ends with an event of the
        error, without the end mark.  Any other reply that has begun is
        cut off, which the caller sees by its length or framing.
        """
        body = refusals.body_of(refusal)
        if not self.started:
            headers = refusals.headers_of(refusal)
            headers.append((b"content-length", str(len(body)).encode()))
            await self.start(refusal.status, headers)
            await self.send(body)
            if drain is not None:
                await drain(self.receive)
            await self.send(b"", more=False)
        elif self.events:
            await self.send(b"data: " + body + b"\n\n", more=False)
