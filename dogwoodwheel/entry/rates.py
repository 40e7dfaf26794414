"""Request rates of models, over all entries."""

import collections

__all__ = ["Rates"]

# Half-lives of the exponential averages, seconds: the shorter one decides
# which models are loaded, the longer one which may be evicted.
HALF_LIFE_S = 4.0
LONG_TERM_HALF_LIFE_S = 25.0


class Rates:
    """Requests a second for each model, over all entries.

    Attributes
    ----------
    has_requests : bool
        Whether any request was counted.
    """

    def __init__(self):
        self._rates = collections.defaultdict(float)
        self._long_term_rates = collections.defaultdict(float)
        self._totals = {}
        self._updated_at = None
        self.has_requests = False

    def update(self, totals, now):
        """Update the averages with the requests since the last update.

        Parameters
        ----------
        totals : dict of (str, str) to int
            Requests since the start of each process instance of an entry,
            by incarnation and model.
        now : float
            Seconds.
        """
        counts = collections.Counter()
        for key, total in totals.items():
            if key in self._totals or self._updated_at is None:
                counts[key[1]] += max(0, total - self._totals.get(key, total))
            else:
                counts[key[1]] += total
            self._totals[key] = total
            self.has_requests = True
        if self._updated_at is not None and now > self._updated_at:
            step_s = now - self._updated_at
            decay = 0.5 ** (step_s / HALF_LIFE_S)
            long_term_decay = 0.5 ** (step_s / LONG_TERM_HALF_LIFE_S)
            for name in set(self._rates) | set(counts):
                rate = counts[name] / step_s
                self._rates[name] += (rate - self._rates[name]) * (1 - decay)
                self._long_term_rates[name] += (
                    rate - self._long_term_rates[name]
                ) * (1 - long_term_decay)
        self._updated_at = now

    def long_term_rates(self):
        """Return rates by model, averaged over the longer half-life."""
        return dict(self._long_term_rates)

    def seed(self, rates):
        """Set initial rates for models that have no known requests."""
        for name, rate in rates.items():
            if not self._rates.get(name):
                self._rates[name] = rate

    def rates(self):
        """Return rates by model, averaged over the shorter half-life."""
        return dict(self._rates)
