"""Steps about the memory that bytes of peers take in an entry."""

import concurrent.futures
import contextlib
import socket
import time
import uuid

from behave import given
from behave import then
from behave import when

from dogwoodwheel.engines import reply_memory
from features import entry_builders
from features import entry_fleet

OK = 200
UNAVAILABLE = 503
DEADLINE_MS = 4000
# Time after its deadline within which a caller has an answer.
SLACK_S = 1.0
# Pause in which answers pile up before others ask.
PILE_UP_S = 1.5
OTHERS = 20
OTHERS_INTERVAL_S = 0.1
ENDLESS_BODY_S = 3.0
KB = 1000


def post(context):
    """Post an order; return the answer and the time that it took."""
    began = time.monotonic()
    answer = context.fleet.ask("one", "/orders/1", "POST", b"order")
    return answer, time.monotonic() - began


def ask_for_stream(context):
    """Ask for a stream; return the answer and the time that it took."""
    began = time.monotonic()
    answer = context.fleet.stream("one", X_Request_Deadline=DEADLINE_MS)
    return answer, time.monotonic() - began


ASKS = {'post to "/orders/1"': post, "ask for a stream": ask_for_stream}


def ask_beside(context, ask_others, count, ask):
    """Let callers ask, and others a little later; keep what all got."""
    with concurrent.futures.ThreadPoolExecutor(count + OTHERS) as executor:
        asked = [executor.submit(ask, context) for _ in range(count)]
        time.sleep(PILE_UP_S)
        others = []
        for _ in range(OTHERS):
            others.append(executor.submit(ask_others, context))
            time.sleep(OTHERS_INTERVAL_S)
        context.others = [fut.result() for fut in others]
        context.asked = [fut.result() for fut in asked]


@when("{count:d} callers ask for a stream, and others {others}")
def step_streams(context, count, others):
    ask_beside(context, ASKS[others], count, ask_for_stream)


@when('{count:d} callers post to "/orders/1", and others {others}')
def step_orders(context, count, others):
    ask_beside(context, ASKS[others], count, post)


@then("the others all get 200")
def step_others(context):
    failed = [answer for answer, _ in context.others if answer.status != OK]
    assert not failed, failed


@then("each of the {count:d} gets a refusal in time or a cut answer")
def step_refused(context, count):
    assert len(context.asked) == count
    for answer, took_s in context.asked:
        assert answer.status >= 500 or not answer.whole, answer
        assert took_s < DEADLINE_MS / 1000 + SLACK_S, took_s


class Conn:
    """A connection whose reply may be broken off."""

    def __init__(self, address):
        self.address = address
        self.cause = None

    def abort(self, cause):
        """Note the cause."""
        self.cause = cause


@given("replies of {size:d} kB that one endpoint has begun {count:d} times")
def step_begun(context, size, count):
    context.memory = reply_memory.ReplyMemory()
    context.first = [Conn("127.0.0.1:1") for _ in range(count)]
    for conn in context.first:
        context.memory.resize(conn, size * KB)


@given("replies of {size:d} kB that one endpoint has ended {count:d} times")
def step_ended(context, size, count):
    step_begun(context, size, count)
    for conn in context.first:
        context.memory.complete(conn)


@then("it is broken off, and none of the first endpoint's")
def step_only_other(context):
    assert context.other.cause is not None
    assert not [conn for conn in context.first if conn.cause]


@when("a reply of {size:d} kB comes from another endpoint")
def step_reply(context, size):
    context.other = Conn("127.0.0.1:2")
    for part in range(64, size + 1, 64):
        context.memory.resize(context.other, part * KB)


@then("it is whole, and replies of the first endpoint are broken off")
def step_whole(context):
    assert context.other.cause is None
    cut = [conn for conn in context.first if conn.cause]
    held = len(context.first) - len(cut)
    assert cut and held * 1000 * KB <= reply_memory.MAX_BYTES, held


@given("bodies of {size:d} kB are allowed")
def step_body_size(context, size):
    context.fleet.configure(2, max_body_bytes=size * KB)


def request_head(size):
    """Return the head of an order with a body, chunked if without size."""
    framing = (
        f"Content-Length: {size}" if size else "Transfer-Encoding: chunked"
    )
    return (
        f"POST /orders/1 HTTP/1.1\r\nHost: {entry_builders.HOST}\r\n"
        f"Authorization: Token {entry_fleet.KEY}\r\n"
        f"X-Request-Id: {uuid.uuid4().hex[:16]}\r\n"
        f"X-Request-Deadline: 9000\r\n{framing}\r\n\r\n"
    ).encode()


def connect(context, stack):
    """Return a connection to the entry "one"."""
    host, _, port = context.fleet.front("one").rpartition(":")
    sock = socket.create_connection((host, int(port)), 10)
    stack.callback(sock.close)
    return sock


@when(
    "{count:d} callers send {sent:d} of {size:d} kB, and others post to "
    '"/orders/1"'
)
def step_large_bodies(context, count, sent, size):
    with contextlib.ExitStack() as stack:
        socks = [connect(context, stack) for _ in range(count)]
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.sendall(request_head(size * KB) + sent * KB * b"x")
        time.sleep(PILE_UP_S)
        context.others = [post(context) for _ in range(OTHERS)]
        context.statuses = [status_of(sock) for sock in socks]


def status_of(sock):
    """Return the status that has come on a connection; 0 for none yet."""
    sock.setblocking(False)
    try:
        return int(sock.recv(100).split()[1])
    except BlockingIOError:
        return 0
    except ConnectionResetError:
        # The rest of the body met a closed connection.
        return UNAVAILABLE


@then("each of the {count:d} has got 503 or waits")
def step_bodies_refused(context, count):
    assert len(context.statuses) == count
    assert set(context.statuses) == {0, UNAVAILABLE}, context.statuses


@when("{count:d} callers send bodies without end in chunks of 1 byte")
def step_tiny_bodies(context, count):
    def send(sock):
        chunks = 5000 * b"1\r\nx\r\n"
        until = time.monotonic() + ENDLESS_BODY_S
        with contextlib.suppress(OSError):
            sock.sendall(request_head(0))
            sock.settimeout(ENDLESS_BODY_S)
            while time.monotonic() < until:
                sock.sendall(chunks)

    with contextlib.ExitStack() as stack:
        executor = concurrent.futures.ThreadPoolExecutor(count)
        for _ in range(count):
            executor.submit(send, connect(context, stack))
        time.sleep(PILE_UP_S / 2)
        context.others = [post(context) for _ in range(OTHERS)]
        stack.callback(executor.shutdown)


@then("orders beside them are answered within {ms:d} ms")
def step_orders_in_time(context, ms):
    found = [(a.status, round(took_s, 2)) for a, took_s in context.others]
    slow = [f for f in found if f[0] != OK or f[1] > ms / 1000]
    assert not slow, found


@when("a caller posts {size:d} bytes in chunks of 1 byte")
def step_chunked_body(context, size):
    context.body = bytes(97 + n % 26 for n in range(size))
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in context.body)
    with contextlib.ExitStack() as stack:
        sock = connect(context, stack)
        sock.sendall(request_head(0) + chunks + b"0\r\n\r\n")
        assert sock.recv(100).split()[1] == b"200"


@then("a worker has got the same {size:d} bytes")
def step_same_body(context, size):
    (event,) = context.fleet.history("p1") + context.fleet.history("p2")
    assert event["body"] == context.body.decode(), len(event["body"])
