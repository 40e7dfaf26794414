"""Ejects failing endpoints and decides when to probe them again."""

import enum
import random

__all__ = ["Health", "HealthState"]

STATUS_FAILURE_THRESHOLD = 2
REQUEST_FAILURE_THRESHOLD = 3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
SLOW_FACTOR = 4.0
MIN_SLOW_S = 1.0


class HealthState(enum.Enum):
    """Health of an endpoint as its owner judges it."""

    UNKNOWN = "unknown"
    HEALTHY = "good"
    EJECTED = "out"
    PROBING = "probe"


class Health:
    """Circuit breaker of one endpoint.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter.

    Notes
    -----
    An endpoint is ejected after `STATUS_FAILURE_THRESHOLD` consecutive
    status calls without an answer.  It is also ejected after
    `REQUEST_FAILURE_THRESHOLD` consecutive requests that were reset or
    late although status calls are answered: the endpoint may hang or
    have half-open connections.  After an exponential backoff with
    jitter, an answered status call starts probing: the endpoint gets
    one request at a time until one completes.
    """

    def __init__(self, rng=None):
        self.rng = rng or random.Random()
        self.state = HealthState.UNKNOWN
        self.reason = "its status is not known yet"
        self.unhealthy_since = None
        self._status_failures = 0
        self._request_failures = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = 0.0

    @property
    def accepts_requests(self):
        """Whether the endpoint may get any request."""
        return self.state in (HealthState.HEALTHY, HealthState.PROBING)

    @property
    def probing(self):
        """Whether the endpoint may get only one request at a time."""
        return self.state is HealthState.PROBING

    def on_status_answer(self, now):
        """Record that a status call was answered."""
        self._status_failures = 0
        if self.state is HealthState.UNKNOWN:
            self.state = HealthState.HEALTHY
            self.unhealthy_since = None
        elif self.state is HealthState.EJECTED and now >= self._retry_at:
            self.state = HealthState.PROBING

    def on_status_failure(self, now):
        """Record that a status call was not answered."""
        self._status_failures += 1
        if self._status_failures >= STATUS_FAILURE_THRESHOLD:
            self._eject("its status is not answered", now)

    def on_request_end(self, outcome, duration_s, mean_duration_s, now):
        """Record the outcome of a request.

        Parameters
        ----------
        outcome : str
            As in `dogwoodwheel.wire.messages.Done`.
        duration_s, mean_duration_s : float
            Duration of this request and mean duration of the requests
            at this endpoint; seconds, 0 where unknown.
        now : float
            Seconds, trio's clock.

        Notes
        -----
        A late request that had a short deadline is no evidence of a
        slow endpoint and counts as cancelled.
        """
        if outcome == "late":
            slow_s = max(MIN_SLOW_S, SLOW_FACTOR * mean_duration_s)
            outcome = outcome if duration_s >= slow_s else "cancelled"
        if outcome == "ok":
            self._request_failures = 0
            if self.state is HealthState.PROBING:
                self.state = HealthState.HEALTHY
                self.unhealthy_since = None
                self._backoff_s = INITIAL_BACKOFF_S
        elif outcome in ("reset", "late"):
            self._request_failures += 1
            failing = self._request_failures >= REQUEST_FAILURE_THRESHOLD
            if failing or self.state is HealthState.PROBING:
                self._eject(f"its requests end {outcome}", now)

    def on_restart(self):
        """Discard request failures of the endpoint's earlier process."""
        self._request_failures = 0
        if self.state is HealthState.EJECTED:
            self.state = HealthState.PROBING

    def compare_with_peers(self, token_time_s, median_s, now):
        """Eject the endpoint if it is far slower than its peers.

        Parameters
        ----------
        token_time_s, median_s : float
            Seconds per output token at this endpoint, and the median
            over its peers; per request for plain services; 0 where
            unknown.
        now : float
            Seconds, trio's clock.
        """
        known = token_time_s > 0 and median_s > 0
        slow = known and token_time_s > SLOW_FACTOR * median_s
        if slow and self.state is HealthState.HEALTHY:
            self._eject("it is slower than its peers", now)

    def _eject(self, reason, now):
        if self.state is HealthState.EJECTED:
            return
        if self.unhealthy_since is None:
            self.unhealthy_since = now
        self.state = HealthState.EJECTED
        self.reason = reason
        self._request_failures = 0
        self._retry_at = now + self._backoff_s * self.rng.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
