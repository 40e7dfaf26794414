"""What one endpoint must load and unload to match its record."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import book as books
from dogwoodwheel.endpoints import loader as loaders
from dogwoodwheel.endpoints import room as rooms
from dogwoodwheel.endpoints import shown as showns
from dogwoodwheel.endpoints import slots as slot_books
from dogwoodwheel.engines import engine as engines
from dogwoodwheel import exceptions
from dogwoodwheel.placement import records

__all__ = ["Orders"]

RECONCILE_S = 1.0
REPEAT_S = 1.0
UNWANTED_S = 2.0
FIRST_EPOCH = 1


class Orders:
    """Makes an endpoint match its record, for its owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits

    Notes
    -----
    The order of the steps keeps the promises.  An owner first claims
    the row with its epoch, so that no write of an earlier owner can
    take effect any more; then, when the endpoint's fence permits it, it
    reads the status; then only it orders.  A load is ordered for a
    replica in the record only.  A replica leaves the record, and its
    memory is free, only after an unload order of this epoch was taken
    and a status asked for later does not show it: that order has raised
    the endpoint's fence, so no older load can arrive any more.
    """

    def __init__(self, owner, table, load_permits):
        self.owner = owner
        self.book = books.Book(owner, table)
        self.shown = showns.Shown()
        self.loader = loaders.Loader(
            owner, self.shown, self.book, load_permits
        )
        self.room = rooms.Room(owner, self)
        self._may_order_at = None
        self._fenced = ""
        self._unloads = {}
        self._dirty = trio.Event()
        self._nursery = None

    async def run(self):
        """Reconcile until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.book.run, self.wake)
            while True:
                self._dirty = trio.Event()
                try:
                    await self._reconcile()
                except exceptions.ConflictError:
                    self.owner.fleet.metrics.count_conflict()
                    await self.read_now()
                except exceptions.PlatformError as exc:
                    logger.warning("endpoint: record not written: {}", exc)
                with trio.move_on_after(RECONCILE_S):
                    await self._dirty.wait()

    def wake(self):
        """Reconcile soon."""
        self._dirty.set()

    def learn(self, status, asked_at):
        """Take a newer status of the endpoint."""
        self.shown.learn(status, asked_at)
        self.wake()

    def decided(self, model):
        """Tell whether requests for a model may wait here."""
        if self.book.record is None:
            return self.shown.ready(model)
        replica = self.book.replicas.get(model)
        if replica is None:
            return False
        return replica.state != records.UNLOAD or self._revivable(replica)

    def ready(self, model):
        """Tell whether a model is loaded, and decided to be."""
        if not model:
            return True
        if self.book.record is None:
            return self.shown.ready(model)
        replica = self.book.replicas.get(model)
        if replica is None or replica.state != records.LOAD:
            return False
        if replica.base and not self.ready(replica.base):
            return False
        return self.shown.ready(model, replica.version)

    def describe(self):
        """Return the decided and the shown state of each replica."""
        names = sorted({*self.book.replicas, *self.shown.names})
        return {
            name: {
                "decided": getattr(self.book.replicas.get(name), "state", ""),
                "shown": self.shown.state(name),
            }
            for name in names
        }

    async def read_now(self):
        """Read the record; keep the last one in an outage."""
        await self.book.read()
        self.wake()

    async def finish(self):
        """Give no more orders; return when none is under way."""
        self.book.superseded()
        await self.loader.finish()

    def in_use(self, name):
        """Tell whether a replica, or an adapter of it, has a request."""
        names = [name]
        for replica in self.book.replicas.values():
            if replica.base == name:
                names.append(replica.name)
        return any(map(self.owner.grants.known, names))

    async def _reconcile(self):
        self._refuse_unloading()
        self.owner.grants.pump()
        if not self.book.claimed:
            return
        if await self.book.save_facts(self.shown.status):
            self.shown.lose_all(self.book.replicas)
        if not self.may_order():
            return
        await self._raise_fence()
        await self.room.shed()
        for replica in list(self.book.replicas.values()):
            if replica.state == records.WANT:
                await self.room.make(replica)
            elif replica.state == records.LOAD:
                await self._follow_load(replica)
            else:
                await self._follow_unload(replica)
        await self.room.follow_strays()
        self.owner.grants.pump()

    def may_order(self):
        """Tell whether orders may be given now."""
        if not self.book.claimed or not self.owner.fence_open():
            self._may_order_at = None
            return False
        if self._may_order_at is None:
            self._may_order_at = trio.current_time()
            self.owner.poll()
        return self.shown.asked_at > self._may_order_at

    async def _raise_fence(self):
        """Shut out late orders of an earlier owner, once a process."""
        incarnation = self.shown.status.incarnation
        if self.owner.epoch == FIRST_EPOCH or self._fenced == incarnation:
            return
        if self.owner.endpoint.fencing:
            await self.loader.raise_fence()
        self._fenced = incarnation

    def _refuse_unloading(self):
        for replica in self.book.replicas.values():
            if replica.state != records.UNLOAD or self._revivable(replica):
                continue
            self.owner.slots.refuse(
                slot_books.refusal(
                    "endpoint_unavailable",
                    f"{replica.name} is being unloaded at "
                    f"{self.owner.endpoint.name}; try again",
                ),
                replica.name,
            )

    async def mark(self, name, state):
        """Write another state of a replica, and act on it."""
        await self.book.mark(name, state)
        self.wake()

    async def _follow_load(self, replica):
        state = self.shown.state(replica.name)
        if not state:
            await self._load_or_give_up(replica)
        elif state == engines.LOADING:
            self.loader.busy(replica.name)
        elif state == engines.FAILED:
            logger.warning(
                "placement: load failed model={} endpoint={}",
                replica.name,
                self.owner.endpoint.name,
            )
            await self.mark(replica.name, records.UNLOAD)
        elif state == engines.LOADED:
            self.loader.idle(replica.name)
            if not self.shown.ready(replica.name, replica.version):
                await self.mark(replica.name, records.UNLOAD)

    async def _load_or_give_up(self, replica):
        """Load, but what a restart lost only where it is wanted."""
        name = replica.name
        if not self.owner.usable():
            await self.mark(name, records.UNLOAD)
            return
        if name in self.shown.lost and not self._wanted(name):
            if self._unused_s(name) > UNWANTED_S:
                await self.mark(name, records.UNLOAD)
            return
        if not replica.base or self.ready(replica.base):
            self.loader.start(replica, self._nursery, self.may_order)

    def _wanted(self, name):
        slots = self.owner.slots
        adapters = (
            replica.name
            for replica in self.book.replicas.values()
            if replica.base == name
        )
        return any(slots.waiting_for(n) for n in (name, *adapters))

    def _unused_s(self, name):
        now = trio.current_time()
        return now - self.owner.used_at.setdefault(name, now)

    def _revivable(self, replica):
        """Tell whether an unload that was not ordered may be undone.

        Notes
        -----
        A request may come just as its idle replica is decided to be
        unloaded; then the replica stays.
        """
        return (
            replica.change not in self._unloads
            and self.shown.status is not None
            and self.may_order()
            and self.shown.ready(replica.name, replica.version)
            and not replica.base
            and self.owner.closed_reason() is None
            and self.owner.declares(replica)
            and self.book.record.reserved_mb <= self.owner.endpoint.memory_mb
        )

    async def _follow_unload(self, replica):
        if self.in_use(replica.name):
            if self._revivable(replica):
                await self.mark(replica.name, records.LOAD)
            return
        if any(r.base == replica.name for r in self.book.replicas.values()):
            return
        name = replica.name
        now = trio.current_time()
        taken_at = self._unloads.get(replica.change)
        state = self.shown.state(name)
        repeat = state and now - (taken_at or 0.0) > REPEAT_S
        if not taken_at or repeat:
            self._unloads[replica.change] = 0.0
            self.loader.busy(name)
            outcome = await self.loader.order("unload", replica)
            if outcome is loaders.Outcome.TAKEN:
                self._unloads[replica.change] = trio.current_time()
            return
        later = self.shown.asked_at > taken_at
        if not state and later and self.loader.settled(name):
            await self._confirmed(replica)

    async def _confirmed(self, replica):
        await self.book.drop(replica.name)
        logger.info(
            "placement: unload confirmed model={} endpoint={}",
            replica.name,
            self.owner.endpoint.name,
        )
        self._unloads.pop(replica.change, None)
        self.loader.idle(replica.name)
        self.shown.forget(replica.name)
        self.owner.used_at.pop(replica.name, None)
        self.wake()
