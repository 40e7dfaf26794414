"""Client of the platform's store of rows and objects.

Notes
-----
All versions contain the store's era, see `dogwoodwheel.platform.versions`.
"""

import base64
import dataclasses
import json
import math
import urllib.parse

from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.platform import decoding
from dogwoodwheel.platform import versions

__all__ = [
    "Row",
    "Rows",
    "Store",
]

# A call usually takes 4 ms.  If it has not returned after CALL_TIMEOUT_S, a
# retry on another connection is more likely to succeed.
CALL_TIMEOUT_S = 1.0
# Reading or writing an object usually takes 25 ms, and longer if the object
# is large.
OBJECT_TIMEOUT_S = 3.0
# Maximum number of rows that the platform returns in one page.
MAX_PAGE_ROWS = 500
# Maximum size of a reply of the store.  The largest ones hold an object, whose
# size the platform limits to 8 MiB.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# A store from which no reply is known for this time has been silent.  Entries
# scan it, or get a peer's scan, more often.
SILENCE_S = 1.5
# Time for which calls from before the end of a silence may still be answered.
RECOVERY_GRACE_S = 0.5
# Upper limit of the reported age of the last reply.  Also reported before the
# first reply.
MAX_REPLY_AGE_S = 1e6
OK = 200
CONFLICT = 412
# HTTP status if the store has discarded changes that a long poll asks for.
COMPACTED = 410
REQUEST_HEADERS = ((b"content-type", b"application/json"),)
ERA_HEADER = b"store-era"


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table.

    Parameters
    ----------
    table, key : str
    version : int
        Version of the store at the last write of this row, with the era
        in which it was read; 0 if the row is absent.  Each write of any
        row increases the store's version.
    value : bytes or None
        None if the row is deleted or absent.
    """

    table: str
    key: str
    version: int
    value: bytes = None


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows of a table, with the version of the store at which they were read.

    Parameters
    ----------
    rows : tuple of Row
    version : int
        Version of the store when the rows were read.
    """

    rows: tuple
    version: int


