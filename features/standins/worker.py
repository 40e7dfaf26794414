"""Stand-in of an endpoint of the operators' platform.

Notes
-----
Answers requests with a signature, streams events, takes orders and
reports on itself, as the platform publishes it.  Faults are put into a
queue, one for each next request.
"""

import argparse
import functools
import json
import math
import time
import weakref

import trio

from features.standins import control
from features.standins import cut_heads
from features.standins import endless
from features.standins import history
from features.standins import server
from features.standins import stream_faults

__all__ = ["Worker", "main"]

OK = 200
ACCEPTED = 202
ERROR = 500
UNAVAILABLE = 503
CONFLICT = 409
FENCED = 412
MISDIRECTED = 421
FAULTS = (
    "reset",
    "lose",
    "hang",
    "full",
    "missing",
    "unnamed_refusal",
    "repeated_refusal",
    "error",
    "ran_408",
    "ran_429",
    "ran_503",
    "ran_denied",
    "short",
    "other_id",
    "unsigned",
    "encoded",
    "surplus",
    "unframed",
    "unframed_end",
    "unframed_crash",
    "unframed_break",
    "unframed_empty",
    "trickle",
    "break",
    "skip",
    *cut_heads.FAULTS,
    *endless.FAULTS,
    *stream_faults.FAULTS,
)
# A fault after this prefix meets a stream that is resumed; any other stream
# breaks.
RESUMED_PREFIX = "resumed_"
EVENTS = 6
# Number of whole events in a stream that ends with its connection.
UNFRAMED_EVENTS = {
    "unframed": EVENTS,
    "unframed_end": EVENTS,
    "unframed_crash": 3,
    "unframed_break": 3,
    "unframed_empty": 0,
}
TRICKLE_S = 0.05
# Time for which a worker is down after it has crashed in an answer.
CRASH_S = 1.0
LATE_ORDER_S = 1.0


