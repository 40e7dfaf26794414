"""How many tokens a second a customer uses at this entry."""

import math

__all__ = ["Demand"]

DECAY_S = 3.0


class Demand:
    """Decayed mean of the tokens charged, in tokens a second.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.add(30, now=0.0)
    >>> demand.rate(now=0.0)
    10.0
    """

    def __init__(self):
        self._rate = 0.0
        self._at = 0.0

    def add(self, tokens, now):
        """Take in a charge at a monotonic time in seconds."""
        self._rate = self.rate(now) + tokens / DECAY_S
        self._at = now

    def rate(self, now):
        """Return the tokens a second at a monotonic time in seconds."""
        return self._rate * math.exp(min(self._at - now, 0.0) / DECAY_S)
