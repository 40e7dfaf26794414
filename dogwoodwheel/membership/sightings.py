"""Rows of entries as last seen, in spite of reads that are old."""

import collections

__all__ = ["Sightings", "next_incarnation", "start_of"]

MISSES = 4
REMEMBERED = 10_000


def start_of(incarnation):
    """Return how many processes served an entry up to this one.

    Examples
    --------
    >>> start_of("3.a1b2")
    3
    """
    return int(incarnation.partition(".")[0])


def next_incarnation(last, unique):
    """Return the incarnation that follows another one.

    Parameters
    ----------
    last : str
        Empty where there was none.
    unique : str
        Unique to the process.

    Examples
    --------
    >>> next_incarnation("3.a1b2", "c3")
    '4.c3'
    """
    start = start_of(last) if last else 0
    return f"{start + 1}.{unique}"


class Sightings:
    """Entries by their newest row seen.

    Notes
    -----
    A read may return an older copy.  A row therefore never goes back to
    an older version here, and counts as deleted only when several scans
    in a row have lacked it.
    """

    def __init__(self):
        self._entries = {}
        self._misses = collections.Counter()
        self._deleted = collections.OrderedDict()

    def saw(self, found):
        """Take one scan and return the entries as last seen, by name.

        Parameters
        ----------
        found : iterable of dogwoodwheel.membership.view.Entry
        """
        names = set()
        for entry in found:
            names.add(entry.name)
            self._misses.pop(entry.name, None)
            known = self._entries.get(entry.name)
            if known is None or entry.row >= known.row:
                self._entries[entry.name] = entry
        for name in set(self._entries) - names:
            self._misses[name] += 1
            if self._misses[name] >= MISSES:
                self._forget(name)
        return dict(self._entries)

    def superseded(self, name, incarnation):
        """Tell whether a process was followed by another, or deleted.

        Parameters
        ----------
        name, incarnation : str
        """
        if (name, incarnation) in self._deleted:
            return True
        entry = self._entries.get(name)
        if entry is None:
            return False
        return start_of(entry.incarnation) > start_of(incarnation)

    def _forget(self, name):
        entry = self._entries.pop(name)
        del self._misses[name]
        self._deleted[name, entry.incarnation] = True
        while len(self._deleted) > REMEMBERED:
            self._deleted.popitem(last=False)
