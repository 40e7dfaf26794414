"""Slow start: the concurrency limit of an endpoint while it warms up."""

__all__ = ["Warmup"]

SLOW_SPEED = 0.5


class Warmup:
    """Limit on the number of requests in flight at an endpoint.

    Parameters
    ----------
    fresh_limit : int
        Limit of a freshly started endpoint.
    full_limit : int
        Limit of a warm endpoint.

    Notes
    -----
    The limit doubles each time ``limit`` requests have completed.  Only
    requests that complete under the present limit count towards the
    next one, so each increase is backed by requests that completed
    since the endpoint started.

    Examples
    --------
    >>> warmup = Warmup(1, 4)
    >>> warmup.record_completion()
    >>> warmup.limit
    2
    >>> warmup.reset()
    >>> warmup.limit
    1
    """

    def __init__(self, fresh_limit, full_limit):
        self.fresh_limit = max(1, min(fresh_limit, full_limit))
        self.full_limit = max(1, full_limit)
        self.limit = self.fresh_limit
        self.completed_requests = 0
        self.speed = 1.0

    @property
    def is_warm(self):
        """Whether the limit is the full one."""
        return self.limit >= self.full_limit

    def record_completion(self):
        """Count one completed request."""
        if self.is_warm:
            return
        self.completed_requests += 1
        if self.completed_requests >= self.limit:
            self.completed_requests = 0
            self.limit = min(self.limit * 2, self.full_limit)

    def reset(self):
        """Return to the limit of a fresh endpoint."""
        self.limit = self.fresh_limit
        self.completed_requests = 0

    def set_warm(self):
        """Use the full limit: this process instance is known to be warm."""
        self.limit = self.full_limit
        self.completed_requests = 0

    def set_limits(self, fresh_limit, full_limit):
        """Apply the limits of a newer declaration."""
        was_warm = self.is_warm
        self.fresh_limit = max(1, min(fresh_limit, full_limit))
        self.full_limit = max(1, full_limit)
        self.limit = (
            self.full_limit if was_warm else min(self.limit, self.full_limit)
        )

    def record_speed(self, speed):
        """Record the reported speed; return whether it dropped.

        Parameters
        ----------
        speed : float
            Fraction of the endpoint's full speed.

        Returns
        -------
        bool
            Whether the speed has just fallen below `SLOW_SPEED`.

        Notes
        -----
        Only the drop itself resets the limit: an endpoint that stays
        slow while it warms up must be able to reach a higher limit.
        """
        dropped = self.speed >= SLOW_SPEED > speed
        self.speed = speed
        if dropped:
            self.reset()
        return dropped
