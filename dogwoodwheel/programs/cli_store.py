"""The accepted versions of the operators' text, in the platform's keeping."""

import dataclasses
import datetime
import uuid

import trio

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.platform import tables
from dogwoodwheel.stores import table_store

__all__ = ["Accepted", "Store"]

TABLE = "config"
CURRENT = "current"
HISTORY = "version/"
PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Accepted:
    """An accepted version of the text.

    Parameters
    ----------
    version : int
        0 before the first one.
    digest : str
    note, by : str
        Why it was applied, and by whom.
    at : str
        Time of the operator's clock; for reading only.
    write : str
        Unique name of the operator's write.
    row : int
        Version of the row that names it.
    """

    version: int = 0
    digest: str = ""
    note: str = ""
    by: str = ""
    at: str = ""
    write: str = ""
    row: int = 0

    @classmethod
    def from_row(cls, row):
        """Return what a row of the table says."""
        known = {field.name for field in dataclasses.fields(cls)}
        values = {k: v for k, v in row.value.items() if k in known}
        return cls(**{**values, "row": row.version})

    def value(self):
        """Return the value of its row."""
        values = dataclasses.asdict(self)
        del values["row"]
        return values

    def __str__(self):
        note = f" ({self.note})" if self.note else ""
        return f"version {self.version} by {self.by or 'unknown'}{note}"


class Store:
    """Reads and moves the accepted version.

    Parameters
    ----------
    tbl : dogwoodwheel.stores.table_store.TableStore
    store : dogwoodwheel.stores.object_store.ObjectStore

    Notes
    -----
    The row ``config/current`` names the accepted version and moves by
    compare-and-set only; the text stands in the object store by digest.
    """

    def __init__(self, tbl, store):
        self.tbl = tbl
        self.store = store

    @classmethod
    def from_settings(cls, cfg):
        """Return the store of an operator's settings."""
        return cls(*tables.open_stores(cfg.dial_address(cfg.store)))

    async def current(self):
        """Return the accepted version now; raises PlatformError."""
        return Accepted.from_row(await _read(self.tbl.read, TABLE, CURRENT))

    async def version(self, number):
        """Return a version by its number; the accepted one for None."""
        if number is None:
            return await self.current()
        for accepted in await self.history():
            if accepted.version == number:
                return accepted
        raise _no_text(f"has no version {number}; see the history")

    async def text(self, accepted):
        """Return the text of a version."""
        if not accepted.version:
            raise _no_text("is not accepted yet; apply one")
        return (await _read(self.store.get, accepted.digest)).decode()

    async def history(self):
        """Return all versions that have a row, the newest first."""
        rows = await _read(self.tbl.scan, TABLE)
        found = [
            Accepted.from_row(row)
            for row in rows
            if row.key.startswith(HISTORY)
        ]
        return sorted(found, key=_version, reverse=True)

    async def apply(self, text, base, note, by, patience_s):
        """Make a text the accepted version after ``base``.

        Parameters
        ----------
        text : str
            Its faults were looked for already.
        base : Accepted
            The version that the operator started from.
        note, by : str
        patience_s : float
            How long to try to learn the outcome.

        Returns
        -------
        Accepted

        Raises
        ------
        ConflictError
            If another version was accepted meanwhile.
        OutcomeUnknownError
            If the platform stayed silent about the outcome.
        PlatformError
            If nothing was changed.
        """
        await self._check_partitions(text, base)
        digest = await self._put(text.encode(), patience_s)
        now = datetime.datetime.now(datetime.timezone.utc)
        wanted = Accepted(
            version=base.version + 1,
            digest=digest,
            note=note,
            by=by,
            at=now.isoformat(timespec="seconds"),
            write=uuid.uuid4().hex,
        )
        return await self._move(base, wanted, patience_s)

    async def _put(self, data, patience_s):
        deadline = trio.current_time() + patience_s
        while True:
            try:
                return await self.store.put(data)
            except exceptions.PlatformError as exc:
                unsure = isinstance(exc, exceptions.OutcomeUnknownError)
                if not unsure or trio.current_time() > deadline:
                    raise _unchanged(exc) from exc
            await trio.sleep(PAUSE_S)

    async def _check_partitions(self, text, base):
        """Refuse another number of partitions.

        Notes
        -----
        Two entries that count partitions differently would both own an
        endpoint for as long as the change takes.
        """
        if not base.version:
            return
        before = parse.parse(await self.text(base)).partitions
        if parse.parse(text).partitions != before:
            message = f"is fixed at {before} once applied; put it back"
            fault = check.Fault(0, "partitions", message)
            raise exceptions.DeclarationError([fault])

    async def _move(self, base, wanted, patience_s):
        """Write until the outcome is known.

        Notes
        -----
        Every copy of the write checks the same version of the row, so at
        most one takes effect, and the row's own ``write`` tells whose.
        """
        history = f"{HISTORY}{wanted.version:012d}"
        checks = [table_store.Check(TABLE, CURRENT, base.row)]
        writes = [
            table_store.Write(TABLE, CURRENT, wanted.value()),
            table_store.Write(TABLE, history, wanted.value()),
        ]
        deadline = trio.current_time() + patience_s
        sent = False
        while True:
            try:
                version = await table_store.commit_with_retries(
                    self.tbl, checks, writes
                )
                return dataclasses.replace(wanted, row=version)
            except exceptions.ConflictError as exc:
                if await self._is_ours(wanted):
                    return wanted
                cause = exc
            except exceptions.OutcomeUnknownError as exc:
                sent = True
                cause = exc
            except exceptions.PlatformError as exc:
                if not sent:
                    raise _unchanged(exc) from exc
                cause = exc
            if trio.current_time() > deadline:
                raise _unknown(wanted) from cause
            await trio.sleep(PAUSE_S)

    async def _is_ours(self, wanted):
        """Tell whether our write won; False if that cannot be read.

        Raises
        ------
        ConflictError
            If another write won.
        """
        try:
            rows = {row.key: row for row in await self.tbl.scan(TABLE)}
        except exceptions.PlatformError:
            return False
        key = f"{HISTORY}{wanted.version:012d}"
        if key in rows and rows[key].value.get("write") == wanted.write:
            return True
        current = Accepted.from_row(rows[CURRENT]) if CURRENT in rows else None
        raise conflict(wanted.version - 1, current)


async def _read(call, *args):
    """Read from the platform; a read that fails has changed nothing."""
    try:
        return await call(*args)
    except exceptions.PlatformError as exc:
        raise _unchanged(exc) from exc


def _unchanged(exc):
    return exceptions.PlatformError(f"{exc}; nothing was changed")


def _no_text(message):
    return exceptions.DeclarationError([check.Fault(0, "text", message)])


def conflict(base, current):
    """Return the error of a write that came too late."""
    other = current or "another version"
    return exceptions.ConflictError(
        f"version {base} is no longer the newest: {other} was applied "
        f"meanwhile; nothing of yours was changed; run "
        f"'dogwoodwheel show > FILE', make your change in it and apply it"
    )


def _unknown(wanted):
    return exceptions.OutcomeUnknownError(
        f"the platform does not tell whether version {wanted.version} was "
        f"accepted; it may yet be: when it answers, look for write "
        f"{wanted.write[:8]} in 'dogwoodwheel history'"
    )


def _version(accepted):
    return accepted.version
