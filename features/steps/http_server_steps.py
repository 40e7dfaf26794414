"""Steps about the HTTP server that gateways and entries share."""

import contextlib
import http.client
import threading

from behave import given
from behave import then
from behave import when
import hypercorn.config
import trio

from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import runner
from dogwoodwheel.requests import asgi
from features.standins import machines

TIMEOUT_S = 5.0
# Settings of HTTP/2 that are no base64; hypercorn does not handle the error.
FAILING_HEADERS = {"Upgrade": "h2c", "HTTP2-Settings": "A"}


class ServerThread:
    """An HTTP server in a thread, with an application that answers OK."""

    def __init__(self):
        self.address = machines.free_address("127.0.0.1")
        self._stopped = trio.Event()
        self._token = None
        self._started = threading.Event()
        self._thread = threading.Thread(
            target=trio.run, args=(self._serve,), daemon=True
        )
        self._thread.start()
        assert self._started.wait(TIMEOUT_S)

    def stop(self):
        """Stop the server; does nothing if it has ended."""
        with contextlib.suppress(trio.RunFinishedError):
            trio.from_thread.run_sync(
                self._stopped.set, trio_token=self._token
            )
        self._thread.join(TIMEOUT_S)

    async def _serve(self):
        self._token = trio.lowlevel.current_trio_token()
        cfg = hypercorn.config.Config()
        cfg.bind = [f"fd://{runner.bound_socket_fd(self.address)}"]
        async with trio.open_nursery() as nursery:
            await nursery.start(self._listen, cfg)
            self._started.set()

    async def _listen(self, cfg, task_status):
        await http_server.serve(
            self._app, cfg, self._stopped.wait, task_status=task_status
        )

    @staticmethod
    async def _app(scope, receive, send):
        await asgi.send_response(send, 200, "text/plain", b"ok")


def get(conn):
    """Send a request; return the status and body of its reply."""
    conn.request("GET", "/")
    reply = conn.getresponse()
    return reply.status, reply.read()


@given("an HTTP server and a connection to it that is kept")
def step_server(context):
    server = ServerThread()
    context.add_cleanup(server.stop)
    context.http_server = server
    context.kept = connection(server)
    assert get(context.kept) == (200, b"ok")


def connection(server):
    host, _, port = server.address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


@when("another connection fails with an error that nothing handles")
def step_fail(context):
    conn = connection(context.http_server)
    conn.request("GET", "/", headers=FAILING_HEADERS)
    # Reads to the end of the connection.
    while conn.sock.recv(65536):
        pass
    conn.close()


@then("the kept connection to the server is answered")
def step_answered(context):
    context.kept.auto_open = 0
    assert get(context.kept) == (200, b"ok")
