"""Remembers how long the requests of each route took.

Notes
-----
Workload: an entry stops while callers still send requests on connections that
they keep open.  A request that takes longer than the entry has left is better
refused at once, since another entry can answer it.
"""

import collections

__all__ = ["RequestDurations"]

# Number of the newest requests of a route that are remembered.
MAX_REQUESTS = 64
# The expected duration is exceeded by one request in ten.
EXPECTED_QUANTILE = 0.9


class RequestDurations:
    """Durations of the newest requests that were answered, by route."""

    def __init__(self):
        self._durations = {}

    def record(self, route, duration_s):
        """Record that a request was answered whole.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_s : float
            Time from the request's head to the end of its answer, seconds.
        """
        durations = self._durations.setdefault(
            route, collections.deque(maxlen=MAX_REQUESTS)
        )
        durations.append(duration_s)

    def expected_s(self, route, default_s):
        """Return how long a request may take, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        default_s : float
            Returned if no request of the route was answered yet.

        Examples
        --------
        >>> durations = RequestDurations()
        >>> for duration_s in range(1, 11):
        ...     durations.record("orders", duration_s)
        >>> durations.expected_s("orders", 0.4)
        10
        >>> durations.expected_s("stock", 0.4)
        0.4
        """
        durations = sorted(self._durations.get(route, ()))
        if not durations:
            return default_s
        return durations[int(EXPECTED_QUANTILE * len(durations))]

    def retain(self, routes):
        """Forget all routes but some.

        Parameters
        ----------
        routes : container of str
        """
        for route in self._durations.keys() - set(routes):
            del self._durations[route]
