"""HTTP server in which the failure of one connection ends no other.

Notes
-----
The connections are served by hypercorn.  Its own server runs them all in
one nursery, where an error in one ends the process, and with it every
connection.
"""

import h11
from hypercorn import events as hypercorn_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import task_group as task_group_module
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
from hypercorn import utils as hypercorn_utils
from loguru import logger
import trio

__all__ = ["serve"]

UPGRADE_HEADER = b"upgrade"


async def serve(
    app,
    cfg,
    shutdown_trigger,
    http1_only=False,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an ASGI application until a trigger, then drain.

    Parameters
    ----------
    app : callable
        ASGI application.  It gets no ``lifespan`` events.
    cfg : hypercorn.config.Config
        ``graceful_timeout`` is the time for which requests that run at the
        trigger may go on, seconds.
    shutdown_trigger : callable
        ``await shutdown_trigger()`` returns once no connection is to be
        accepted any more and idle ones are to be closed.
    http1_only : bool
        Whether connections, which must be without TLS, cannot change to
        HTTP/2 or WebSocket.
    task_status : trio.TaskStatus
        Started once connections are accepted.
    """
    app = hypercorn_utils.wrap_app(app, cfg.wsgi_max_body_size, "asgi")
    context = worker_context.WorkerContext(None)
    state = hypercorn_typing.ConnectionState({})
    server_class = _Http1Server if http1_only else tcp_server.TCPServer

    async def serve_connection(stream):
        try:
            await server_class(app, cfg, context, state, stream)
        except Exception:
            logger.exception("connection failed")

    listeners = _open_listeners(cfg)
    async with trio.open_nursery() as connection_nursery:
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    _serve_listeners,
                    serve_connection,
                    listeners,
                    connection_nursery,
                )
                task_status.started()
                await shutdown_trigger()
                nursery.cancel_scope.cancel()
        finally:
            await context.terminated.set()
            connection_nursery.cancel_scope.deadline = (
                trio.current_time() + cfg.graceful_timeout
            )


def _open_listeners(cfg):
    sockets = cfg.create_sockets()
    for sock in sockets.secure_sockets + sockets.insecure_sockets:
        sock.listen(cfg.backlog)
    tls_context = cfg.create_ssl_context()
    listeners = [
        trio.SSLListener(_listener(sock), tls_context, https_compatible=True)
        for sock in sockets.secure_sockets
    ]
    return listeners + [_listener(sock) for sock in sockets.insecure_sockets]


def _listener(sock):
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


async def _serve_listeners(handler, listeners, handler_nursery, task_status):
    await trio.serve_listeners(
        handler,
        listeners,
        handler_nursery=handler_nursery,
        task_status=task_status,
    )


class _Http1Server(tcp_server.TCPServer):
    """A connection without TLS whose protocol stays HTTP/1.1.

    Notes
    -----
    A request may arrive at the moment at which the connection is closed as
    idle.  Either the request is read, or the connection is closed.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self._has_request = False
        self._closed_as_idle = False

    async def run(self):
        try:
            await self._serve_requests(self.stream.socket)
        except OSError as exc:
            logger.debug("caller disconnected at once", why=str(exc))
        finally:
            await self._close()

    async def protocol_send(self, event):
        if isinstance(event, hypercorn_events.Updated):
            self._has_request = not event.idle
        await super().protocol_send(event)

    async def _idle_timeout(self):
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        if not self._has_request:
            self._closed_as_idle = True
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()

    async def _serve_requests(self, sock):
        client = hypercorn_utils.parse_socket_addr(
            sock.family, sock.getpeername()
        )
        server = hypercorn_utils.parse_socket_addr(
            sock.family, sock.getsockname()
        )
        async with task_group_module.TaskGroup() as task_group:
            self._task_group = task_group
            self.protocol = _Http1Protocol(
                self.app,
                self.config,
                self.context,
                task_group,
                hypercorn_typing.ConnectionState(self.state),
                False,
                client,
                server,
                self.protocol_send,
            )
            self.protocol.is_closed = lambda: self._closed_as_idle
            await self.protocol.initiate()
            await self.idle_task.restart(task_group, self._idle_timeout)
            await self._read_data()


class _Http1Protocol(h11_protocol.H11Protocol):
    """Ignores offers to change the protocol, as RFC 9110, 7.8 allows.

    Attributes
    ----------
    is_closed : callable
        ``is_closed()`` returns whether a request that has been read is too
        late, since the connection has been closed.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.is_closed = lambda: False

    async def _check_protocol(self, event):
        pass

    async def _create_stream(self, request):
        if self.is_closed():
            return
        headers = [
            (name, value)
            for name, value in request.headers
            if name != UPGRADE_HEADER
        ]
        await super()._create_stream(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
                http_version=request.http_version,
            )
        )
