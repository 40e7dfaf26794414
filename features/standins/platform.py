"""Stand-in of the platform: tables, objects, VM list, weight store."""

import argparse
import dataclasses
import functools
import math

import trio

from features.standins import control
from features.standins import history
from features.standins import server
from features.standins import table
from features.standins import vms
from features.standins import weights

__all__ = ["Platform", "main"]

OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
SERVICES = ("table", "objects", "vms")
MODES = ("off", "refuse", "hang", "lose", "late")


@dataclasses.dataclass
class Outage:
    """How requests fail.

    Parameters
    ----------
    mode : str
        ``refuse`` replies 503; ``hang`` holds requests until the outage
        ends, then drops them; ``lose`` takes a write and resets the
        connection; ``late`` takes a write after ``delay_s``, also when
        the client has gone.
    services : sequence of str
    count : int
        Requests that fail before the outage ends by itself.
    delay_s : float
    """

    mode: str = "off"
    services: tuple = SERVICES
    count: float = math.inf
    delay_s: float = 0.0

    def take(self, service, write):
        """Return the mode of one request, and count it."""
        if service not in self.services or self.count <= 0:
            return "off"
        if self.mode in ("lose", "late") and not write:
            return "off"
        if self.mode != "off":
            self.count -= 1
        return self.mode


class Platform:
    """The platform's services on one port."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.rows = table.Rows()
        self.objects = {}
        self.vms = vms.VmList()
        self.weights = weights.WeightStore()
        self.history = history.History()
        self.outage = Outage()
        self.ended = trio.Event()
        self.delay_s = 0.0
        self.stale = 0
        self.stale_table = None
        self.paths = {}
        self.reads = 0
        self.writes = 0

    def commands(self):
        """Return the commands of the control port."""
        return {
            "outage": self.set_outage,
            "delay": self.set_delay,
            "stale": self.set_stale,
            "vms": self.vms.set,
            "lag": self.vms.lag,
            "rewind": self.vms.rewind,
            "weights": self.weights.limits,
            "counters": self.counters,
            "history": self.history.dump,
            "dump": lambda: {"tables": self.rows.dump()},
        }

    def set_outage(self, mode, services=SERVICES, count=None, delay_s=0.0):
        """Begin an outage, or end it with the mode ``off``."""
        if mode not in MODES:
            raise ValueError(f"mode must be one of {MODES}")
        self.outage = Outage(
            mode, services, math.inf if count is None else count, delay_s
        )
        self.ended.set()
        self.ended = trio.Event()

    def set_delay(self, seconds):
        """Delay each reply."""
        self.delay_s = seconds

    def set_stale(self, count, table=None):
        """Let the next reads, of one table or all, see older versions."""
        self.stale = count
        self.stale_table = table

    def counters(self):
        """Return reads, writes and requests by path."""
        return {
            "reads": self.reads,
            "writes": self.writes,
            "paths": self.paths,
            "weights": self.weights.counters(),
        }

    async def handle(self, exchange):
        """Serve one request."""
        service = exchange.path.split("/")[1]
        write = exchange.path == "/table/commit" or exchange.method == "PUT"
        self._count(exchange, service, write)
        mode = self.outage.take(service, write)
        if mode == "refuse":
            await exchange.reply(UNAVAILABLE, {"error": "outage"})
            return
        if mode == "hang":
            await self.ended.wait()
            exchange.cut()
            return
        if mode == "late":
            self.nursery.start_soon(self._late, exchange, self.outage.delay_s)
            await trio.sleep_forever()
        if self.delay_s:
            await trio.sleep(self.delay_s)
        status, body = await self._serve(exchange, service)
        if mode == "lose":
            exchange.cut()
            return
        await exchange.reply(status, body)

    def _count(self, exchange, service, write):
        path = exchange.path
        if service == "objects":
            path = f"{exchange.method} /objects"
        self.paths[path] = self.paths.get(path, 0) + 1
        if service in SERVICES:
            self.writes += write
            self.reads += not write

    async def _late(self, exchange, delay_s):
        await trio.sleep(delay_s)
        await self._serve(exchange, exchange.path.split("/")[1])
        exchange.cut()

    async def _serve(self, exchange, service):
        if service == "objects":
            return self._object(exchange)
        if exchange.path == "/table/commit":
            return self._commit(exchange.json())
        if exchange.path == "/table/read":
            body = exchange.json()
            stale = self._is_stale(body["table"])
            return OK, self.rows.read(body["table"], body["key"], stale)
        if exchange.path == "/table/scan":
            name = exchange.json()["table"]
            return OK, {"rows": self.rows.scan(name, self._is_stale(name))}
        if exchange.path == "/vms":
            return OK, {"vms": self.vms.shown()}
        if exchange.path == "/weights/pull":
            await self.weights.pull(**exchange.json())
            return OK, {}
        return NOT_FOUND, {"error": f"no path {exchange.path}"}

    def _object(self, exchange):
        digest = exchange.path.rpartition("/")[2]
        if exchange.method == "PUT":
            self.objects[digest] = exchange.body
            return OK, {}
        if digest not in self.objects:
            return NOT_FOUND, {"error": "no such object"}
        return OK, self.objects[digest]

    def _is_stale(self, name):
        if self.stale <= 0 or self.stale_table not in (None, name):
            return False
        self.stale -= 1
        return True

    def _commit(self, body):
        taken = self.rows.commit(
            body["change"], body["checks"], body["writes"]
        )
        self.history.add("commit", taken=taken, **body)
        if not taken:
            return CONFLICT, {"error": "a row has another version"}
        return OK, {}


async def main(address, control_address):
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        platform = Platform(nursery)
        http = server.Server(platform.handle)
        await control.run(
            control_address,
            platform.commands(),
            functools.partial(http.serve, address),
        )


def _parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    return parser.parse_args()


if __name__ == "__main__":
    args = _parse()
    control.program(main, args.address, args.control)
