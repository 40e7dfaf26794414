"""Limits requests to cold endpoints, at each entry on its own.

Notes
-----
Workload: endpoints return cold under full traffic and crash if each entry
sends them as many requests as a warm endpoint.  Rendezvous hashing
assigns to each cold endpoint as many entries as the number of requests a
second that the endpoint can serve; each of these entries sends at most
one request a second to the endpoint.
"""

from dogwoodwheel.membership import view

__all__ = ["ColdEndpointLimiter", "is_assigned"]

# Minimum time between two requests of one entry to a cold endpoint,
# seconds: longer than 1 s, so that no second contains two of them.
MIN_INTERVAL_S = 1.1


def is_assigned(entry, entries, endpoint, requests_per_s):
    """Return whether an entry may send requests to a cold endpoint.

    Parameters
    ----------
    entry : str
    entries : iterable of str
        All entries that may be alive.
    endpoint : str
    requests_per_s : float
        Requests a second that the cold endpoint can serve.
    """
    ranked = sorted(
        set(entries) | {entry},
        key=lambda n: view.rendezvous_score(n, endpoint),
    )
    return entry in ranked[: int(requests_per_s)]


class ColdEndpointLimiter:
    """Limits the rate at which this entry uses each cold endpoint."""

    def __init__(self):
        self._last_request_at = {}

    def allows(self, endpoint, now):
        """Return whether a cold endpoint may get a request now."""
        return (
            now - self._last_request_at.get(endpoint, -MIN_INTERVAL_S)
            >= MIN_INTERVAL_S
        )

    def record_request(self, endpoint, now):
        """Record a request that is sent to a cold endpoint."""
        self._last_request_at[endpoint] = now
