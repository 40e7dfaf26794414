"""RPC connections between two programs, with calls in both directions."""

import dataclasses
import itertools

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import codec

__all__ = ["RpcConnection", "connect", "serve"]

CONNECT_TIMEOUT_S = 1.0


class RpcConnection:
    """A connection over which either side can call the other.

    Parameters
    ----------
    stream : trio.SocketStream
    handle : callable
        Handler of the messages that are not replies.
        ``await handle(msg, conn)`` returns the reply, or None for a
        message that needs no reply; ``conn`` is this connection.

    Notes
    -----
    One task reads the connection and starts another task for each
    message to handle, so that a slow handler does not delay other
    messages.  A lock keeps frames from being interleaved.

    Attributes
    ----------
    peer : dogwoodwheel.wire.messages.Hello or None
        What the other side reported about itself; set by `handle`.
    closed : bool
    sent_bytes, received_bytes : int
        Bytes of frames since the connection was opened.
    sent_messages, received_messages : int
        Messages since the connection was opened, replies included.
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
        self._reply_channels = {}
        self._lock = trio.Lock()

    async def send(self, msg, reply=False):
        """Send a message without waiting for a reply.

        Parameters
        ----------
        msg : message of `dogwoodwheel.wire.messages`
        reply : bool
            Whether the message is a reply to one from the other side.

        Raises
        ------
        PeerError
            If the connection is closed or broken.
        """
        frame = codec.encode(msg, reply)
        if self.closed:
            raise exceptions.PeerError("the connection is closed; retry")
        try:
            async with self._lock:
                # A cancellation must not leave a partial frame behind:
                # the other side would read the next frame as its rest.
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
        msg : message of `dogwoodwheel.wire.messages`
            Sent with a new ``id``, by which the reply is recognised.
        timeout_s : float
            Maximum time for sending and for the reply, seconds.

        Returns
        -------
        message of `dogwoodwheel.wire.messages`
            The reply.

        Raises
        ------
        PeerError
            If no reply arrives in time or the connection breaks.
        """
        msg_id = next(self._ids)
        msg = dataclasses.replace(msg, id=msg_id)
        send_channel, receive_channel = trio.open_memory_channel(1)
        self._reply_channels[msg_id] = send_channel
        try:
            with trio.fail_after(max(timeout_s, 0)):
                await self.send(msg)
                return await receive_channel.receive()
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
            self._reply_channels.pop(msg_id, None)

    async def run(self):
        """Read and handle messages until the connection ends.

        Notes
        -----
        Returns when the connection breaks or an invalid frame arrives;
        neither raises an exception.
        """
        try:
            async with trio.open_nursery() as nursery:
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self.closed = True
            for send_channel in self._reply_channels.values():
                send_channel.close()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    async def _read(self, nursery):
        while True:
            try:
                prefix = await self._receive_exactly(codec.LENGTH_PREFIX.size)
                body = await self._receive_exactly(codec.body_size(prefix))
                msg, reply = codec.decode(body)
            except (exceptions.PeerError, exceptions.WireError):
                return
            self.received_messages += 1
            self.received_bytes += codec.LENGTH_PREFIX.size + len(body)
            if not reply:
                nursery.start_soon(self._handle_message, msg)
            elif msg.id in self._reply_channels:
                self._reply_channels[msg.id].send_nowait(msg)

    async def _handle_message(self, msg):
        try:
            reply_msg = await self.handle(msg, self)
            if reply_msg is not None:
                reply_msg = dataclasses.replace(reply_msg, id=msg.id)
                await self.send(reply_msg, reply=True)
        except exceptions.PeerError:
            return
        except Exception:
            # An error in one handler must not close the connection, which
            # carries other messages too.
            logger.exception("wire: failed to handle {}", type(msg).__name__)

    async def _receive_exactly(self, size):
        data = bytearray()
        while len(data) < size:
            try:
                chunk = await self.stream.receive_some(size - len(data))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise exceptions.PeerError("the connection broke") from exc
            if not chunk:
                raise exceptions.PeerError("the connection ended")
            data += chunk
        return bytes(data)


async def connect(address, handle, timeout_s=CONNECT_TIMEOUT_S):
    """Open a connection to another program.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handle : callable
        Handler of messages, see `RpcConnection`.
    timeout_s : float
        Maximum time to connect, seconds.

    Returns
    -------
    RpcConnection
        The caller must start its method `RpcConnection.run`.

    Raises
    ------
    PeerError
        If the connection cannot be opened in time.
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
    """Accept connections until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handle : callable
        Handler of messages, see `RpcConnection`.
    on_open : callable, optional
        ``await on_open(conn)`` is called for each new connection, in a
        task that is cancelled when the connection ends.
    task_status : trio.TaskStatus, optional
        Informed once the address is listened on.

    Raises
    ------
    OSError
        If another process on this VM already uses the address.
    """
    host, _, port = address.rpartition(":")

    async def accept(stream):
        conn = RpcConnection(stream, handle)
        async with trio.open_nursery() as nursery:
            if on_open is not None:
                nursery.start_soon(on_open, conn)
            await conn.run()
            nursery.cancel_scope.cancel()

    listeners = await trio.open_tcp_listeners(int(port), host=host)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, accept, listeners)
        if task_status is not None:
            task_status.started()
