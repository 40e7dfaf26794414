"""How often each model is asked for, over all entries."""

import collections

__all__ = ["Rates"]

# Demand is averaged over about these times, seconds: the shorter one for
# what is loaded, the longer one for what may make way.
RATE_HALF_LIFE_S = 4.0
SLOW_HALF_LIFE_S = 25.0


class Rates:
    """Requests a second for each model, over all entries.

    Attributes
    ----------
    is_known : bool
        Whether any request was counted.
    """

    def __init__(self):
        self._rates = collections.defaultdict(float)
        self._slow = collections.defaultdict(float)
        self._totals = {}
        self._at = None
        self.is_known = False

    def update(self, totals, now):
        """Take counts of requests since each incarnation's start.

        Parameters
        ----------
        totals : dict of (str, str) to int
            By incarnation and model.
        now : float
            Seconds.
        """
        gained = collections.Counter()
        for key, total in totals.items():
            if key in self._totals or self._at is None:
                gained[key[1]] += max(0, total - self._totals.get(key, total))
            else:
                gained[key[1]] += total
            self._totals[key] = total
            self.is_known = True
        if self._at is not None and now > self._at:
            step_s = now - self._at
            keep = 0.5 ** (step_s / RATE_HALF_LIFE_S)
            keep_slow = 0.5 ** (step_s / SLOW_HALF_LIFE_S)
            for name in set(self._rates) | set(gained):
                rate = gained[name] / step_s
                self._rates[name] += (rate - self._rates[name]) * (1 - keep)
                self._slow[name] += (rate - self._slow[name]) * (1 - keep_slow)
        self._at = now

    def slow(self):
        """Return rates by model, averaged over a longer time."""
        return dict(self._slow)

    def seed(self, rates):
        """Take rates for models of which no request is known yet."""
        for name, rate in rates.items():
            if not self._rates.get(name):
                self._rates[name] = rate

    def rates(self):
        """Return the rates by model."""
        return dict(self._rates)
