"""Rows of the stand-in of the platform's table service."""

import dataclasses

__all__ = ["Row", "Rows"]


@dataclasses.dataclass(frozen=True)
class Row:
    """A version of a row; value None stands for a deleted one."""

    version: int
    change: str
    value: dict


ABSENT = Row(0, "", None)


class Rows:
    """Rows with versions, written all or nothing."""

    def __init__(self):
        self.rows = {}
        self.earlier = {}

    def read(self, table, key, stale=False):
        """Return a row as JSON; an absent one has version 0."""
        return _shown(self._row(table, key, stale))

    def scan(self, table, stale=False):
        """Return every row of a table that is not deleted."""
        rows = []
        for name, key in sorted(self.rows):
            row = self._row(name, key, stale)
            if name == table and row.value is not None:
                rows.append({"key": key, **_shown(row)})
        return rows

    def commit(self, change, checks, writes):
        """Write all rows if all checks hold; return whether they did."""
        for check in checks:
            row = self._row(check["table"], check["key"], False)
            if _shown(row)["version"] != check["version"]:
                return False
        for write in writes:
            self._write(change, write)
        return True

    def dump(self):
        """Return all tables: table, key, row."""
        tables = {}
        for name in {table for table, _ in self.rows}:
            rows = {row.pop("key"): row for row in self.scan(name)}
            tables[name] = rows
        return tables

    def _row(self, table, key, stale):
        rows = self.earlier if stale else self.rows
        return rows.get((table, key), ABSENT)

    def _write(self, change, write):
        place = (write["table"], write["key"])
        row = self.rows.get(place, ABSENT)
        self.earlier[place] = row
        self.rows[place] = Row(row.version + 1, change, write["value"])


def _shown(row):
    if row.value is None:
        return {"version": 0, "change": "", "value": {}}
    return dataclasses.asdict(row)
