"""Measure how many tokens per second a customer uses at this entry."""

import math

__all__ = ["Demand"]

DECAY_TIME_S = 3.0


class Demand:
    """Exponentially decaying mean of the charged tokens per second.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.add(30, now=0.0)
    >>> demand.rate(now=0.0)
    10.0
    """

    def __init__(self):
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, tokens, now):
        """Record a charge made at a monotonic time in seconds."""
        self._rate = self.rate(now) + tokens / DECAY_TIME_S
        self._updated_at = now

    def rate(self, now):
        """Return the tokens per second at a monotonic time in seconds."""
        return self._rate * math.exp(
            min(self._updated_at - now, 0.0) / DECAY_TIME_S
        )
