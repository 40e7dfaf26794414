"""A small HTTP/1.1 server whose connections can be made to fail."""

import json
import socket
import struct

import h11
import trio

__all__ = ["Exchange", "Server", "reset"]

CHUNK_BYTES = 65536
BAD_REQUEST = 400
BODY_BYTES = 64 * 1024 * 1024
LINGER_OFF = struct.pack("ii", 1, 0)


def reset(stream):
    """Close a connection at once, with a TCP reset."""
    try:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF
        )
    except OSError:
        pass
    stream.socket.close()


class Exchange:
    """One request and the reply to it.

    Parameters
    ----------
    conn : _Connection
    req : h11.Request
    body : bytes
    """

    def __init__(self, conn, req, body):
        self.conn = conn
        self.method = req.method.decode()
        self.path = req.target.decode()
        self.headers = {
            name.decode(): value.decode("latin-1")
            for name, value in req.headers
        }
        self.body = body
        self.gone = False
        self.closed = False

    def json(self):
        """Return the decoded JSON body; an empty body gives a dict."""
        return json.loads(self.body) if self.body else {}

    async def start(self, status, headers=()):
        """Send the head of a reply."""
        await self.conn.send(
            h11.Response(status_code=status, headers=list(headers))
        )

    async def data(self, data):
        """Send a part of the body."""
        await self.conn.send(h11.Data(data=data))

    async def end(self):
        """End the reply."""
        await self.conn.send(h11.EndOfMessage())

    async def reply(self, status, body, headers=()):
        """Send a whole reply of JSON, or of bytes."""
        data = body
        if not isinstance(body, bytes):
            data = json.dumps(body).encode()
        head = [
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
        ]
        await self.conn.send(
            h11.Response(status_code=status, headers=head + list(headers)),
            h11.Data(data=data),
            h11.EndOfMessage(),
        )

    async def raw(self, data):
        """Send bytes past the protocol's state."""
        await self.conn.stream.send_all(data)

    def finish(self):
        """Close the connection in order after what was sent."""
        self.conn.stream.socket.shutdown(socket.SHUT_WR)

    def cut(self):
        """Reset the connection."""
        reset(self.conn.stream)


class Server:
    """Serve HTTP on one address.

    Parameters
    ----------
    handle : callable
        ``await handle(exchange)``; cancelled when the client goes away.
    on_gone : callable, optional
        Called with the exchange whose client went away.
    """

    def __init__(self, handle, on_gone=None):
        self.handle = handle
        self.on_gone = on_gone
        self.streams = set()
        self.close_before_read = 0
        self.close_after_read = 0
        self._down_s = 0.0
        self._serving = None

    async def serve(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections for ever, but for the time after a crash."""
        host, _, port = address.rpartition(":")
        while True:
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            with trio.CancelScope() as self._serving:
                await trio.serve_listeners(
                    self._accept, listeners, task_status=task_status
                )
            task_status = trio.TASK_STATUS_IGNORED
            for listener in listeners:
                await listener.aclose()
            await trio.sleep(self._down_s)

    def crash(self, down_s):
        """Close all connections, and refuse new ones for some seconds."""
        self._down_s = down_s
        self._serving.cancel()

    def cut(self):
        """Reset every connection; return their number."""
        count = len(self.streams)
        for stream in list(self.streams):
            reset(stream)
        return count

    async def _accept(self, stream):
        self.streams.add(stream)
        try:
            await _Connection(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except (h11.RemoteProtocolError, h11.LocalProtocolError):
            reset(stream)
        finally:
            self.streams.discard(stream)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


class _Connection:
    def __init__(self, server, stream):
        self.server = server
        self.stream = stream
        self.conn = h11.Connection(h11.SERVER)
        self.served = 0

    async def send(self, *events):
        data = b"".join(self.conn.send(event) or b"" for event in events)
        if data:
            await self.stream.send_all(data)

    async def run(self):
        while await self._turn():
            self.served += 1
            if self.conn.our_state is not h11.DONE:
                return
            if self.conn.their_state is not h11.DONE:
                return
            self.conn.start_next_cycle()

    async def _turn(self):
        if self.served:
            await self._idle()
        exchange = await self._read()
        if exchange is None:
            return False
        if self.served and self.server.close_after_read > 0:
            self.server.close_after_read -= 1
            exchange.cut()
            return False
        try:
            await self._watched(exchange)
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            exchange.closed = True
        if exchange.gone and self.server.on_gone is not None:
            self.server.on_gone(exchange)
        return not (exchange.gone or exchange.closed)

    async def _idle(self):
        if self.conn.trailing_data[0]:
            return
        if self.stream.socket.fileno() < 0:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(self.stream.socket)
        if self.server.close_before_read > 0:
            self.server.close_before_read -= 1
            reset(self.stream)
            raise trio.ClosedResourceError

    async def _read(self):
        req = None
        body = bytearray()
        while True:
            event = self.conn.next_event()
            if event is h11.NEED_DATA:
                if self.conn.they_are_waiting_for_100_continue:
                    await self.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                self.conn.receive_data(
                    await self.stream.receive_some(CHUNK_BYTES)
                )
            elif isinstance(event, h11.Request):
                req = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return Exchange(self, req, bytes(body))
            else:
                return None

    async def _watched(self, exchange):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, exchange, nursery.cancel_scope)
            await self._handle(exchange)
            nursery.cancel_scope.cancel()

    async def _handle(self, exchange):
        try:
            await self.server.handle(exchange)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            if self.conn.our_state is not h11.SEND_RESPONSE:
                raise
            await exchange.reply(BAD_REQUEST, {"error": repr(exc)})

    async def _watch(self, exchange, scope):
        while True:
            try:
                data = await self.stream.receive_some(CHUNK_BYTES)
            except trio.BrokenResourceError:
                data = b""
            except trio.ClosedResourceError:
                exchange.closed = True
                scope.cancel()
                return
            if not data:
                exchange.gone = True
                scope.cancel()
                return
            self.conn.receive_data(data)
