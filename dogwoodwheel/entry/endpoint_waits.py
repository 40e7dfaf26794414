"""Keeps requests from endpoints that want none for a time that they name.

Notes
-----
Workload: endpoints shed load, and turn requests of single entries away with
the time after which these may come back.  Until then such an endpoint is not
there for this entry: it is not selected, gets no reports and no orders, and
has not failed.  Other entries are not told, since the endpoint may serve them.

If all endpoints that are suited want nothing, a caller that can return in
time is refused at once with the time that is left.  A caller returns after
at most a third of its own time, so one that would come too early waits here
instead, provided that its deadline allows it.
"""

import dataclasses

from loguru import logger

from dogwoodwheel.entry import limit_waits
from dogwoodwheel.entry import load_waits
from dogwoodwheel.requests import refusals

__all__ = ["EndpointWaits", "Wait", "check_wait"]

# Longest wait that is observed, seconds.  An endpoint that names hours, by
# mistake or since it means another unit, would be lost to the entry until it
# restarts; after this time one of its answers can correct that.
MAX_WAIT_S = 300.0
# Largest part of its time for which a caller honours a Retry-After.
MAX_RETRY_AFTER_FRACTION = 1 / 3


@dataclasses.dataclass(frozen=True)
class Wait:
    """The time for which an endpoint wants no requests of this entry.

    Parameters
    ----------
    started_ms : int
        Unix time at which the incarnation of the endpoint that named the
        wait started, milliseconds.
    ends_at : float
        Time of trio's clock.
    """

    started_ms: int
    ends_at: float


class EndpointWaits:
    """The waits that endpoints have named to this entry.

    Parameters
    ----------
    on_wait : callable
        Called without arguments for each wait that begins.
    """

    def __init__(self, on_wait=lambda: None):
        self._on_wait = on_wait
        self._waits = {}

    def record(self, endpoint, wait_s, now):
        """Record that an endpoint wants no requests for some time.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        wait_s : float
            Time that the endpoint has named, seconds.  Answers overtake one
            another, so a wait is never made shorter.
        now : float
            Current time of trio's clock, seconds.
        """
        is_new = not self.wait_s(endpoint, now)
        previous = self._waits.get(endpoint.id)
        ends_at = now + min(wait_s, MAX_WAIT_S)
        if not is_new and previous.ends_at >= ends_at:
            return
        self._waits[endpoint.id] = Wait(endpoint.started_ms, ends_at)
        if is_new and wait_s:
            self._on_wait()
            logger.info(
                "endpoint: wait named",
                endpoint=endpoint.id,
                started_ms=endpoint.started_ms,
                named_s=wait_s,
                wait_s=round(ends_at - now, 3),
            )

    def wait_s(self, endpoint, now):
        """Return for how long an endpoint wants no requests, seconds.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        now : float
            Current time of trio's clock, seconds.

        Returns
        -------
        float
            0 if it has named no wait, or the wait has ended.

        Examples
        --------
        >>> from dogwoodwheel.entry import datatypes
        >>> waits = EndpointWaits()
        >>> old = datatypes.Endpoint("i-1", "s", "a:1", "z", started_ms=1000)
        >>> new = datatypes.Endpoint("i-1", "s", "a:1", "z", started_ms=1001)
        >>> waits.record(old, 3.0, now=10.0)
        >>> waits.wait_s(old, 11.0), waits.wait_s(new, 11.0)
        (2.0, 0.0)
        >>> waits.wait_s(old, 13.0)
        0.0
        """
        wait = self._waits.get(endpoint.id)
        if wait is None or endpoint.started_ms > wait.started_ms:
            return 0.0
        return max(0.0, wait.ends_at - now)

    def shortest_wait_s(self, endpoints, now):
        """Return the time until one of some endpoints wants requests, seconds.

        Parameters
        ----------
        endpoints : sequence of dogwoodwheel.entry.datatypes.Endpoint
        now : float
            Current time of trio's clock, seconds.

        Returns
        -------
        float
            0 if there are no endpoints, as then no wait is the reason.
        """
        return min((self.wait_s(e, now) for e in endpoints), default=0.0)

    def expire(self, now):
        """Drop the waits that have ended."""
        self._waits = {
            name: wait
            for name, wait in self._waits.items()
            if wait.ends_at > now
        }


def check_wait(requirements, wait_s, waited_s, left_s):
    """Refuse a request that should come back after the wait of endpoints.

    Parameters
    ----------
    requirements : dogwoodwheel.entry.endpoint_selection.Requirements
    wait_s : float
        Time until a suited endpoint wants requests, seconds.
    waited_s : float
        Time for which the request has waited, seconds.
    left_s : float
        Time until the request must be sent, seconds.

    Raises
    ------
    RefusedError
        Unless the request waits.
    """
    total_wait_s = wait_s + waited_s
    deadline_s = requirements.request_headers.deadline_s
    returns_early = (
        deadline_s is not None
        and total_wait_s > MAX_RETRY_AFTER_FRACTION * deadline_s
    )
    is_short = total_wait_s <= limit_waits.max_wait_s(
        requirements.target_latency_s
    )
    if wait_s <= left_s and (returns_early or is_short):
        return
    raise refusals.refused(
        "endpoints_wait",
        f"the endpoints of {requirements.waiting_name} want no requests for "
        f"{wait_s:.1f} s; come back then",
        503,
        retry_after_s=max(wait_s, load_waits.MIN_RETRY_AFTER_S),
    )
