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

# A call usually takes 4 ms.  After this time it is better to repeat the call
# on another connection.
CALL_TIMEOUT_S = 1.0
# A call that moves an object usually takes 25 ms, longer for large objects.
OBJECT_TIMEOUT_S = 3.0
# Maximum number of rows that the platform returns in one page.
MAX_PAGE_ROWS = 500
# Upper limit of the reported age of the last reply, and its value before
# the first reply.
MAX_REPLY_AGE_S = 1e6
OK = 200
CONFLICT = 412
# The history that a long poll asks for was compacted.
COMPACTED = 410
REQUEST_HEADERS = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table.

    Parameters
    ----------
    table, key : str
    version : int
        Version of the store at the last write of this row; 0 if the row
        is absent.  Each write of any row increases the store's version.
    value : bytes or None
        None if the row is deleted or absent.
    """

    table: str
    key: str
    version: int
    value: bytes = None


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows of a table and the version at which they were read.

    Parameters
    ----------
    rows : tuple of Row
    version : int
        Newest version of the store when the rows were read.
    """

    rows: tuple
    version: int


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    http_client : dogwoodwheel.engines.http.HttpClient

    Attributes
    ----------
    call_count : int
        Number of calls made so far.
    last_reply_at : float
        Time of the store's last reply, seconds of trio's clock.
    """

    def __init__(self, address, http_client):
        self.address = address
        self.call_count = 0
        self.last_reply_at = -math.inf
        self._http_client = http_client

    @property
    def reply_age_s(self):
        """Seconds since the store last replied."""
        return min(trio.current_time() - self.last_reply_at, MAX_REPLY_AGE_S)

    async def scan(self, table, first="", last="", timeout_s=CALL_TIMEOUT_S):
        """Return all rows of a table, or of a range of its keys.

        Parameters
        ----------
        table : str
        first, last : str
            Range of keys; includes the first key and excludes the last
            one.  An empty key is no bound.
        timeout_s : float
            Time limit of the call for each page, seconds.

        Returns
        -------
        Rows
            The rows of all pages, with the version of the first page.

        Raises
        ------
        PlatformError
            If a call fails.
        """
        rows = []
        version = None
        while True:
            query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            body = await self._get("rows-get", query, timeout_s)
            rows.extend(_parse_row(row) for row in body["rows"])
            version = body["ver"] if version is None else version
            if not body.get("hasMore"):
                return Rows(tuple(rows), version)
            first = rows[-1].key + "\0"

    async def read(self, table, key, timeout_s=CALL_TIMEOUT_S):
        """Return one row, with version 0 if the row is absent."""
        snapshot = await self.scan(table, key, key + "\0", timeout_s)
        for row in snapshot.rows:
            if row.key == key:
                return row
        return Row(table, key, 0)

    async def poll_changes(self, table, after, wait_s):
        """Long poll for the rows that changed after a version.

        Parameters
        ----------
        table : str
        after : int
            Version of the store.
        wait_s : float
            Time for which the store waits for a change, seconds.

        Returns
        -------
        Rows
            Empty if no row changed within that time.

        Raises
        ------
        HistoryLostError
            If the store no longer has the history after that version; the
            caller must read the whole table.
        PlatformError
            If the call fails.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        body = await self._get("rows-feed", query, wait_s + CALL_TIMEOUT_S)
        rows = tuple(_parse_row(row) for row in body["rows"])
        return Rows(rows, body["ver"])

    async def commit(
        self, expected, writes, removes=(), timeout_s=CALL_TIMEOUT_S
    ):
        """Write rows if the expected rows have the stated versions.

        Parameters
        ----------
        expected : sequence of Row
            Rows to check; the values are ignored.
        writes : sequence of Row
            Rows to write; the versions are ignored.
        removes : sequence of Row
            Rows to delete; only the table and key are used.
        timeout_s : float
            Time limit of the call, seconds.

        Returns
        -------
        int
            Version of the rows after the write.

        Raises
        ------
        ConflictError
            If a row has another version; no row was changed.
        OutcomeUnknownError
            If the commit was sent and no reply came.  The commit may take
            effect later if the versions still match then.
        PlatformError
            If the commit failed and no row was changed.
        """
        body = {
            "expected": [
                {**_key_fields(r), "ver": r.version} for r in expected
            ],
            "writes": [
                {**_key_fields(r), "value": base64.b64encode(r.value).decode()}
                for r in writes
            ],
            "remove": [_key_fields(r) for r in removes],
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
            If the bytes were sent and no reply came.
        PlatformError
            If the bytes were not stored.
        """
        target = f"/api/blob-put/{name}".encode()
        await self._send("PUT", target, data, OBJECT_TIMEOUT_S)

    async def get_object(self, name):
        """Return the bytes that are stored under a name.

        Raises
        ------
        PlatformError
            If the name is unknown or the store does not reply.
        """
        target = f"/api/blob-get/{name}".encode()
        return await self._send("GET", target, b"", OBJECT_TIMEOUT_S)

    async def _get(self, name, query, timeout_s=CALL_TIMEOUT_S):
        target = f"/api/{name}?{urllib.parse.urlencode(query)}".encode()
        return await self._call("GET", target, b"", timeout_s)

    async def _call(self, method, target, body, timeout_s):
        data = await self._send(method, target, body, timeout_s)
        try:
            return json.loads(data)
        except ValueError as exc:
            raise exceptions.OutcomeUnknownError(
                "the store's reply is malformed; after a write, read the row "
                "again to learn the outcome"
            ) from exc

    async def _send(self, method, target, body, timeout_s):
        self.call_count += 1
        request = http.Request("", method, target, REQUEST_HEADERS, body)
        try:
            status, data = await self._http_client.call(
                self.address, request, timeout_s
            )
        except exceptions.NotSentError as exc:
            raise exceptions.PlatformError(
                f"cannot connect to the store at {self.address}; "
                f"check that it is running"
            ) from exc
        except exceptions.ReplyError as exc:
            raise exceptions.OutcomeUnknownError(
                "the store did not reply; after a write, read the row again "
                "to learn the outcome"
            ) from exc
        if status in (OK, CONFLICT, COMPACTED):
            self.last_reply_at = trio.current_time()
        _raise_for_status(status, target)
        return data


def _raise_for_status(status, target):
    if status == CONFLICT:
        raise exceptions.ConflictError(
            "a row has another version than expected; read the row and "
            "try again"
        )
    if status == COMPACTED:
        raise exceptions.HistoryLostError(
            "the store no longer has the history after that version; "
            "read the whole table"
        )
    if status != OK:
        raise exceptions.PlatformError(
            f"the store replied with status {status} to "
            f"{target[:40].decode()}; try again later"
        )


def _key_fields(row):
    return {"table": row.table, "part": "", "key": row.key}


def _parse_row(raw):
    deleted = raw.get("deleted") or raw.get("value") is None
    value = None if deleted else base64.b64decode(raw["value"])
    return Row(raw["table"], raw["key"], raw["ver"], value)