class _Call:
    """A call that has not returned."""

    def __init__(self):
        self.sent_at = trio.current_time()
        self.scope = trio.CancelScope()


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
    era : int
        Latest era in which the store has replied; rises when it is
        restored.  0 if unknown.
    hinted_era : int
        Latest era that a peer has named.

    Notes
    -----
    Workload: an outage in which calls are lost without a reset.  A long
    poll that was sent in its last moments is never answered, and what it
    waits for stays unknown until its timeout.  Once the store has answered a
    later call, calls from before are given up after `RECOVERY_GRACE_S`.
    """

    def __init__(self, address, http_client):
        self.address = address
        self.call_count = 0
        self.last_reply_at = -math.inf
        self.era = 0
        self.hinted_era = 0
        self._http_client = http_client
        self._era_risen = trio.Event()
        self._calls = set()
        # Time of the last reply to this entry or a peer, and the time at
        # which the last call was sent that got no reply.
        self._known_reply_at = -math.inf
        self._unanswered_at = -math.inf

    @property
    def reply_age_s(self):
        """Seconds since the last reply of the store."""
        return min(trio.current_time() - self.last_reply_at, MAX_REPLY_AGE_S)

    def observe_reply(self, sent_at):
        """Record that the store has answered a call of this entry or a peer.

        Parameters
        ----------
        sent_at : float
            Time at which the call was sent, by trio's clock.
        """
        now = trio.current_time()
        was_silent = (
            sent_at > self._unanswered_at > -math.inf
            or SILENCE_S < now - self._known_reply_at < math.inf
        )
        self._known_reply_at = now
        if not was_silent:
            return
        self._unanswered_at = -math.inf
        for call in self._calls:
            if call.sent_at < sent_at:
                call.scope.deadline = min(
                    call.scope.deadline, now + RECOVERY_GRACE_S
                )

    def observe_era(self, era):
        """Record the era in which the store has replied."""
        if era <= self.era:
            return
        if self.era:
            logger.warning("store: restored", era=era, before=self.era)
        self.era = era
        self._era_risen.set()
        self._era_risen = trio.Event()

    def hint_era(self, era):
        """Record an era that a peer has named.

        Only the store's own replies show the era in which it is; what a peer
        names is a reason to ask the store.

        Raises
        ------
        ValueError
            If it is no whole number from 0 to `versions.MAX_ERA`.
        """
        if not isinstance(era, int) or not 0 <= era <= versions.MAX_ERA:
            raise ValueError(f"{era!r} is no era; upgrade the peer")
        self.hinted_era = max(self.hinted_era, era)

    async def wait_for_era_after(self, era):
        """Wait until the store is known to be in a later era."""
        while self.era <= era:
            await self._era_risen.wait()

    async def scan(
        self, table, first_key="", end_key="", timeout_s=CALL_TIMEOUT_S
    ):
        """Return all rows of a table, or of a range of its keys.

        Parameters
        ----------
        table : str
        first_key, end_key : str
            Range of keys; `end_key` itself is excluded.  An empty
            `first_key` or `end_key` means no lower or upper bound.
        timeout_s : float
            Timeout of each call, seconds; each page needs one call.

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
        first_era = version = None
        while True:
            query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if first_key:
                query["from"] = first_key
            if end_key:
                query["to"] = end_key
            body, era = await self._get("rows-get", query, timeout_s)
            if first_era not in (None, era):
                raise exceptions.PlatformError(
                    "the store was restored during a scan; scan again"
                )
            page = _parse_rows(body, era)
            rows.extend(page)
            if version is None:
                first_era = era
                version = versions.era_start(era) + body.integer("ver")
            if not page or not body.flag("hasMore", False):
                return Rows(tuple(rows), version)
            first_key = rows[-1].key + "\0"

    async def read(self, table, key, timeout_s=CALL_TIMEOUT_S):
        """Return the row with a key, or a `Row` with version 0 if absent."""
        snapshot = await self.scan(table, key, key + "\0", timeout_s)
        for row in snapshot.rows:
            if row.key == key:
                return row
        return Row(table, key, 0)

    async def poll_changes(self, table, after_version, wait_s):
        """Return rows changed since a version, or wait for some (long poll).

        Parameters
        ----------
        table : str
        after_version : int
            Version of the store; only rows changed after it are returned.
        wait_s : float
            Time for which the store waits for a change, seconds.

        Returns
        -------
        Rows
            Changed rows; empty if no row changed within `wait_s`.

        Raises
        ------
        HistoryLostError
            If the store has discarded changes since `after_version`, or
            was restored; the caller must read the whole table.
        PlatformError
            If the call fails.
        """
        self.observe_era(versions.era_of(after_version))
        era = self.era
        if versions.era_of(after_version) == era:
            query = {
                "table": table,
                "after": str(versions.number_of(after_version)),
                "waitMs": str(int(wait_s * 1000)),
            }
            body, era = await self._get(
                "rows-feed", query, wait_s + CALL_TIMEOUT_S
            )
        if versions.era_of(after_version) != era:
            # The store may have the number, but with other changes before.
            raise exceptions.HistoryLostError(
                "the store was restored since that version; read the whole "
                "table"
            )
        rows = _parse_rows(body, era)
        return Rows(rows, versions.era_start(era) + body.integer("ver"))

    async def commit(
        self, expected_rows, writes, deletes=(), timeout_s=CALL_TIMEOUT_S
    ):
        """Write and delete rows if all rows have their expected versions.

        Parameters
        ----------
        expected_rows : sequence of Row
            Rows whose versions must match those in the store; the values
            are ignored.
        writes : sequence of Row
            Rows to write; the versions are ignored.
        deletes : sequence of Row
            Rows to delete; only the table and key are used.
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        int
            Version that the written rows have now.

        Raises
        ------
        ConflictError
            If an expected row has another version, or one of an earlier
            era; no row was changed.
        OutcomeUnknownError
            If the commit was sent and no reply came, or the store was
            restored meanwhile.  The commit may have taken effect, or may
            do so later if the versions match then.
        PlatformError
            If the commit failed and no row was changed.
        """
        eras = {versions.era_of(r.version) for r in expected_rows if r.version}
        self.observe_era(max(eras, default=0))
        if eras - {self.era}:
            raise exceptions.ConflictError(
                "a row has a version from before the store was restored; "
                "read the row and try again"
            )
        body = {
            "expected": [
                {**_key_fields(r), "ver": versions.number_of(r.version)}
                for r in expected_rows
            ],
            "writes": [
                {**_key_fields(r), "value": base64.b64encode(r.value).decode()}
                for r in writes
            ],
            "remove": [_key_fields(r) for r in deletes],
        }
        reply, era = await self._call(
            "POST", b"/api/rows-tx", json.dumps(body).encode(), timeout_s
        )
        if eras - {era}:
            raise exceptions.OutcomeUnknownError(
                "the store was restored during a commit; read the row again "
                "to learn the outcome"
            )
        return versions.era_start(era) + reply.integer("ver")

    async def put_object(self, name, data):
        """Store an object, as bytes, under a name.

        Raises
        ------
        OutcomeUnknownError
            If the bytes were sent and no reply came; they may be stored.
        PlatformError
            If the bytes were not stored.
        """
        target = f"/api/blob-put/{name}".encode()
        await self._send("PUT", target, data, OBJECT_TIMEOUT_S)

    async def get_object(self, name):
        """Return the bytes of the object that is stored under a name.

        Raises
        ------
        PlatformError
            If the name is unknown or the store does not reply.
        """
        target = f"/api/blob-get/{name}".encode()
        data, _ = await self._send("GET", target, b"", OBJECT_TIMEOUT_S)
        return data

    async def _get(self, name, query, timeout_s=CALL_TIMEOUT_S):
        target = f"/api/{name}?{urllib.parse.urlencode(query)}".encode()
        return await self._call("GET", target, b"", timeout_s)

    async def _call(self, method, target, body, timeout_s):
        data, era = await self._send(method, target, body, timeout_s)
        try:
            reply = decoding.JsonObject.from_json(
                data, "a reply of the store", MAX_REPLY_BYTES
            )
            reply.integer("ver", maximum=versions.MAX_NUMBER)
            reply.items("rows", ())
        except exceptions.DeclarationError as exc:
            raise exceptions.OutcomeUnknownError(
                f"{exc.faults[0]}; after a write, read the row again to learn "
                f"the outcome"
            ) from exc
        return reply, era

    async def _send(self, method, target, body, timeout_s):
        """Return the body of the reply, and the era in which it was given."""
        self.call_count += 1
        eras = []
        request = http.Request("", method, target, REQUEST_HEADERS, body)
        call = _Call()
        self._calls.add(call)
        try:
            with call.scope:
                status, data = await self._http_client.call(
                    self.address,
                    request,
                    timeout_s,
                    MAX_REPLY_BYTES,
                    on_reply=lambda reply: eras.append(_parse_era(reply)),
                )
        except exceptions.NotSentError as exc:
            self._unanswered_at = max(self._unanswered_at, call.sent_at)
            raise exceptions.PlatformError(
                f"cannot connect to the store at {self.address}; "
                f"check that it is running"
            ) from exc
        except exceptions.ReplyError as exc:
            self._unanswered_at = max(self._unanswered_at, call.sent_at)
            raise exceptions.OutcomeUnknownError(
                "the store did not reply; after a write, read the row again "
                "to learn the outcome"
            ) from exc
        finally:
            self._calls.discard(call)
        if call.scope.cancelled_caught:
            logger.info(
                "store: lost call given up",
                target=target[:40].decode(),
                waited_s=round(trio.current_time() - call.sent_at, 1),
            )
            raise exceptions.OutcomeUnknownError(
                "the store has answered later calls but not this one; after "
                "a write, read the row again to learn the outcome"
            )
        self.observe_reply(call.sent_at)
        (era,) = eras
        self.observe_era(era)
        if era < self.era and status in (OK, CONFLICT, COMPACTED):
            raise exceptions.OutcomeUnknownError(
                "the reply is from before the store was restored; after a "
                "write, read the row again to learn the outcome"
            )
        if status in (OK, CONFLICT, COMPACTED):
            self.last_reply_at = trio.current_time()
        _raise_for_status(status, target)
        return data, era


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


