"""The owner of one endpoint."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel.endpoints import health as health_module
from dogwoodwheel.endpoints import owner_tasks as owner_tasks_module
from dogwoodwheel.endpoints import reconciler as reconciler_module
from dogwoodwheel.endpoints import slot_scheduler as slot_scheduler_module
from dogwoodwheel.endpoints import warmup as warmup_module
from dogwoodwheel.engines import engine as engine_module
from dogwoodwheel.wire import messages

__all__ = ["Owner"]


class Owner:
    """Owner of one endpoint, for the time that it holds one epoch.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits
    endpoint : dogwoodwheel.declaration.datatypes.Endpoint
    holding : dogwoodwheel.membership.view.Holding
    client : dogwoodwheel.engines.engine.EndpointClient, optional
    rng : random.Random, optional

    Attributes
    ----------
    scheduler : dogwoodwheel.endpoints.slot_scheduler.SlotScheduler
        Grants the slots to the waiting requests.
    slots : dogwoodwheel.endpoints.slots.Slots
    reconciler : dogwoodwheel.endpoints.reconciler.Reconciler
        Orders the loads and unloads.
    tasks : dogwoodwheel.endpoints.owner_tasks.OwnerTasks
    last_used_at : dict of str to float
        When each model was last used; seconds, trio's clock.
    """

    def __init__(
        self,
        fleet,
        table,
        load_permits,
        endpoint,
        holding,
        client=None,
        rng=None,
    ):
        self.fleet = fleet
        self.endpoint = endpoint
        self.holding = holding
        self.rng = rng or random.Random()
        self.client = client or _make_client(fleet, endpoint)
        self.health = health_module.Health(self.rng)
        self.warmup = warmup_module.Warmup(
            endpoint.fresh_concurrency, endpoint.concurrency
        )
        self.last_used_at = {}
        self.scheduler = slot_scheduler_module.SlotScheduler(self)
        self.slots = self.scheduler.slots
        self.reconciler = reconciler_module.Reconciler(
            self, table, load_permits
        )
        self.tasks = owner_tasks_module.OwnerTasks(self)

    @property
    def epoch(self):
        """Fencing token of this owner."""
        return self.holding.epoch

    @property
    def status(self):
        """The last status of the endpoint, or None."""
        return self.reconciler.reported.status

    @property
    def limit(self):
        """Maximum number of requests in flight at present."""
        return 1 if self.health.probing else self.warmup.limit

    async def run(self):
        """Own the endpoint until cancelled."""
        name = self.endpoint.name
        logger.info(
            "endpoint: ownership started name={} epoch={}", name, self.epoch
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.tasks.run)
                nursery.start_soon(self.scheduler.run)
                nursery.start_soon(self.reconciler.run)
        finally:
            self.slots.refuse(slot_scheduler_module.not_owner_refusal(name))

    def on_status(self, status, asked_at):
        """Apply a newer status of the endpoint.

        Parameters
        ----------
        status : dogwoodwheel.engines.engine.EndpointStatus
        asked_at : float
            When the status call was sent; seconds, trio's clock.
        """
        now = trio.current_time()
        last = self.status
        if last is None:
            self.warmup.speed = status.speed
        elif last.incarnation != status.incarnation:
            logger.warning("endpoint: restarted name={}", self.endpoint.name)
            self.warmup.reset()
            self.warmup.speed = status.speed
            self.health.on_restart()
            self.slots.on_restart(now)
        elif self.warmup.record_speed(status.speed):
            logger.warning(
                "endpoint: speed dropped name={}", self.endpoint.name
            )
        self.health.on_status_answer(now)
        self.slots.on_status(status.in_flight, asked_at)
        self.reconciler.on_status(status, asked_at)

    def update(self, endpoint, holding):
        """Apply the newer declaration and holding of the view."""
        self.endpoint = endpoint
        self.holding = holding
        self.warmup.set_limits(
            endpoint.fresh_concurrency, endpoint.concurrency
        )
        self.scheduler.start_when_reported()
        self.reconciler.wake()
        self.scheduler.grant_slots()

    def request_poll(self):
        """Trigger the next status call at once."""
        self.tasks.request_poll()

    def in_service(self):
        """Return whether the operators and the platform allow new work."""
        view = self.fleet.view
        declared = view.declaration.endpoints.get(self.endpoint.name)
        return declared is not None and view.usable(declared)

    def unavailable_reason(self):
        """Return why the endpoint may receive no new work, or None."""
        if not self.in_service():
            return "it leaves, or its zone is out"
        if self.health.state is health_module.HealthState.EJECTED:
            return self.health.reason
        return None

    def fencing_permits_orders(self):
        """Return whether orders of earlier owners can do no harm.

        Notes
        -----
        An endpoint that ignores fencing tokens would accept a late order
        of an earlier owner, so each earlier owner must be proved gone.
        """
        return self.endpoint.fencing or all(
            self.fleet.gone(entry, incarnation)
            for entry, incarnation in self.holding.earlier_holders
        )

    def is_declared_version(self, replica):
        """Return whether a replica's version is the declared one."""
        model = self.fleet.view.declaration.models.get(replica.name)
        return model is not None and model.version == replica.version

    def usage(self, model):
        """Return the `messages.Touch` of a replica."""
        now = trio.current_time()
        since = self.last_used_at.setdefault(model, now)
        return messages.Touch(
            id=0,
            endpoint=self.endpoint.name,
            model=model,
            idle_s=(0.0 if self.reconciler.in_use(model) else now - since),
            waiting=self.slots.waiting_for(model),
        )

    def describe(self):
        """Return the state that is shown to operators."""
        return {
            "epoch": self.epoch,
            "health": self.health.state.value,
            "closed": self.unavailable_reason() or "",
            "limit": self.limit,
            "in_flight": self.slots.in_flight,
            "waiting": self.slots.waiting_count,
            "replicas": self.reconciler.describe(),
        }


def _make_client(fleet, endpoint):
    address = fleet.dial_address(endpoint.address)
    return engine_module.HttpEndpointClient.from_endpoint(
        dataclasses.replace(endpoint, address=address)
    )
