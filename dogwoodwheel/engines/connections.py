"""One HTTP/1.1 connection to an endpoint.

Notes
-----
Written on h11 since forwarding needs what the usual clients hide: the
reply may come before the request has been sent whole, bytes may follow
a whole reply, and it matters whether any byte of a request was sent.
"""

import errno
import socket

import h11
import trio

from dogwoodwheel import exceptions

__all__ = ["Connection"]

READ_BYTES = 65536
# A request of this size fits into the socket's buffer, so sending it
# cannot wait for a peer that answers without reading.
SMALL_BYTES = 16 * 1024
# Probes of an idle peer, seconds: a connection that went silent without
# a reset is noticed within KEEPALIVE_IDLE_S + 2 * KEEPALIVE_INTERVAL_S.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time for which sent bytes may stay unacknowledged, milliseconds.
UNACKNOWLEDGED_MS = 3000
OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


class Connection:
    """An HTTP/1.1 connection that carries one exchange at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    stream : trio.SocketStream

    Attributes
    ----------
    idle_at : float
        Time of trio's clock at which the last exchange ended.
    idle_s : float
        Seconds after which the peer closes it when unused.
    used : bool
        Whether an exchange went over it before.
    """

    def __init__(self, address, stream):
        self.address = address
        self.idle_at = trio.current_time()
        self.idle_s = 0.0
        self.used = False
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._sent_whole = False

    @classmethod
    async def connect(cls, address, timeout_s):
        """Return a new connection.

        Raises
        ------
        NotSentError
            If the endpoint cannot be reached within the time.
        """
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for level, option, value in OPTIONS:
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
        return cls(address, trio.SocketStream(sock))

    def has_no_pending_data(self):
        """Tell whether nothing came since the last exchange."""
        return not self._stream.socket.is_readable()

    @property
    def is_reusable(self):
        """Whether another exchange may follow the one that ended."""
        return (
            self._sent_whole
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def recycle(self):
        """Get ready for the next exchange."""
        self._http.start_next_cycle()
        self.used = True
        self.idle_at = trio.current_time()

    async def send(self, method, target, headers, body):
        """Send a request, or as much of it as the peer takes.

        Notes
        -----
        A peer that answers or closes before it has read all ends the
        sending; its reply is there to be read.
        """
        self._sent_whole = False
        data = self._http.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        if len(data) <= SMALL_BYTES:
            await self._write(data)
        else:
            await self._write_until_answered(data)

    async def _write(self, data):
        try:
            await self._stream.send_all(data)
            self._sent_whole = True
        except trio.BrokenResourceError:
            # The reply may have come before the peer closed; it is read
            # next, and its absence is the error that counts.
            pass

    async def _write_until_answered(self, data):
        async with trio.open_nursery() as nursery:

            async def write():
                await self._write(data)
                nursery.cancel_scope.cancel()

            nursery.start_soon(write)
            await trio.lowlevel.wait_readable(self._stream.socket)
            nursery.cancel_scope.cancel()

    async def head(self):
        """Return the `h11.Response` of the exchange.

        Raises
        ------
        ReplyError
            If none came.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("no head")

    async def iter_chunks(self, on_drained=None):
        """Yield the parts of the reply's body.

        Raises
        ------
        ReplyError
            If the body is shorter than declared or malformed.
        """
        while True:
            event = await self._next(on_drained)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise self._broken("no whole body")

    async def aclose(self):
        """Close the connection, without waiting."""
        await trio.aclose_forcefully(self._stream)

    async def _next(self, on_drained=None):
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if on_drained is not None:
                    await on_drained()
                self._http.receive_data(
                    await self._stream.receive_some(READ_BYTES)
                )
        except h11.RemoteProtocolError as exc:
            raise self._broken(exc) from exc
        except trio.BrokenResourceError as exc:
            raise self._broken(exc) from exc
        except trio.ClosedResourceError as exc:
            raise self._broken(exc) from exc
        except OSError as exc:
            raise self._broken(errno.errorcode.get(exc.errno, exc)) from exc

    def _broken(self, why):
        return exceptions.ReplyError(
            f"{self.address} broke off a reply ({why}); look at its log"
        )
