"""Rows of the table store that record the holders of partitions.

Notes
-----
Table ``entries`` has a row for each entry VM, with its heartbeat, its
address and the partitions that it holds.  Table ``partitions`` has only
the row ``free``: the partitions that no entry has held yet.  A partition
is transferred by one commit that checks and writes both affected rows,
so it is always in exactly one row.
"""

import dataclasses

from dogwoodwheel.membership import view
from dogwoodwheel.stores import table_store

__all__ = [
    "ENTRIES",
    "FREE_KEY",
    "FREE_TABLE",
    "Free",
    "entry_of",
    "free_of",
    "write_entry",
    "write_free",
]

ENTRIES = "entries"
FREE_TABLE = "partitions"
FREE_KEY = "free"


@dataclasses.dataclass(frozen=True)
class Free:
    """Partitions that no entry has held yet.

    Parameters
    ----------
    count : int
        Number of partitions in the fleet; 0 until the first entry stores
        the number.
    shares : tuple of int
        Ids of the free partitions of the customers' rates.
    holdings : tuple of int
        Ids of the free partitions of endpoints.
    row_version : int
        Version of the row ``free``; 0 if the row is absent.
    """

    count: int = 0
    shares: tuple = ()
    holdings: tuple = ()
    row_version: int = 0


def entry_of(row):
    """Return the entry and the heartbeat counter that a row stores.

    Parameters
    ----------
    row : dogwoodwheel.stores.table_store.Row

    Returns
    -------
    entry : dogwoodwheel.membership.view.Entry
    heartbeat : int
        Counter that the entry's process increases with each heartbeat.
    """
    value = row.value
    holdings = {
        int(partition): view.Holding(
            epoch=epoch,
            earlier_holders=tuple(
                (name, incarnation) for name, incarnation in earlier_holders
            ),
        )
        for partition, (epoch, earlier_holders) in value["holdings"].items()
    }
    entry = view.Entry(
        name=row.key,
        zone=value["zone"],
        incarnation=value["incarnation"],
        peer=value["peer"],
        public=tuple(value["public"]),
        leaving=value["leaving"],
        shares={int(k): v for k, v in value["shares"].items()},
        holdings=holdings,
        row_version=row.version,
    )
    return entry, value["heartbeat"]


def write_entry(entry, heartbeat):
    """Return the `Write` that stores an entry's row."""
    value = {
        "zone": entry.zone,
        "incarnation": entry.incarnation,
        "peer": entry.peer,
        "public": list(entry.public),
        "leaving": entry.leaving,
        "heartbeat": heartbeat,
        "shares": {str(k): v for k, v in entry.shares.items()},
        "holdings": {
            str(partition): [
                holding.epoch,
                [list(item) for item in holding.earlier_holders],
            ]
            for partition, holding in entry.holdings.items()
        },
    }
    return table_store.Write(ENTRIES, entry.name, value)


def free_of(row):
    """Return the `Free` of a row; without partitions if the row is absent."""
    if row.version == 0:
        return Free()
    value = row.value
    return Free(
        count=value["count"],
        shares=tuple(value["shares"]),
        holdings=tuple(value["holdings"]),
        row_version=row.version,
    )


def write_free(free):
    """Return the `Write` that stores the row of free partitions."""
    value = {
        "count": free.count,
        "shares": list(free.shares),
        "holdings": list(free.holdings),
    }
    return table_store.Write(FREE_TABLE, FREE_KEY, value)
