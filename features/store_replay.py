"""A store whose replies are played on the clock of a test.

Notes
-----
The entries' own client of the store runs over it: `HttpClient` takes the
place of the client's connections.
"""

import base64
import json
import types
import urllib.parse

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from features.standins import rows as rows_module

__all__ = ["HttpClient", "open_store", "write"]

OK = 200
COMPACTED = 410
CONFLICT = 412
CALL_S = 0.01
TICK_S = 0.02


class HttpClient:
    """Carries the calls of one entry to the rows of a store.

    Parameters
    ----------
    rows : features.standins.rows.Rows

    Attributes
    ----------
    is_cut : bool
        Whether calls get no reply.
    lost_part : callable
        Returns whether the reply to a write is lost.
    delay_s : float
        Time that a reply takes to come back.
    paused : callable
        ``await paused()`` returns once the entry is not frozen.
    calls : int
    """

    def __init__(self, rows):
        self.rows = rows
        self.is_cut = False
        self.loses_reply = lambda: False
        self.delay_s = 0.0
        self.paused = trio.lowlevel.checkpoint
        self.calls = 0

    async def call(self, address, req, timeout_s, max_bytes, on_reply):
        """Return the reply of the store, or fail after the timeout."""
        self.calls += 1
        try:
            with trio.fail_after(timeout_s):
                return await self._call(req, on_reply)
        except trio.TooSlowError as exc:
            raise exceptions.ReplyError("no reply; wait") from exc

    async def _call(self, req, on_reply):
        await self.paused()
        if self.is_cut:
            await trio.sleep_forever()
        await trio.sleep(CALL_S)
        url = urllib.parse.urlsplit(req.target.decode())
        fields = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.rpartition("/")[2]
        if name == "rows-feed":
            status, rows = await self._feed(fields)
        elif name == "rows-tx":
            status, rows = self._commit(json.loads(req.body)), []
            if self.loses_reply():
                await trio.sleep_forever()
        else:
            status, rows = OK, self.rows.all(
                fields["table"], fields.get("from", ""), fields.get("to")
            )
        body = json.dumps(
            {
                "rows": [rows_module.shown(row) for row in rows],
                "ver": self.rows.version,
            }
        ).encode()
        era = str(self.rows.era).encode()
        await trio.sleep(self.delay_s)
        await self.paused()
        on_reply(
            types.SimpleNamespace(
                header=lambda n: era if n == store_module.ERA_HEADER else b""
            )
        )
        return status, body

    async def _feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        if not self.rows.has_history_after(after):
            return COMPACTED, []
        era = self.rows.era
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while self.rows.era != era or not self.rows.since(table, after):
                await trio.sleep(TICK_S)
        return OK, self.rows.since(table, after)

    def _commit(self, body):
        for row in body["expected"]:
            if self.rows.get(row["table"], row["key"]).version != row["ver"]:
                return CONFLICT
        self.rows.write(
            rows_module.Row(
                row["table"], row["key"], 0, base64.b64decode(row["value"])
            )
            for row in body["writes"]
        )
        return OK


def open_store(rows):
    """Return the client of an entry, and its `HttpClient`."""
    http_client = HttpClient(rows)
    return store_module.Store("store:1", http_client), http_client


def write(rows, table, key, text):
    """Write a row as its owner does; no text deletes it."""
    value = None if text is None else text.encode()
    rows.write([rows_module.Row(table, key, 0, value)])
