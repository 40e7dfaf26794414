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
    handler : callable
        Handler of the messages that are not replies.
        ``await handler(msg, conn)`` returns the reply, or None for a
        message that needs no reply; ``conn`` is this connection.

    Notes
    -----
    One task reads from the connection and starts a new task for each
    message to handle, so that a slow handler does not delay other
    messages.  A lock prevents concurrent senders from interleaving their
    frames.

    Attributes
    ----------
    peer : dogwoodwheel.wire.messages.Hello or None
        What the other side reported about itself; set by `handler`.
    closed : bool
    sent_bytes, received_bytes : int
        Bytes of frames since the connection was opened.
    sent_messages, received_messages : int
        Messages since the connection was opened, replies included.
    """

    def __init__(self, stream, handler):
        self.stream = stream
        self.handler = handler
        self.peer = None
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self._message_ids = itertools.count(1)
        self._reply_channels = {}
        self._send_lock = trio.Lock()

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
            async with self._send_lock:
                # A cancellation must not leave a partial frame behind:
                # the other side would take the start of the next frame
                # for the rest of the partial one.
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
            Its ``id`` is replaced by a new one, which the reply repeats.
        timeout_s : float
            Maximum time from sending to the reply, seconds.

        Returns
        -------
        message of `dogwoodwheel.wire.messages`
            The reply.

        Raises
        ------
        PeerError
            If no reply arrives in time or the connection breaks.
        """
        msg_id = next(self._message_ids)
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
        Returns, without an exception, when the connection breaks or an
        invalid frame arrives.
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
                length_prefix = await self._receive_exactly(
                    codec.LENGTH_PREFIX.size
                )
                body = await self._receive_exactly(
                    codec.body_size(length_prefix)
                )
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
            reply_msg = await self.handler(msg, self)
            if reply_msg is not None:
                reply_msg = dataclasses.replace(reply_msg, id=msg.id)
                await self.send(reply_msg, reply=True)
        except exceptions.PeerError:
            return
        except Exception:
            # An error while one message is handled must not close the
            # connection, since other messages use it too.
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


async def connect(address, handler, timeout_s=CONNECT_TIMEOUT_S):
    """Open a connection to another program.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handler : callable
        Handler of messages, see `RpcConnection`.
    timeout_s : float
        Maximum time to connect, seconds.

    Returns
    -------
    RpcConnection
        The caller must run `RpcConnection.run` in a task.

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
    return RpcConnection(stream, handler)


async def serve(address, handler, on_open=None, task_status=None):
    """Accept connections until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Handler of messages, see `RpcConnection`.
    on_open : callable, optional
        ``await on_open(conn)`` is called for each new connection, in a
        task that is cancelled when the connection ends.
    task_status : trio.TaskStatus, optional
        Its ``started()`` is called once connections are accepted.

    Raises
    ------
    OSError
        If another process on this VM already uses the address.
    """
    host, _, port = address.rpartition(":")

    async def serve_stream(stream):
        conn = RpcConnection(stream, handler)
        async with trio.open_nursery() as nursery:
            if on_open is not None:
                nursery.start_soon(on_open, conn)
            await conn.run()
            nursery.cancel_scope.cancel()

    listeners = await trio.open_tcp_listeners(int(port), host=host)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_stream, listeners)
        if task_status is not None:
            task_status.started()
