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
        Reason for the change, and the operator.
    at : str
        Time by the operator's clock; only for display.
    write : str
        Unique identifier of the operator's write.
    row : int
        Version of the table row that stores it.
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
        """Return the accepted version that a row stores."""
        field_names = {field.name for field in dataclasses.fields(cls)}
        values = {k: v for k, v in row.value.items() if k in field_names}
        return cls(**{**values, "row": row.version})

    def row_value(self):
        """Return the value of the row that stores this version."""
        values = dataclasses.asdict(self)
        del values["row"]
        return values

    def __str__(self):
        note = f" ({self.note})" if self.note else ""
        return f"version {self.version} by {self.by or 'unknown'}{note}"


class VersionStore:
    """Reads and replaces the accepted version.

    Parameters
    ----------
    table_store : dogwoodwheel.stores.table_store.TableStore
    object_store : dogwoodwheel.stores.object_store.ObjectStore

    Notes
    -----
    The row ``config/current`` stores the accepted version and is changed
    by compare-and-set only.  The object store holds each text under its
    digest.
    """

    def __init__(self, table_store, object_store):
        self.table_store = table_store
        self.object_store = object_store

    @classmethod
    def from_settings(cls, cfg):
        """Return the version store at the settings' platform address."""
        return cls(*tables.open_stores(cfg.dial_address(cfg.store)))

    async def current(self):
        """Return the currently accepted version; raises PlatformError."""
        return AcceptedVersion.from_row(
            await _read_platform(
                self.table_store.read, CONFIG_TABLE, CURRENT_KEY
            )
        )

    async def version(self, number):
        """Return a version by number; the accepted version for None."""
        if number is None:
            return await self.current()
        for accepted in await self.history():
            if accepted.version == number:
                return accepted
        raise _text_error(f"has no version {number}; see the history")

    async def text(self, accepted):
        """Return the configuration text of a version."""
        if not accepted.version:
            raise _text_error("is not accepted yet; apply one")
        return (
            await _read_platform(self.object_store.get, accepted.digest)
        ).decode()

    async def history(self):
        """Return all versions in the table, newest first."""
        rows = await _read_platform(self.table_store.scan, CONFIG_TABLE)
        versions = [
            AcceptedVersion.from_row(row)
            for row in rows
            if row.key.startswith(HISTORY_PREFIX)
        ]
        return sorted(versions, key=_version_number, reverse=True)

    async def apply(self, text, base, note, by, timeout_s):
        """Make a text the accepted version that follows ``base``.

        Parameters
        ----------
        text : str
            A configuration text that was already checked.
        base : AcceptedVersion
            The version that the change is based on.
        note, by : str
            Reason and operator, for the history.
        timeout_s : float
            Maximum time to retry while the outcome is unknown.

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
            by=by,
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
                    raise _nothing_changed(exc) from exc
            await trio.sleep(RETRY_INTERVAL_S)

    async def _check_partitions(self, text, base):
        """Reject a text that changes the number of partitions.

        Notes
        -----
        While such a change spreads, two entries that use different
        numbers of partitions would both own the same endpoint.
        """
        if not base.version:
            return
        current_partitions = parse.parse(await self.text(base)).partitions
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
        Each attempt checks the same version of the row, so at most one
        takes effect; the ``write`` stored in the row identifies whose.
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
        maybe_sent = False
        while True:
            try:
                version = await table_store.commit_with_retries(
                    self.table_store, checks, writes
                )
                return dataclasses.replace(new_version, row=version)
            except exceptions.ConflictError as exc:
                if await self._is_accepted(new_version):
                    return new_version
                cause = exc
            except exceptions.OutcomeUnknownError as exc:
                maybe_sent = True
                cause = exc
            except exceptions.PlatformError as exc:
                if not maybe_sent:
                    raise _nothing_changed(exc) from exc
                cause = exc
            if trio.current_time() > deadline:
                raise _outcome_unknown(new_version) from cause
            await trio.sleep(RETRY_INTERVAL_S)

    async def _is_accepted(self, new_version):
        """Return whether our write took effect; False if unreadable.

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
        current = (
            AcceptedVersion.from_row(rows[CURRENT_KEY])
            if CURRENT_KEY in rows
            else None
        )
        raise conflict_error(new_version.version - 1, current)


async def _read_platform(call, *args):
    """Call a read; the error message adds that nothing was changed."""
    try:
        return await call(*args)
    except exceptions.PlatformError as exc:
        raise _nothing_changed(exc) from exc


def _nothing_changed(exc):
    return exceptions.PlatformError(f"{exc}; nothing was changed")


def _text_error(message):
    return exceptions.DeclarationError([check.Fault(0, "text", message)])


def conflict_error(base, current):
    """Return the error of a write that lost to a concurrent one."""
    other = current or "another version"
    return exceptions.ConflictError(
        f"version {base} is no longer the newest: {other} was applied "
        f"meanwhile; nothing of yours was changed; run "
        f"'dogwoodwheel show > FILE', make your change in it and apply it"
    )


def _outcome_unknown(new_version):
    return exceptions.OutcomeUnknownError(
        f"the platform did not report whether version "
        f"{new_version.version} was accepted, and it may still be: once the "
        f"platform is back, look for write {new_version.write[:8]} in "
        f"'dogwoodwheel history'"
    )


def _version_number(accepted):
    return accepted.version
