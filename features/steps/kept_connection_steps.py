"""Steps about requests on connections that callers keep open."""

import contextlib
import http.client
import random
import socket
import string
import threading
import time

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from dogwoodwheel.programs import metrics
from dogwoodwheel.programs import supervision
from features import entry_builders
from features import entry_fleet
from features.standins import process

TIMEOUT_S = 5.0
STOP_S = 10.0
LOG_WAIT_S = 3.0
NAME_CHARACTERS = string.ascii_letters + string.digits
PLAIN_WORKERS = ("p1", "p2")
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS_FRAME = bytes.fromhex("000000040000000000")


@given('a caller keeps a connection to the entry "{name}"')
def step_keep(context, name):
    context.kept = connection(context, name)
    step_kept_gets(context, 200)


@given("plain workers answer after {seconds:d} s")
def step_delay(context, seconds):
    for name in PLAIN_WORKERS:
        context.fleet.workers[name].call("set", delay_s=seconds)


@when('another caller asks for "{path}" with the header "{headers}"')
def step_ask_with(context, path, headers):
    fields = dict(field.split(": ") for field in headers.split("; "))
    conn = connection(context, "one")
    context.reply = exchange(conn, path, **fields)
    conn.close()


@when('another caller sends the preface of HTTP/2 and the frame "{frame}"')
def step_preface(context, frame):
    data = HTTP2_PREFACE + EMPTY_SETTINGS_FRAME + bytes.fromhex(frame)
    host, _, port = context.fleet.front("one").rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.sendall(data)
        with contextlib.suppress(ConnectionResetError):
            while sock.recv(65536):
                pass


@when(
    'the row "{key}" of the table "{table}" is overwritten for {seconds:d} s'
)
def step_overwrite(context, key, table, seconds):
    context.fleet.store.call("put", table=table, key=key, value="odd")
    time.sleep(seconds)
    context.fleet.store.call("delete", table=table, key=key)


@when(
    'the entry "{name}" is stopped while the kept connection posts to "{path}"'
)
def step_stop_while(context, name, path):
    replies = []

    def ask():
        reply = exchange(
            context.kept, path, "POST", b"order", X_Request_Deadline=9000
        )
        replies.append(reply)

    asking = threading.Thread(target=ask, daemon=True)
    asking.start()
    process.wait_for(
        lambda: any(context.fleet.history(worker) for worker in PLAIN_WORKERS),
        what="the request at a worker",
    )
    proc = context.fleet.proc(name)
    proc.terminate()
    asking.join(STOP_S)
    context.codes = [proc.wait(STOP_S)]
    context.replies = replies


@then("that request gets {status:d}")
def step_that_gets(context, status):
    assert [r.status for r in context.replies] == [status], context.replies
    assert context.codes == [0], context.codes


@then('the entry "{name}" logs a cut answer with its engine and "{cause}"')
def step_logged_cut(context, name, cause):
    message = "connection closed without an answer"
    # A thread writes the log after the caller has got the answer.
    process.wait_for(
        lambda: context.fleet.log(name, message), LOG_WAIT_S, f"{message!r}"
    )
    lines = context.fleet.log(name, message)
    assert [line["cause"] for line in lines] == [cause], lines
    assert lines[0]["endpoints"] in ("e1", "e2"), lines
    counter = f'dogwoodwheel_unanswered_total{{cause="{cause}"}} 1'
    text = context.fleet.metrics(name)
    assert counter in text, text


@then('the entry "{name}" logs "{line}"')
def step_logs(context, name, line):
    process.wait_for(
        lambda: context.fleet.log(name, line), LOG_WAIT_S, f"{line!r}"
    )


@then('no task of the entry "{name}" has failed')
def step_no_task_error(context, name):
    text = context.fleet.metrics(name)
    assert "dogwoodwheel_task_errors_total{" not in text, text


@when("a background task fails twice")
def step_task_fails(context):
    context.starts = 0
    context.metrics = metrics.Metrics()

    async def task():
        context.starts += 1
        if context.starts <= 2:
            raise KeyError("odd")

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(
        supervision.keep_running, context.metrics, "odd", task, clock=clock
    )


