"""When an idle replica is unloaded.

Notes
-----
The ski-rental rule (Karlin et al., 1988): a replica that is kept as long
as its reload costs pays at most twice what hindsight would.  Operators
set ``idle_s`` of a model to that cost in their own terms; a replica
stays at least `FLOOR_S`, so that a load is never wasted on a pause
between two requests.  Memory that another model needs is taken earlier,
least recently used first, by the endpoint's owner.
"""

import dataclasses

__all__ = ["FLOOR_S", "Usage", "Usages"]

FLOOR_S = 2.0
STALE_S = 10.0


@dataclasses.dataclass(frozen=True)
class Usage:
    """What an owner told last about a replica.

    Parameters
    ----------
    idle_s : float
    waiting : int
    heard_at : float
        Seconds, trio's clock.
    """

    idle_s: float
    waiting: int
    heard_at: float


class Usages:
    """How much the replicas of the models decided here are used."""

    def __init__(self):
        self._usages = {}

    def touch(self, msg, now):
        """Learn from a `messages.Touch`."""
        key = (msg.model, msg.endpoint)
        self._usages[key] = Usage(msg.idle_s, msg.waiting, now)

    def waiting(self, model, endpoint):
        """Return the requests that waited when last told; 0 if unknown."""
        usage = self._usages.get((model, endpoint))
        return usage.waiting if usage else 0

    def idle_for(self, model, endpoint):
        """Return the idle seconds when last told; 0 if unknown."""
        usage = self._usages.get((model, endpoint))
        return usage.idle_s if usage else 0.0

    def idle(self, now, idle_s_of):
        """Return (model, endpoint) of replicas idle for too long.

        Parameters
        ----------
        now : float
        idle_s_of : callable
            ``idle_s_of(model)`` returns the seconds after which one is
            unloaded, or None for a model that is no longer declared.
        """
        found = []
        for (model, endpoint), usage in self._usages.items():
            bound = idle_s_of(model)
            bound = FLOOR_S if bound is None else max(bound, FLOOR_S)
            fresh = now - usage.heard_at < STALE_S
            if fresh and usage.idle_s > bound:
                found.append((model, endpoint))
        return found

    def forget(self, model, endpoint):
        """Forget a replica that is unloaded."""
        self._usages.pop((model, endpoint), None)

    def expire(self, now):
        """Forget what no owner tells about any more."""
        for key, usage in list(self._usages.items()):
            if now - usage.heard_at >= STALE_S:
                del self._usages[key]
