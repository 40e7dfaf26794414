"""HTTP/1.1 client with a connection pool, for requests to endpoints.

Notes
-----
The client sends each request once and never retries.  A connection is
reused only after a complete reply that is not followed by further bytes.
The header ``X-Request-Id`` shows which request a reply belongs to, since an
endpoint may send the reply to an earlier request once more: if a request has
an id, its connection is reused only if the endpoint returned the same id,
and a reply without an id is accepted only on a new connection.  The id cannot
tell two replies to one request apart, so a request that failed is not sent
again on a connection that has carried it.
"""

import contextlib
import dataclasses
import math
import re

import trio

from dogwoodwheel.engines import connections
from dogwoodwheel.engines import reply_memory
from dogwoodwheel.engines import turns
from dogwoodwheel import exceptions

__all__ = ["IDLE_TIMEOUT_S", "HttpClient", "Reply", "Request", "is_timeout"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
# An idle connection is reused for MAX_KEEPALIVE_S, or the peer's timeout for
# idle connections if that is shorter, minus KEEPALIVE_MARGIN_S.
MAX_KEEPALIVE_S = 20.0
KEEPALIVE_MARGIN_S = 0.5
# Maximum size of the body of an endpoint's reply that is read as a whole; as
# much as a caller may send.  A faulty endpoint may send bytes without end.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Change of a body's size from which it is counted anew.
HELD_STEP_BYTES = 64 * 1024
MIN_FAILURE_STATUS = 300
# Statuses of replies that never have a body.
BODYLESS_STATUSES = (204, 304)
REQUEST_ID_HEADER = b"x-request-id"
PEER_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d+)")
BODYLESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to an endpoint.

    Parameters
    ----------
    id : str
        Value of the header ``X-Request-Id``; empty to omit the header.
    method : str
    target : bytes
        Path and query, encoded as they are sent.
    headers : tuple of (bytes, bytes)
        If ``host`` is missing, it is added with the endpoint's address.
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
    """A reply whose head was received and whose body is read on demand.

    Parameters
    ----------
    conn : dogwoodwheel.engines.connections.Connection
    head : h11.Response
    method : str
        Method of the request.
    memory : dogwoodwheel.engines.reply_memory.ReplyMemory

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    def __init__(self, conn, head, method, memory):
        self._method = method
        self._memory = memory
        self._held_bytes = 0
        self.status = head.status_code
        self.headers = [(bytes(k), bytes(v)) for k, v in head.headers]
        self._conn = conn

    def header(self, name, default=b""):
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def ends_with_connection(self):
        """Whether there is a body without a length.

        It ends as the peer closes the connection, which a process that
        crashes does, too.
        """
        return not (
            self.status in BODYLESS_STATUSES
            or self._method == "HEAD"
            or self.header(b"content-length")
            or self.header(b"transfer-encoding")
        )

    async def iter_chunks(self, before_wait=None):
        """Yield the chunks of the body as they arrive.

        Parameters
        ----------
        before_wait : callable, optional
            ``await before_wait()`` is called each time all received
            chunks have been yielded, before the wait for more, and where
            other tasks run before the next chunk.  With
            this callback a caller can forward chunks that arrived
            together as one, without delay.  No timeout applies then:
            the caller must set its own.

        Raises
        ------
        ReplyError
            If the body is malformed or shorter than its declared
            length, or, without ``before_wait``, if nothing arrives for
            `IDLE_TIMEOUT_S`.
        """
        chunks = self._conn.iter_chunks(before_wait)
        timeout_s = IDLE_TIMEOUT_S if before_wait is None else math.inf
        async with contextlib.aclosing(chunks):
            while True:
                chunk = await _call_within(timeout_s, anext, chunks, None)
                if chunk is None:
                    return
                yield chunk

    def hold(self, size):
        """Count the bytes of the body that the caller of this method keeps.

        Parameters
        ----------
        size : int

        Raises
        ------
        ReplyError
            If the replies of this process take too much memory, and this
            one has to go.
        """
        if abs(size - self._held_bytes) >= HELD_STEP_BYTES:
            self._held_bytes = size
            self._memory.resize(self._conn, size)
        self._conn.check_aborted()

    async def read(self, max_bytes=MAX_BODY_BYTES):
        """Return the whole body, which is counted until the reply is closed.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body.

        Raises
        ------
        ReplyError
            If the body is malformed, incomplete or longer, or if replies
            take too much memory.
        """
        body = bytearray()
        async for chunk in self.iter_chunks():
            body += chunk
            self.hold(len(body))
            if len(body) > max_bytes:
                raise exceptions.ReplyError(
                    f"a reply is longer than {max_bytes} bytes; look at the "
                    f"log of the server"
                )
        self._memory.complete(self._conn)
        return bytes(body)


class HttpClient:
    """HTTP client with a pool of idle connections to each endpoint.

    Parameters
    ----------
    memory : dogwoodwheel.engines.reply_memory.ReplyMemory, optional

    Attributes
    ----------
    opened_connections : int
        Number of connections opened so far.
    """

    def __init__(self, memory=None):
        self.opened_connections = 0
        self._turn_limiter = turns.TurnLimiter()
        self._memory = memory or reply_memory.ReplyMemory()
        self._idle_connections = {}
        self._addresses_returning_ids = set()

    @contextlib.asynccontextmanager
    async def stream(self, address, req, connect_timeout_s=CONNECT_TIMEOUT_S):
        """Return a context manager that sends a request and yields a `Reply`.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request
        connect_timeout_s : float
            Maximum time for opening a connection, seconds.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        ReplyError
            If at least a part of the request was sent and no valid reply
            to it arrived.

        Notes
        -----
        Leaving the context before the end of the body closes the
        connection, so that the endpoint can cancel the request.
        """
        conn = await self._acquire(address, req, connect_timeout_s)
        may_reuse = False
        try:
            reply = await _call_within(
                IDLE_TIMEOUT_S, self._send_request, conn, req
            )
            may_reuse = self._may_reuse(conn, req, reply)
            if req.id and reply.status >= MIN_FAILURE_STATUS:
                conn.failed_request_ids.add(req.id)
            yield reply
        finally:
            self._memory.resize(conn, 0)
            if (
                may_reuse
                and conn.is_reusable
                and _set_max_idle_time(reply, conn)
            ):
                self._release(conn)
            else:
                with trio.CancelScope(shield=True):
                    await conn.aclose()

    async def call(
        self,
        address,
        req,
        timeout_s,
        max_bytes=MAX_BODY_BYTES,
        on_reply=lambda reply: None,
    ):
        """Send a request and return the status and body of its reply.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request
        timeout_s : float
            Maximum time from the start to the end of the body, seconds.
        max_bytes : int
            Maximum size of the reply's body.
        on_reply : callable
            ``on_reply(reply)`` is called with the `Reply` before its body is
            read.

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
                    on_reply(reply)
                    return reply.status, await reply.read(max_bytes)
        except trio.TooSlowError as exc:
            raise exceptions.ReplyError(
                f"{address} did not answer within {timeout_s:.1f} s; "
                f"the call may take effect later"
            ) from exc

    async def close_idle(self, address):
        """Close the idle connections to an endpoint."""
        idle_connections = self._idle_connections.pop(address, [])
        # While this task closes one connection, other tasks may take
        # connections from the same list.
        while idle_connections:
            await idle_connections.pop().aclose()

    async def refuses_connections(self, address, timeout_s):
        """Return whether an endpoint's VM is up but nothing listens there.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        timeout_s : float
            Maximum time for opening a connection, seconds.
        """
        self.opened_connections += 1
        try:
            conn = await connections.Connection.connect(
                address, timeout_s, self._turn_limiter
            )
        except exceptions.NotSentError as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        await conn.aclose()
        return False

    def idle_addresses(self):
        """Return the addresses to which there may be idle connections."""
        return tuple(self._idle_connections)

    async def _acquire(self, address, req, connect_timeout_s):
        now = trio.current_time()
        while conn := self._pop_idle(address, req):
            if (
                conn.has_no_pending_data()
                and now - conn.became_idle_at < conn.max_idle_s
            ):
                return conn
            await conn.aclose()
        self.opened_connections += 1
        return await connections.Connection.connect(
            address, connect_timeout_s, self._turn_limiter
        )

    async def _send_request(self, conn, req):
        headers = _make_headers(conn.address, req)
        await conn.send(req.method, req.target, headers, req.body)
        head = await conn.read_head()
        return Reply(conn, head, req.method, self._memory)

    def _pop_idle(self, address, req):
        """Return the connection to try next, or None to open another."""
        if req.new_connection:
            return None
        idle_connections = self._idle_connections.get(address, [])
        for index in reversed(range(len(idle_connections))):
            if req.id not in idle_connections[index].failed_request_ids:
                return idle_connections.pop(index)
        return None

    def _release(self, conn):
        conn.prepare_next_request()
        idle_connections = self._idle_connections.setdefault(conn.address, [])
        idle_connections.append(conn)

    def _may_reuse(self, conn, req, reply):
        """Return whether the connection of a reply may be reused.

        Raises
        ------
        ReplyError
            If the reply has the id of another request, or has no id
            although the endpoint returned ids in earlier replies.
        """
        returned_ids = {
            value for name, value in reply.headers if name == REQUEST_ID_HEADER
        }
        if not req.id:
            is_other = conn.has_carried_ids and any(returned_ids)
        elif returned_ids == {req.id.encode()}:
            conn.has_carried_ids = True
            self._addresses_returning_ids.add(conn.address)
            return True
        else:
            is_other = (
                any(returned_ids)
                or conn.is_reused
                or conn.address in self._addresses_returning_ids
            )
        if is_other:
            self._addresses_returning_ids.discard(conn.address)
            raise exceptions.ReplyError(
                f"{conn.address} sent the reply of another request; it was "
                f"discarded, look at the endpoint's log"
            )
        return not req.id


