"""The owner of one endpoint."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel.endpoints import grants as grant_books
from dogwoodwheel.endpoints import health as healths
from dogwoodwheel.endpoints import orders as order_books
from dogwoodwheel.endpoints import warmup as warmups
from dogwoodwheel.endpoints import watch as watches
from dogwoodwheel.engines import engine as engines
from dogwoodwheel.wire import messages

__all__ = ["Owner"]


class Owner:
    """Owner of one endpoint, for as long as it holds one epoch.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits
    endpoint : dogwoodwheel.declaration.model.Endpoint
    holding : dogwoodwheel.membership.view.Holding
    engine : dogwoodwheel.engines.engine.EndpointClient, optional
    rng : random.Random, optional

    Attributes
    ----------
    grants : dogwoodwheel.endpoints.grants.Grants
        The queue and the slots.
    orders : dogwoodwheel.endpoints.orders.Orders
        The loads and unloads.
    used_at : dict of str to float
        When each model was used last; seconds, trio's clock.
    """

    def __init__(
        self,
        fleet,
        table,
        load_permits,
        endpoint,
        holding,
        engine=None,
        rng=None,
    ):
        self.fleet = fleet
        self.endpoint = endpoint
        self.holding = holding
        self.rng = rng or random.Random()
        self.engine = engine or _engine(fleet, endpoint)
        self.health = healths.Health(self.rng)
        self.warmup = warmups.Warmup(
            endpoint.fresh_concurrency, endpoint.concurrency
        )
        self.used_at = {}
        self.grants = grant_books.Grants(self)
        self.slots = self.grants.slots
        self.orders = order_books.Orders(self, table, load_permits)
        self.watch = watches.Watch(self)

    @property
    def epoch(self):
        """Fencing number of this owner."""
        return self.holding.epoch

    @property
    def status(self):
        """The last status of the endpoint, or None."""
        return self.orders.shown.status

    @property
    def limit(self):
        """Requests that it may have in flight now."""
        return 1 if self.health.probing else self.warmup.limit

    async def run(self):
        """Own the endpoint until cancelled."""
        name = self.endpoint.name
        logger.info("endpoint: own name={} epoch={}", name, self.epoch)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                nursery.start_soon(self.grants.run)
                nursery.start_soon(self.orders.run)
        finally:
            self.slots.refuse(grant_books.not_owner(name))

    def learn(self, status, asked_at):
        """Take a newer status of the endpoint."""
        now = trio.current_time()
        last = self.status
        if last is None:
            self.warmup.speed = status.speed
        elif last.incarnation != status.incarnation:
            logger.warning("endpoint: restarted name={}", self.endpoint.name)
            self.warmup.reset()
            self.warmup.speed = status.speed
            self.health.restarted()
            self.slots.restarted(now)
        elif self.warmup.report_speed(status.speed):
            logger.warning("endpoint: slow name={}", self.endpoint.name)
        self.health.status_answered(now)
        self.slots.report(status.in_flight, asked_at)
        self.orders.learn(status, asked_at)

    def refresh(self, endpoint, holding):
        """Take the view's newer declaration and holding."""
        self.endpoint = endpoint
        self.holding = holding
        self.warmup.resize(endpoint.fresh_concurrency, endpoint.concurrency)
        self.grants.open_when_reported()
        self.orders.wake()
        self.grants.pump()

    def poll(self):
        """Read the status at once."""
        self.watch.poll()

    def usable(self):
        """Tell whether the operators and the platform let it have work."""
        view = self.fleet.view
        declared = view.declaration.endpoints.get(self.endpoint.name)
        return declared is not None and view.usable(declared)

    def closed_reason(self):
        """Return why it may receive no new work, or None."""
        if not self.usable():
            return "it leaves, or its zone is out"
        if self.health.state is healths.State.OUT:
            return self.health.reason
        return None

    def fence_open(self):
        """Tell whether orders may be given.

        Notes
        -----
        An endpoint that ignores fencing numbers would take a late order
        of an earlier owner, so each of those must be proved gone.
        """
        return self.endpoint.fencing or all(
            self.fleet.gone(entry, incarnation)
            for entry, incarnation in self.holding.prior
        )

    def declares(self, replica):
        """Tell whether a replica's version is the one declared."""
        model = self.fleet.view.declaration.models.get(replica.name)
        return model is not None and model.version == replica.version

    def usage(self, model):
        """Return the `messages.Touch` of a replica."""
        now = trio.current_time()
        last = self.used_at.setdefault(model, now)
        return messages.Touch(
            id=0,
            endpoint=self.endpoint.name,
            model=model,
            idle_s=0.0 if self.orders.in_use(model) else now - last,
            waiting=self.slots.waiting_for(model),
        )

    def describe(self):
        """Return what operators see of it, ready to print."""
        return {
            "epoch": self.epoch,
            "health": self.health.state.value,
            "closed": self.closed_reason() or "",
            "limit": self.limit,
            "in_flight": self.slots.in_flight,
            "waiting": self.slots.waiting,
            "replicas": self.orders.describe(),
        }


def _engine(fleet, endpoint):
    address = fleet.dial_address(endpoint.address)
    return engines.HttpEndpointClient.from_endpoint(
        dataclasses.replace(endpoint, address=address)
    )
