"""Memory of one endpoint: reservations and evictions."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import slots as slots_module
from dogwoodwheel.engines import engine as engine_module
from dogwoodwheel.placement import records
from dogwoodwheel.placement import replica_selection

__all__ = ["MemoryManager"]

MAX_MEMORY_WAIT_S = 1.0


class MemoryManager:
    """Reserves memory for replicas and evicts others to free it.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    reconciler : dogwoodwheel.endpoints.reconciler.Reconciler

    Notes
    -----
    A decider places a replica without a reservation.  Only the owner
    knows which replicas are in use, so the owner chooses the replicas
    to evict.  The write that reserves a replica's memory also checks
    the sum of all reservations.
    """

    def __init__(self, owner, reconciler):
        self.owner = owner
        self.reconciler = reconciler
        self._blocked_since = {}
        self._undecided = set()

    async def reserve(self, replica):
        """Reserve the memory of a replica, or evict others to free it."""
        now = trio.current_time()
        plan = self._plan_evictions(replica)
        if not self.owner.in_service():
            await self._withdraw(replica, full=None)
            return
        if plan is None:
            since = self._blocked_since.setdefault(replica.name, now)
            if now - since > MAX_MEMORY_WAIT_S:
                await self._withdraw(replica, full=True)
            return
        self._blocked_since.pop(replica.name, None)
        if plan.fits_now:
            await self.reconciler.set_state(replica.name, records.LOAD)
        await self._evict(plan.names, replica.name)

    async def evict_excess(self):
        """Evict replicas if the declared memory was reduced."""
        record = self.reconciler.record_store.record
        if record.reserved_mb <= self.owner.endpoint.memory_mb:
            return
        no_replica = records.Replica("", "", 0, records.WANT)
        plan = self._plan_evictions(no_replica)
        if plan is not None:
            await self._evict(plan.names, "less memory")

    async def handle_undecided(self):
        """Log models that no decision covers; unload them if need be.

        Notes
        -----
        They are unloaded only if the endpoint's memory cannot hold them
        beside the replicas in the record.
        """
        reported = self.reconciler.reported
        replicas = self.reconciler.record_store.replicas
        undecided = set(reported.model_names) - set(replicas)
        for name in undecided - self._undecided:
            logger.warning(
                "placement: loaded without decision model={} endpoint={}",
                name,
                self.owner.endpoint.name,
            )
        self._undecided = undecided
        missing_mb = sum(
            replica.memory_mb
            for replica in replicas.values()
            if replica.state == records.LOAD
            and not reported.state(replica.name)
        )
        needed_mb = reported.others_mb("") + missing_mb
        if needed_mb <= self.owner.endpoint.memory_mb:
            return
        for name in undecided:
            await self._unload_undecided(reported.find(name))

    def _plan_evictions(self, replica):
        return replica_selection.plan_evictions(
            self.reconciler.record_store.record,
            self.owner.endpoint.memory_mb,
            replica,
            self.owner.last_used_at,
            self.reconciler.in_use,
        )

    async def _evict(self, names, cause):
        for name in names:
            logger.info(
                "placement: evict model={} for={} endpoint={}",
                name,
                cause,
                self.owner.endpoint.name,
            )
            await self.reconciler.set_state(name, records.UNLOAD)

    async def _withdraw(self, replica, full):
        """Remove a replica for which no load was ordered."""
        self._blocked_since.pop(replica.name, None)
        await self.reconciler.record_store.remove_replica(replica.name, full)
        self.owner.slots.refuse(
            slots_module.make_refusal(
                "endpoint_unavailable",
                f"no memory of {self.owner.endpoint.name} is free for "
                f"{replica.name}; try again later",
            ),
            replica.name,
        )
        self.reconciler.wake()

    async def _unload_undecided(self, item):
        if (
            self.reconciler.in_use(item.name)
            or item.state == engine_module.UNLOADING
        ):
            return
        replica = records.Replica(
            item.name, item.version, item.memory_mb, records.UNLOAD, item.base
        )
        await self.reconciler.loader.send_order("unload", replica)
