"""Rows of the stand-in of the platform's store, under one counter."""

import base64
import dataclasses
import time

__all__ = ["Row", "Rows", "shown"]


@dataclasses.dataclass(frozen=True)
class Row:
    """A version of a row; value None stands for a deleted one."""

    table: str
    key: str
    version: int = 0
    value: bytes = None


class Rows:
    """Rows written all or nothing, with their history.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    version : int
        Of the newest write.
    forgotten : int
        Version up to which the history is gone.
    era : int
        Rises each time the rows are restored from a copy.
    """

    def __init__(self, clock=time.monotonic):
        self.version = 0
        self.forgotten = 0
        self.era = 1
        self.rows = {}
        self.earlier = {}
        self.history = []
        self._clock = clock
        self._log = []

    def write(self, rows):
        """Write rows, those without a value as deleted."""
        self.version += 1
        for row in rows:
            place = (row.table, row.key)
            self.earlier[place] = self.get(*place)
            kept = dataclasses.replace(row, version=self.version)
            self.rows[place] = kept
            self.history.append(kept)
            self._log.append((self._clock(), kept))

    def get(self, table, key, stale=False):
        """Return a row; an absent one has version 0."""
        rows = self.earlier if stale else self.rows
        row = rows.get((table, key), Row(table, key))
        return Row(table, key) if row.value is None else row

    def all(self, table, first="", last=None, stale=False):
        """Return the rows of a table, or of a range of its keys."""
        found = [
            self.get(name, key, stale)
            for name, key in sorted(self.rows)
            if name == table and key >= first and (last is None or key < last)
        ]
        return [row for row in found if row.value is not None]

    def since(self, table, version):
        """Return the rows of a table that changed after a version."""
        return [
            row
            for row in self.history
            if row.table == table and row.version > version
        ]

    def forget(self):
        """Forget the history."""
        self.history.clear()
        self.forgotten = self.version

    def restore(self, age_s):
        """Go back to a copy of some seconds ago, and begin another era."""
        copied_at = self._clock() - age_s
        self._log = [item for item in self._log if item[0] <= copied_at]
        self.rows = {(row.table, row.key): row for _, row in self._log}
        self.earlier = {}
        self.version = max((row.version for _, row in self._log), default=0)
        self.forgotten = min(self.forgotten, self.version)
        self.history = [r for r in self.history if r.version <= self.version]
        self.era += 1

    def has_history_after(self, version):
        """Return whether the changes after a version are known."""
        return self.forgotten <= version <= self.version

    def dump(self):
        """Return all rows as JSON, by table and key."""
        tables = {}
        for table, key in sorted(self.rows):
            row = self.get(table, key)
            if row.value is not None:
                tables.setdefault(table, {})[key] = {
                    "version": row.version,
                    "value": base64.b64encode(row.value).decode(),
                }
        return tables


def shown(row):
    """Return a row as it goes on the wire."""
    fields = {
        "table": row.table,
        "part": "",
        "key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        return {**fields, "deleted": True}
    return {**fields, "value": base64.b64encode(row.value).decode()}
