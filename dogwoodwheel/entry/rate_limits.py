"""Keeps requests to endpoints within the rates that the endpoints name.

Notes
-----
Workload: endpoints in need name in their answers how many requests per second
they take from all entries together, often about one, while many entries send
them requests and demand exceeds the limits.  An entry's equal share of such a
limit is far below one request, so shares are not fixed: each entry counts the
requests of all entries in a token bucket for each limited endpoint.  It counts
its own requests at once, and those of a peer when the peer's next heartbeat
arrives.  Requests that entries send before they know of each other's make the
level negative, and are thus made up for.  As for customers' rates, each side
of a network partition uses its own fraction of the refill.

A limit holds until an answer of the endpoint names none.  For that, a few
requests are always sent: if a limit were forgotten while its endpoint is idle,
the next burst would reach the endpoint from all entries at once.
"""

import dataclasses
import math

from loguru import logger

__all__ = ["EndpointLimits", "LimitState"]

# Requests that an endpoint may get at once after it had none for a while:
# BURST, or those of BURST_S at its limit.
BURST = 3.0
BURST_S = 0.5
# Lowest level of a bucket: the requests of MAX_DEBT_S, and MAX_DEBT more.
MAX_DEBT_S = 4.0
MAX_DEBT = 4.0
# Requests per second that an endpoint gets even if its limit is lower, as only
# an answer can end a limit.
MIN_RATE = 0.1
# Peers are told of answers up to this age, so that entries that start learn
# the limits of idle endpoints.
MAX_REPORTED_AGE_S = 60.0
# An answer that a peer reports seems later than it was by the time that the
# heartbeat takes, up to about this time.
MAX_REPORT_DELAY_S = 0.2
# A limit is logged again if it has changed by more than this ratio.
LOGGED_CHANGE = 0.2


