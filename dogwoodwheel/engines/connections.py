"""HTTP/1.1 connections to endpoints.

Notes
-----
The connections use h11 directly, since forwarding depends on facts that
HTTP clients usually hide: whether a reply arrived before the request was
sent completely, whether bytes follow a complete reply, and whether any
byte of a request was sent.  Only a request without a sent byte is
certain not to have run.
"""

import errno
import socket

import h11
import trio

from dogwoodwheel.engines import turns
from dogwoodwheel import exceptions

__all__ = ["Connection"]

RECEIVE_BYTES = 65536
# A reply with more informational responses before its head is malformed.
MAX_INFORMATIONAL_RESPONSES = 16
# A reply whose chunks have less than MIN_MEAN_CHUNK_BYTES on average is
# malformed if more than MAX_SMALL_CHUNKS come at once, or more than
# SMALL_CHUNKS_PER_S over a long time.
MIN_MEAN_CHUNK_BYTES = 16
MAX_SMALL_CHUNKS = 4096
SMALL_CHUNKS_PER_S = 100
# A connection is closed after this number of requests that failed, since it
# keeps their ids.
MAX_FAILED_REQUESTS = 256
# Maximum size of a request that fits into the socket's send buffer.  A
# shorter one can be sent without blocking, even if the peer replies without
# reading the request.
SINGLE_WRITE_BYTES = 16 * 1024
# TCP keepalive: a peer that vanishes without a TCP reset is detected within
# TCP_KEEPALIVE_IDLE_S + TCP_KEEPALIVE_PROBES * TCP_KEEPALIVE_INTERVAL_S = 3 s.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# The kernel closes a connection if sent bytes are not acknowledged for this
# time.
TCP_USER_TIMEOUT_MS = 3000
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class Connection:
    """An HTTP/1.1 connection for one request at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    stream : trio.SocketStream
    turn_limiter : dogwoodwheel.engines.turns.TurnLimiter
        Shared by all connections of a client.

    Attributes
    ----------
    became_idle_at : float
        Time at which the last reply ended, by trio's clock.
    max_idle_s : float
        The connection may be reused if it has been idle for less than
        this time, seconds.
    is_reused : bool
        Whether the connection has carried a request before.
    has_carried_ids : bool
        Whether the connection has carried a request with an id.
    failed_request_ids : set of str
        Ids of the requests to which the peer replied with an error status.
    """

    def __init__(self, address, stream, turn_limiter):
        self.address = address
        self.became_idle_at = trio.current_time()
        self.max_idle_s = 0.0
        self.is_reused = False
        self.has_carried_ids = False
        self.failed_request_ids = set()
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request_sent = False
        self._turn = turns.Turn(turn_limiter)
        self._abort_cause = None
        self._head_read_at = 0.0
        # Number and size of the chunks of the reply so far.
        self._chunk_count = 0
        self._chunk_bytes = 0

    @classmethod
    async def connect(cls, address, timeout_s, turn_limiter):
        """Open a connection.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        timeout_s : float
            Maximum time for opening the connection, seconds.
        turn_limiter : dogwoodwheel.engines.turns.TurnLimiter
            Shared by all connections of a client.

        Returns
        -------
        Connection

        Raises
        ------
        NotSentError
            If the connection cannot be opened in time.
        """
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for level, option, value in SOCKET_OPTIONS:
                sock.setsockopt(level, option, value)
            with trio.fail_after(timeout_s):
                await sock.connect((host, int(port)))
        except (OSError, ValueError, trio.TooSlowError) as exc:
            sock.close()
            raise exceptions.NotSentError(
                f"{address} cannot be reached ({exc!r}); is it up?"
            ) from exc
        except BaseException:
            sock.close()
            raise
        return cls(address, trio.SocketStream(sock), turn_limiter)

    def has_no_pending_data(self):
        """Return whether there is nothing to read from the socket.

        Notes
        -----
        An idle connection on which bytes or the end of the stream have
        arrived cannot be reused.
        """
        return not self._stream.socket.is_readable()

    @property
    def is_reusable(self):
        """Whether the connection can carry another request now."""
        return (
            self._request_sent
            and self._abort_cause is None
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and len(self.failed_request_ids) < MAX_FAILED_REQUESTS
        )

    def prepare_next_request(self):
        """Prepare the connection for the next request."""
        self._h11.start_next_cycle()
        self.is_reused = True
        self.became_idle_at = trio.current_time()

    async def send(self, method, target, headers, body):
        """Send a request; stop early if the peer replies or disconnects.

        Notes
        -----
        A peer that replies or closes the connection before it has read
        the whole request causes no error here, since its reply can still
        be read.
        """
        self._request_sent = False
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        if len(data) <= SINGLE_WRITE_BYTES:
            await self._write(data)
        else:
            await self._write_until_reply(data)

    async def _write(self, data):
        try:
            await self._stream.send_all(data)
            self._request_sent = True
        except trio.BrokenResourceError:
            # The peer may have replied before it closed the connection.
            # The caller reads the reply next, which raises an exception if
            # the peer sent no reply.
            pass

    async def _write_until_reply(self, data):
        async with trio.open_nursery() as nursery:

            async def write():
                await self._write(data)
                nursery.cancel_scope.cancel()

            nursery.start_soon(write)
            await trio.lowlevel.wait_readable(self._stream.socket)
            nursery.cancel_scope.cancel()

    async def read_head(self):
        """Return the final head of the reply, an `h11.Response`.

        Notes
        -----
        Informational responses (status 1xx) are skipped.

        Raises
        ------
        ReplyError
            If the reply has no valid head, or more than
            `MAX_INFORMATIONAL_RESPONSES` before it.
        """
        self._turn.end_wait()
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._head_read_at = trio.current_time()
                self._chunk_count = self._chunk_bytes = 0
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._reply_error("no head")
        raise self._reply_error("too many informational responses")

    async def iter_chunks(self, before_wait=None):
        """Yield the chunks of the reply's body.

        Parameters
        ----------
        before_wait : callable, optional
            ``await before_wait()`` is called each time before the
            connection waits for more bytes, or for its next turn.

        Raises
        ------
        ReplyError
            If the body is malformed, shorter than its declared length,
            or comes in too many small chunks at once.
        """
        while True:
            self._turn.begin_step()
            if self._turn.is_over:
                if before_wait is not None:
                    await before_wait()
                await self._turn.wait_next()
            event = await self._next_event(before_wait)
            if isinstance(event, h11.Data):
                self._count_chunk(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise self._reply_error("no whole body")

    def abort(self, cause):
        """Break the reply off, whoever waits for it.

        Parameters
        ----------
        cause : str
            Message of the `ReplyError` that the reader gets.
        """
        self._abort_cause = cause
        self._stream.socket.close()

    def check_aborted(self):
        """Raise the `ReplyError` if the reply was broken off here."""
        if self._abort_cause is not None:
            raise self._reply_error(self._abort_cause)

    async def aclose(self):
        """Close the connection without waiting for the peer."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self, before_wait=None):
        try:
            while True:
                event = self._h11.next_event()
                self._turn.end_step()
                if event is not h11.NEED_DATA:
                    return event
                if before_wait is not None:
                    await before_wait()
                self._turn.begin_wait()
                data = await self._stream.receive_some(RECEIVE_BYTES)
                self._turn.end_wait()
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise self._reply_error(exc) from exc
        except trio.BrokenResourceError as exc:
            raise self._reply_error(exc) from exc
        except trio.ClosedResourceError as exc:
            raise self._reply_error(self._abort_cause or exc) from exc
        except OSError as exc:
            raise self._reply_error(
                errno.errorcode.get(exc.errno, exc)
            ) from exc

    def _count_chunk(self, size):
        self._chunk_count += 1
        self._chunk_bytes += size
        if (
            self._chunk_count > MAX_SMALL_CHUNKS
            and self._chunk_bytes < MIN_MEAN_CHUNK_BYTES * self._chunk_count
        ):
            elapsed_s = trio.current_time() - self._head_read_at
            max_chunks = MAX_SMALL_CHUNKS + SMALL_CHUNKS_PER_S * elapsed_s
            if self._chunk_count > max_chunks:
                raise self._reply_error("too many small chunks")

    def _reply_error(self, cause):
        return exceptions.ReplyError(
            f"{self.address} broke off a reply ({cause}); look at its log"
        )
