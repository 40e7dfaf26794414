"""Background tasks of an endpoint's owner: polls, audits and reports."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import health as health_module
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["OwnerTasks"]

STATUS_POLL_S = 0.5
HOUSEKEEPING_S = 1.0
USAGE_REPORT_S = 2.0
SLOT_AUDIT_S = 5.0
AUDIT_TIMEOUT_S = 1.5
PAUSE_CHECK_S = 0.25
MIN_PAUSE_S = 2.0
GRANT_HOLD_S = 2.5


class OwnerTasks:
    """Background tasks of one endpoint's owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    """

    def __init__(self, owner):
        self.owner = owner
        self.fleet = owner.fleet
        self._poll_requested = trio.Event()
        self._checked_at = trio.current_time()
        self._hold_until = 0.0

    async def run(self):
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._detect_pauses)
            nursery.start_soon(self._poll_status)
            nursery.start_soon(self._do_housekeeping)
            nursery.start_soon(self._audit_slots)
            nursery.start_soon(self._report_usage)

    def request_poll(self):
        """Trigger the next status call at once."""
        self._poll_requested.set()

    def paused(self):
        """Return whether this process has recently been paused.

        Notes
        -----
        After a pause another entry may own the endpoint.  No slot is
        granted for `GRANT_HOLD_S`, in which the view catches up.  The
        hold only avoids wasted work; safety rests on the fencing tokens.
        """
        now = trio.current_time()
        if now - self._checked_at > MIN_PAUSE_S:
            self._hold_until = now + GRANT_HOLD_S
        return now < self._hold_until

    async def _detect_pauses(self):
        while True:
            self.paused()
            self._checked_at = trio.current_time()
            await trio.sleep(PAUSE_CHECK_S)

    async def _poll_status(self):
        owner = self.owner
        while True:
            await self._read_status()
            owner.scheduler.grant_slots()
            interval_s = owner.reconciler.loader.poll_interval_s(STATUS_POLL_S)
            with trio.move_on_after(interval_s):
                await self._poll_requested.wait()
            self._poll_requested = trio.Event()

    async def _read_status(self):
        owner = self.owner
        asked_at = trio.current_time()
        try:
            status = await owner.client.status()
        except exceptions.EndpointError as exc:
            accepted_requests = owner.health.accepts_requests
            owner.health.on_status_failure(trio.current_time())
            if accepted_requests and not owner.health.accepts_requests:
                logger.warning("endpoint: ejected: {}", exc)
            return
        owner.on_status(status, asked_at)

    async def _do_housekeeping(self):
        """Free slots of entries that are gone, and update the metrics."""
        owner = self.owner
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            owner.scheduler.free_orphaned(trio.current_time())
            self.fleet.metrics.set_slots(owner.endpoint.name, owner.limit)
            self.fleet.metrics.add_idle_time(
                HOUSEKEEPING_S * self._count_idle_models()
            )
            owner.scheduler.grant_slots()

    def _count_idle_models(self):
        """Return the number of loaded models without a request."""
        reconciler = self.owner.reconciler
        return sum(
            reconciler.is_ready(replica.name)
            and not reconciler.in_use(replica.name)
            for replica in reconciler.record_store.replicas.values()
            if not replica.base
        )

    async def _audit_slots(self):
        """Free the slots whose grant never reached its entry.

        Notes
        -----
        Each entry that holds slots is queried for the slots that it knows.
        """
        owner = self.owner
        query = messages.InFlight(
            0, self.fleet.me, owner.endpoint.name, owner.epoch, ()
        )
        while True:
            await trio.sleep(SLOT_AUDIT_S)
            for entry in owner.slots.holders():
                asked_at = trio.current_time()
                try:
                    reply = await self.fleet.call(
                        entry, query, AUDIT_TIMEOUT_S
                    )
                except exceptions.PeerError:
                    continue
                if isinstance(reply, messages.InFlight):
                    owner.scheduler.on_in_flight(reply, asked_at)

    async def _report_usage(self):
        """Send the usage of the replicas to their deciders."""
        owner = self.owner
        while True:
            await trio.sleep(USAGE_REPORT_S * owner.rng.uniform(0.8, 1.2))
            if owner.health.state is health_module.HealthState.EJECTED:
                continue
            for model in list(owner.reconciler.record_store.replicas):
                await self.fleet.send(
                    self.fleet.view.decider_of(model), owner.usage(model)
                )
