"""One request to an endpoint and its reply, met exactly once.

Notes
-----
The protocol is plain HTTP/1.1.  A connection is kept only after a whole
reply that nothing follows.  A reply is matched to its request by the
header ``X-Request-Id``: a connection is kept only where the endpoint
gave it back.
"""

import contextlib
import dataclasses
import math
import re

import trio

from dogwoodwheel.engines import connections
from dogwoodwheel import exceptions

__all__ = ["IDLE_TIMEOUT_S", "HttpClient", "Reply", "Request", "is_timeout"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
# Seconds for which an unused connection is kept, and how long before
# the peer's own timeout it is given up.
KEEPALIVE_S = 20.0
KEEPALIVE_MARGIN_S = 0.5
CONNECTIONS = 256
ID_HEADER = b"x-request-id"
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
BODYLESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to an endpoint.

    Parameters
    ----------
    id : str
        Sent as ``X-Request-Id``; empty for a call that needs none.
    method : str
    target : bytes
        Path and query, as they go on the wire.
    headers : tuple of (bytes, bytes)
        One named ``host`` takes the place of the endpoint's address.
    body : bytes
    fresh : bool
        Whether it must go on a connection that none has used before.
    """

    id: str
    method: str
    target: bytes
    headers: tuple = ()
    body: bytes = b""
    new_connection: bool = False


class Reply:
    """The head of a reply, and its body to be read.

    Parameters
    ----------
    conn : dogwoodwheel.engines.connections.Connection
    head : h11.Response

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    def __init__(self, conn, head):
        self.status = head.status_code
        self.headers = [(bytes(k), bytes(v)) for k, v in head.headers]
        self._conn = conn

    def header(self, name, default=b""):
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def iter_chunks(self, on_drained=None):
        """Yield the parts of the body.

        Parameters
        ----------
        on_drained : callable, optional
            ``await on_drained()`` is called whenever all that has come
            was yielded and more must be awaited, so that parts which
            came together may be passed on together at no delay.  Who
            gives it bounds the wait by a scope of his own.

        Raises
        ------
        ReplyError
            If the body is shorter than declared or malformed, or,
            without ``on_drained``, nothing came for `IDLE_TIMEOUT_S`.
        """
        parts = self._conn.iter_chunks(on_drained)
        limit_s = IDLE_TIMEOUT_S if on_drained is None else math.inf
        async with contextlib.aclosing(parts):
            while True:
                part = await _within(limit_s, anext, parts, None)
                if part is None:
                    return
                yield part

    async def read(self):
        """Return the whole body."""
        return b"".join([part async for part in self.iter_chunks()])


class HttpClient:
    """Exchanges with endpoints, over connections of this process.

    Attributes
    ----------
    connected : int
        Connections that were opened.
    """

    def __init__(self):
        self.connected = 0
        self._idle = {}
        self._echoes = set()

    @contextlib.asynccontextmanager
    async def stream(self, address, req, connect_s=CONNECT_TIMEOUT_S):
        """Send a request; the context's value is its `Reply`.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request
        connect_s : float
            Longest time to connect, seconds.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        ReplyError
            If it was sent, at least in part, and no reply to it came.

        Notes
        -----
        Leaving the context before the body's end closes the
        connection, which tells the endpoint to give up the work.
        """
        conn = await self._acquire(address, req, connect_s)
        keep = False
        try:
            reply = await _within(IDLE_TIMEOUT_S, _send, conn, address, req)
            keep = self._match(address, req, reply)
            yield reply
        finally:
            if keep and conn.is_reusable and _stays(reply, conn):
                self._put(conn)
            else:
                with trio.CancelScope(shield=True):
                    await conn.aclose()

    async def call(self, address, req, timeout_s):
        """Return status and whole body of a short call.

        Raises
        ------
        NotSentError
        ReplyError
        """
        try:
            with trio.fail_after(timeout_s):
                async with self.stream(address, req, timeout_s) as reply:
                    return reply.status, await reply.read()
        except trio.TooSlowError as exc:
            raise exceptions.ReplyError(
                f"{address} did not answer within {timeout_s:.1f} s; "
                f"the call may take effect later"
            ) from exc

    async def close_idle(self, address):
        """Close the unused connections to an endpoint that is gone."""
        idle = self._idle.pop(address, [])
        # Others may be taking from the list while one is closed.
        while idle:
            await idle.pop().aclose()

    def idle_addresses(self):
        """Return the addresses to which connections are kept."""
        return tuple(self._idle)

    async def _acquire(self, address, req, connect_s):
        idle = self._idle.get(address, [])
        now = trio.current_time()
        while idle and not req.new_connection:
            conn = idle.pop()
            if conn.has_no_pending_data() and now - conn.idle_at < conn.idle_s:
                return conn
            await conn.aclose()
        self.connected += 1
        return await connections.Connection.connect(address, connect_s)

    def _put(self, conn):
        conn.recycle()
        idle = self._idle.setdefault(conn.address, [])
        idle.append(conn)

    def _match(self, address, req, reply):
        """Return whether the connection may be kept."""
        if not req.id:
            return True
        echo = reply.header(ID_HEADER)
        if echo == req.id.encode():
            self._echoes.add(address)
            return True
        if echo or address in self._echoes:
            self._echoes.discard(address)
            raise exceptions.ReplyError(
                f"{address} sent the reply of another request; it was "
                f"discarded, look at the endpoint's log"
            )
        return False


def is_timeout(exc):
    """Tell whether a reply failed since nothing came in time."""
    return isinstance(exc.__cause__, trio.TooSlowError)


async def _send(conn, address, req):
    await conn.send(req.method, req.target, _headers(address, req), req.body)
    return Reply(conn, await conn.head())


def _headers(address, req):
    headers = []
    if not any(name == b"host" for name, _ in req.headers):
        headers.append((b"host", address.encode()))
    headers.extend(req.headers)
    if req.id:
        headers.append((ID_HEADER, req.id.encode()))
    if req.body or req.method not in BODYLESS_METHODS:
        headers.append((b"content-length", str(len(req.body)).encode()))
    return headers


def _stays(reply, conn):
    found = KEEP_ALIVE_TIMEOUT.search(reply.header(b"keep-alive"))
    limit_s = float(found[1]) if found else KEEPALIVE_S
    conn.idle_s = min(limit_s, KEEPALIVE_S) - KEEPALIVE_MARGIN_S
    return conn.idle_s > 0


async def _within(limit_s, func, *args):
    try:
        with trio.fail_after(limit_s):
            return await func(*args)
    except trio.TooSlowError as exc:
        raise exceptions.ReplyError(
            f"the endpoint sent nothing for {limit_s:.0f} s; look at its log"
        ) from exc
