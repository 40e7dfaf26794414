"""The endpoints that this entry owns."""

import statistics

from loguru import logger
import trio

from dogwoodwheel.endpoints import owner as owner_module
from dogwoodwheel.endpoints import slot_scheduler as slot_scheduler_module

__all__ = ["OwnerRegistry"]

OUTLIER_CHECK_S = 2.0
MIN_COMPARED_ENDPOINTS = 3


class OwnerRegistry:
    """Starts and stops the owners of endpoints as the view changes.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits
    make_client : callable, optional
        ``make_client(endpoint)`` returns an
        `dogwoodwheel.engines.engine.EndpointClient`; for tests.
    """

    def __init__(self, fleet, table, load_permits, make_client=None):
        self.fleet = fleet
        self.table = table
        self.load_permits = load_permits
        self.make_client = make_client or (lambda endpoint: None)
        self._owners = {}
        self._cancel_scopes = {}
        self._released = set()
        self._nursery = None

    async def run(self):
        """Apply each change of the view until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._detect_outliers)
            while True:
                self.apply_view()
                await self.fleet.changed()

    def apply_view(self):
        """Start, update and stop owners to match the present view."""
        view = self.fleet.view
        if view.declaration is None or self._nursery is None:
            return
        owned = {}
        for name, endpoint in view.declaration.endpoints.items():
            entry, holding = view.owner_of(name)
            if entry is not None and entry.name == self.fleet.me:
                owned[name] = (endpoint, holding)
        self._released &= set(owned)
        for name in self._released:
            del owned[name]
        for name in list(self._owners):
            if not self._can_continue(name, owned.get(name)):
                self._stop_owner(name)
        for name, (endpoint, holding) in owned.items():
            if name in self._owners:
                self._owners[name].update(endpoint, holding)
            else:
                self._start_owner(endpoint, holding)

    def get(self, endpoint):
        """Return the `Owner` of an endpoint, or None."""
        return self._owners.get(endpoint)

    def all(self):
        """Return the owners at this entry, by endpoint."""
        return dict(self._owners)

    async def on_slot_ask(self, request):
        """Answer a `messages.SlotAsk`."""
        owner = self.get(request.endpoint)
        if owner is None:
            return slot_scheduler_module.not_owner_refusal(request.endpoint)
        return await owner.scheduler.request_slot(request)

    def on_done(self, msg):
        """Handle a `messages.Done`."""
        owner = self.get(msg.endpoint)
        if owner is not None:
            owner.scheduler.on_done(msg)

    def on_in_flight(self, msg):
        """Handle a `messages.InFlight` of an entry."""
        # The report may have been requested as soon as the view changed,
        # before the owner was started.
        self.apply_view()
        owner = self.get(msg.endpoint)
        if owner is not None:
            owner.scheduler.on_in_flight(msg)

    async def on_nudge(self, msg):
        """Read an endpoint's record again, for a `messages.Nudge`."""
        owner = self.get(msg.endpoint)
        if owner is not None:
            await owner.reconciler.reread_record()

    async def release(self, endpoints):
        """Stop owning endpoints; no order is on its way afterwards.

        Parameters
        ----------
        endpoints : sequence of str
        """
        self._released.update(endpoints)
        async with trio.open_nursery() as nursery:
            for name in endpoints:
                if name in self._owners:
                    nursery.start_soon(self._owners[name].reconciler.drain)
        for name in endpoints:
            if name in self._owners:
                self._stop_owner(name)

    def resume(self, endpoints):
        """Own released endpoints again if the view still assigns them."""
        self._released.difference_update(endpoints)
        self.apply_view()

    def status(self):
        """Return the state of each owned endpoint, for operators."""
        return {name: owner.describe() for name, owner in self._owners.items()}

    async def _detect_outliers(self):
        """Eject endpoints far slower than their peers, until cancelled."""
        while True:
            await trio.sleep(OUTLIER_CHECK_S)
            now = trio.current_time()
            times_by_service = {}
            for owner in self._owners.values():
                service = owner.endpoint.service
                times_by_service.setdefault(service, []).append(
                    owner.slots.mean_token_time_s
                )
            for owner in self._owners.values():
                known = list(
                    filter(None, times_by_service[owner.endpoint.service])
                )
                if len(known) >= MIN_COMPARED_ENDPOINTS:
                    median_s = statistics.median_low(known)
                    owner.health.compare_with_peers(
                        owner.slots.mean_token_time_s, median_s, now
                    )
            self._set_gauges()

    def _set_gauges(self):
        loaded_count = sum(
            owner.reconciler.is_ready(name)
            for owner in self._owners.values()
            for name in owner.reconciler.record_store.replicas
        )
        self.fleet.metrics.set_replicas_loaded(loaded_count)

    def _can_continue(self, name, assignment):
        """Return whether an owner may stay for an assignment of the view."""
        if assignment is None:
            return False
        endpoint, holding = assignment
        owner = self._owners[name]
        same_epoch = owner.epoch == holding.epoch
        return same_epoch and owner.endpoint.address == endpoint.address

    def _start_owner(self, endpoint, holding):
        owner = owner_module.Owner(
            self.fleet,
            self.table,
            self.load_permits,
            endpoint,
            holding,
            self.make_client(endpoint),
        )
        scope = trio.CancelScope()
        self._owners[endpoint.name] = owner
        self._cancel_scopes[endpoint.name] = scope
        self._nursery.start_soon(_run_within, scope, owner)

    def _stop_owner(self, name):
        logger.info("endpoint: ownership ended name={}", name)
        del self._owners[name]
        self._cancel_scopes.pop(name).cancel()


async def _run_within(scope, owner):
    with scope:
        await owner.run()
