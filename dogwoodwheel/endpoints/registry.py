"""The endpoints that this entry owns."""

import statistics

from loguru import logger
import trio

from dogwoodwheel.endpoints import grants
from dogwoodwheel.endpoints import owner as owners

__all__ = ["Registry"]

COMPARE_S = 2.0
MIN_PEERS = 3


class Registry:
    """Starts and stops the owners of endpoints as the view changes.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits
    make_engine : callable, optional
        ``make_engine(endpoint)`` returns an engine; for tests.
    """

    def __init__(self, fleet, table, load_permits, make_engine=None):
        self.fleet = fleet
        self.table = table
        self.load_permits = load_permits
        self.make_engine = make_engine or (lambda endpoint: None)
        self._owners = {}
        self._scopes = {}
        self._released = set()
        self._nursery = None

    async def run(self):
        """Follow the view until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._compare)
            while True:
                self.follow()
                await self.fleet.changed()

    def follow(self):
        """Start, refresh and stop owners as the view says now."""
        view = self.fleet.view
        if view.declaration is None or self._nursery is None:
            return
        held = {}
        for name, endpoint in view.declaration.endpoints.items():
            entry, holding = view.owner_of(name)
            if entry is not None and entry.name == self.fleet.me:
                held[name] = (endpoint, holding)
        self._released &= set(held)
        for name in self._released:
            del held[name]
        for name in list(self._owners):
            if not self._stays(name, held.get(name)):
                self._stop(name)
        for name, (endpoint, holding) in held.items():
            if name in self._owners:
                self._owners[name].refresh(endpoint, holding)
            else:
                self._start(endpoint, holding)

    def get(self, endpoint):
        """Return the `Owner` of an endpoint, or None."""
        return self._owners.get(endpoint)

    def all(self):
        """Return the owners of this entry, by endpoint."""
        return dict(self._owners)

    async def slot(self, ask):
        """Answer a `messages.SlotAsk`."""
        owner = self.get(ask.endpoint)
        if owner is None:
            return grants.not_owner(ask.endpoint)
        return await owner.grants.slot(ask)

    def done(self, msg):
        """Take a `messages.Done`."""
        owner = self.get(msg.endpoint)
        if owner is not None:
            owner.grants.done(msg)

    def on_in_flight(self, msg):
        """Take a `messages.InFlight` of an entry."""
        # It may have been asked for as soon as the view changed.
        self.follow()
        owner = self.get(msg.endpoint)
        if owner is not None:
            owner.grants.in_flight(msg)

    async def nudge(self, msg):
        """Take a `messages.Nudge`: read the endpoint's record anew."""
        owner = self.get(msg.endpoint)
        if owner is not None:
            await owner.orders.read_now()

    async def release(self, endpoints):
        """Stop owning endpoints; no order is under way afterwards.

        Parameters
        ----------
        endpoints : sequence of str
        """
        self._released.update(endpoints)
        async with trio.open_nursery() as nursery:
            for name in endpoints:
                if name in self._owners:
                    nursery.start_soon(self._owners[name].orders.finish)
        for name in endpoints:
            if name in self._owners:
                self._stop(name)

    def resume(self, endpoints):
        """Own endpoints again, where the view says so."""
        self._released.difference_update(endpoints)
        self.follow()

    def status(self):
        """Return what operators see of each endpoint owned, by name."""
        return {name: owner.describe() for name, owner in self._owners.items()}

    async def _compare(self):
        """Leave out what is far slower than its peers, until cancelled."""
        while True:
            await trio.sleep(COMPARE_S)
            now = trio.current_time()
            paces = {}
            for owner in self._owners.values():
                service = owner.endpoint.service
                paces.setdefault(service, []).append(owner.slots.pace_s)
            for owner in self._owners.values():
                known = list(filter(None, paces[owner.endpoint.service]))
                if len(known) >= MIN_PEERS:
                    usual_s = statistics.median_low(known)
                    owner.health.compared(owner.slots.pace_s, usual_s, now)
            self._set_gauges()

    def _set_gauges(self):
        loaded = sum(
            owner.orders.ready(name)
            for owner in self._owners.values()
            for name in owner.orders.book.replicas
        )
        self.fleet.metrics.set_replicas_loaded(loaded)

    def _stays(self, name, held):
        if held is None:
            return False
        endpoint, holding = held
        owner = self._owners[name]
        same_epoch = owner.epoch == holding.epoch
        return same_epoch and owner.endpoint.address == endpoint.address

    def _start(self, endpoint, holding):
        owner = owners.Owner(
            self.fleet,
            self.table,
            self.load_permits,
            endpoint,
            holding,
            self.make_engine(endpoint),
        )
        scope = trio.CancelScope()
        self._owners[endpoint.name] = owner
        self._scopes[endpoint.name] = scope
        self._nursery.start_soon(_run_within, scope, owner)

    def _stop(self, name):
        logger.info("endpoint: give up name={}", name)
        del self._owners[name]
        self._scopes.pop(name).cancel()


async def _run_within(scope, owner):
    with scope:
        await owner.run()
