"""How many requests a cold endpoint gets, decided at each entry alone.

Notes
-----
Load pattern: endpoints come back cold under full traffic, and crash
where all entries send them what they send a warm one.  Each cold
endpoint may be used by as many entries as it bears requests a second,
chosen by rendezvous, and each of these sends it one a second.
"""

from dogwoodwheel.membership import view

__all__ = ["ColdEndpointLimiter", "is_assigned"]

# Pause between two requests of one entry to a cold endpoint, a tenth
# longer than a second so that two never fall into one.
PAUSE_S = 1.1


def is_assigned(entry, entries, endpoint, per_s):
    """Tell whether an entry is among those that may use a cold endpoint.

    Parameters
    ----------
    entry : str
    entries : iterable of str
        All entries that may be alive.
    endpoint : str
    per_s : float
        Requests a second that the endpoint bears.
    """
    ranked = sorted(
        set(entries) | {entry}, key=lambda n: view.rank(n, endpoint)
    )
    return entry in ranked[: int(per_s)]


class ColdEndpointLimiter:
    """When this entry last used each cold endpoint."""

    def __init__(self):
        self._last = {}

    def allows(self, endpoint, now):
        """Tell whether a request may go to a cold endpoint now."""
        return now - self._last.get(endpoint, -PAUSE_S) >= PAUSE_S

    def record_request(self, endpoint, now):
        """Note a request to a cold endpoint."""
        self._last[endpoint] = now
