"""Storage of the accepted versions of the configuration text."""

import dataclasses
import datetime
import uuid

import trio

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.platform import tables
from dogwoodwheel.stores import table_store

__all__ = ["AcceptedVersion", "VersionStore"]

CONFIG_TABLE = "config"
CURRENT_KEY = "current"
HISTORY_PREFIX = "version/"
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class AcceptedVersion:
    """An accepted version of the configuration text.

    Parameters
    ----------
    version : int
        Number of the version; 0 if none is accepted yet.
    digest : str
        Digest of the text.
    note, by : str
        Reason for the change, and name of the operator.
    at : str
        Time of the change by the operator's clock, only for display.
    write : str
        Unique identifier of the write that stored the version.
    row : int
        Version of the table row in which this accepted version is
        stored.
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
        """Return the accepted version that is stored in a table row."""
        field_names = {field.name for field in dataclasses.fields(cls)}
        values = {k: v for k, v in row.value.items() if k in field_names}
        return cls(**{**values, "row": row.version})

    def row_value(self):
        """Return the value of the table row for this version."""
        values = dataclasses.asdict(self)
        del values["row"]
        return values

    def __str__(self):
        note = f" ({self.note})" if self.note else ""
        return f"version {self.version} by {self.by or 'unknown'}{note}"


class VersionStore:
    """Reads and replaces the accepted version in the platform's store.

    Parameters
    ----------
    table_store : dogwoodwheel.stores.table_store.TableStore
    object_store : dogwoodwheel.stores.object_store.ObjectStore

    Notes
    -----
    The row ``current`` of the table ``config`` stores the accepted
    version and is only changed by compare-and-set.  The object store
    contains each configuration text, with its digest as the key.
    """

    def __init__(self, table_store, object_store):
        self.table_store = table_store
        self.object_store = object_store

    @classmethod
    def from_settings(cls, cfg):
        """Return a `VersionStore` for the store that the settings name."""
        return cls(*tables.open_stores(cfg.dial_address(cfg.store)))

    async def read_current(self):
        """Return the currently accepted version; raises PlatformError."""
        return AcceptedVersion.from_row(
            await _read_platform(
                self.table_store.read, CONFIG_TABLE, CURRENT_KEY
            )
        )

    async def read_version(self, number):
        """Return a version by number; for None, the accepted version."""
        if number is None:
            return await self.read_current()
        for accepted_version in await self.read_history():
            if accepted_version.version == number:
                return accepted_version
        raise _text_error(f"has no version {number}; see the history")

    async def read_version_text(self, accepted_version):
        """Return the configuration text of a version."""
        if not accepted_version.version:
            raise _text_error("is not accepted yet; apply one")
        return (
            await _read_platform(
                self.object_store.get, accepted_version.digest
            )
        ).decode()

    async def read_history(self):
        """Return all versions in the table, newest first."""
        rows = await _read_platform(self.table_store.scan, CONFIG_TABLE)
        versions = [
            AcceptedVersion.from_row(row)
            for row in rows
            if row.key.startswith(HISTORY_PREFIX)
        ]
        return sorted(versions, key=_version_number, reverse=True)

    async def apply(self, text, base, note, operator, timeout_s):
        """Make a text the accepted version that follows ``base``.

        Parameters
        ----------
        text : str
            A configuration text without faults.
        base : AcceptedVersion
            The version that the change is based on.
        note, operator : str
            Reason for the change and name of the operator, for the
            history.
        timeout_s : float
            Maximum time to retry while the outcome is unknown, seconds.

        Returns
        -------
        AcceptedVersion

        Raises
        ------
        ConflictError
            If another version was accepted in the meantime.
        OutcomeUnknownError
            If the platform did not report the outcome in time.
        PlatformError
            If nothing was changed.
        """
        await self._check_partitions(text, base)
        digest = await self._put(text.encode(), timeout_s)
        now = datetime.datetime.now(datetime.timezone.utc)
        new_version = AcceptedVersion(
            version=base.version + 1,
            digest=digest,
            note=note,
            by=operator,
            at=now.isoformat(timespec="seconds"),
            write=uuid.uuid4().hex,
        )
        return await self._commit(base, new_version, timeout_s)

    async def _put(self, data, timeout_s):
        deadline = trio.current_time() + timeout_s
        while True:
            try:
                return await self.object_store.put(data)
            except exceptions.PlatformError as exc:
                outcome_unknown = isinstance(
                    exc, exceptions.OutcomeUnknownError
                )
                if not outcome_unknown or trio.current_time() > deadline:
                    raise _nothing_changed_error(exc) from exc
            await trio.sleep(RETRY_INTERVAL_S)

    async def _check_partitions(self, text, base):
        """Reject a text that changes the number of partitions.

        Notes
        -----
        Entries take over a new text at different times.  With different
        numbers of partitions, two entries could own the same endpoint.
        """
        if not base.version:
            return
        current_partitions = parse.parse(
            await self.read_version_text(base)
        ).partitions
        if parse.parse(text).partitions != current_partitions:
            message = (
                f"is fixed at {current_partitions} once applied; put it back"
            )
            fault = check.Fault(0, "partitions", message)
            raise exceptions.DeclarationError([fault])

    async def _commit(self, base, new_version, timeout_s):
        """Commit a new version; retry until the outcome is known.

        Notes
        -----
        Each attempt checks that the row still has the same version, so
        at most one attempt takes effect.  The field ``write`` of the row
        shows which operator's write that was.
        """
        history_key = f"{HISTORY_PREFIX}{new_version.version:012d}"
        checks = [
            table_store.ExpectedVersion(CONFIG_TABLE, CURRENT_KEY, base.row)
        ]
        writes = [
            table_store.Write(
                CONFIG_TABLE, CURRENT_KEY, new_version.row_value()
            ),
            table_store.Write(
                CONFIG_TABLE, history_key, new_version.row_value()
            ),
        ]
        deadline = trio.current_time() + timeout_s
        may_have_committed = False
        while True:
            try:
                row_version = await table_store.commit_with_retries(
                    self.table_store, checks, writes
                )
                return dataclasses.replace(new_version, row=row_version)
            except exceptions.ConflictError as exc:
                if await self._is_accepted(new_version):
                    return new_version
                cause = exc
            except exceptions.OutcomeUnknownError as exc:
                may_have_committed = True
                cause = exc
            except exceptions.PlatformError as exc:
                if not may_have_committed:
                    raise _nothing_changed_error(exc) from exc
                cause = exc
            if trio.current_time() > deadline:
                raise _outcome_unknown_error(new_version) from cause
            await trio.sleep(RETRY_INTERVAL_S)

    async def _is_accepted(self, new_version):
        """Return whether the write of ``new_version`` took effect.

        Returns
        -------
        bool
            False also if the table cannot be read.

        Raises
        ------
        ConflictError
            If another write took effect.
        """
        try:
            rows = {
                row.key: row
                for row in await self.table_store.scan(CONFIG_TABLE)
            }
        except exceptions.PlatformError:
            return False
        history_key = f"{HISTORY_PREFIX}{new_version.version:012d}"
        if (
            history_key in rows
            and rows[history_key].value.get("write") == new_version.write
        ):
            return True
        current_version = (
            AcceptedVersion.from_row(rows[CURRENT_KEY])
            if CURRENT_KEY in rows
            else None
        )
        raise conflict_error(new_version.version - 1, current_version)


async def _read_platform(call, *args):
    """Read from the platform; an error adds that nothing was changed."""
    try:
        return await call(*args)
    except exceptions.PlatformError as exc:
        raise _nothing_changed_error(exc) from exc


def _nothing_changed_error(exc):
    return exceptions.PlatformError(f"{exc}; nothing was changed")


def _text_error(message):
    return exceptions.DeclarationError([check.Fault(0, "text", message)])


def conflict_error(base, newer_version):
    """Return the error for a write that lost to a concurrent write.

    Parameters
    ----------
    base : int
        Number of the version that the write is based on.
    newer_version : AcceptedVersion or None
        The version accepted by now; None if it is unknown.
    """
    other = newer_version or "another version"
    return exceptions.ConflictError(
        f"version {base} is no longer the newest: {other} was applied "
        f"meanwhile; nothing of yours was changed; run "
        f"'dogwoodwheel show > FILE', make your change in it and apply it"
    )


def _outcome_unknown_error(new_version):
    return exceptions.OutcomeUnknownError(
        f"the platform did not report whether version "
        f"{new_version.version} was accepted, and it may still be: once the "
        f"platform is back, look for write {new_version.write[:8]} in "
        f"'dogwoodwheel history'"
    )


def _version_number(accepted_version):
    return accepted_version.version