@dataclasses.dataclass
class LimitState:
    """The limit of an endpoint, and the requests that it still allows.

    Parameters
    ----------
    limit : float
        Requests per second over all entries.
    named_at : float
        Time of trio's clock of the newest answer that named the limit.
    level : float
        Requests that may be sent now; negative if too many were sent.
    refilled_at : float
        Time of trio's clock up to which `level` was refilled.
    logged_limit : float
        Value of `limit` in the last log line.
    """

    limit: float
    named_at: float
    level: float
    refilled_at: float
    logged_limit: float

    @property
    def rate(self):
        """Requests per second that all entries together send at most."""
        return max(self.limit, MIN_RATE)

    def refill(self, now, refill_fraction):
        """Add the requests that the limit allows since the last call."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.level = min(
            max(BURST, BURST_S * self.limit),
            self.level + elapsed_s * self.rate * refill_fraction,
        )
        self.refilled_at = now

    def charge(self, count):
        """Deduct requests that were sent."""
        self.level = max(
            -MAX_DEBT - MAX_DEBT_S * self.limit, self.level - count
        )


class EndpointLimits:
    """The limits that endpoints name, as far as this entry knows.

    Parameters
    ----------
    on_limit : callable
        Called without arguments for each endpoint that begins to name one.

    Attributes
    ----------
    sent : dict of str to int
        Number of requests that this entry has sent to each endpoint while
        the endpoint was limited.
    """

    def __init__(self, on_limit=lambda: None):
        self.sent = {}
        self._on_limit = on_limit
        self._states = {}
        # Newest answers that this entry has seen of endpoints that have named
        # a limit: the limit or None, and the time.
        self._answers = {}
        # Times of answers that ended a limit.
        self._ended_at = {}

    def record_answer(self, endpoint, limit, now):
        """Record an answer of an endpoint, with the limit it names or None."""
        if limit is not None or endpoint in self._states:
            self._answers[endpoint] = (limit, now)
            self._set(endpoint, limit, now, now, "answer")

    def record_sent(self, endpoint, now, refill_fraction):
        """Count a request that is sent to an endpoint.

        Returns
        -------
        bool
            Whether peers should be told at once, since the endpoint takes no
            further request now.
        """
        state = self._states.get(endpoint)
        if state is None:
            return False
        state.refill(now, refill_fraction)
        state.charge(1)
        self.sent[endpoint] = self.sent.get(endpoint, 0) + 1
        return state.level < 1.0

    def allows(self, endpoint, now, refill_fraction):
        """Return whether an endpoint may be sent a request now."""
        return self.wait_s([endpoint], now, refill_fraction) <= 0.0

    def wait_s(self, endpoints, now, refill_fraction, requests=1):
        """Return the time until endpoints may be sent requests, seconds.

        Parameters
        ----------
        endpoints : iterable of str
            Endpoints that are equally suited.
        now : float
            Current time of trio's clock, seconds.
        refill_fraction : float
            Fraction of the refill that this side of a network partition may
            use, 0 to 1.
        requests : int
            Number of requests that wait for any of the endpoints.

        Returns
        -------
        float
            0 if an endpoint has no limit; infinite if there are no endpoints.
        """
        rate = 0.0
        level = 0.0
        first_s = math.inf
        for endpoint in endpoints:
            state = self._states.get(endpoint)
            if state is None:
                return 0.0
            state.refill(now, refill_fraction)
            endpoint_rate = state.rate * refill_fraction
            rate += endpoint_rate
            level += state.level
            first_s = min(first_s, (1.0 - state.level) / endpoint_rate)
        if not rate:
            return math.inf
        return max(0.0, first_s, (requests - level) / rate)

    def limit(self, endpoint):
        """Return an endpoint's limit, requests per second, or None."""
        state = self._states.get(endpoint)
        return None if state is None else state.limit

    def report(self, now):
        """Return what peers should know, for a heartbeat.

        Returns
        -------
        dict of str to (float or None, float or None, int)
            By endpoint: limit in this entry's newest answer, age of that
            answer in seconds or None if there is no recent one, and number of
            requests sent.
        """
        self._answers = {
            endpoint: (limit, answered_at)
            for endpoint, (limit, answered_at) in self._answers.items()
            if now - answered_at <= MAX_REPORTED_AGE_S
            # A peer's newer answer has ended the limit.
            and (limit is None or endpoint in self._states)
        }
        reports = {
            endpoint: (None, None, sent)
            for endpoint, sent in self.sent.items()
        }
        for endpoint, (limit, answered_at) in self._answers.items():
            reports[endpoint] = (
                limit,
                round(now - answered_at, 3),
                self.sent.get(endpoint, 0),
            )
        return reports

    def record_peer_report(self, previous, reports, now, refill_fraction):
        """Add what a peer reported.

        Parameters
        ----------
        previous : dict or None
            The preceding report of the same process instance, or None.
        reports : dict
            As returned by `report`.
        now, refill_fraction : float
            As for `wait_s`.
        """
        for endpoint, (limit, age_s, sent) in reports.items():
            if age_s is not None:
                self._set(endpoint, limit, now - age_s, now, "peer")
            if previous is None:
                continue
            known = previous.get(endpoint, (None, 0.0, 0))[2]
            state = self._states.get(endpoint)
            if state is not None and sent > known:
                state.refill(now, refill_fraction)
                state.charge(sent - known)

    def retain(self, endpoints):
        """Keep only what is known of the given endpoints."""
        for values in (
            self.sent,
            self._states,
            self._answers,
            self._ended_at,
        ):
            for endpoint in values.keys() - endpoints.keys():
                del values[endpoint]

    def _set(self, endpoint, limit, answered_at, now, source):
        """Apply the limit of an answer, unless a newer answer is known."""
        state = self._states.get(endpoint)
        if state is None:
            known_at = self._ended_at.get(endpoint, -math.inf)
        else:
            known_at = state.named_at
        # A report about the time of a change may be older than it seems.
        is_change = state is None or limit is None
        if is_change and source == "peer":
            known_at += MAX_REPORT_DELAY_S
        if answered_at < known_at:
            return
        if limit is None:
            if state is not None:
                self._ended_at[endpoint] = answered_at
                self._end(endpoint, state, source)
            return
        if state is None:
            state = LimitState(limit, answered_at, 0.0, now, limit)
            self._states[endpoint] = state
            self._on_limit()
            self._log(endpoint, state, None, source)
            return
        state.named_at = answered_at
        state.limit = limit
        before = state.logged_limit
        if abs(limit - before) > LOGGED_CHANGE * before:
            state.logged_limit = limit
            self._log(endpoint, state, before, source)

    def _log(self, endpoint, state, before, source):
        logger.info(
            "limit: named",
            endpoint=endpoint,
            limit=state.limit,
            before=before,
            source=source,
        )

    def _end(self, endpoint, state, source):
        del self._states[endpoint]
        self.sent.pop(endpoint, None)
        logger.info(
            "limit: ended",
            endpoint=endpoint,
            before=state.limit,
            source=source,
        )
