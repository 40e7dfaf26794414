"""Assigns partitions to entries."""

import dataclasses

from dogwoodwheel.membership import view

__all__ = [
    "Move",
    "apply_move",
    "exclude_partitions",
    "inherit_entry",
    "plan_claims",
    "assigned_entry",
    "plan_hand_over",
    "plan_take_over",
]

SHARE = "share"
HOLDING = "holding"


@dataclasses.dataclass(frozen=True)
class Move:
    """Partitions that are transferred to one entry.

    Parameters
    ----------
    shares : tuple of int
        Ids of partitions of the customers' rates.
    holdings : tuple of int
        Ids of partitions of endpoints.
    """

    shares: tuple = ()
    holdings: tuple = ()

    def __bool__(self):
        return bool(self.shares or self.holdings)


def assigned_entry(kind, partition, live):
    """Return the entry that should hold a partition.

    Parameters
    ----------
    kind : str
        ``share`` (of the customers' rates) or ``holding`` (of endpoints).
    partition : int
        Id of the partition.
    live : iterable of str
        Names of the live entries; must not be empty.

    Returns
    -------
    str
        Name of the entry.

    Notes
    -----
    Uses rendezvous hashing (Thaler and Ravishankar, 1998): when an entry
    joins or leaves, only the partitions that this entry gains or loses
    are transferred.

    Examples
    --------
    >>> assigned_entry("share", 3, ["a"])
    'a'
    """
    key = f"{kind}/{partition}"
    return max(live, key=lambda name: view.rendezvous_score(name, key))


def _assigned_to(kind, partitions, live, name):
    return tuple(
        p for p in partitions if assigned_entry(kind, p, live) == name
    )


def plan_claims(free, live, me):
    """Return the `Move` of free partitions that ``me`` should claim."""
    return Move(
        shares=_assigned_to(SHARE, free.shares, live, me),
        holdings=_assigned_to(HOLDING, free.holdings, live, me),
    )


def plan_hand_over(entry, live):
    """Return the partitions that an entry should hand over.

    Parameters
    ----------
    entry : Entry
    live : iterable of str
        Names of the entries that may receive partitions.  If empty,
        nothing is handed over.

    Returns
    -------
    dict of str to Move
        Partitions for each receiving entry, by the entry's name.
    """
    if not live:
        return {}
    partitions = {}
    for partition in entry.shares:
        name = assigned_entry(SHARE, partition, live)
        partitions.setdefault(name, ([], []))[0].append(partition)
    for partition in entry.holdings:
        name = assigned_entry(HOLDING, partition, live)
        partitions.setdefault(name, ([], []))[1].append(partition)
    return {
        name: Move(tuple(shares), tuple(holdings))
        for name, (shares, holdings) in partitions.items()
        if name != entry.name
    }


def plan_take_over(entry, live, me, gone):
    """Return the partitions that ``me`` should take over from an entry.

    Parameters
    ----------
    entry : Entry
        Entry whose heartbeat is overdue.
    live : iterable of str
        Names of the live entries.
    me : str
        Name of the entry that takes over.
    gone : bool
        Whether the process of the overdue entry is proved gone.  Only
        then are the entry's shares taken over, since a process that
        still runs may spend tokens of them.

    Returns
    -------
    Move
    """
    shares = _assigned_to(SHARE, entry.shares, live, me) if gone else ()
    return Move(shares, _assigned_to(HOLDING, entry.holdings, live, me))


def apply_move(source, receiver, move, source_stopped):
    """Return the state of the source and of the receiver after a move.

    Parameters
    ----------
    source, receiver : Entry
    move : Move
    source_stopped : bool
        Whether the source no longer uses the partitions, because it has
        handed them over or its process is proved gone.

    Returns
    -------
    source, receiver : Entry
    """
    shares = dict(receiver.shares)
    holdings = dict(receiver.holdings)
    for partition in move.shares:
        shares[partition] = source.shares[partition] + 1
    for partition in move.holdings:
        holding = source.holdings[partition]
        earlier_holders = holding.earlier_holders
        if not source_stopped:
            earlier_holders = earlier_holders + (
                (source.name, source.incarnation),
            )
        holdings[partition] = view.Holding(holding.epoch + 1, earlier_holders)
    reduced_source = dataclasses.replace(
        source,
        shares={
            k: v for k, v in source.shares.items() if k not in move.shares
        },
        holdings={
            k: v for k, v in source.holdings.items() if k not in move.holdings
        },
    )
    return reduced_source, dataclasses.replace(
        receiver, shares=shares, holdings=holdings
    )


def inherit_entry(mine, previous, incarnation):
    """Return an entry with the partitions that its previous process held.

    Parameters
    ----------
    mine, previous : Entry
        Entries of the same name, of the current and of the previous
        process.
    incarnation : str
        Incarnation of the current process.

    Returns
    -------
    Entry
    """
    holdings = {
        partition: view.Holding(
            holding.epoch + 1,
            _exclude_holder(holding.earlier_holders, previous.name),
        )
        for partition, holding in previous.holdings.items()
    }
    return dataclasses.replace(
        mine,
        incarnation=incarnation,
        shares=previous.shares,
        holdings=holdings,
        row_version=previous.row_version,
    )


def _exclude_holder(earlier_holders, name):
    """Return the earlier holders without the processes of one entry."""
    return tuple(
        (other, incarnation)
        for other, incarnation in earlier_holders
        if other != name
    )


def exclude_partitions(entry, mine):
    """Return an entry without the partitions that ``mine`` holds."""
    return dataclasses.replace(
        entry,
        shares={p: e for p, e in entry.shares.items() if p not in mine.shares},
        holdings={
            p: h for p, h in entry.holdings.items() if p not in mine.holdings
        },
    )
