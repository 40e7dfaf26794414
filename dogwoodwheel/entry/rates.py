"""Measures the request rate of each model, over all entries."""

import collections

__all__ = ["RequestRates"]

# Half-lives of the two exponential averages of each rate, seconds.  The
# short-term average decides which models are loaded, the long-term average
# which models may be evicted.
SHORT_TERM_HALF_LIFE_S = 4.0
LONG_TERM_HALF_LIFE_S = 25.0


class RequestRates:
    """Request rate (per second) of each model, over all entries.

    Attributes
    ----------
    has_requests : bool
        Whether any entry has received a request.
    request_totals : collections.Counter
        Number of requests by model since this object was created.
    """

    def __init__(self):
        self._short_term_rates = collections.defaultdict(float)
        self._long_term_rates = collections.defaultdict(float)
        self.request_totals = collections.Counter()
        self._previous_totals = {}
        self._updated_at = None
        self.has_requests = False

    def update(self, totals, now):
        """Add the requests since the previous update to the averages.

        Parameters
        ----------
        totals : dict of (str, str) to int
            Number of requests since the start of an entry's process
            instance, by incarnation ("" for this entry) and model.
        now : float
            Current time of trio's clock, seconds.
        """
        new_requests = collections.Counter()
        for entry_and_model, total in totals.items():
            if (
                entry_and_model in self._previous_totals
                or self._updated_at is None
            ):
                new_requests[entry_and_model[1]] += max(
                    0,
                    total - self._previous_totals.get(entry_and_model, total),
                )
            else:
                new_requests[entry_and_model[1]] += total
            self._previous_totals[entry_and_model] = total
            self.has_requests = True
        self.request_totals.update(new_requests)
        if self._updated_at is not None and now > self._updated_at:
            elapsed_s = now - self._updated_at
            short_term_decay = 0.5 ** (elapsed_s / SHORT_TERM_HALF_LIFE_S)
            long_term_decay = 0.5 ** (elapsed_s / LONG_TERM_HALF_LIFE_S)
            for model_name in set(self._short_term_rates) | set(new_requests):
                rate = new_requests[model_name] / elapsed_s
                self._short_term_rates[model_name] += (
                    rate - self._short_term_rates[model_name]
                ) * (1 - short_term_decay)
                self._long_term_rates[model_name] += (
                    rate - self._long_term_rates[model_name]
                ) * (1 - long_term_decay)
        self._updated_at = now

    def long_term_rates(self):
        """Return the long-term average request rate (per second) by model."""
        return dict(self._long_term_rates)

    def set_initial(self, initial_rates):
        """Set short-term rates (per second) of models without requests."""
        for model_name, rate in initial_rates.items():
            if not self._short_term_rates.get(model_name):
                self._short_term_rates[model_name] = rate

    def short_term_rates(self):
        """Return the short-term average request rate (per second) by model."""
        return dict(self._short_term_rates)
