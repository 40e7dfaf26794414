"""Rows in tables, written all or nothing.

Notes
-----
A commit checks the versions of rows and writes rows; version 0 stands
for a row that is absent.  `dogwoodwheel.platform` has the tables of the
platform that this runs on; another one fits behind `TableStore` as well.
"""

import dataclasses
import uuid

from dogwoodwheel import exceptions

__all__ = ["Check", "Row", "TableStore", "Write", "commit_with_retries"]

# Times that a commit is sent while its outcome is unknown.
TRIES = 3


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as read.

    Parameters
    ----------
    table, key : str
    version : int
        Grows with each write of the row; 0 where the row is absent.
    change : str
        Unique name of the write that made this version.
    value : dict
    """

    table: str
    key: str
    version: int
    change: str
    value: dict


@dataclasses.dataclass(frozen=True)
class Check:
    """A row must have this version for a commit to take effect."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A row's new value; None deletes the row."""

    table: str
    key: str
    value: dict = None


class TableStore:
    """The calls that this system makes of a table service."""

    async def read(self, table, key):
        """Return a `Row`; one that is absent has version 0."""
        raise NotImplementedError

    async def scan(self, table):
        """Return a tuple of every `Row` of a table."""
        raise NotImplementedError

    async def commit(self, change, checks, writes):
        """Check and write rows, all or nothing.

        Returns
        -------
        int
            Version that all rows written have now.

        Raises
        ------
        ConflictError
            If a row has another version; nothing took effect.
        OutcomeUnknownError
            If the request was sent and no reply came.
        PlatformError
            If the request was not sent or not taken.
        """
        raise NotImplementedError


async def commit_with_retries(table, checks, writes):
    """Commit, and learn the outcome even when a reply is lost.

    Parameters
    ----------
    table : TableStore
    checks : sequence of Check
    writes : sequence of Write
        The first one's row is read back to learn an outcome; it must
        have a value, and be among the checks.

    Returns
    -------
    int
        Version that all rows written have now.

    Raises
    ------
    ConflictError
        If the commit did not take effect, nor will.
    OutcomeUnknownError
        If the platform stayed silent; the write may yet take effect.
    PlatformError
        If nothing was sent.

    Notes
    -----
    Repeating the same commit is safe: it checks the version of the row
    that it writes, so at most one of the copies can take effect.  A
    conflict after an unknown outcome may be with our own earlier copy,
    which the name of the change tells.
    """
    change = uuid.uuid4().hex
    unknown = None
    for _ in range(TRIES):
        try:
            return await table.commit(change, checks, writes)
        except exceptions.ConflictError:
            if unknown is None:
                raise
            row = await _read_back(table, writes[0])
            if row.change == change:
                return row.version
            raise
        except exceptions.OutcomeUnknownError as exc:
            unknown = exc
        except exceptions.PlatformError:
            if unknown is None:
                raise
    raise unknown


async def _read_back(table, write):
    try:
        return await table.read(write.table, write.key)
    except exceptions.PlatformError as exc:
        raise exceptions.OutcomeUnknownError(
            "the platform took a write and cannot be read; "
            "read the row again when it answers"
        ) from exc
