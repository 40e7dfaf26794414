"""Remembers which endpoints have said in an answer that they leave.

Notes
-----
Workload: endpoints are replaced or removed, and say so in their answers
before their registrations do, or without a change of their registrations.
These may be read late, expire and come back, or be restored from an old copy
of the platform's store, and still call such an endpoint ready.  The word of
the endpoint itself is newer, and final for its incarnation.
"""

import dataclasses

from loguru import logger

__all__ = ["LeavingEndpoints", "Notice"]

# Time for which a notice is kept after the endpoint's registration was last
# seen, seconds.  The registration may come back meanwhile.
NOTICE_KEPT_S = 600.0


@dataclasses.dataclass(frozen=True)
class Notice:
    """What is known of an endpoint that leaves.

    Parameters
    ----------
    started_ms : int
        Unix time at which the incarnation that leaves started, milliseconds.
    is_own : bool
        Whether the endpoint has told this entry, rather than a peer.
    last_seen_at : float
        Time of trio's clock at which the endpoint was last registered.
    """

    started_ms: int
    is_own: bool
    last_seen_at: float


class LeavingEndpoints:
    """The endpoints that leave, as far as this entry knows.

    Parameters
    ----------
    on_leaving : callable
        Called without arguments for each endpoint that begins to leave.
    """

    def __init__(self, on_leaving=lambda: None):
        self._on_leaving = on_leaving
        self._notices = {}

    def record(self, endpoint_id, started_ms, now, is_own=True):
        """Record that an incarnation of an endpoint leaves.

        Parameters
        ----------
        endpoint_id : str
        started_ms : int
            Unix time at which the incarnation started, milliseconds.
        now : float
            Current time of trio's clock, seconds.
        is_own : bool
            Whether the endpoint has told this entry, rather than a peer.

        Returns
        -------
        bool
            Whether this is news.
        """
        previous = self._notices.get(endpoint_id)
        is_news = previous is None or previous.started_ms < started_ms
        if is_news:
            self._notices[endpoint_id] = Notice(started_ms, is_own, now)
            self._on_leaving()
            logger.info(
                "endpoint: leaving",
                endpoint=endpoint_id,
                started_ms=started_ms,
                source="answer" if is_own else "peer",
            )
        elif is_own and previous.started_ms == started_ms:
            self._notices[endpoint_id] = Notice(started_ms, True, now)
        return is_news

    def is_leaving(self, endpoint):
        """Return whether a registered endpoint has said that it leaves.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint

        Notes
        -----
        A registration that is older than the notice may be a restored copy.

        Examples
        --------
        >>> from dogwoodwheel.entry import datatypes
        >>> leaving = LeavingEndpoints()
        >>> leaving.record("i-1", 1000, now=0.0)
        True
        >>> old = datatypes.Endpoint("i-1", "s", "a:1", "z", started_ms=1000)
        >>> new = datatypes.Endpoint("i-1", "s", "a:1", "z", started_ms=1001)
        >>> leaving.is_leaving(old), leaving.is_leaving(new)
        (True, False)
        """
        notice = self._notices.get(endpoint.id)
        return notice is not None and endpoint.started_ms <= notice.started_ms

    def report(self, endpoints):
        """Return what peers should know, for a heartbeat.

        Parameters
        ----------
        endpoints : iterable of dogwoodwheel.entry.datatypes.Endpoint
            The registered endpoints.

        Returns
        -------
        dict of str to int
            By endpoint: start of the incarnation that leaves, as in `Notice`.
            Endpoints whose registrations tell the same are left out.
        """
        if not self._notices:
            return {}
        return {
            endpoint.id: self._notices[endpoint.id].started_ms
            for endpoint in endpoints
            if endpoint.ready
            and self.is_leaving(endpoint)
            and self._notices[endpoint.id].is_own
        }

    def retain(self, endpoint_ids, now):
        """Drop the notices of endpoints that are long gone.

        Parameters
        ----------
        endpoint_ids : container of str
            The registered endpoints.
        now : float
            Current time of trio's clock, seconds.
        """
        self._notices = {
            name: (
                dataclasses.replace(notice, last_seen_at=now)
                if name in endpoint_ids
                else notice
            )
            for name, notice in self._notices.items()
            if name in endpoint_ids
            or now - notice.last_seen_at <= NOTICE_KEPT_S
        }
