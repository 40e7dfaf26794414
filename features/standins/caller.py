"""A small HTTP client that stands in for a caller."""

import concurrent.futures
import dataclasses
import http.client
import json
import time

__all__ = ["Caller", "Reply", "chat_body", "parallel"]

TIMEOUT_S = 60.0
THREADS = 64
DATA = b"data: "
DONE = "[DONE]"
USER = "user"


@dataclasses.dataclass
class Reply:
    """What a caller got.

    Parameters
    ----------
    status : int
        0 where the connection broke before a head came.
    headers : dict of str to str
        Names in lower case.
    body : bytes
    begun, first, ended : float
        Monotonic times of the sending, the first byte of the body and
        the end.
    events : list of (float, str)
        Server-sent events with their times.
    error : str
        How the connection broke; empty where the body came whole.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    begun: float = 0.0
    first: float = 0.0
    ended: float = 0.0
    events: list = dataclasses.field(default_factory=list)
    error: str = ""

    @property
    def json(self):
        """The body as JSON; of an empty one, an empty dict."""
        return json.loads(self.body) if self.body else {}

    @property
    def took_s(self):
        """Seconds from the sending to the end."""
        return self.ended - self.begun

    @property
    def first_s(self):
        """Seconds from the sending to the first byte of the body."""
        return self.first - self.begun

    @property
    def chunks(self):
        """JSON of the events before the end mark."""
        return [json.loads(data) for _, data in self.events if data != DONE]

    @property
    def done(self):
        """Whether the reply came whole, a stream with its end mark."""
        if self.error or not self.status:
            return False
        if self.headers.get("content-type", "").startswith("text/event"):
            return bool(self.events) and self.events[-1][1] == DONE
        return True

    @property
    def text(self):
        """The text of a chat or completion answer, streamed or whole."""
        bodies = self.chunks if self.events else [self.json]
        return "".join(
            _text(choice)
            for body in bodies
            for choice in body.get("choices", ())
        )

    @property
    def run(self):
        """What a refusal says of the run: ``not_run`` or ``unknown``."""
        body = self.json
        error = body.get("error")
        inner = error if isinstance(error, dict) else body
        return inner.get("run", body.get("run"))


def _text(choice):
    if "text" in choice:
        return choice["text"] or ""
    part = choice.get("delta") or choice.get("message") or {}
    return part.get("content") or ""


def chat_body(model, prompt="hello", **fields):
    """Return the body of a chat request with one message."""
    messages = [{"role": USER, "content": prompt}]
    return {"model": model, "messages": messages, **fields}


class Caller:
    """Requests to one address, each on a connection of its own.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    key : str, optional
        Sent as the bearer token.
    timeout_s : float
    """

    def __init__(self, address, key=None, timeout_s=TIMEOUT_S):
        self.address = address
        self.key = key
        self.timeout_s = timeout_s

    def chat(self, model, prompt="hello", headers=None, **fields):
        """Ask for a chat completion; ``stream=True`` streams it."""
        body = chat_body(model, prompt, **fields)
        return self.request("POST", "/v1/chat/completions", body, headers)

    def get(self, path, headers=None):
        """Return the `Reply` to a GET."""
        return self.request("GET", path, None, headers)

    def request(self, method, path, body=None, headers=None):
        """Send one request and return its `Reply`; never raises OSError."""
        reply = Reply(begun=time.monotonic())
        conn = self.connect()
        try:
            self.exchange(conn, reply, method, path, body, headers)
        finally:
            conn.close()
        return reply

    def connect(self):
        """Return a new connection, for use with `exchange`."""
        host, _, port = self.address.rpartition(":")
        return http.client.HTTPConnection(
            host, int(port), timeout=self.timeout_s
        )

    def exchange(self, conn, reply, method, path, body=None, headers=None):
        """Send one request on a connection that stays open."""
        try:
            conn.request(
                method, path, _encode(body), self._headers(body, headers)
            )
            _read(conn.getresponse(), reply)
        except (OSError, http.client.HTTPException) as exc:
            reply.error = repr(exc)
        reply.ended = time.monotonic()
        return reply

    def _headers(self, body, headers):
        sent = {}
        if body is not None:
            sent["Content-Type"] = "application/json"
        if self.key:
            sent["Authorization"] = f"Bearer {self.key}"
        return {**sent, **(headers or {})}


def _encode(body):
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def _read(res, reply):
    reply.status = res.status
    reply.headers = {name.lower(): value for name, value in res.getheaders()}
    kind = reply.headers.get("content-type", "")
    if kind.startswith("text/event-stream"):
        _read_events(res, reply)
        return
    reply.body = res.read()
    reply.first = time.monotonic()


def _read_events(res, reply):
    body = []
    for line in res:
        now = time.monotonic()
        reply.first = reply.first or now
        body.append(line)
        if line.startswith(DATA):
            data = line[len(DATA) :].decode().strip()
            reply.events.append((now, data))
    reply.body = b"".join(body)


def parallel(calls, threads=THREADS):
    """Run callables at once and return their results in order.

    Parameters
    ----------
    calls : sequence of callable
    threads : int
        Most that run at a time.
    """
    calls = list(calls)
    if not calls:
        return []
    size = min(threads, len(calls))
    with concurrent.futures.ThreadPoolExecutor(size) as pool:
        futs = [pool.submit(call) for call in calls]
        return [fut.result() for fut in futs]
