"""Stand-in of a model engine."""

import argparse
import dataclasses
import functools
import time
import uuid

import trio

from features.standins import control
from features.standins import faults
from features.standins import history
from features.standins import replicas
from features.standins import runs
from features.standins import server
from features.standins import shapes
from features.standins import warmth

__all__ = ["Engine", "Life", "main"]

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
COMPLETIONS = ("/v1/chat/completions", "/v1/completions")


@dataclasses.dataclass
class Life:
    """What a restart loses."""

    incarnation: str
    replicas: replicas.Replicas
    warmth: warmth.Warmth
    in_flight: int = 0


class Engine:
    """A model engine of one endpoint VM.

    Parameters
    ----------
    nursery : trio.Nursery
    args : argparse.Namespace
        The command line.
    """

    def __init__(self, nursery, args):
        self.nursery = nursery
        self.args = args
        self.history = history.History()
        self.faults = faults.Faults()
        self.http = server.Server(self.handle, self._gone)
        self.loading = replicas.Loading(
            weights=args.weights,
            load_s=args.load_s,
            cached=set(filter(None, args.cached.split(","))),
        )
        self.pace_s = args.pace_s
        self.slow = 1.0
        self.lag_s = 0.0
        self.samples = []
        self.hung = False
        self.epoch = 0
        self.peak = 0
        self.counts = {"requests": 0, "cancels": 0, "tokens": 0, "orders": 0}
        self.life = self._begin()

    def commands(self):
        """Return the commands of the control port."""
        return {
            "history": self.history.dump,
            "violations": lambda: {"violations": self.history.violations},
            "counters": self.counters,
            "restart": self.restart,
            "cold": lambda: self.life.warmth.chill(),
            "set": self.set,
            "loading": self.set_loading,
            "faults": self.faults.put,
            "clear_faults": self.faults.clear,
            "close": self.close,
            "cut": lambda: {"connections": self.http.cut()},
        }

    def counters(self):
        """Return counts, peaks and what is in flight."""
        return {
            **self.counts,
            "in_flight": self.life.in_flight,
            "bears": self.life.warmth.limit,
            "peak": self.peak,
            "peak_mb": self.life.replicas.peak_mb,
            "epoch": self.epoch,
            "violations": len(self.history.violations),
        }

    def restart(self, forget_epoch=False):
        """Restart without warning: drop models and cut connections."""
        self.life.replicas.stop()
        self.http.cut()
        if forget_epoch:
            self.epoch = 0
        self.life = self._begin()
        return {"incarnation": self.life.incarnation}

    def set(self, pace_s=None, slow=None, hang=None, status_lag_s=None):
        """Set pace of tokens, slow factor, hang, lag of the status."""
        self.pace_s = self.pace_s if pace_s is None else pace_s
        self.slow = self.slow if slow is None else slow
        self.hung = self.hung if hang is None else hang
        self.lag_s = self.lag_s if status_lag_s is None else status_lag_s

    def set_loading(self, cached=None, **fields):
        """Set how loads go; names as in `replicas.Loading`."""
        if cached is not None:
            self.loading.cached = set(cached)
        for name, value in fields.items():
            if not hasattr(self.loading, name):
                raise ValueError(f"no setting {name}")
            setattr(self.loading, name, value)

    def close(self, before_read=0, after_read=0):
        """Reset the next kept connections just as they are used."""
        self.http.close_before_read = before_read
        self.http.close_after_read = after_read

    async def handle(self, exchange):
        """Serve one request."""
        if self.hung:
            self.history.add("hung", path=exchange.path)
            await trio.sleep_forever()
        if exchange.path == "/status":
            await exchange.reply(OK, self._status())
        elif exchange.path == "/orders":
            await self._order(exchange)
        elif exchange.path == "/v1/models":
            await exchange.reply(OK, self._models())
        elif exchange.path in COMPLETIONS:
            await self._complete(exchange)
        else:
            body = shapes.error(f"no path {exchange.path}", "not_found")
            await exchange.reply(NOT_FOUND, body)

    def _begin(self):
        life = Life(
            incarnation=uuid.uuid4().hex,
            replicas=replicas.Replicas(
                self.nursery, self.history, self.args.memory, self.loading
            ),
            warmth=warmth.Warmth(self.args.fresh, self.args.concurrency),
        )
        self.history.add("start", incarnation=life.incarnation)
        self.samples = [(time.monotonic(), 0, 1.0)]
        return life

    def _gone(self, exchange):
        if exchange.path in COMPLETIONS:
            self.counts["cancels"] += 1

    def sample(self):
        """Keep what a lagging status will show."""
        now = time.monotonic()
        speed = self.life.warmth.speed / max(1.0, self.slow)
        self.samples.append((now, self.life.in_flight, speed))
        while len(self.samples) > 1 and self.samples[1][0] < now - self.lag_s:
            self.samples.pop(0)

    def _status(self):
        self.sample()
        _, in_flight, speed = self.samples[0 if self.lag_s else -1]
        held = self.life.replicas
        return {
            "name": self.args.name,
            "incarnation": self.life.incarnation,
            "in_flight": in_flight,
            "memory_mb": held.used_mb(),
            "speed": speed,
            "models": [item.shown() for item in held.held.values()],
            "cached": sorted(self.loading.cached),
        }

    def _models(self):
        names = [
            item.name
            for item in self.life.replicas.held.values()
            if item.state == replicas.LOADED
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in sorted(names)
        ]
        return {"object": "list", "data": data}

    async def _order(self, exchange):
        order = exchange.json()
        refused = self.args.fencing and order["epoch"] < self.epoch
        self.counts["orders"] += 1
        self.history.add("order", taken=not refused, order=order)
        if refused:
            body = {"error": f"epoch {self.epoch} was seen"}
            await exchange.reply(CONFLICT, body)
            return
        self.epoch = max(self.epoch, order["epoch"])
        held = self.life.replicas
        name, version = order["model"], order["version"]
        if order["kind"] == "load":
            held.load(name, version, order["base"], order["memory_mb"])
        elif order["kind"] == "unload":
            held.unload(name, version)
        else:
            await exchange.reply(BAD_REQUEST, {"error": "unknown kind"})
            return
        await exchange.reply(ACCEPTED, {})

    async def _complete(self, exchange):
        try:
            body = exchange.json()
            model = body["model"]
        except (ValueError, KeyError, TypeError):
            reply = shapes.error("the body needs a model", "bad_body")
            await exchange.reply(BAD_REQUEST, reply)
            return
        fault = self.faults.take(model)
        if fault.kind == "error":
            reply = shapes.error("a fault", "fault", "server_error")
            await exchange.reply(fault.status, reply)
            return
        if fault.kind == "close_before":
            exchange.cut()
            return
        replica = self.life.replicas.find(model)
        if replica is None:
            self.history.add("not_loaded", model=model)
            text = f"The model `{model}` does not exist"
            reply = shapes.error(text, "model_not_found")
            await exchange.reply(NOT_FOUND, reply)
            return
        await runs.Run(self, exchange, body, replica).run(fault)


async def main(args):
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        engine = Engine(nursery, args)
        serve = functools.partial(engine.http.serve, args.address)
        await control.run(args.control, engine.commands(), serve)


def _parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--memory", type=int, default=1000)
    parser.add_argument("--concurrency", type=int, default=8)
    parser.add_argument("--fresh", type=int, default=1)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument("--fragile", action="store_true")
    parser.add_argument("--weights", default="")
    parser.add_argument("--cached", default="")
    parser.add_argument("--load-s", type=float, default=0.02)
    parser.add_argument("--pace-s", type=float, default=0.002)
    return parser.parse_args()


if __name__ == "__main__":
    control.program(main, _parse())
