"""Whether an endpoint is left out, and when it is tried again."""

import enum
import random

__all__ = ["Health", "State"]

STATUS_FAILURES = 2
REQUEST_FAILURES = 3
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
LATE_FACTOR = 4.0
MIN_LATE_S = 1.0


class State(enum.Enum):
    """State of an endpoint as its owner sees it."""

    UNKNOWN = "unknown"
    GOOD = "good"
    OUT = "out"
    PROBE = "probe"


class Health:
    """Circuit breaker of one endpoint.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter.

    Notes
    -----
    Left out after `STATUS_FAILURES` unanswered status calls in a row,
    or `REQUEST_FAILURES` requests in a row that were reset or late
    although the status answers (hung or half-open).  After an
    exponential, jittered backoff a status answer lets it back for one
    request at a time, until one completes.
    """

    def __init__(self, rng=None):
        self.rng = rng or random.Random()
        self.state = State.UNKNOWN
        self.reason = "its status is not known yet"
        self.out_since = None
        self._status_failures = 0
        self._request_failures = 0
        self._backoff_s = BACKOFF_S
        self._retry_at = 0.0

    @property
    def usable(self):
        """Whether it may get any request."""
        return self.state in (State.GOOD, State.PROBE)

    @property
    def probing(self):
        """Whether it may get one request at a time only."""
        return self.state is State.PROBE

    def status_answered(self, now):
        """Learn that a status call was answered."""
        self._status_failures = 0
        if self.state is State.UNKNOWN:
            self.state = State.GOOD
            self.out_since = None
        elif self.state is State.OUT and now >= self._retry_at:
            self.state = State.PROBE

    def status_failed(self, now):
        """Learn that a status call was not answered."""
        self._status_failures += 1
        if self._status_failures >= STATUS_FAILURES:
            self._leave_out("its status is not answered", now)

    def request_ended(self, outcome, took_s, usual_s, now):
        """Learn how a request ended.

        Parameters
        ----------
        outcome : str
            As in `dogwoodwheel.wire.messages.Done`.
        took_s, usual_s : float
            What it took, and what requests take here; 0 where unknown.
        now : float

        Notes
        -----
        A late one that had little time says nothing of the endpoint.
        """
        if outcome == "late":
            fair_s = max(MIN_LATE_S, LATE_FACTOR * usual_s)
            outcome = outcome if took_s >= fair_s else "cancelled"
        if outcome == "ok":
            self._request_failures = 0
            if self.state is State.PROBE:
                self.state = State.GOOD
                self.out_since = None
                self._backoff_s = BACKOFF_S
        elif outcome in ("reset", "late"):
            self._request_failures += 1
            failing = self._request_failures >= REQUEST_FAILURES
            if failing or self.state is State.PROBE:
                self._leave_out(f"its requests end {outcome}", now)

    def restarted(self):
        """Forget failures of requests: another process answers now."""
        self._request_failures = 0
        if self.state is State.OUT:
            self.state = State.PROBE

    def compared(self, pace_s, peers_s, now):
        """Compare its pace with the median of its peers.

        Parameters
        ----------
        pace_s, peers_s : float
            Seconds a request; 0 where unknown.
        now : float
        """
        known = pace_s > 0 and peers_s > 0
        late = known and pace_s > LATE_FACTOR * peers_s
        if late and self.state is State.GOOD:
            self._leave_out("it is slower than its peers", now)

    def _leave_out(self, reason, now):
        if self.state is State.OUT:
            return
        if self.out_since is None:
            self.out_since = now
        self.state = State.OUT
        self.reason = reason
        self._request_failures = 0
        self._retry_at = now + self._backoff_s * self.rng.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
