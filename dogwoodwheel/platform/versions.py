"""Versions of the platform's store, with the era of the store.

Notes
-----
The platform may restore the store from a copy that is some seconds old.  The
store then gives out version numbers again that it has given out before, and
its era, a number that all its replies contain, rises by one.  Versions
therefore contain the era in their upper bits, so that versions of a later era
are always higher.  Versions of earlier eras say nothing about the rows that
the store has now.
"""

__all__ = [
    "MAX_ERA",
    "MAX_NUMBER",
    "describe",
    "era_of",
    "era_start",
    "number_of",
]

# Number of low bits of a version that contain the store's own number.
ERA_SHIFT = 40
MAX_NUMBER = (1 << ERA_SHIFT) - 1
# Versions of later eras would not fit into 53 bits, the integers that every
# JSON library reads exactly.
MAX_ERA = (1 << 13) - 1


def era_start(era):
    """Return the version of an empty store in an era.

    Examples
    --------
    >>> describe(era_start(2) + 60)
    '2/60'
    >>> era_start(2) + 60 > era_start(1) + 99
    True
    """
    return era << ERA_SHIFT


def era_of(version):
    """Return the era of a version; 0 if it stands for an absent row."""
    return version >> ERA_SHIFT


def number_of(version):
    """Return the number that the store gave out for a version."""
    return version & MAX_NUMBER


def describe(version):
    """Return a version as ``ERA/NUMBER``, for log lines."""
    return f"{era_of(version)}/{number_of(version)}"
