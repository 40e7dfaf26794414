"""How many requests an endpoint bears at its age."""

__all__ = ["Warmup"]

SLOW = 0.5


class Warmup:
    """Limit of an endpoint's requests in flight.

    Parameters
    ----------
    fresh : int
        Limit of a freshly started endpoint.
    full : int
        Limit of a warm one.

    Notes
    -----
    The limit doubles with each ``limit`` completed requests.  Only a
    request that completed under the present limit counts, so the limit
    is never above what the endpoint has earned since its start.

    Examples
    --------
    >>> warmup = Warmup(1, 4)
    >>> warmup.completed()
    >>> warmup.limit
    2
    >>> warmup.reset()
    >>> warmup.limit
    1
    """

    def __init__(self, fresh, full):
        self.fresh = max(1, min(fresh, full))
        self.full = max(1, full)
        self.limit = self.fresh
        self.count = 0
        self.speed = 1.0

    @property
    def warm(self):
        """Whether the limit is the full one."""
        return self.limit >= self.full

    def completed(self):
        """Count one completed request."""
        if self.warm:
            return
        self.count += 1
        if self.count >= self.limit:
            self.count = 0
            self.limit = min(self.limit * 2, self.full)

    def reset(self):
        """Go back to the limit of a fresh endpoint."""
        self.limit = self.fresh
        self.count = 0

    def skip(self):
        """Go to the full limit: this incarnation is known to be warm."""
        self.limit = self.full
        self.count = 0

    def resize(self, fresh, full):
        """Take limits of a newer declaration."""
        was_warm = self.warm
        self.fresh = max(1, min(fresh, full))
        self.full = max(1, full)
        self.limit = self.full if was_warm else min(self.limit, self.full)

    def report_speed(self, speed):
        """Learn the reported speed; return whether it dropped.

        Notes
        -----
        Only the drop sets the limit back: an endpoint that stays slow
        while it warms up must be able to earn a higher limit.
        """
        dropped = self.speed >= SLOW > speed
        self.speed = speed
        if dropped:
            self.reset()
        return dropped
