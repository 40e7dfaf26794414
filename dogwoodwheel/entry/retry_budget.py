"""Limits retries over all entries."""

import collections

__all__ = ["RetryBudget"]

# Fraction of the fleet's slack that is divided among the entries; the rest
# covers restarted entries, which have lost their counts of retries.
SLACK_FRACTION = 0.6


class RetryBudget:
    """This entry's share of the fleet's retry budget.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries of the whole fleet that are allowed without requests.
    window_s : float
        Length of the sliding window in which both are counted, seconds.

    Notes
    -----
    Workload: endpoints fail a fraction of all requests while callers
    retry more often than they should.  The ratio applies to this entry's
    own requests and the slack is divided evenly among the entries, so the
    sum over all entries stays within the fleet's budget without any
    communication between them.
    """

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Count a caller's request."""
        self._requests[service].append(now)

    def try_acquire(self, service, now, entries):
        """Count a retry if the budget allows it; return whether it does.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        entries : int
            Number of entries that share the slack.
        """
        requests = self._within_window(self._requests[service], now)
        retries = self._within_window(self._retries[service], now)
        slack = max(1.0, self.slack * SLACK_FRACTION / max(1, entries))
        if len(retries) + 1 > self.ratio * len(requests) + slack:
            return False
        retries.append(now)
        return True

    def _within_window(self, times, now):
        """Drop times before the window, and return the rest."""
        while times and times[0] < now - self.window_s:
            times.popleft()
        return times
