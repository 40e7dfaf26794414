"""What a model engine bears, from its fresh start on."""

__all__ = ["Warmth"]

COLD_SPEED = 0.3


class Warmth:
    """Requests in flight that an engine bears at its age.

    Notes
    -----
    It bears ``fresh`` at first, and twice as many whenever as many
    requests as it bears have been completed, up to ``concurrency``.
    """

    def __init__(self, fresh, concurrency):
        self.fresh = fresh
        self.concurrency = concurrency
        self.limit = min(fresh, concurrency)
        self.completed = 0
        self.speed = 1.0

    def complete(self):
        """Count a completed request."""
        self.completed += 1
        if self.completed < self.limit:
            return
        self.completed = 0
        self.limit = min(self.concurrency, 2 * self.limit)
        if self.limit == self.concurrency:
            self.speed = 1.0

    def chill(self):
        """Turn cold without a restart."""
        self.limit = min(self.fresh, self.concurrency)
        self.completed = 0
        self.speed = COLD_SPEED
