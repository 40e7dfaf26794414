"""Interface of a table service with atomic, conditional commits.

Notes
-----
A commit checks the versions of some rows and, if all match, writes rows;
otherwise it writes none.  Version 0 stands for an absent row.
`dogwoodwheel.platform.tables` implements the interface for the operators'
platform.  To support another platform, write a subclass of `TableStore`.
"""

import dataclasses
import uuid

from dogwoodwheel import exceptions

__all__ = [
    "ExpectedVersion",
    "Row",
    "TableStore",
    "Write",
    "commit_with_retries",
]

# Maximum number of attempts to send a commit.
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table, as read from the table service.

    Parameters
    ----------
    table, key : str
    version : int
        Increases with each write of the row; 0 if the row is absent.
    write_id : str
        ID of the last commit that wrote the row; empty if it is absent.
    value : dict
        Empty if the row is absent.
    """

    table: str
    key: str
    version: int
    write_id: str
    value: dict


@dataclasses.dataclass(frozen=True)
class ExpectedVersion:
    """The version that a row must have for a commit to take effect."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """The new value of a row; None deletes the row."""

    table: str
    key: str
    value: dict = None


class TableStore:
    """Interface of a table service."""

    async def read(self, table, key):
        """Return the `Row` with a key; version 0 if the row is absent."""
        raise NotImplementedError

    async def scan(self, table):
        """Return all rows of a table as a tuple of `Row`."""
        raise NotImplementedError

    async def commit(self, commit_id, expected_versions, writes):
        """Write rows if all expected versions match those in the table.

        Parameters
        ----------
        commit_id : str
            Unique ID of the commit, stored with each written row.
        expected_versions : sequence of ExpectedVersion
        writes : sequence of Write

        Returns
        -------
        int
            Version that all written rows have now.

        Raises
        ------
        ConflictError
            If a row has another version than expected; no row was changed.
        OutcomeUnknownError
            If the commit was sent and no reply came.
        PlatformError
            If the commit was not sent or was rejected.
        """
        raise NotImplementedError


async def commit_with_retries(table_store, expected_versions, writes):
    """Commit, with retries after lost replies until the outcome is known.

    Parameters
    ----------
    table_store : TableStore
    expected_versions : sequence of ExpectedVersion
    writes : sequence of Write
        The first write must not be a deletion, because its row is read
        to find out whether the commit took effect, and a deleted row has
        no write ID.  `expected_versions` must include the row, so that
        a repeated commit cannot take effect twice.

    Returns
    -------
    int
        Version that all written rows have now.

    Raises
    ------
    ConflictError
        If the commit did not take effect and cannot do so later.
    OutcomeUnknownError
        If the platform does not reply; the commit may still take effect.
    PlatformError
        If the commit was not sent, or was rejected.

    Notes
    -----
    It is safe to send the same commit again: the commit checks the version
    of a row that it writes, so at most one copy can take effect.  A
    conflict after an unknown outcome may mean that an earlier copy of this
    commit took effect.  The first written row is then read: if its write ID
    is the ID of this commit, the commit succeeded.
    """
    commit_id = uuid.uuid4().hex
    unknown_outcome = None
    for _ in range(MAX_ATTEMPTS):
        try:
            return await table_store.commit(
                commit_id, expected_versions, writes
            )
        except exceptions.ConflictError:
            if unknown_outcome is None:
                raise
            row = await _read_written_row(table_store, writes[0])
            if row.write_id == commit_id:
                return row.version
            raise
        except exceptions.OutcomeUnknownError as exc:
            unknown_outcome = exc
        except exceptions.PlatformError:
            if unknown_outcome is None:
                raise
    raise unknown_outcome


async def _read_written_row(table_store, write):
    try:
        return await table_store.read(write.table, write.key)
    except exceptions.PlatformError as exc:
        raise exceptions.OutcomeUnknownError(
            "the outcome of a write is unknown, as the row cannot be read "
            "again; read the row when the platform replies"
        ) from exc
