"""Memory of one endpoint: who must go so that another fits."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import slots as slot_books
from dogwoodwheel.engines import engine as engines
from dogwoodwheel.placement import records
from dogwoodwheel.placement import replica_selection

__all__ = ["Room"]

NO_ROOM_S = 1.0


class Room:
    """Makes room for replicas that were decided without memory.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    orders : dogwoodwheel.endpoints.orders.Orders

    Notes
    -----
    Only the owner knows what is in use, so it chooses what to evict.  A
    replica gets its reservation in the same write that checks the sum.
    """

    def __init__(self, owner, orders):
        self.owner = owner
        self.orders = orders
        self._since = {}
        self._strays = set()

    async def make(self, replica):
        """Reserve the memory of a wanted replica, or free some."""
        now = trio.current_time()
        found = self._evictions(replica)
        if not self.owner.usable():
            await self._give_up(replica, full=None)
            return
        if found is None:
            since = self._since.setdefault(replica.name, now)
            if now - since > NO_ROOM_S:
                await self._give_up(replica, full=True)
            return
        self._since.pop(replica.name, None)
        if found.fits_now:
            await self.orders.mark(replica.name, records.LOAD)
        await self._evict(found.names, replica.name)

    async def shed(self):
        """Evict where the declared memory has become smaller."""
        record = self.orders.book.record
        if record.reserved_mb <= self.owner.endpoint.memory_mb:
            return
        nothing = records.Replica("", "", 0, records.WANT)
        found = self._evictions(nothing)
        if found is not None:
            await self._evict(found.names, "less memory")

    async def follow_strays(self):
        """Report what no record names; unload it if memory is needed."""
        shown = self.orders.shown
        replicas = self.orders.book.replicas
        strays = set(shown.names) - set(replicas)
        for name in strays - self._strays:
            logger.warning(
                "placement: loaded without decision model={} endpoint={}",
                name,
                self.owner.endpoint.name,
            )
        self._strays = strays
        missing_mb = sum(
            replica.memory_mb
            for replica in replicas.values()
            if replica.state == records.LOAD and not shown.state(replica.name)
        )
        needed_mb = shown.others_mb("") + missing_mb
        if needed_mb <= self.owner.endpoint.memory_mb:
            return
        for name in strays:
            await self._unload_stray(shown.find(name))

    def _evictions(self, replica):
        return replica_selection.plan_evictions(
            self.orders.book.record,
            self.owner.endpoint.memory_mb,
            replica,
            self.owner.used_at,
            self.orders.in_use,
        )

    async def _evict(self, names, cause):
        for name in names:
            logger.info(
                "placement: evict model={} for={} endpoint={}",
                name,
                cause,
                self.owner.endpoint.name,
            )
            await self.orders.mark(name, records.UNLOAD)

    async def _give_up(self, replica, full):
        """Take back a replica that was never ordered."""
        self._since.pop(replica.name, None)
        await self.orders.book.drop(replica.name, full)
        self.owner.slots.refuse(
            slot_books.refusal(
                "endpoint_unavailable",
                f"no memory of {self.owner.endpoint.name} is free for "
                f"{replica.name}; try again later",
            ),
            replica.name,
        )
        self.orders.wake()

    async def _unload_stray(self, item):
        if self.orders.in_use(item.name) or item.state == engines.UNLOADING:
            return
        stray = records.Replica(
            item.name, item.version, item.memory_mb, records.UNLOAD, item.base
        )
        await self.orders.loader.order("unload", stray)
