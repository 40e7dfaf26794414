"""Check what was spent in every window of time."""

import dataclasses

__all__ = ["BURST", "EPSILON", "RATE", "Spent", "left"]

RATE = 10.0
BURST = 160.0
EPSILON = 1e-3


@dataclasses.dataclass
class Spent:
    """Tokens of one charge, as they turned out."""

    at: float
    tokens: float
    entry: int
    number: int
    back: float = 0.0


def left(spent, now, refunds=None):
    """Check every window against rate * time + burst.

    Parameters
    ----------
    spent : list of Spent
    now : float
    refunds : dict of int to float, optional
        What further comes back, by charge.

    Returns
    -------
    float
        Tokens that all windows which end now still allow.

    Notes
    -----
    A window with too many tokens exists if and only if a bucket of the
    whole rate and burst, which starts full, runs out of them.
    """
    refunds = refunds or {}
    level, before = BURST, 0.0
    for one in sorted(spent, key=lambda one: one.at):
        level = min(level + RATE * (one.at - before), BURST)
        level -= one.tokens - one.back - refunds.get(one.number, 0.0)
        before = one.at
        assert level >= -EPSILON, f"{-level:.3f} tokens too many"
    return min(level + RATE * (now - before), BURST)
