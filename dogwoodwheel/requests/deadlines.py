"""Deadlines of requests."""

import trio

from dogwoodwheel.requests import refusals

__all__ = ["Deadline", "deadline_of"]

HEADER = b"x-deadline-ms"
MARGIN = 0.05
MAX_MARGIN_S = 0.25


class Deadline:
    """The moment by which a request must have an answer or a refusal.

    Parameters
    ----------
    allowed_s : float
        Seconds from now.

    Attributes
    ----------
    allowed_s : float
    at : float
        Time of trio's clock at which work must stop: somewhat before
        the deadline, so that a refusal still comes in time.
    """

    def __init__(self, allowed_s):
        self.allowed_s = allowed_s
        margin = min(allowed_s * MARGIN, MAX_MARGIN_S)
        self.at = trio.current_time() + allowed_s - margin

    def left_s(self):
        """Return the seconds that are left, never below 0."""
        return max(0.0, self.at - trio.current_time())

    def passed(self):
        """Tell whether no time is left."""
        return self.left_s() <= 0


def deadline_of(headers, service):
    """Return the deadline of a request.

    Parameters
    ----------
    headers : dict of bytes to bytes
        ``X-Deadline-Ms`` names milliseconds from now.
    service : dogwoodwheel.declaration.model.Service
        Gives the default and the bound.

    Raises
    ------
    RefusedError
        If the header is malformed.
    """
    given = headers.get(HEADER)
    if given is None:
        return Deadline(min(service.deadline_s, service.max_deadline_s))
    if not given.isdigit() or len(given) > 9 or int(given) == 0:
        raise refusals.refused(
            "bad_deadline",
            "X-Deadline-Ms must be a whole number of milliseconds above 0",
            400,
        )
    return Deadline(min(int(given) / 1000, service.max_deadline_s))
