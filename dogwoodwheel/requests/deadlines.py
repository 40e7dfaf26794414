"""Deadlines of requests."""

import trio

from dogwoodwheel.requests import refusals

__all__ = ["Deadline", "deadline_of"]

HEADER = b"x-deadline-ms"
MARGIN_FRACTION = 0.05
MAX_MARGIN_S = 0.25


class Deadline:
    """Time by which a request must be answered or refused.

    Parameters
    ----------
    allowed_s : float
        Time from now until the deadline, seconds.

    Attributes
    ----------
    allowed_s : float
    stop_at : float
        Time of trio's clock at which work must stop.  A margin before the
        deadline leaves time for a refusal to reach the caller.
    """

    def __init__(self, allowed_s):
        self.allowed_s = allowed_s
        margin = min(allowed_s * MARGIN_FRACTION, MAX_MARGIN_S)
        self.stop_at = trio.current_time() + allowed_s - margin

    def left_s(self):
        """Return the seconds until `stop_at`, at least 0."""
        return max(0.0, self.stop_at - trio.current_time())

    def passed(self):
        """Return whether `stop_at` has passed."""
        return self.left_s() <= 0


def deadline_of(headers, service):
    """Return the deadline of a request.

    Parameters
    ----------
    headers : dict of bytes to bytes
        ``X-Deadline-Ms`` holds the milliseconds from now.
    service : dogwoodwheel.declaration.datatypes.Service
        The service's ``deadline_s`` applies without the header, and its
        ``max_deadline_s`` is the maximum.

    Raises
    ------
    RefusedError
        If the header is not a whole number of milliseconds above 0.
    """
    header = headers.get(HEADER)
    if header is None:
        return Deadline(min(service.deadline_s, service.max_deadline_s))
    if not header.isdigit() or len(header) > 9 or int(header) == 0:
        raise refusals.refused(
            "bad_deadline",
            "X-Deadline-Ms must be a whole number of milliseconds above 0",
            400,
        )
    return Deadline(min(int(header) / 1000, service.max_deadline_s))
