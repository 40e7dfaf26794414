"""How many requests may be sent again, over all entries."""

import collections

__all__ = ["RetryBudget"]

# Part of the fleet's slack that entries share out; the rest covers an
# entry that starts again and has forgotten what it sent.
SLACK_PART = 0.6


class RetryBudget:
    """This entry's part of the fleet's budget of retries.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Retries of the whole fleet that need no request.
    window_s : float
        Seconds over which both count.

    Notes
    -----
    Load pattern: endpoints fail part of all requests while callers
    repeat more often than told.  The ratio is of this entry's own
    requests and the slack is shared out evenly, so the sum over all
    entries keeps the fleet's budget without a word between them.
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
        """Take one retry; return False where none is left.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        entries : int
            Entries that share the slack.
        """
        requests = self._recent(self._requests[service], now)
        retries = self._recent(self._retries[service], now)
        slack = max(1.0, self.slack * SLACK_PART / max(1, entries))
        if len(retries) + 1 > self.ratio * len(requests) + slack:
            return False
        retries.append(now)
        return True

    def _recent(self, times, now):
        while times and times[0] < now - self.window_s:
            times.popleft()
        return times
