"""HTTP/1.1 client with a connection pool, for requests to endpoints.

Notes
-----
The client sends each request once and never retries.  A connection is
reused only after a complete reply that no further bytes follow.  The
header ``X-Request-Id`` shows which request a reply belongs to: if a
request has an id, its connection is reused only if the endpoint
returned the id.
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
# An idle connection is reused until KEEPALIVE_MARGIN_S before the end of
# MAX_KEEPALIVE_S or of the peer's own timeout, whichever is earlier.
MAX_KEEPALIVE_S = 20.0
KEEPALIVE_MARGIN_S = 0.5
CONNECTIONS = 256
REQUEST_ID_HEADER = b"x-request-id"
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
BODYLESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to an endpoint.

    Parameters
    ----------
    id : str
        Sent as ``X-Request-Id``; empty to send no such header.
    method : str
    target : bytes
        Path and query, encoded as they are sent.
    headers : tuple of (bytes, bytes)
        Without a header ``host``, the endpoint's address is sent.
    body : bytes
    new_connection : bool
        Whether the request must not be sent on a reused connection.
    """

    id: str
    method: str
    target: bytes
    headers: tuple = ()
    body: bytes = b""
    new_connection: bool = False


class Reply:
    """A reply whose head has been received; its body is read on demand.

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
        """Yield the chunks of the body as they arrive.

        Parameters
        ----------
        on_drained : callable, optional
            ``await on_drained()`` is called each time all received
            chunks have been yielded, before the wait for more.  This
            lets a caller pass on together the chunks that arrived
            together, without delaying them.  A caller that sets it
            must limit the wait with a cancel scope of its own.

        Raises
        ------
        ReplyError
            If the body is malformed or shorter than its declared
            length, or, without ``on_drained``, if nothing arrives for
            `IDLE_TIMEOUT_S`.
        """
        chunks = self._conn.iter_chunks(on_drained)
        timeout_s = IDLE_TIMEOUT_S if on_drained is None else math.inf
        async with contextlib.aclosing(chunks):
            while True:
                chunk = await _call_within(timeout_s, anext, chunks, None)
                if chunk is None:
                    return
                yield chunk

    async def read(self):
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.iter_chunks()])


class HttpClient:
    """HTTP client with a pool of idle connections to each endpoint.

    Attributes
    ----------
    opened_connections : int
        Number of connections opened so far.
    """

    def __init__(self):
        self.opened_connections = 0
        self._idle = {}
        self._id_returning_addresses = set()

    @contextlib.asynccontextmanager
    async def stream(self, address, req, connect_s=CONNECT_TIMEOUT_S):
        """Send a request; a context manager that yields its `Reply`.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request
        connect_s : float
            Maximum time to connect, seconds.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        ReplyError
            If the request was sent, at least partly, and no valid reply
            to it arrived.

        Notes
        -----
        Leaving the context before the end of the body closes the
        connection, by which the endpoint learns that it can cancel the
        request.
        """
        conn = await self._acquire(address, req, connect_s)
        may_reuse = False
        try:
            reply = await _call_within(
                IDLE_TIMEOUT_S, _send_request, conn, address, req
            )
            may_reuse = self._may_reuse(address, req, reply)
            yield reply
        finally:
            if may_reuse and conn.is_reusable and _set_keepalive(reply, conn):
                self._release(conn)
            else:
                with trio.CancelScope(shield=True):
                    await conn.aclose()

    async def call(self, address, req, timeout_s):
        """Send a request and return the status and body of its reply.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request
        timeout_s : float
            Maximum time for the whole call, seconds.

        Returns
        -------
        status : int
        body : bytes

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        ReplyError
            If no complete reply arrived in time.
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
        """Close the idle connections to an endpoint."""
        idle = self._idle.pop(address, [])
        # While this task closes one connection, other tasks may take
        # connections from the same list.
        while idle:
            await idle.pop().aclose()

    def idle_addresses(self):
        """Return the addresses to which there may be idle connections."""
        return tuple(self._idle)

    async def _acquire(self, address, req, connect_s):
        idle = self._idle.get(address, [])
        now = trio.current_time()
        while idle and not req.new_connection:
            conn = idle.pop()
            if (
                conn.has_no_pending_data()
                and now - conn.idle_since < conn.keepalive_s
            ):
                return conn
            await conn.aclose()
        self.opened_connections += 1
        return await connections.Connection.connect(address, connect_s)

    def _release(self, conn):
        conn.prepare_next_request()
        idle = self._idle.setdefault(conn.address, [])
        idle.append(conn)

    def _may_reuse(self, address, req, reply):
        """Return whether the connection of a reply may be reused.

        Raises
        ------
        ReplyError
            If the reply has the id of another request, or none although
            the endpoint returned the id before.
        """
        if not req.id:
            return True
        returned_id = reply.header(REQUEST_ID_HEADER)
        if returned_id == req.id.encode():
            self._id_returning_addresses.add(address)
            return True
        if returned_id or address in self._id_returning_addresses:
            self._id_returning_addresses.discard(address)
            raise exceptions.ReplyError(
                f"{address} sent the reply of another request; it was "
                f"discarded, look at the endpoint's log"
            )
        return False


def is_timeout(exc):
    """Return whether a `ReplyError` was caused by a timeout."""
    return isinstance(exc.__cause__, trio.TooSlowError)


async def _send_request(conn, address, req):
    await conn.send(
        req.method, req.target, _request_headers(address, req), req.body
    )
    return Reply(conn, await conn.read_head())


def _request_headers(address, req):
    headers = []
    if not any(name == b"host" for name, _ in req.headers):
        headers.append((b"host", address.encode()))
    headers.extend(req.headers)
    if req.id:
        headers.append((REQUEST_ID_HEADER, req.id.encode()))
    if req.body or req.method not in BODYLESS_METHODS:
        headers.append((b"content-length", str(len(req.body)).encode()))
    return headers


def _set_keepalive(reply, conn):
    """Set how long a connection may be kept; return whether at all."""
    match = KEEP_ALIVE_TIMEOUT.search(reply.header(b"keep-alive"))
    peer_s = float(match[1]) if match else MAX_KEEPALIVE_S
    conn.keepalive_s = min(peer_s, MAX_KEEPALIVE_S) - KEEPALIVE_MARGIN_S
    return conn.keepalive_s > 0


async def _call_within(timeout_s, func, *args):
    try:
        with trio.fail_after(timeout_s):
            return await func(*args)
    except trio.TooSlowError as exc:
        raise exceptions.ReplyError(
            f"the endpoint sent nothing for {timeout_s:.0f} s; look at its log"
        ) from exc
