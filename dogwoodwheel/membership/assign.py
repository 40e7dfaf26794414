"""Who should hold which partition."""

import dataclasses

from dogwoodwheel.membership import view

__all__ = [
    "Move",
    "heir",
    "moved",
    "target",
    "to_claim",
    "to_hand",
    "to_take",
    "without",
]

SHARE = "share"
HOLDING = "holding"


@dataclasses.dataclass(frozen=True)
class Move:
    """Partitions that pass to one entry.

    Parameters
    ----------
    shares, holdings : tuple of int
    """

    shares: tuple = ()
    holdings: tuple = ()

    def __bool__(self):
        return bool(self.shares or self.holdings)


def target(kind, part, live):
    """Return the entry that should hold a partition.

    Parameters
    ----------
    kind : str
        ``share`` or ``holding``.
    part : int
    live : iterable of str
        Must not be empty.

    Returns
    -------
    str

    Notes
    -----
    Rendezvous hashing (Thaler and Ravishankar, 1998): when an entry
    comes or goes, only the partitions that it gains or loses move.

    Examples
    --------
    >>> target("share", 3, ["a"])
    'a'
    """
    key = f"{kind}/{part}"
    return max(live, key=lambda name: view.rank(name, key))


def _aimed(kind, parts, live, name):
    return tuple(p for p in parts if target(kind, p, live) == name)


def to_claim(free, live, me):
    """Return the `Move` of free partitions that ``me`` should claim."""
    return Move(
        shares=_aimed(SHARE, free.shares, live, me),
        holdings=_aimed(HOLDING, free.holdings, live, me),
    )


def to_hand(entry, live):
    """Return what an entry should hand over, by receiver.

    Parameters
    ----------
    entry : Entry
    live : iterable of str
        Entries that may receive; empty to hand over nothing.

    Returns
    -------
    dict of str to Move
    """
    if not live:
        return {}
    parts = {}
    for part in entry.shares:
        name = target(SHARE, part, live)
        parts.setdefault(name, ([], []))[0].append(part)
    for part in entry.holdings:
        name = target(HOLDING, part, live)
        parts.setdefault(name, ([], []))[1].append(part)
    return {
        name: Move(tuple(shares), tuple(holdings))
        for name, (shares, holdings) in parts.items()
        if name != entry.name
    }


def to_take(entry, live, me, gone):
    """Return what ``me`` should take over from an entry that is overdue.

    Parameters
    ----------
    entry : Entry
        Its heartbeat is overdue.
    live : iterable of str
    me : str
    gone : bool
        Whether the entry's process is proved gone; only then do its
        shares pass on, since it may still be spending them.

    Returns
    -------
    Move
    """
    shares = _aimed(SHARE, entry.shares, live, me) if gone else ()
    return Move(shares, _aimed(HOLDING, entry.holdings, live, me))


def moved(giver, receiver, move, proved):
    """Return both entries after a move.

    Parameters
    ----------
    giver, receiver : Entry
    move : Move
    proved : bool
        Whether the giver no longer acts on what it gives: it handed
        over itself, or is proved gone.

    Returns
    -------
    giver, receiver : Entry
    """
    shares = dict(receiver.shares)
    holdings = dict(receiver.holdings)
    for part in move.shares:
        shares[part] = giver.shares[part] + 1
    for part in move.holdings:
        held = giver.holdings[part]
        prior = held.prior
        if not proved:
            prior = prior + ((giver.name, giver.incarnation),)
        holdings[part] = view.Holding(held.epoch + 1, prior)
    left = dataclasses.replace(
        giver,
        shares={k: v for k, v in giver.shares.items() if k not in move.shares},
        holdings={
            k: v for k, v in giver.holdings.items() if k not in move.holdings
        },
    )
    return left, dataclasses.replace(
        receiver, shares=shares, holdings=holdings
    )


def heir(mine, last, incarnation):
    """Return an entry with what the process before it held.

    Parameters
    ----------
    mine, last : Entry
        Of the same name.
    incarnation : str

    Returns
    -------
    Entry
    """
    holdings = {
        part: view.Holding(held.epoch + 1, _others(held.prior, last.name))
        for part, held in last.holdings.items()
    }
    return dataclasses.replace(
        mine,
        incarnation=incarnation,
        shares=last.shares,
        holdings=holdings,
        row=last.row,
    )


def _others(prior, name):
    """Return the earlier holders that are not of one entry."""
    return tuple((other, inc) for other, inc in prior if other != name)


def without(entry, mine):
    """Return an entry without what another one's row says it holds."""
    return dataclasses.replace(
        entry,
        shares={p: e for p, e in entry.shares.items() if p not in mine.shares},
        holdings={
            p: h for p, h in entry.holdings.items() if p not in mine.holdings
        },
    )