class Worker:
    """An engine, or a plain service where it has no memory.

    Parameters
    ----------
    name : str
        Name of this incarnation.
    models : sequence of str
        Models that it holds at first.
    load_s, pace_s : float
        Time of a load, and between two events, seconds.
    """

    def __init__(self, name, models, load_s, pace_s):
        self.name = name
        self.models = {model: set() for model in models}
        self.load_s = load_s
        self.pace_s = pace_s
        self.history = history.History()
        self.faults = []
        self.lost_orders = 0
        self.busy = False
        self.accepted = 0
        self.token = 0
        self.delay_s = 0.0
        self.poison = None
        self.deadly = None
        self.limit = None
        self.leaving = ""
        self.turn_away = ""
        self.turn_away_count = math.inf
        self.crash = None
        self.odd_report = None
        self.nursery = None
        self.connections = set()
        # IDs of the requests that were refused on each connection.
        self.refused_ids = weakref.WeakKeyDictionary()

    def commands(self):
        """Return the commands of the control port."""
        return {
            "history": self.history.dump,
            "faults": self.put,
            "clear_faults": self.faults.clear,
            "set": self.set,
        }

    def put(self, kinds):
        """Add faults for the next requests."""
        for kind in kinds:
            if kind.removeprefix(RESUMED_PREFIX) not in FAULTS:
                raise ValueError(f"kind must be one of {FAULTS}")
        self.faults.extend(kinds)

    def set(
        self,
        delay_s=None,
        lost_orders=None,
        pace_s=None,
        poison=None,
        deadly=None,
        limit=None,
        odd_report=None,
        leaving=None,
        turn_away=None,
        turn_away_count=math.inf,
    ):
        """Set how the worker treats requests and orders.

        An odd report is the text that it sends instead of its reports; an
        empty one ends that.

        The limit is the number of requests per second that the worker names
        in its answers; it takes more all the same, and 0 names none.
        Leaving is what all answers say of whether the worker leaves.  While
        turn_away is set, each request is turned away with it as the time to
        return, but no more than turn_away_count.  An empty text ends either.
        Poison is a section of prompts and the seconds for which the worker
        is down after it has begun to answer a prompt with that section.
        Deadly has the path, customer and body of the request that crashes
        the worker as it begins to run it, and the seconds for which the
        worker is then down.
        """
        if odd_report is not None:
            self.odd_report = odd_report.encode() or None
        if limit is not None:
            self.limit = limit or None
        if leaving is not None:
            self.leaving = leaving
        if turn_away is not None:
            self.turn_away = turn_away
            self.turn_away_count = turn_away_count
        if poison is not None:
            self.poison = poison
        if deadly is not None:
            self.deadly = deadly
        if delay_s is not None:
            self.delay_s = delay_s
        if pace_s is not None:
            self.pace_s = pace_s
        if lost_orders is not None:
            self.lost_orders = lost_orders

    async def handle(self, exchange):
        """Serve one request."""
        self.connections.add(id(exchange.conn))
        expected = exchange.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            headers = [("x-instance-id", self.name), *self._notices()]
            await exchange.reply(MISDIRECTED, {}, headers)
        elif exchange.path == "/api/report":
            if self.odd_report is not None:
                self.history.add("odd_report")
            self.history.add("report", at=time.time())
            await exchange.reply(
                OK, self.odd_report or self._report(), self._notices()
            )
        elif exchange.path == "/api/order":
            await self._order(exchange)
        else:
            await self._request(exchange)

    def _notices(self):
        """Return the headers that tell of the worker itself."""
        return [("server-leaving", self.leaving)] if self.leaving else []

    def _report(self):
        return {
            "stage": "colocated",
            "models": self._held(),
            "busy": self.busy,
            "sequence": self.accepted,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvCapacity": 100000,
            "coming": [],
            "atHand": {"inMemory": [], "onDisk": []},
        }

    def _held(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def _order(self, exchange):
        body = exchange.json()
        self.history.add("order", at=time.time(), **body)
        if self.lost_orders:
            self.lost_orders -= 1
            self.nursery.start_soon(self._late_order, body)
            await trio.sleep_forever()
        await exchange.reply(self._take(body), {}, self._notices())

    async def _late_order(self, body):
        await trio.sleep(LATE_ORDER_S)
        self.history.add("late_order", status=self._take(body), **body)

    def _take(self, body):
        if body["fencingToken"] < self.token:
            return FENCED
        self.token = body["fencingToken"]
        if self.busy or body.get("expected", self.accepted) != self.accepted:
            return CONFLICT
        self.accepted += 1
        if body.get("adapter"):
            return self._take_adapter(body)
        if body["operation"] == "unload":
            self.models.pop(body["model"], None)
        else:
            self.busy = True
            self.nursery.start_soon(self._load, body["model"])
        return ACCEPTED

    def _take_adapter(self, body):
        held = self.models[body["model"]]
        if body["operation"] == "load":
            held.add(body["adapter"])
            return ACCEPTED
        # One that no request uses goes at once, and is counted.
        held.discard(body["adapter"])
        return OK

    async def _load(self, model):
        await trio.sleep(self.load_s)
        self.models[model] = set()
        self.busy = False

    async def _request(self, exchange):
        headers = exchange.headers
        request_id = headers.get("x-request-id", "")
        fault = self.faults.pop(0) if self.faults else ""
        if fault.startswith(RESUMED_PREFIX):
            is_resumed = "last-event-id" in headers
            fault = fault.removeprefix(RESUMED_PREFIX)
            fault = fault if is_resumed else "break"
        event = self.history.add(
            "request",
            id=request_id,
            method=exchange.method,
            path=exchange.path,
            headers=headers,
            body=exchange.body.decode(errors="replace"),
            fault=fault,
            at=time.time(),
            ran=False,
            ended=None,
        )
        reply = [("x-request-id", request_id), *self._notices()]
        if self.limit is not None:
            reply.append(("server-limit", str(self.limit)))
        if fault == "hang":
            await trio.sleep_forever()
        if fault == "reset":
            exchange.cut()
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if fault == "full":
            not_run = [*reply, ("x-not-executed", "1")]
            await exchange.reply(UNAVAILABLE, {}, not_run)
            return
        if self.turn_away and self.turn_away_count > 0:
            self.turn_away_count -= 1
            event["fault"] = "turned away"
            event["retry_after_s"] = float(self.turn_away)
            not_run = [
                *reply,
                ("x-not-executed", "1"),
                ("retry-after", self.turn_away),
            ]
            await exchange.reply(UNAVAILABLE, {}, not_run)
            return
        if fault == "missing" or model and not self._holds(model, adapter):
            self.refused_ids.setdefault(exchange.conn, []).append(request_id)
            await exchange.reply(MISDIRECTED, {}, reply)
            return
        event["ran"] = True
        await self._write_refusal_again(exchange, fault)
        if self.delay_s:
            await trio.sleep(self.delay_s)
        reply.append(("x-server-seal", f"seal.{self.name}"))
        if fault == "error":
            await exchange.reply(ERROR, {"error": self.name}, reply)
        elif fault == "ran_denied":
            await exchange.reply(OK, {}, [*reply, ("x-not-executed", "1")])
        elif fault.startswith("ran_"):
            await exchange.reply(int(fault[-3:]), {}, reply)
        elif fault in cut_heads.FAULTS:
            await cut_heads.send(exchange, reply, fault)
        elif fault in endless.FAULTS:
            await endless.send(exchange, reply, fault)
        elif model:
            await self._stream(exchange, reply, fault)
        else:
            await self._plain(exchange, reply, fault)
        event["ended"] = time.time()

    async def _write_refusal_again(self, exchange, fault):
        """Write an earlier refusal before the answer, if there was one."""
        request_id = ""
        if fault == "repeated_refusal" and exchange.conn in self.refused_ids:
            request_id = f"X-Request-Id: {self.refused_ids[exchange.conn][-1]}"
        elif fault != "unnamed_refusal" or not exchange.conn.served:
            return
        await exchange.raw(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
            + (request_id and f"{request_id}\r\n").encode()
            + b"Content-Length: 0\r\n\r\n"
        )

    def _holds(self, model, adapter):
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    async def _plain(self, exchange, headers, fault):
        if self._is_deadly(exchange):
            await self._crash(exchange, self.deadly[-1])
        body = json.dumps({"by": self.name}).encode()
        if fault == "lose":
            exchange.cut()
        elif fault == "short":
            size = str(len(body) + 10).encode()
            await exchange.raw(
                b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Id: "
                + exchange.headers["x-request-id"].encode()
                + b"\r\nContent-Length: "
                + size
                + b"\r\n\r\n"
                + body
            )
            exchange.cut()
        elif fault in UNFRAMED_EVENTS:
            await self._plain_unframed(exchange, headers, fault, body)
        elif fault == "other_id":
            await exchange.reply(OK, body, [("x-request-id", "other")])
        elif fault == "unsigned":
            await exchange.reply(OK, body, headers[:1])
        elif fault == "encoded":
            coded = [*headers, ("content-encoding", "gzip")]
            await exchange.reply(OK, body, coded)
        else:
            await exchange.reply(OK, body, headers)
            if fault == "surplus":
                await exchange.raw(
                    b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n"
                    b"X-Request-Id: surplus\r\nContent-Length: 7\r\n\r\n"
                    b"surplus"
                )

    async def _plain_unframed(self, exchange, headers, fault, body):
        """Send an answer without length or chunks, and close or reset."""
        if fault == "unframed_crash":
            body = body[:-1]
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers)
        await exchange.raw(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
        if fault == "unframed_crash":
            await self._crash(exchange, CRASH_S)
        elif fault == "unframed_end":
            exchange.finish()
        else:
            exchange.cut()

    async def _stream(self, exchange, headers, fault):
        first = int(exchange.headers.get("last-event-id", 0)) + 1
        if fault in stream_faults.FAULTS:
            await stream_faults.send(exchange, headers, fault, first)
            return
        if fault == "unsigned":
            headers = headers[:1]
        if fault in UNFRAMED_EVENTS:
            await self._stream_unframed(exchange, headers, fault)
            return
        await exchange.start(
            OK,
            [
                *headers,
                ("content-type", "text/event-stream"),
                ("transfer-encoding", "chunked"),
            ],
        )
        if self._is_poisoned(exchange):
            await self._crash(exchange, self.poison[-1])
        if self._is_deadly(exchange):
            await self._crash(exchange, self.deadly[-1])
        for number in range(first, EVENTS + 1):
            if fault == "skip" and number == 3:
                continue
            if fault == "trickle" and number == 3:
                await self._trickle(exchange)
                return
            if fault == "break" and number == 4:
                await exchange.data(b"id: 4\nda")
                exchange.cut()
                return
            await exchange.data(b"id: %d\ndata: %d\n\n" % (number, number))
            await trio.sleep(self.pace_s)
        await exchange.end()

    async def _stream_unframed(self, exchange, headers, fault):
        """Send a stream without length or chunks, and close the connection."""
        headers = [*headers, ("content-type", "text/event-stream")]
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers)
        await exchange.raw(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(1, UNFRAMED_EVENTS[fault] + 1):
            await exchange.raw(b"id: %d\ndata: %d\n\n" % (number, number))
        if fault == "unframed_break":
            await exchange.raw(b"id: 4\nda")
        if fault == "unframed_crash":
            await self._crash(exchange, CRASH_S)
        exchange.finish()

    def _is_poisoned(self, exchange):
        sections = exchange.headers.get("x-prompt-prefix", "").split(",")
        return self.poison is not None and self.poison[0] in {
            section.partition(":")[0] for section in sections[:-1]
        }

    def _is_deadly(self, exchange):
        seen = (
            exchange.path,
            exchange.headers.get("x-tenant", ""),
            exchange.body.decode(errors="replace"),
        )
        return self.deadly is not None and seen == tuple(self.deadly[:-1])

    async def _crash(self, exchange, down_s):
        self.history.add(
            "crash", id=exchange.headers["x-request-id"], at=time.time()
        )
        self.crash(down_s)
        await trio.lowlevel.checkpoint()

    async def _trickle(self, exchange):
        """Send a byte now and then, but no event, until the caller closes."""
        try:
            while True:
                await exchange.data(b":")
                await trio.sleep(TRICKLE_S)
        finally:
            self.history.add("closed_by_caller", at=time.time())


async def main(args):
    """Serve until the process ends."""
    models = args.models.split(",") if args.models else []
    worker = Worker(args.name, models, args.load_s, args.pace_s)
    http_server = server.Server(worker.handle)
    worker.crash = http_server.crash
    serve = functools.partial(http_server.serve, args.address)
    async with trio.open_nursery() as nursery:
        worker.nursery = nursery
        await control.run(args.control, worker.commands(), serve)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--models", default="")
    parser.add_argument("--load-s", type=float, default=0.2)
    parser.add_argument("--pace-s", type=float, default=0.01)
    control.program(main, parser.parse_args())
