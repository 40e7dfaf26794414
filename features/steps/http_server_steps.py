"""Steps about the HTTP server that gateways and entries share."""

import contextlib
import http.client
import threading
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypercorn.config
import trio

from dogwoodwheel.entry import events
from dogwoodwheel.entry import serving
from dogwoodwheel.platform import http_headers
from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import runner
from dogwoodwheel.requests import asgi
from dogwoodwheel.requests import callers
from features import idle_callers
from features.standins import machines

TIMEOUT_S = 5.0
SEND_S = 0.02
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


class SentMessages:
    """Collects the messages of an answer; each takes a while.

    Parameters
    ----------
    on_start : callable
        Called with the head.
    """

    def __init__(self, on_start=lambda: None):
        self.on_start = on_start
        self.messages = []

    async def send(self, message):
        """Take a message, as an ASGI server does."""
        if message["type"] == "http.response.start":
            self.on_start()
        await trio.sleep(SEND_S)
        self.messages.append(message)

    @property
    def body(self):
        """All parts of the body so far."""
        return b"".join(m.get("body", b"") for m in self.messages)


@when("an answer is sent and its time ends with its head")
def step_answer(context):
    async def answer():
        with trio.CancelScope() as scope:
            context.sent = SentMessages(scope.cancel)
            caller = callers.Caller("id", None, context.sent.send, bool)
            await caller.answer(callers.Answer(200, (), b"whole"))

    trio.run(answer)


@then("the caller has the whole answer")
def step_whole(context):
    assert context.sent.body == b"whole", context.sent.messages
    assert not context.sent.messages[-1]["more_body"]


class StreamReply:
    """A reply of an endpoint with two events at once, and then nothing."""

    headers = ((b"content-type", b"text/event-stream"),)
    status = 200
    ends_with_connection = False

    def header(self, name):
        """Return an empty header."""
        return b""

    def hold(self, size):
        """Count nothing."""

    async def iter_chunks(self, before_wait):
        """Yield the events."""
        yield b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
        await before_wait()


@when("the head of a stream is sent until the endpoint counts as silent")
def step_slow_head(context):
    context.sent = SentMessages()
    handler = object.__new__(serving.RequestHandler)
    handler.caller = callers.Caller("id", None, context.sent.send, bool)
    handler.splitter = events.EventSplitter(http_headers.event_id, None)
    handler.crash_guard = mock.Mock()
    handler.mark_prompt_processed = mock.Mock()

    async def relay():
        with trio.move_on_after(SEND_S / 2) as silence_scope:
            await handler._relay_stream(None, StreamReply(), silence_scope)

    trio.run(relay)


@then('the caller has the events "{first}" and "{second}"')
def step_events(context, first, second):
    body = context.sent.body.decode()
    assert first in body and second in body, context.sent.messages


@when("{rounds:d} times requests arrive as {end}")
def step_meet(context, rounds, end):
    context.rounds = [idle_callers.IdleCallers(n) for n in range(rounds)]
    for group in context.rounds:
        trio.run(
            group.meet_stop
            if end == "the server stops"
            else group.meet_idle_limit
        )


@then("each request that was passed on is answered")
def step_all_answered(context):
    passed_on = sum(len(group.passed_on) for group in context.rounds)
    lost = [group.passed_on - group.answered for group in context.rounds]
    assert passed_on, "no request arrived in time"
    assert not any(lost), (passed_on, sum(map(len, lost)))