def _parse_era(reply):
    """Return the era that a reply names; 0 for none."""
    value = reply.header(ERA_HEADER)
    if not value:
        return 0
    era = decoding.parse_digits(value, versions.MAX_ERA)
    if era is None:
        logger.warning("store: malformed era", value=value[:40])
        return 0
    return era


def _key_fields(row):
    return {"table": row.table, "part": "", "key": row.key}


def _parse_rows(reply, era):
    """Return the rows of a reply, without those that are malformed."""
    rows = []
    for raw in reply.items("rows", ()):
        try:
            rows.append(_parse_row(raw, era))
        except exceptions.DeclarationError as exc:
            logger.warning("store: malformed row", why=exc.faults[0])
    return tuple(rows)


def _parse_row(raw, era):
    fields = decoding.JsonObject.from_value(raw, "a row")
    table, key = (raw.get(name) for name in ("table", "key"))
    if not isinstance(table, str) or not isinstance(key, str):
        raise decoding.error("a row", "its table or key is no text")
    number = fields.integer("ver", maximum=versions.MAX_NUMBER)
    is_deleted = fields.flag("deleted", False)
    value = None if is_deleted else raw.get("value")
    if value is not None:
        try:
            value = base64.b64decode(value, validate=True)
        except (TypeError, ValueError) as exc:
            raise decoding.error(f"row {key!r}", exc) from exc
    return Row(table, key, versions.era_start(era) + number, value)
