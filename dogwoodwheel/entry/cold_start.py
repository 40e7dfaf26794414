"""Limits the requests that this entry sends to cold endpoints.

Notes
-----
Workload: endpoints restart cold under full traffic and crash if every entry
sends them as many requests as it sends to a warm endpoint.  If a cold endpoint
can serve N requests per second, rendezvous hashing assigns N entries to the
endpoint, and each of the N entries sends the endpoint at most one request per
second.  Each entry decides this without communicating with the others.
"""

from dogwoodwheel.membership import view

__all__ = ["ColdEndpointLimiter", "is_assigned"]

# Minimum time between two requests of an entry to a cold endpoint, seconds.
# The time exceeds 1 s, so that no second contains two requests.
MIN_REQUEST_INTERVAL_S = 1.1


def is_assigned(entry_name, entry_names, endpoint_name, requests_per_s):
    """Return whether an entry may send requests to a cold endpoint.

    Parameters
    ----------
    entry_name : str
    entry_names : iterable of str
        Names of all entries that may be alive.
    endpoint_name : str
        Name of the cold endpoint.
    requests_per_s : float
        Request rate (per second) that the cold endpoint can serve.
    """
    ranked_entries = sorted(
        set(entry_names) | {entry_name},
        key=lambda name: view.rendezvous_score(name, endpoint_name),
    )
    return entry_name in ranked_entries[: int(requests_per_s)]


class ColdEndpointLimiter:
    """Limits this entry's rate of requests to each cold endpoint."""

    def __init__(self):
        self._last_request_at = {}

    def allows(self, endpoint_name, now):
        """Return whether this entry may send a cold endpoint a request now."""
        return (
            now
            - self._last_request_at.get(endpoint_name, -MIN_REQUEST_INTERVAL_S)
            >= MIN_REQUEST_INTERVAL_S
        )

    def record_request(self, endpoint_name, now):
        """Record a request that is sent to a cold endpoint."""
        self._last_request_at[endpoint_name] = now
