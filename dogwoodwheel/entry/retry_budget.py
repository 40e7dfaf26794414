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
        Number of additional retries that the fleet may send per window.
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
        self._request_times = collections.defaultdict(collections.deque)
        self._retry_times = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Count a request that a caller sent for a service."""
        self._request_times[service].append(now)

    def try_acquire(self, service, now, entry_count):
        """Count a retry if the budget allows one; return whether it does.

        Parameters
        ----------
        service : str
        now : float
            Current time of trio's clock, seconds.
        entry_count : int
            Number of entries among which the slack is divided.
        """
        recent_requests = self._remove_expired(
            self._request_times[service], now
        )
        recent_retries = self._remove_expired(self._retry_times[service], now)
        entry_slack = max(
            1.0, self.slack * SLACK_FRACTION / max(1, entry_count)
        )
        if (
            len(recent_retries) + 1
            > self.ratio * len(recent_requests) + entry_slack
        ):
            return False
        recent_retries.append(now)
        return True

    def _remove_expired(self, times, now):
        """Remove the times before the window; return the remaining times."""
        while times and times[0] < now - self.window_s:
            times.popleft()
        return times
