"""Limits the number of retries over all entries."""

import collections

__all__ = ["RetryBudget"]

# Fraction of the fleet's slack that is divided among the entries.  The rest is
# reserved for retries of restarted entries, which have lost their counts.
SLACK_FRACTION = 0.6


class RetryBudget:
    """This entry's share of the fleet's retry budget.

    Parameters
    ----------
    ratio : float
        Number of retries allowed per request.
    slack : float
        Number of retries that the fleet may send in addition in a window.
    window_s : float
        Length of the sliding window in which requests and retries are
        counted, seconds.

    Notes
    -----
    Workload: endpoints fail a fraction of all requests while callers
    retry more often than they should.  The ratio applies to this entry's
    own requests, and the slack is divided evenly among the entries.  The
    retries of all entries thus stay within the fleet's budget without any
    communication between entries.
    """

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Count a request that a caller sent for a service."""
        self._requests[service].append(now)

    def try_acquire(self, service, now, entry_count):
        """Count a retry if the budget allows one; return whether it does.

        Parameters
        ----------
        service : str
        now : float
            Time of trio's clock.
        entry_count : int
            Number of entries among which the slack is divided.
        """
        requests = self._within_window(self._requests[service], now)
        retries = self._within_window(self._retries[service], now)
        entry_slack = max(
            1.0, self.slack * SLACK_FRACTION / max(1, entry_count)
        )
        if len(retries) + 1 > self.ratio * len(requests) + entry_slack:
            return False
        retries.append(now)
        return True

    def _within_window(self, times, now):
        """Remove times before the window, and return the others."""
        while times and times[0] < now - self.window_s:
            times.popleft()
        return times
