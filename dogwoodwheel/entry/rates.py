"""Measures the request rate of each model, over all entries."""

import collections

__all__ = ["RequestRates"]

# Half-lives of the two exponential averages of each rate, seconds.  The
# short-term average decides which models are loaded, the long-term average
# which models may be evicted.
HALF_LIFE_S = 4.0
LONG_TERM_HALF_LIFE_S = 25.0


class RequestRates:
    """Request rate of each model over all entries, requests a second.

    Attributes
    ----------
    has_requests : bool
        Whether any entry has received a request.
    """

    def __init__(self):
        self._short_term_rates = collections.defaultdict(float)
        self._long_term_rates = collections.defaultdict(float)
        self._totals = {}
        self._updated_at = None
        self.has_requests = False

    def update(self, totals, now):
        """Add the requests since the previous update to the averages.

        Parameters
        ----------
        totals : dict of (str, str) to int
            By incarnation of an entry and model: number of requests since
            that process instance of the entry started.
        now : float
            Time of trio's clock.
        """
        new_requests = collections.Counter()
        for entry_and_model, total in totals.items():
            if entry_and_model in self._totals or self._updated_at is None:
                new_requests[entry_and_model[1]] += max(
                    0, total - self._totals.get(entry_and_model, total)
                )
            else:
                new_requests[entry_and_model[1]] += total
            self._totals[entry_and_model] = total
            self.has_requests = True
        if self._updated_at is not None and now > self._updated_at:
            elapsed_s = now - self._updated_at
            short_term_decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
            long_term_decay = 0.5 ** (elapsed_s / LONG_TERM_HALF_LIFE_S)
            for name in set(self._short_term_rates) | set(new_requests):
                rate = new_requests[name] / elapsed_s
                self._short_term_rates[name] += (
                    rate - self._short_term_rates[name]
                ) * (1 - short_term_decay)
                self._long_term_rates[name] += (
                    rate - self._long_term_rates[name]
                ) * (1 - long_term_decay)
        self._updated_at = now

    def long_term_rates(self):
        """Return requests a second by model, averaged long-term."""
        return dict(self._long_term_rates)

    def set_initial(self, initial_rates):
        """Set rates, requests a second, of models without requests."""
        for name, rate in initial_rates.items():
            if not self._short_term_rates.get(name):
                self._short_term_rates[name] = rate

    def short_term_rates(self):
        """Return requests a second by model, averaged short-term."""
        return dict(self._short_term_rates)
