"""A connection between two programs, with calls in both directions."""

import dataclasses
import itertools

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import codec

__all__ = ["RpcConnection", "connect", "serve"]

CONNECT_TIMEOUT_S = 1.0


class RpcConnection:
    """One connection, on which either side may call the other.

    Parameters
    ----------
    stream : trio.SocketStream
    handle : callable
        ``await handle(msg, link)`` returns the reply, or None.

    Notes
    -----
    One task reads the connection; each message of the other side is
    handled in a task of its own, so a slow reply holds up no other.
    Frames are written whole under a lock.

    Attributes
    ----------
    peer : dogwoodwheel.wire.messages.Hello or None
        What the other side said first; set by its handler.
    sent_bytes, received_bytes, sent, received : int
        Counters of the connection.
    """

    def __init__(self, stream, handle):
        self.stream = stream
        self.handle = handle
        self.peer = None
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self._ids = itertools.count(1)
        self._waiting = {}
        self._lock = trio.Lock()

    async def send(self, msg, reply=False):
        """Write one message.

        Raises
        ------
        PeerError
            If the connection is broken.
        """
        frame = codec.encode(msg, reply)
        if self.closed:
            raise exceptions.PeerError("the connection is closed; retry")
        try:
            async with self._lock:
                # Half a frame must never be followed by another one.
                with trio.CancelScope(shield=True):
                    await self.stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.closed = True
            raise exceptions.PeerError("the connection broke; retry") from exc
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    async def call(self, msg, timeout_s):
        """Send a message and return its reply.

        Parameters
        ----------
        msg : message
            Its ``id`` is replaced by a fresh one.
        timeout_s : float

        Returns
        -------
        message

        Raises
        ------
        PeerError
            If no reply came in time or the connection broke.
        """
        number = next(self._ids)
        msg = dataclasses.replace(msg, id=number)
        send, receive = trio.open_memory_channel(1)
        self._waiting[number] = send
        try:
            with trio.fail_after(max(timeout_s, 0)):
                await self.send(msg)
                return await receive.receive()
        except trio.TooSlowError as exc:
            raise exceptions.PeerError(
                f"no reply to {type(msg).__name__} within "
                f"{timeout_s:.1f} s; retry"
            ) from exc
        except trio.EndOfChannel as exc:
            raise exceptions.PeerError(
                "the connection broke before the reply; retry"
            ) from exc
        finally:
            self._waiting.pop(number, None)

    async def run(self):
        """Read until the connection ends; returns, never raises for it."""
        try:
            async with trio.open_nursery() as nursery:
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self.closed = True
            for send in self._waiting.values():
                send.close()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    async def _read(self, nursery):
        while True:
            try:
                head = await self._exactly(codec.LENGTH_PREFIX.size)
                body = await self._exactly(codec.size_of(head))
                msg, reply = codec.decode(body)
            except (exceptions.PeerError, exceptions.WireError):
                return
            self.received_messages += 1
            self.received_bytes += codec.LENGTH_PREFIX.size + len(body)
            if not reply:
                nursery.start_soon(self._answer, msg)
            elif msg.id in self._waiting:
                self._waiting[msg.id].send_nowait(msg)

    async def _answer(self, msg):
        try:
            result = await self.handle(msg, self)
            if result is not None:
                result = dataclasses.replace(result, id=msg.id)
                await self.send(result, reply=True)
        except exceptions.PeerError:
            return
        except Exception:
            # A fault in one answer must not end the other ones.
            logger.exception("wire: {} not answered", type(msg).__name__)

    async def _exactly(self, size):
        data = bytearray()
        while len(data) < size:
            try:
                part = await self.stream.receive_some(size - len(data))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise exceptions.PeerError("the connection broke") from exc
            if not part:
                raise exceptions.PeerError("the connection ended")
            data += part
        return bytes(data)


async def connect(address, handle, timeout_s=CONNECT_TIMEOUT_S):
    """Open a link to another program.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handle : callable
        Handler of what the other side asks.
    timeout_s : float

    Returns
    -------
    RpcConnection
        Its `RpcConnection.run` must be started by the caller.

    Raises
    ------
    PeerError
        If the connection is not made in time.
    """
    host, _, port = address.rpartition(":")
    stream = None
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError as exc:
            raise exceptions.PeerError(
                f"cannot connect to {address} ({exc}); is it running?"
            ) from exc
    if stream is None:
        raise exceptions.PeerError(
            f"no connection to {address} within {timeout_s:.1f} s; "
            f"is it running?"
        )
    return RpcConnection(stream, handle)


async def serve(address, handle, on_open=None, task_status=None):
    """Accept links for ever.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handle : callable
        Handler of what the other sides ask.
    on_open : callable, optional
        ``await on_open(link)`` runs beside each link until it ends.
    task_status : trio.TaskStatus, optional

    Raises
    ------
    OSError
        If the address is taken: another process of this VM holds it.
    """
    host, _, port = address.rpartition(":")

    async def accept(stream):
        link = RpcConnection(stream, handle)
        async with trio.open_nursery() as nursery:
            if on_open is not None:
                nursery.start_soon(on_open, link)
            await link.run()
            nursery.cancel_scope.cancel()

    listeners = await trio.open_tcp_listeners(int(port), host=host)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, accept, listeners)
        if task_status is not None:
            task_status.started()
