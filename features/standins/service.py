"""Stand-in of a plain service, some of whose calls must not run twice."""

import argparse
import functools
import json
import time
import uuid

import trio

from features.standins import control
from features.standins import history
from features.standins import server

__all__ = ["Service", "main"]

OK = 200
FAULTS = ("close_before", "close_after", "lose", "hang", "late")


class Service:
    """A plain service: any method and path has one effect, and echoes.

    Parameters
    ----------
    name : str
    """

    def __init__(self, name):
        self.name = name
        self.history = history.History()
        self.http = server.Server(self.handle)
        self.incarnation = uuid.uuid4().hex
        self.in_flight = 0
        self.peak = 0
        self.delay_s = 0.0
        self.hung = False
        self.faults = []
        self.effects = {}

    def commands(self):
        """Return the commands of the control port."""
        return {
            "history": self.history.dump,
            "violations": lambda: {"violations": self.history.violations},
            "counters": self.counters,
            "effects": lambda: {"effects": self.effects},
            "faults": self.put,
            "clear_faults": self.faults.clear,
            "set": self.set,
            "close": self.close,
            "cut": lambda: {"connections": self.http.cut()},
            "restart": self.restart,
        }

    def counters(self):
        """Return sums, and what is in flight."""
        return {
            "effects": sum(self.effects.values()),
            "most": max(self.effects.values(), default=0),
            "in_flight": self.in_flight,
            "peak": self.peak,
        }

    def put(self, kinds, delay_s=0.0):
        """Add faults for the next requests.

        Parameters
        ----------
        kinds : list of str
            ``close_before`` and ``close_after`` reset the connection
            before the effect and after it; ``lose`` is another name of
            the latter; ``hang`` never answers, with no effect; ``late``
            has its effect and answers after ``delay_s``.
        delay_s : float
        """
        for kind in kinds:
            if kind not in FAULTS:
                raise ValueError(f"kind must be one of {FAULTS}")
        self.faults.extend((kind, delay_s) for kind in kinds)

    def set(self, delay_s=None, hang=None):
        """Set the time before the effect, or hang."""
        self.delay_s = self.delay_s if delay_s is None else delay_s
        self.hung = self.hung if hang is None else hang

    def close(self, before_read=0, after_read=0):
        """Reset the next kept connections just as they are used."""
        self.http.close_before_read = before_read
        self.http.close_after_read = after_read

    def restart(self):
        """Restart without warning; what was counted stays for the test."""
        self.incarnation = uuid.uuid4().hex
        return {"connections": self.http.cut()}

    async def handle(self, exchange):
        """Serve one request."""
        if self.hung:
            await trio.sleep_forever()
        if exchange.path == "/status":
            await exchange.reply(OK, self._status())
            return
        event = self.history.add(
            "request",
            request=exchange.headers.get("x-request-id", ""),
            method=exchange.method,
            path=exchange.path,
            headers=exchange.headers,
            body=exchange.body.decode(errors="replace"),
            effect=None,
            ended=None,
        )
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        try:
            await self._run(exchange, event)
        finally:
            self._end(event)

    async def _run(self, exchange, event):
        kind, delay_s = self.faults.pop(0) if self.faults else ("", 0.0)
        if kind == "hang":
            await trio.sleep_forever()
        if kind == "close_before":
            exchange.cut()
            return
        if self.delay_s:
            await trio.sleep(self.delay_s)
        count = self._effect(exchange, event)
        if kind in ("close_after", "lose"):
            exchange.cut()
            return
        if kind == "late":
            await trio.sleep(delay_s)
        self._end(event)
        await exchange.reply(
            OK, self._echo(exchange, event, count), self._headers(event)
        )

    def _effect(self, exchange, event):
        place = f"{exchange.method} {exchange.path} {_order(exchange.body)}"
        self.effects[place] = self.effects.get(place, 0) + 1
        event["effect"] = time.monotonic()
        return self.effects[place]

    def _echo(self, exchange, event, count):
        return {
            "name": self.name,
            "method": exchange.method,
            "path": exchange.path,
            "request": event["request"],
            "body": event["body"],
            "count": count,
        }

    def _headers(self, event):
        return [("x-request-id", event["request"])]

    def _end(self, event):
        if event["ended"] is None:
            event["ended"] = time.monotonic()
            self.in_flight -= 1

    def _status(self):
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "in_flight": self.in_flight,
        }


def _order(body):
    try:
        return json.loads(body)["order"]
    except (ValueError, KeyError, TypeError):
        return ""


async def main(args):
    """Serve until the process ends."""
    service = Service(args.name)
    serve = functools.partial(service.http.serve, args.address)
    await control.run(args.control, service.commands(), serve)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    control.program(main, parser.parse_args())
