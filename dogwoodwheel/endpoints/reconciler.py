"""Reconciles the models loaded at one endpoint with its record."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import loader as loader_module
from dogwoodwheel.endpoints import memory as memory_module
from dogwoodwheel.endpoints import record_store as record_store_module
from dogwoodwheel.endpoints import reported_state as reported_state_module
from dogwoodwheel.endpoints import slots as slots_module
from dogwoodwheel.engines import engine as engine_module
from dogwoodwheel import exceptions
from dogwoodwheel.placement import records

__all__ = ["Reconciler"]

RECONCILE_INTERVAL_S = 1.0
UNLOAD_REPEAT_S = 1.0
LOST_REPLICA_IDLE_S = 2.0
FIRST_EPOCH = 1


class Reconciler:
    """Orders loads and unloads until an endpoint matches its record.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits

    Attributes
    ----------
    record_store : dogwoodwheel.endpoints.record_store.RecordStore
    reported : dogwoodwheel.endpoints.reported_state.ReportedState
    loader : dogwoodwheel.endpoints.loader.Loader
    memory : dogwoodwheel.endpoints.memory.MemoryManager

    Notes
    -----
    The steps must run in this order to be safe:

    1. The owner claims the row with its epoch, after which no write of
       an earlier owner can take effect.
    2. Once orders of earlier owners can do no harm (see
       `Owner.fencing_permits_orders`), the owner reads the status.
    3. Only then does the owner send orders.

    A load is ordered only for a replica in the record.  A replica is
    removed from the record, which frees its memory, only after the
    endpoint accepted an unload order of this epoch and a later status
    no longer reports the replica.  The unload order has raised the
    endpoint's fencing token, so no older load order can take effect
    after the removal.
    """

    def __init__(self, owner, table, load_permits):
        self.owner = owner
        self.record_store = record_store_module.RecordStore(owner, table)
        self.reported = reported_state_module.ReportedState()
        self.loader = loader_module.Loader(
            owner, self.reported, self.record_store, load_permits
        )
        self.memory = memory_module.MemoryManager(owner, self)
        self._may_order_since = None
        self._fenced_incarnation = ""
        self._unload_accepted_at = {}
        self._wake_event = trio.Event()
        self._nursery = None

    async def run(self):
        """Reconcile until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.record_store.run, self.wake)
            while True:
                self._wake_event = trio.Event()
                try:
                    await self._reconcile()
                except exceptions.ConflictError:
                    self.owner.fleet.metrics.count_conflict()
                    await self.reread_record()
                except exceptions.PlatformError as exc:
                    logger.warning("endpoint: record not written: {}", exc)
                with trio.move_on_after(RECONCILE_INTERVAL_S):
                    await self._wake_event.wait()

    def wake(self):
        """Start the next reconciliation at once."""
        self._wake_event.set()

    def on_status(self, status, asked_at):
        """Store a newer status of the endpoint."""
        self.reported.update(status, asked_at)
        self.wake()

    def may_wait_for(self, model):
        """Return whether requests for a model may wait here."""
        if self.record_store.record is None:
            return self.reported.is_loaded(model)
        replica = self.record_store.replicas.get(model)
        if replica is None:
            return False
        return replica.state != records.UNLOAD or self._can_keep(replica)

    def is_ready(self, model):
        """Return whether a model is loaded and its record says so."""
        if not model:
            return True
        if self.record_store.record is None:
            return self.reported.is_loaded(model)
        replica = self.record_store.replicas.get(model)
        if replica is None or replica.state != records.LOAD:
            return False
        if replica.base and not self.is_ready(replica.base):
            return False
        return self.reported.is_loaded(model, replica.version)

    def describe(self):
        """Return the decided and the reported state of each replica."""
        names = sorted(
            {*self.record_store.replicas, *self.reported.model_names}
        )
        return {
            name: {
                "decided": getattr(
                    self.record_store.replicas.get(name), "state", ""
                ),
                "shown": self.reported.state(name),
            }
            for name in names
        }

    async def reread_record(self):
        """Read the record; keep the last one during an outage."""
        await self.record_store.read()
        self.wake()

    async def drain(self):
        """Send no more orders; return when none is on its way."""
        self.record_store.mark_superseded()
        await self.loader.drain()

    def in_use(self, name):
        """Return whether a replica or one of its adapters has a request."""
        names = [name]
        for replica in self.record_store.replicas.values():
            if replica.base == name:
                names.append(replica.name)
        return any(map(self.owner.scheduler.request_count, names))

    async def _reconcile(self):
        self._refuse_unloading()
        self.owner.scheduler.grant_slots()
        if not self.record_store.claimed:
            return
        if await self.record_store.save_status(self.reported.status):
            self.reported.mark_lost(self.record_store.replicas)
        if not self.may_order():
            return
        await self._raise_fencing_token()
        await self.memory.evict_excess()
        for replica in list(self.record_store.replicas.values()):
            if replica.state == records.WANT:
                await self.memory.reserve(replica)
            elif replica.state == records.LOAD:
                await self._reconcile_load(replica)
            else:
                await self._reconcile_unload(replica)
        await self.memory.handle_undecided()
        self.owner.scheduler.grant_slots()

    def may_order(self):
        """Return whether orders may be sent now.

        Notes
        -----
        A status read after the claim is required; without one, this
        requests a status call.
        """
        if (
            not self.record_store.claimed
            or not self.owner.fencing_permits_orders()
        ):
            self._may_order_since = None
            return False
        if self._may_order_since is None:
            self._may_order_since = trio.current_time()
            self.owner.request_poll()
        return self.reported.asked_at > self._may_order_since

    async def _raise_fencing_token(self):
        """Shut out late orders of earlier owners.

        Notes
        -----
        Done once for each process instance of the endpoint.
        """
        incarnation = self.reported.status.incarnation
        if (
            self.owner.epoch == FIRST_EPOCH
            or self._fenced_incarnation == incarnation
        ):
            return
        if self.owner.endpoint.fencing:
            await self.loader.raise_fencing_token()
        self._fenced_incarnation = incarnation

    def _refuse_unloading(self):
        """Refuse the requests that wait for a replica being unloaded."""
        for replica in self.record_store.replicas.values():
            if replica.state != records.UNLOAD or self._can_keep(replica):
                continue
            self.owner.slots.refuse(
                slots_module.make_refusal(
                    "endpoint_unavailable",
                    f"{replica.name} is being unloaded at "
                    f"{self.owner.endpoint.name}; try again",
                ),
                replica.name,
            )

    async def set_state(self, name, state):
        """Write a new state of a replica and reconcile soon."""
        await self.record_store.set_state(name, state)
        self.wake()

    async def _reconcile_load(self, replica):
        state = self.reported.state(replica.name)
        if not state:
            await self._load_or_unload(replica)
        elif state == engine_module.LOADING:
            self.loader.mark_busy(replica.name)
        elif state == engine_module.FAILED:
            logger.warning(
                "placement: load failed model={} endpoint={}",
                replica.name,
                self.owner.endpoint.name,
            )
            await self.set_state(replica.name, records.UNLOAD)
        elif state == engine_module.LOADED:
            self.loader.mark_idle(replica.name)
            if not self.reported.is_loaded(replica.name, replica.version):
                await self.set_state(replica.name, records.UNLOAD)

    async def _load_or_unload(self, replica):
        """Load a replica that is not reported, or mark it for unloading.

        Notes
        -----
        A replica lost in a restart is loaded again only if requests wait
        for that replica.  It is marked for unloading after
        `LOST_REPLICA_IDLE_S` without use.
        """
        name = replica.name
        if not self.owner.in_service():
            await self.set_state(name, records.UNLOAD)
            return
        if name in self.reported.lost and not self._has_waiting(name):
            if self._idle_s(name) > LOST_REPLICA_IDLE_S:
                await self.set_state(name, records.UNLOAD)
            return
        if not replica.base or self.is_ready(replica.base):
            self.loader.start_load(replica, self._nursery, self.may_order)

    def _has_waiting(self, name):
        slots = self.owner.slots
        adapters = (
            replica.name
            for replica in self.record_store.replicas.values()
            if replica.base == name
        )
        return any(slots.waiting_for(n) for n in (name, *adapters))

    def _idle_s(self, name):
        now = trio.current_time()
        return now - self.owner.last_used_at.setdefault(name, now)

    def _can_keep(self, replica):
        """Return whether an unload that was not ordered may be undone.

        Notes
        -----
        A request may arrive just after the decision to unload its idle
        replica; the replica is kept in that case.
        """
        return (
            replica.change not in self._unload_accepted_at
            and self.reported.status is not None
            and self.may_order()
            and self.reported.is_loaded(replica.name, replica.version)
            and not replica.base
            and self.owner.unavailable_reason() is None
            and self.owner.is_declared_version(replica)
            and self.record_store.record.reserved_mb
            <= self.owner.endpoint.memory_mb
        )

    async def _reconcile_unload(self, replica):
        if self.in_use(replica.name):
            if self._can_keep(replica):
                await self.set_state(replica.name, records.LOAD)
            return
        if any(
            r.base == replica.name for r in self.record_store.replicas.values()
        ):
            return
        name = replica.name
        now = trio.current_time()
        accepted_at = self._unload_accepted_at.get(replica.change)
        state = self.reported.state(name)
        repeat = state and now - (accepted_at or 0.0) > UNLOAD_REPEAT_S
        if not accepted_at or repeat:
            self._unload_accepted_at[replica.change] = 0.0
            self.loader.mark_busy(name)
            outcome = await self.loader.send_order("unload", replica)
            if outcome is loader_module.OrderOutcome.ACCEPTED:
                self._unload_accepted_at[replica.change] = trio.current_time()
            return
        newer_status = self.reported.asked_at > accepted_at
        if not state and newer_status and self.loader.no_late_load(name):
            await self._confirm_unload(replica)

    async def _confirm_unload(self, replica):
        await self.record_store.remove_replica(replica.name)
        logger.info(
            "placement: unload confirmed model={} endpoint={}",
            replica.name,
            self.owner.endpoint.name,
        )
        self._unload_accepted_at.pop(replica.change, None)
        self.loader.mark_idle(replica.name)
        self.reported.forget(replica.name)
        self.owner.last_used_at.pop(replica.name, None)
        self.wake()
