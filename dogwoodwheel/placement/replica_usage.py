"""Decides when an idle replica is unloaded, from usage reports.

Notes
-----
The rule is that of ski rental (Karlin et al., 1988): if an idle replica
is kept until its idle time has cost as much as a reload, the total cost
is at most twice that of the optimal decision made in hindsight.
Operators express the cost of a reload as the ``idle_s`` of a model.  A
replica is kept idle for at least `MIN_IDLE_S`, so that a short pause
between two requests does not cause a reload.  If another model needs the
memory, the endpoint's owner evicts replicas earlier, the least recently
used first.
"""

import dataclasses

__all__ = ["MIN_IDLE_S", "ReplicaUsage", "UsageTracker"]

MIN_IDLE_S = 2.0
USAGE_TTL_S = 10.0


@dataclasses.dataclass(frozen=True)
class ReplicaUsage:
    """Last usage report from an endpoint's owner about a replica.

    Parameters
    ----------
    idle_s : float
        Seconds since the last request; 0 while the replica is in use.
    waiting : int
        Requests in the replica's queue.
    received_at : float
        Time of the report, seconds on trio's clock.
    """

    idle_s: float
    waiting: int
    received_at: float


class UsageTracker:
    """Usage of the replicas of the models that this entry decides."""

    def __init__(self):
        self._usages = {}

    def record_usage(self, msg, now):
        """Record the usage report in a `messages.Touch`."""
        key = (msg.model, msg.endpoint)
        self._usages[key] = ReplicaUsage(msg.idle_s, msg.waiting, now)

    def waiting(self, model, endpoint):
        """Return the waiting requests last reported; 0 if unknown."""
        usage = self._usages.get((model, endpoint))
        return usage.waiting if usage else 0

    def idle_time_s(self, model, endpoint):
        """Return the idle seconds last reported; 0 if unknown."""
        usage = self._usages.get((model, endpoint))
        return usage.idle_s if usage else 0.0

    def find_idle(self, now, idle_s_of):
        """Return the replicas to unload, as pairs (model, endpoint).

        Parameters
        ----------
        now : float
            Seconds on trio's clock.
        idle_s_of : callable
            ``idle_s_of(model)`` returns the idle seconds after which a
            replica is unloaded, or None if the model is not declared.
        """
        idle_replicas = []
        for (model, endpoint), usage in self._usages.items():
            limit_s = idle_s_of(model)
            limit_s = (
                MIN_IDLE_S if limit_s is None else max(limit_s, MIN_IDLE_S)
            )
            fresh = now - usage.received_at < USAGE_TTL_S
            if fresh and usage.idle_s > limit_s:
                idle_replicas.append((model, endpoint))
        return idle_replicas

    def forget(self, model, endpoint):
        """Remove the usage of a replica that is unloaded."""
        self._usages.pop((model, endpoint), None)

    def expire(self, now):
        """Remove usage that no owner has reported for `USAGE_TTL_S`."""
        for key, usage in list(self._usages.items()):
            if now - usage.received_at >= USAGE_TTL_S:
                del self._usages[key]