def is_timeout(exc):
    """Return whether a `ReplyError` was caused by a timeout."""
    return isinstance(exc.__cause__, trio.TooSlowError)


def _make_headers(address, req):
    headers = []
    if not any(name == b"host" for name, _ in req.headers):
        headers.append((b"host", address.encode()))
    headers.extend(req.headers)
    if req.id:
        headers.append((REQUEST_ID_HEADER, req.id.encode()))
    if req.body or req.method not in BODYLESS_METHODS:
        headers.append((b"content-length", str(len(req.body)).encode()))
    return headers


def _set_max_idle_time(reply, conn):
    """Set how long a connection may be idle; return False to close it."""
    match = PEER_TIMEOUT_PATTERN.search(reply.header(b"keep-alive"))
    peer_timeout_s = float(match[1]) if match else MAX_KEEPALIVE_S
    conn.max_idle_s = min(peer_timeout_s, MAX_KEEPALIVE_S) - KEEPALIVE_MARGIN_S
    return conn.max_idle_s > 0


async def _call_within(timeout_s, func, *args):
    try:
        with trio.fail_after(timeout_s):
            return await func(*args)
    except trio.TooSlowError as exc:
        raise exceptions.ReplyError(
            f"the endpoint sent nothing for {timeout_s:.0f} s; look at its log"
        ) from exc
