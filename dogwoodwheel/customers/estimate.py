"""Estimate how many tokens a request will generate."""

import collections
import math

__all__ = ["DEFAULT_OUTPUT_TOKENS", "Estimator"]

DEFAULT_OUTPUT_TOKENS = 256
QUANTILE = 0.8
SAMPLES = 32
PRIOR_SAMPLES = 16
MAX_SERIES = 20_000


class Estimator:
    """Estimates from the recent true outputs of a customer and a model.

    Parameters
    ----------
    quantile : float
        Part of the recent outputs that an estimate covers.

    Notes
    -----
    The last `SAMPLES` outputs of each pair are kept, so a change of
    habit shows soon.  Of many requests that start together the short
    ones end first, so the first outputs known are too low; the default
    stands in for the first `PRIOR_SAMPLES` until as many are known.
    The series used longest ago is forgotten when there are more than
    `MAX_SERIES`.

    Examples
    --------
    >>> est = Estimator()
    >>> est.estimate("shop", "frames", limit=100)
    100
    >>> for _ in range(20):
    ...     est.observe("shop", "frames", 40)
    >>> est.estimate("shop", "frames", limit=100)
    40
    """

    def __init__(self, quantile=QUANTILE):
        self.quantile = quantile
        self._series = collections.OrderedDict()

    def observe(self, customer, model, output):
        """Take in the true output of a request, tokens."""
        key = (customer, model)
        series = self._series.get(key)
        if series is None:
            series = collections.deque(maxlen=SAMPLES)
            self._series[key] = series
            if len(self._series) > MAX_SERIES:
                self._series.popitem(last=False)
        series.append(output)
        self._series.move_to_end(key)

    def estimate(self, customer, model, limit=0):
        """Return the estimated output.

        Parameters
        ----------
        customer, model : str
        limit : int
            Tokens that the caller allows; 0 where unsaid.

        Returns
        -------
        int
            Tokens, no more than the limit.
        """
        series = self._series.get((customer, model))
        guess = self._quantile(series or ())
        return min(guess, limit) if limit > 0 else guess

    def _quantile(self, series):
        prior = [DEFAULT_OUTPUT_TOKENS] * (PRIOR_SAMPLES - len(series))
        known = sorted([*series, *prior])
        index = math.ceil(self.quantile * len(known)) - 1
        return known[max(index, 0)]
