"""Stand-in of the operators' platform: its store and its weight store.

Notes
-----
Speaks the store's published calls for rows and objects.  The control
port writes what the operator, the endpoints and the list of VMs write,
and sets failures.  The weight store serves the engines' stand-ins only.
"""

import argparse
import base64
import functools
import json
import math
import time
import urllib.parse

import trio

from features.standins import control
from features.standins import history
from features.standins import outage as outage_module
from features.standins import rows as rows_module
from features.standins import server
from features.standins import vms
from features.standins import weights

__all__ = ["Platform", "main"]

OK = 200
FORBIDDEN = 403
NOT_FOUND = 404
COMPACTED = 410
CONFLICT = 412
TOO_LARGE = 413
UNAVAILABLE = 503
# Tables that only the operator and the endpoints write.
PROTECTED = ("op", "servers")
VMS_TABLE = "vms"
MAX_ENTRIES = 100
ROW_BYTES = 65536
OBJECT_BYTES = 8388608
WRITES = ("rows-tx", "blob-put")


class Platform:
    """The platform's services on one port."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.rows = rows_module.Rows()
        self.objects = {}
        self.vms = vms.VmList()
        self.weights = weights.WeightStore()
        self.history = history.History()
        self.outage = outage_module.Outage()
        self.delay_s = 0.0
        self.stale = 0
        self.stale_table = None
        self.calls = {}
        self.reads = {}
        self.changed = trio.Event()
        self.ended = trio.Event()

    def commands(self):
        """Return the commands of the control port."""
        return {
            "put": self.put,
            "delete": self.delete,
            "compact": self.rows.forget,
            "restore": self.restore,
            "outage": self.set_outage,
            "delay": self.set_delay,
            "stale": self.set_stale,
            "vms": self.vms.set,
            "lag": self.vms.lag,
            "rewind": self.vms.rewind,
            "weights": self.weights.limits,
            "counters": self.counters,
            "history": self.history.dump,
            "dump": self.dump,
        }

    def put(self, table, key, value):
        """Write a row as its owner does."""
        self._write([rows_module.Row(table, key, 0, value.encode())])

    def delete(self, table, key):
        """Delete a row as its owner does."""
        self._write([rows_module.Row(table, key)])

    def restore(self, age_s):
        """Lose what was written in the last seconds; return the new era.

        Long polls that wait get no reply any more.
        """
        self.rows.restore(age_s)
        return self.rows.era

    def set_outage(
        self,
        mode,
        services=outage_module.SERVICES,
        count=None,
        delay_s=0.0,
        hosts=(),
    ):
        """Begin an outage, or end it with the mode ``off``."""
        if mode not in outage_module.MODES:
            raise ValueError(f"mode must be one of {outage_module.MODES}")
        self.outage = outage_module.Outage(
            mode,
            services,
            math.inf if count is None else count,
            delay_s,
            tuple(hosts),
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
        """Return calls by name, reads by table, and loads of weights."""
        return {
            "calls": self.calls,
            "reads": self.reads,
            "weights": self.weights.counters(),
        }

    def dump(self):
        """Return all rows by table and key."""
        return {"tables": self.rows.dump(), "version": self.rows.version}

    async def handle(self, exchange):
        """Serve one call."""
        target = urllib.parse.urlsplit(exchange.path)
        fields = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/weights/pull":
            await self.weights.pull(**exchange.json())
            await exchange.reply(OK, {})
            return
        name = target.path.split("/")[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        try:
            host = exchange.conn.stream.socket.getpeername()[0]
        except OSError:
            # The caller has gone; nobody reads an answer.
            exchange.cut()
            return
        mode = self.outage.take(_service(name, fields), name in WRITES, host)
        if mode == "refuse":
            await self._reply(exchange, UNAVAILABLE, {"error": "outage"})
            return
        if mode == "hang":
            await self.ended.wait()
            exchange.cut()
            return
        if mode == "mute":
            await trio.sleep_forever()
        if mode == "late":
            self.nursery.start_soon(
                self._late, exchange, name, fields, self.outage.delay_s
            )
            await trio.sleep_forever()
        if self.delay_s:
            await trio.sleep(self.delay_s)
        status, body = await self._serve(exchange, name, fields)
        if mode == "lose":
            exchange.cut()
            return
        await self._reply(exchange, status, body)

    async def _reply(self, exchange, status, body):
        era = str(self.rows.era)
        await exchange.reply(status, body, [("Store-Era", era)])

    async def _late(self, exchange, name, fields, delay_s):
        await trio.sleep(delay_s)
        await self._serve(exchange, name, fields)
        exchange.cut()

    async def _serve(self, exchange, name, fields):
        if name == "rows-tx":
            return self._tx(exchange.json())
        if name == "rows-get":
            return OK, self._answer(self._range(fields), hasMore=False)
        if name == "rows-feed":
            return await self._feed(fields)
        key = exchange.path.rpartition("/")[2]
        if name == "blob-put":
            if len(exchange.body) > OBJECT_BYTES:
                return TOO_LARGE, {"error": "object"}
            self.objects[key] = exchange.body
            return OK, {}
        if name == "blob-get" and key in self.objects:
            return OK, self.objects[key]
        return NOT_FOUND, {"error": name}

    def _answer(self, rows, **more):
        now_ms = int(time.monotonic() * 1000)
        shown = [rows_module.shown(row) for row in rows]
        return {
            "rows": shown,
            "ver": self.rows.version,
            "nowMs": now_ms,
            **more,
        }

    def _tx(self, body):
        written = [
            rows_module.Row(
                e["table"], e["key"], 0, base64.b64decode(e["value"])
            )
            for e in body["writes"]
        ]
        written += [
            rows_module.Row(e["table"], e["key"]) for e in body["remove"]
        ]
        assert len(body["expected"]) + len(written) <= MAX_ENTRIES
        if any(row.table in PROTECTED for row in written):
            return FORBIDDEN, {"error": "table"}
        if any(len(row.value or b"") > ROW_BYTES for row in written):
            return TOO_LARGE, {"error": "row"}
        have = [self.rows.get(e["table"], e["key"]) for e in body["expected"]]
        wanted = [e["ver"] for e in body["expected"]]
        taken = wanted == [row.version for row in have]
        self.history.add("commit", taken=taken, writes=body["writes"])
        if not taken:
            return CONFLICT, self._answer(have)
        self._write(written)
        return OK, self._answer([])

    def _range(self, fields):
        table = fields["table"]
        self.reads[table] = self.reads.get(table, 0) + 1
        if table == VMS_TABLE:
            return [_vm_row(vm) for vm in self.vms.shown()]
        stale = self._is_stale(table)
        return self.rows.all(
            table, fields.get("from", ""), fields.get("to"), stale
        )

    def _is_stale(self, table):
        if self.stale <= 0 or self.stale_table not in (None, table):
            return False
        self.stale -= 1
        return True

    async def _feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        if not self.rows.has_history_after(after):
            return COMPACTED, {"error": "history"}
        era = self.rows.era
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while not self.rows.since(table, after):
                await self.changed.wait()
                if self.rows.era != era:
                    await trio.sleep_forever()
        return OK, self._answer(self.rows.since(table, after))

    def _write(self, rows):
        self.rows.write(rows)
        self.changed.set()
        self.changed = trio.Event()


def _service(name, fields):
    if name.startswith("blob"):
        return outage_module.OBJECTS
    if fields.get("table") == VMS_TABLE:
        return outage_module.VMS
    return outage_module.TABLE


def _vm_row(vm):
    value = {"change": "", "value": {"state": vm["state"]}}
    return rows_module.Row(
        VMS_TABLE, vm["name"], 1, json.dumps(value).encode()
    )


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
