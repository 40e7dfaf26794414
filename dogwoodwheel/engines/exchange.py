"""One request to an endpoint and its reply, met exactly once.

Notes
-----
The protocol is plain HTTP/1.1.  A connection returns to its pool only
after a whole reply.  A reply is matched to its request by the header
``X-Request-Id``: an endpoint that gives it back keeps its connections
open, one that never did so gets a fresh connection for each request.
"""

import contextlib
import dataclasses

import httpcore
import trio

from dogwoodwheel.engines import connections
from dogwoodwheel import exceptions

__all__ = ["IDLE_TIMEOUT_S", "Exchanges", "Reply", "Request", "is_late"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
KEEPALIVE_S = 20.0
CONNECTIONS = 256
MAX_POOLS = 4096
SENT_EVENT = "http11.send_request_headers.started"
ID_HEADER = b"x-request-id"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to an endpoint.

    Parameters
    ----------
    id : str
        Sent as ``X-Request-Id``.
    method : str
    target : bytes
        Path and query, as they go on the wire.
    headers : tuple of (bytes, bytes)
    body : bytes
    fresh : bool
        Whether it must go on a connection that none has used before.
    """

    id: str
    method: str
    target: bytes
    headers: tuple = ()
    body: bytes = b""
    fresh: bool = False


class Reply:
    """The head of a reply, and its body to be read.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    def __init__(self, response):
        self.status = response.status
        self.headers = [(k.lower(), v) for k, v in response.headers]
        self._stream = response.stream
        self._wire = response.extensions["network_stream"]

    def header(self, name, default=b""):
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def parts(self, on_drained=None):
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
        self._wire.on_drained = on_drained
        try:
            with _read_errors():
                async for part in self._stream:
                    yield part
        finally:
            self._wire.on_drained = None


class Exchanges:
    """Exchanges with endpoints, over connections of this process."""

    def __init__(self):
        self._kept = Pools(KEEPALIVE_S, CONNECTIONS)
        self._fresh = Pools(0, 0)
        self._echoes = set()

    @contextlib.asynccontextmanager
    async def open(self, address, req):
        """Send a request; the context's value is its `Reply`.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        req : Request

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
        echoes = address in self._echoes
        pools = self._kept if echoes and not req.fresh else self._fresh
        trace = Trace()
        message = _message(address, req, trace)
        with _read_errors(trace, address):
            response = await pools.of(address).handle_async_request(message)
        try:
            reply = Reply(response)
            self._match(address, req, reply, echoes)
            yield reply
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    def _match(self, address, req, reply, echoes):
        echo = reply.header(ID_HEADER)
        if echo == req.id.encode():
            self._echoes.add(address)
        elif echo or echoes:
            self._echoes.discard(address)
            raise exceptions.ReplyError(
                f"{address} sent the reply of another request; it was "
                f"discarded, look at the endpoint's log"
            )


def is_late(exc):
    """Tell whether a reply failed since nothing came in time."""
    return isinstance(exc.__cause__, httpcore.TimeoutException)


class Trace:
    """Notes whether any byte of a request may have been sent."""

    def __init__(self):
        self.sent = False

    async def __call__(self, event, info):
        if event == SENT_EVENT:
            self.sent = True


class Pools:
    """A pool of connections for each endpoint.

    Parameters
    ----------
    keepalive_s : float
        Seconds for which an unused connection stays open.
    kept : int
        Unused connections of an endpoint that stay open.

    Notes
    -----
    A pool looks at all of its connections at each request, so one for
    all endpoints would cost more with each of them.
    """

    def __init__(self, keepalive_s, kept):
        self.keepalive_s = keepalive_s
        self.kept = kept
        self._pools = {}

    def of(self, address):
        """Return the pool of an endpoint."""
        pool = self._pools.get(address)
        if pool is None:
            self._drop_unused()
            pool = httpcore.AsyncConnectionPool(
                max_connections=CONNECTIONS,
                max_keepalive_connections=self.kept,
                keepalive_expiry=self.keepalive_s,
                retries=0,
                network_backend=connections.Backend(),
            )
            self._pools[address] = pool
        return pool

    def _drop_unused(self):
        if len(self._pools) < MAX_POOLS:
            return
        self._pools = {
            address: pool
            for address, pool in self._pools.items()
            if pool.connections
        }


def _message(address, req, trace):
    host, _, port = address.rpartition(":")
    headers = [(b"Host", address.encode())]
    headers.extend(req.headers)
    headers.append((b"X-Request-Id", req.id.encode()))
    if req.body or req.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append((b"Content-Length", str(len(req.body)).encode()))
    timeout = {
        "connect": CONNECT_TIMEOUT_S,
        "pool": CONNECT_TIMEOUT_S,
        "read": IDLE_TIMEOUT_S,
        "write": IDLE_TIMEOUT_S,
    }
    return httpcore.Request(
        req.method,
        httpcore.URL(
            scheme=b"http",
            host=host.encode(),
            port=int(port),
            target=req.target,
        ),
        headers=headers,
        content=req.body,
        extensions={"timeout": timeout, "trace": trace},
    )


@contextlib.contextmanager
def _read_errors(trace=None, address="the endpoint"):
    try:
        yield
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        OSError,
    ) as exc:
        if trace is not None and not trace.sent:
            raise exceptions.NotSentError(
                f"{address} cannot be reached ({exc!r}); is it up?"
            ) from exc
        raise exceptions.ReplyError(
            f"{address} broke off a reply ({exc!r}); look at its log"
        ) from exc
