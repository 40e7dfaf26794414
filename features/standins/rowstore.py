"""Stand-in of the operators' platform: its store of rows.

Notes
-----
Speaks the store's published calls ``rows-tx``, ``rows-get`` and
``rows-feed``.  The control port writes what the operator and the
endpoints write, and sets failures.
"""

import argparse
import base64
import functools
import time
import urllib.parse

import trio

from features.standins import control
from features.standins import server

__all__ = ["RowStore", "main"]

OK = 200
FORBIDDEN = 403
COMPACTED = 410
CONFLICT = 412
UNAVAILABLE = 503
PROTECTED = ("op", "servers")
MODES = ("off", "refuse", "hang", "lose", "late")
MAX_ENTRIES = 100


class RowStore:
    """Rows under one counter of versions."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.version = 0
        self.rows = {}
        self.feed = []
        self.forgotten = 0
        self.mode = "off"
        self.refused_hosts = ()
        self.delay_s = 0.0
        self.calls = {}
        self.changed = trio.Event()
        self.ended = trio.Event()

    def commands(self):
        """Return the commands of the control port."""
        return {
            "put": self.put,
            "delete": self.delete,
            "mode": self.set_mode,
            "compact": self.compact,
            "dump": self.dump,
            "counters": lambda: {"calls": self.calls},
        }

    def put(self, table, key, value):
        """Write a row as its owner does; return its version."""
        self._write(table, key, value.encode())
        return {"version": self.version}

    def delete(self, table, key):
        """Delete a row as its owner does."""
        self._write(table, key, None)

    def set_mode(self, mode, delay_s=0.0, hosts=()):
        """Set how calls fail, for all clients or those of some hosts."""
        if mode not in MODES:
            raise ValueError(f"mode must be one of {MODES}")
        self.mode = mode
        self.delay_s = delay_s
        self.refused_hosts = tuple(hosts)
        self.ended.set()
        self.ended = trio.Event()

    def compact(self):
        """Forget the history."""
        self.feed.clear()
        self.forgotten = self.version

    def dump(self):
        """Return all rows by table and key."""
        tables = {}
        for (table, key), (version, value) in self.rows.items():
            text = base64.b64encode(value).decode()
            row = {"version": version, "value": text}
            tables.setdefault(table, {})[key] = row
        return {"tables": tables, "version": self.version}

    async def handle(self, exchange):
        """Serve one call."""
        path, _, query = exchange.path.partition("?")
        name = path.rpartition("/")[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        mode = self._mode(exchange)
        if mode == "refuse":
            await exchange.reply(UNAVAILABLE, {"error": "down"})
        elif mode == "hang":
            await self.ended.wait()
            exchange.cut()
        elif mode == "late" and name == "rows-tx":
            self.nursery.start_soon(self._late, exchange.json())
            await trio.sleep_forever()
        else:
            fields = dict(urllib.parse.parse_qsl(query))
            status, body = await self._serve(name, fields, exchange)
            if mode == "lose" and name == "rows-tx":
                exchange.cut()
            else:
                await exchange.reply(status, body)

    def _mode(self, exchange):
        host = exchange.conn.stream.socket.getpeername()[0]
        if self.refused_hosts and host not in self.refused_hosts:
            return "off"
        return self.mode

    async def _late(self, body):
        await trio.sleep(self.delay_s)
        self._tx(body)

    async def _serve(self, name, fields, exchange):
        if name == "rows-tx":
            return self._tx(exchange.json())
        if name == "rows-get":
            return OK, self._answer(self._range(fields), hasMore=False)
        if name == "rows-feed":
            return await self._feed(fields)
        return 404, {"error": name}

    def _answer(self, rows, **more):
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "nowMs": now_ms, **more}

    def _tx(self, body):
        writes, removes = body["writes"], body["remove"]
        entries = [*body["expected"], *writes, *removes]
        assert len(entries) <= MAX_ENTRIES
        if any(e["table"] in PROTECTED for e in [*writes, *removes]):
            return FORBIDDEN, {"error": "table"}
        for entry in body["expected"]:
            have = self.rows.get((entry["table"], entry["key"]), (0, None))
            if have[0] != entry["ver"]:
                return CONFLICT, self._answer([])
        for entry in writes:
            value = base64.b64decode(entry["value"])
            self._write(entry["table"], entry["key"], value)
        for entry in removes:
            self._write(entry["table"], entry["key"], None)
        return OK, self._answer([])

    def _range(self, fields):
        first, last = fields.get("from", ""), fields.get("to")
        return [
            self._shown(table, key, version, value)
            for (table, key), (version, value) in sorted(self.rows.items())
            if table == fields["table"]
            and key >= first
            and (last is None or key < last)
        ]

    async def _feed(self, fields):
        after = int(fields["after"])
        if after < self.forgotten:
            return COMPACTED, {"error": "history"}
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while not self._since(fields["table"], after):
                await self.changed.wait()
        return OK, self._answer(self._since(fields["table"], after))

    def _since(self, table, after):
        return [
            self._shown(name, key, version, value)
            for name, key, version, value in self.feed
            if name == table and version > after
        ]

    def _shown(self, table, key, version, value):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _write(self, table, key, value):
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.feed.append((table, key, self.version, value))
        self.changed.set()
        self.changed = trio.Event()


async def main(args):
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        store = RowStore(nursery)
        serve = functools.partial(
            server.Server(store.handle).serve, args.address
        )
        await control.run(args.control, store.commands(), serve)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    control.program(main, parser.parse_args())
