"""Client of the platform's store of rows and objects."""

import base64
import dataclasses
import json
import math
import urllib.parse

import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions

__all__ = ["Row", "Rows", "Store"]

# A call takes 4 ms as a rule; one that takes longer than this is better
# repeated on another connection.
TIMEOUT_S = 1.0
# A call for an object takes 25 ms as a rule, and longer for large ones.
OBJECT_TIMEOUT_S = 3.0
# Rows of one page, the most that the platform returns.
PAGE_ROWS = 500
# Age of a store that has never answered, seconds.
LONGEST_AGE_S = 1e6
OK = 200
CONFLICT = 412
COMPACTED = 410
HEADERS = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table.

    Parameters
    ----------
    table, key : str
    version : int
        Grows with each write of any row; 0 where the row is absent.
    value : bytes or None
        None where the row was deleted or is absent.
    """

    table: str
    key: str
    version: int
    value: bytes = None


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows as of one moment.

    Parameters
    ----------
    rows : tuple of Row
    version : int
        The store's newest version.
    """

    rows: tuple
    version: int


class Store:
    """The calls that this system makes of the platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    http_client : dogwoodwheel.engines.http.HttpClient

    Attributes
    ----------
    calls : int
        Calls that were made.
    answered_at : float
        Time of trio's clock at which it answered last.
    """

    def __init__(self, address, http_client):
        self.address = address
        self.calls = 0
        self.answered_at = -math.inf
        self._http_client = http_client

    @property
    def reply_age_s(self):
        """Seconds since the store answered."""
        return min(trio.current_time() - self.answered_at, LONGEST_AGE_S)

    async def scan(self, table, first="", last="", timeout_s=TIMEOUT_S):
        """Return all rows of a table, or of a range of its keys.

        Parameters
        ----------
        table : str
        first, last : str
            The range has the first one, not the last one.
        timeout_s : float
            Time for each page, seconds.

        Returns
        -------
        Rows
            Of several pages, with the version of the first.

        Raises
        ------
        PlatformError
        """
        rows = []
        version = None
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            body = await self._get("rows-get", query, timeout_s)
            rows.extend(_row(row) for row in body["rows"])
            version = body["ver"] if version is None else version
            if not body.get("hasMore"):
                return Rows(tuple(rows), version)
            first = rows[-1].key + "\0"

    async def read(self, table, key, timeout_s=TIMEOUT_S):
        """Return one row; an absent one has version 0."""
        found = await self.scan(table, key, key + "\0", timeout_s)
        for row in found.rows:
            if row.key == key:
                return row
        return Row(table, key, 0)

    async def poll_changes(self, table, after, wait_s):
        """Return rows changed after a version, as soon as there are any.

        Raises
        ------
        HistoryLostError
            If the store has forgotten that version; read the table.
        PlatformError
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        body = await self._get("rows-feed", query, wait_s + TIMEOUT_S)
        rows = tuple(_row(row) for row in body["rows"])
        return Rows(rows, body["ver"])

    async def commit(self, expected, writes, removes=(), timeout_s=TIMEOUT_S):
        """Write rows if others have the expected versions.

        Parameters
        ----------
        expected : sequence of Row
            Their values are ignored.
        writes : sequence of Row
            Their versions are ignored.
        removes : sequence of Row
        timeout_s : float

        Returns
        -------
        int
            Version of the rows written.

        Raises
        ------
        ConflictError
            If a row has another version; nothing took effect.
        OutcomeUnknownError
            If it was sent and no reply came; it may take effect later,
            if its condition still holds.
        PlatformError
            If nothing took effect.
        """
        body = {
            "expected": [{**_name(r), "ver": r.version} for r in expected],
            "writes": [
                {**_name(r), "value": base64.b64encode(r.value).decode()}
                for r in writes
            ],
            "remove": [_name(r) for r in removes],
        }
        reply = await self._call(
            "POST", b"/api/rows-tx", json.dumps(body).encode(), timeout_s
        )
        return reply["ver"]

    async def put_object(self, name, data):
        """Store bytes under a name.

        Raises
        ------
        OutcomeUnknownError
            If it was sent and no reply came.
        PlatformError
        """
        target = f"/api/blob-put/{name}".encode()
        await self._send("PUT", target, data, OBJECT_TIMEOUT_S)

    async def get_object(self, name):
        """Return the bytes of a name.

        Raises
        ------
        PlatformError
            If they are absent, or the store does not answer.
        """
        target = f"/api/blob-get/{name}".encode()
        return await self._send("GET", target, b"", OBJECT_TIMEOUT_S)

    async def _get(self, name, query, timeout_s=TIMEOUT_S):
        target = f"/api/{name}?{urllib.parse.urlencode(query)}".encode()
        return await self._call("GET", target, b"", timeout_s)

    async def _call(self, method, target, body, timeout_s):
        data = await self._send(method, target, body, timeout_s)
        try:
            return json.loads(data)
        except ValueError as exc:
            raise exceptions.OutcomeUnknownError(
                "the store's reply is malformed; read back what it holds"
            ) from exc

    async def _send(self, method, target, body, timeout_s):
        self.calls += 1
        req = http.Request("", method, target, HEADERS, body)
        try:
            status, data = await self._http_client.call(
                self.address, req, timeout_s
            )
        except exceptions.NotSentError as exc:
            raise exceptions.PlatformError(
                f"the store {self.address} cannot be reached; is it up?"
            ) from exc
        except exceptions.ReplyError as exc:
            raise exceptions.OutcomeUnknownError(
                "the store sent no reply; read back what it holds"
            ) from exc
        if status in (OK, CONFLICT, COMPACTED):
            self.answered_at = trio.current_time()
        _check(status, target)
        return data


def _check(status, target):
    if status == CONFLICT:
        raise exceptions.ConflictError(
            "a row has another version; read it and try again"
        )
    if status == COMPACTED:
        raise exceptions.HistoryLostError(
            "the store has forgotten that version; read the table"
        )
    if status != OK:
        raise exceptions.PlatformError(
            f"the store replied {status} to {target[:40].decode()}; "
            f"try again later"
        )


def _name(row):
    return {"table": row.table, "part": "", "key": row.key}


def _row(raw):
    deleted = raw.get("deleted") or raw.get("value") is None
    value = None if deleted else base64.b64decode(raw["value"])
    return Row(raw["table"], raw["key"], raw["ver"], value)
