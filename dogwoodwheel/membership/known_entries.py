"""The newest known row of each entry, whatever stale scans return."""

import collections

__all__ = ["KnownEntries", "next_incarnation", "start_number"]

DELETED_AFTER_SCANS = 4
MAX_DELETED_ENTRIES = 10_000


def start_number(incarnation):
    """Return how often an entry had started when it got an incarnation.

    Examples
    --------
    >>> start_number("3.a1b2")
    3
    """
    return int(incarnation.partition(".")[0])


def next_incarnation(previous, unique):
    """Return the incarnation of the process that follows another.

    Parameters
    ----------
    previous : str
        Incarnation of the previous process; empty if there was none.
    unique : str
        Text that is unique to the process.

    Examples
    --------
    >>> next_incarnation("3.a1b2", "c3")
    '4.c3'
    """
    starts = start_number(previous) if previous else 0
    return f"{starts + 1}.{unique}"


class KnownEntries:
    """The newest row of each entry that any scan has returned.

    Notes
    -----
    A scan may return stale rows.  An older version therefore never
    replaces a newer row, and a row counts as deleted only when
    `DELETED_AFTER_SCANS` consecutive scans have lacked it.
    """

    def __init__(self):
        self._entries = {}
        self._missed_scans = collections.Counter()
        self._deleted_incarnations = collections.OrderedDict()

    def record_scan(self, entries):
        """Record one scan and return the newest known entries by name.

        Parameters
        ----------
        entries : iterable of dogwoodwheel.membership.view.Entry
        """
        names = set()
        for entry in entries:
            names.add(entry.name)
            self._missed_scans.pop(entry.name, None)
            known = self._entries.get(entry.name)
            if known is None or entry.row_version >= known.row_version:
                self._entries[entry.name] = entry
        for name in set(self._entries) - names:
            self._missed_scans[name] += 1
            if self._missed_scans[name] >= DELETED_AFTER_SCANS:
                self._mark_deleted(name)
        return dict(self._entries)

    def superseded(self, name, incarnation):
        """Return whether an incarnation was replaced or its row was deleted.

        Parameters
        ----------
        name, incarnation : str
        """
        if (name, incarnation) in self._deleted_incarnations:
            return True
        entry = self._entries.get(name)
        if entry is None:
            return False
        return start_number(entry.incarnation) > start_number(incarnation)

    def _mark_deleted(self, name):
        entry = self._entries.pop(name)
        del self._missed_scans[name]
        self._deleted_incarnations[name, entry.incarnation] = True
        while len(self._deleted_incarnations) > MAX_DELETED_ENTRIES:
            self._deleted_incarnations.popitem(last=False)
