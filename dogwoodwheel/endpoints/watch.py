"""What an owner does beside the requests: status, reports, metrics."""

from loguru import logger
import trio

from dogwoodwheel.endpoints import health as healths
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Watch"]

POLL_S = 0.5
TICK_S = 1.0
TOUCH_S = 2.0
COMPARE_S = 5.0
REPORT_S = 1.5
PULSE_S = 0.25
PAUSE_S = 2.0
HOLD_S = 2.5


class Watch:
    """Background tasks of one endpoint's owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    """

    def __init__(self, owner):
        self.owner = owner
        self.fleet = owner.fleet
        self._poll = trio.Event()
        self._pulse_at = trio.current_time()
        self._held_until = 0.0

    async def run(self):
        """Run all of them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pulse)
            nursery.start_soon(self._watch_status)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._compare)
            nursery.start_soon(self._touch)

    def poll(self):
        """Read the status at once."""
        self._poll.set()

    def held(self):
        """Tell whether this process has just been paused.

        Notes
        -----
        After a pause another entry may own the endpoint; nothing is
        granted for `HOLD_S`, in which the view is brought up to date.
        This saves needless work; the epochs keep it safe.
        """
        now = trio.current_time()
        if now - self._pulse_at > PAUSE_S:
            self._held_until = now + HOLD_S
        return now < self._held_until

    async def _pulse(self):
        while True:
            self.held()
            self._pulse_at = trio.current_time()
            await trio.sleep(PULSE_S)

    async def _watch_status(self):
        owner = self.owner
        while True:
            await self._read_status()
            owner.grants.pump()
            pause_s = owner.orders.loader.poll_s(POLL_S)
            with trio.move_on_after(pause_s):
                await self._poll.wait()
            self._poll = trio.Event()

    async def _read_status(self):
        owner = self.owner
        asked_at = trio.current_time()
        try:
            status = await owner.engine.status()
        except exceptions.EndpointError as exc:
            was_usable = owner.health.usable
            owner.health.status_failed(trio.current_time())
            if was_usable and not owner.health.usable:
                logger.warning("endpoint: left out: {}", exc)
            return
        owner.learn(status, asked_at)

    async def _tick(self):
        """Free slots of entries that are gone; bring metrics up to date."""
        owner = self.owner
        while True:
            await trio.sleep(TICK_S)
            owner.grants.free_dead(trio.current_time())
            self.fleet.metrics.set_slots(owner.endpoint.name, owner.limit)
            self.fleet.metrics.add_idle_time(TICK_S * self._idle())
            owner.grants.pump()

    def _idle(self):
        """Return how many loaded models have no request."""
        orders = self.owner.orders
        return sum(
            orders.ready(replica.name) and not orders.in_use(replica.name)
            for replica in orders.book.replicas.values()
            if not replica.base
        )

    async def _compare(self):
        """Free the slots whose grant was lost on its way."""
        owner = self.owner
        query = messages.InFlight(
            0, self.fleet.me, owner.endpoint.name, owner.epoch, ()
        )
        while True:
            await trio.sleep(COMPARE_S)
            for entry in owner.slots.entries():
                asked_at = trio.current_time()
                try:
                    reply = await self.fleet.call(entry, query, REPORT_S)
                except exceptions.PeerError:
                    continue
                if isinstance(reply, messages.InFlight):
                    owner.grants.in_flight(reply, asked_at)

    async def _touch(self):
        """Tell the deciders how much the replicas are used."""
        owner = self.owner
        while True:
            await trio.sleep(TOUCH_S * owner.rng.uniform(0.8, 1.2))
            if owner.health.state is healths.State.OUT:
                continue
            for model in list(owner.orders.book.replicas):
                await self.fleet.tell(
                    self.fleet.view.decider_of(model), owner.usage(model)
                )