@then("it is started again each time, and its errors are counted")
def step_task_restarted(context):
    assert context.starts == 3, context.starts
    counter = b'dogwoodwheel_task_errors_total{task="odd"} 2'
    assert counter in context.metrics.render(), context.metrics.render()


@then("it gets {status:d} in HTTP/1.1")
def step_http_1(context, status):
    assert context.reply.status == status, context.reply.status
    assert context.reply.version == 11, context.reply.version


@then("the kept connection gets {status:d}")
def step_kept_gets(context, status):
    reply = exchange(context.kept, "/stock/7")
    assert reply.status == status, reply.status
    # `http.client` has forgotten the socket if the reply closes it.
    assert context.kept.sock is not None


def connection(context, name):
    """Return a connection that is opened once and never again."""
    host, _, port = context.fleet.front(name).rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    conn.connect()
    conn.auto_open = 0
    return conn


def exchange(conn, path, method="GET", body=None, **headers):
    """Send a request; return its reply, which has been read."""
    fields = {
        "Host": entry_builders.HOST,
        "Authorization": f"Token {entry_fleet.KEY}",
        "X-Request-Id": "kept",
        "X-Request-Deadline": "4000",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    conn.request(method, path, body, fields)
    reply = conn.getresponse()
    reply.body = reply.read()
    return reply


@when("callers ask for {count:d} models with names of {length:d} characters")
def step_unknown_models(context, count, length):
    drawn = random.Random(0)
    conn = connection(context, "one")
    for _ in range(count):
        model = "".join(drawn.choices(NAME_CHARACTERS, k=length))
        reply = exchange(
            conn, "/chat/a", "POST", b"a", X_Model=model, X_Token_Count="1,1"
        )
        assert reply.status in (400, 503), reply.status
    conn.close()


@then('for {seconds:d} s both entries name the entry "{name}" to callers')
def step_named(context, seconds, name):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for entry in ("one", "two"):
            addresses = context.fleet.directory(entry)
            assert context.fleet.front(name) in addresses, entry
        time.sleep(0.1)


@given('the entry "{name}" has answered an order')
def step_has_answered(context, name):
    answer = context.fleet.ask(name, "/orders/1", "POST", b"order")
    assert answer.status == 200, answer
    context.asked_before = orders(context)


def orders(context):
    """Return the orders that reached plain workers, in order of time."""
    events = [e for w in PLAIN_WORKERS for e in context.fleet.history(w)]
    return sorted(events, key=lambda event: event["at"])


@when(
    'the body of an order arrives {s:g} s after the entry "{name}" got SIGTERM'
)
def step_slow_body(context, s, name):
    fields = {
        "Host": entry_builders.HOST,
        "Authorization": f"Token {entry_fleet.KEY}",
        "X-Request-Id": "5lowb0dy",
        "X-Request-Deadline": "9000",
        "Content-Length": "5",
    }
    address, _, port = context.fleet.front(name).rpartition(":")
    conn = http.client.HTTPConnection(address, int(port), timeout=STOP_S)
    conn.putrequest("POST", "/orders/1", skip_host=True)
    for field, value in fields.items():
        conn.putheader(field, value)
    conn.endheaders(b"or")
    proc = context.fleet.proc(name)
    proc.terminate()
    time.sleep(s)
    began = time.monotonic()
    conn.send(b"der")
    reply = conn.getresponse()
    context.answer = entry_fleet.Answer(
        reply.status,
        {key.lower(): value for key, value in reply.getheaders()},
        reply.read(),
        True,
    )
    context.took_s = time.monotonic() - began
    conn.close()


@then("it is refused as not run within {s:g} s, and the connection closes")
def step_refused_at_once(context, s):
    assert context.answer.status == 503, context.answer
    assert b"not_run" in context.answer.body, context.answer
    assert float(context.answer.headers["retry-after"]) > 0, context.answer
    assert context.answer.headers["connection"] == "close", context.answer
    assert context.took_s < s, context.took_s


@then("no worker was asked again")
def step_not_asked(context):
    assert orders(context) == context.asked_before, orders(context)


@then("the order is answered whole")
def step_order_whole(context):
    assert context.answer.status == 200, context.answer


@then("the worker was given at most {s:g} s for it")
def step_given(context, s):
    given_ms = int(orders(context)[-1]["headers"]["x-request-deadline"])
    assert given_ms <= s * 1000, given_ms
