"""Estimate how many tokens a request will generate."""

import collections
import math

__all__ = ["DEFAULT_OUTPUT_TOKENS", "Estimator"]

DEFAULT_OUTPUT_TOKENS = 256
DEFAULT_QUANTILE = 0.8
MAX_SAMPLES = 32
PRIOR_SAMPLES = 16
MAX_SERIES = 20_000


class Estimator:
    """Estimate outputs from a customer's recent outputs of a model.

    Parameters
    ----------
    quantile : float
        Quantile of the recent outputs that is used as the estimate,
        0 to 1.

    Notes
    -----
    Only the last `MAX_SAMPLES` outputs of each customer and model are
    kept, so that an estimate follows a change in the requests quickly.

    Of many requests that start together the short ones end first, so
    the first known outputs are too low on average.  Until
    `PRIOR_SAMPLES` outputs are known, `DEFAULT_OUTPUT_TOKENS` therefore
    stands in for each missing one.

    When there are more than `MAX_SERIES` pairs of customer and model,
    the least recently updated pair is discarded.

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

    def __init__(self, quantile=DEFAULT_QUANTILE):
        self.quantile = quantile
        self._series = collections.OrderedDict()

    def observe(self, customer, model, output):
        """Record the actual output of a request, in tokens."""
        key = (customer, model)
        series = self._series.get(key)
        if series is None:
            series = collections.deque(maxlen=MAX_SAMPLES)
            self._series[key] = series
            if len(self._series) > MAX_SERIES:
                self._series.popitem(last=False)
        series.append(output)
        self._series.move_to_end(key)

    def estimate(self, customer, model, limit=0):
        """Return the estimated output of a request.

        Parameters
        ----------
        customer, model : str
        limit : int
            Maximum number of output tokens that the caller allows; 0 if
            the request has no limit.

        Returns
        -------
        int
            Tokens, at most the limit.
        """
        series = self._series.get((customer, model))
        tokens = self._quantile(series or ())
        return min(tokens, limit) if limit > 0 else tokens

    def _quantile(self, series):
        prior = [DEFAULT_OUTPUT_TOKENS] * (PRIOR_SAMPLES - len(series))
        samples = sorted([*series, *prior])
        index = math.ceil(self.quantile * len(samples)) - 1
        return samples[max(index, 0)]
