"""The owner of one endpoint: its queue and its limit."""

import dataclasses
import itertools
import math
import random

from loguru import logger
import trio

from dogwoodwheel.endpoints import health as healths
from dogwoodwheel.endpoints import orders as order_books
from dogwoodwheel.endpoints import slots as slot_books
from dogwoodwheel.endpoints import warmup as warmups
from dogwoodwheel.endpoints import watch as watches
from dogwoodwheel.engines import engine as engines
from dogwoodwheel.wire import messages

__all__ = ["Owner", "not_owner"]

REPORTS_S = 1.5
SETTLED_S = 5.0
SPARE_PART = 0.1
MAX_SPARE_S = 0.5
RETRY_AFTER_S = 1.0
FIRST_EPOCH = 1
PLAIN = "plain"


class Owner:
    """Owner of one endpoint, for as long as it holds one epoch.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.platform.table.Table
    loads : dogwoodwheel.placement.loads.Loads
    endpoint : dogwoodwheel.declaration.model.Endpoint
    holding : dogwoodwheel.membership.view.Holding
    engine : dogwoodwheel.engines.engine.Engine, optional
    rng : random.Random, optional

    Notes
    -----
    A request gets a slot when its model is loaded, its turn has come,
    and fewer requests are in flight than the endpoint bears at its age.

    An owner after another one grants nothing until every live entry
    has told what it has in flight here, or `REPORTS_S` have passed.
    """

    def __init__(
        self, fleet, table, loads, endpoint, holding, engine=None, rng=None
    ):
        self.fleet = fleet
        self.endpoint = endpoint
        self.holding = holding
        self.rng = rng or random.Random()
        self.engine = engine or _engine(fleet, endpoint)
        self.slots = slot_books.Slots()
        self.health = healths.Health(self.rng)
        self.warmup = warmups.Warmup(
            endpoint.fresh_concurrency, endpoint.concurrency
        )
        self.used_at = {}
        self.orders = order_books.Orders(self, table, loads)
        self.watch = watches.Watch(self)
        self._numbers = itertools.count(1)
        self._reported = set()
        self._open = holding.epoch == FIRST_EPOCH
        self._reset_at = -math.inf

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
        logger.info(
            "endpoint: own name={} epoch={}", self.endpoint.name, self.epoch
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                nursery.start_soon(self._open_in_time)
                nursery.start_soon(self.orders.run)
        finally:
            self.slots.refuse(not_owner(self.endpoint.name))

    async def slot(self, ask):
        """Wait for a slot.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.SlotAsk

        Returns
        -------
        messages.Grant or messages.Refusal
            A refusal comes with time to spare before the deadline, or
            at once when the endpoint may receive no new work.
        """
        now = trio.current_time()
        spare_s = min(MAX_SPARE_S, SPARE_PART * ask.deadline_s)
        left_s = ask.deadline_s - spare_s
        refusal = self._refuse_early(ask, left_s)
        if refusal is not None:
            return refusal
        if not await self._decided(ask.model):
            return self._unavailable(f"{ask.model} is not decided for it")
        cold = not self.orders.ready(ask.model)
        ticket = slot_books.Ticket(ask, self._rank(ask), now, cold)
        self.slots.add(ticket)
        try:
            with trio.move_on_at(now + left_s):
                self._begin(ticket)
                await ticket.done.wait()
        except trio.Cancelled:
            self._return_unused(ticket)
            raise
        finally:
            if ticket.result is None:
                self.slots.remove(ticket)
        return ticket.result or self._too_late(ask)

    def done(self, msg):
        """Free a slot; the same message again is harmless."""
        now = trio.current_time()
        slot = self.slots.finish(msg.slot, msg.outcome, msg.took_s, now)
        if slot is None:
            return
        self.used_at[slot.model] = now
        if msg.outcome in ("reset", "unused"):
            # It may be another process by now; its status will tell.
            self.poll()
        if msg.outcome == "reset":
            self._reset_at = now
            self.warmup.reset()
        elif msg.outcome == "ok" and self._completed(slot, msg):
            self.warmup.completed()
        self.health.request_ended(
            msg.outcome, msg.took_s, self.slots.took_s, now
        )
        self.pump()

    def in_flight(self, msg, asked_at=-math.inf):
        """Learn what an entry has in flight here.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.InFlight
        asked_at : float, optional
            When it was asked; slots that were granted well before then
            and are not named were lost.
        """
        entry = self.fleet.view.entries.get(msg.entry)
        incarnation = entry.incarnation if entry else ""
        now = trio.current_time()
        settled_at = asked_at - SETTLED_S
        self.slots.reconcile(msg, incarnation, now, settled_at, self._prefix())
        self._reported.add(msg.entry)
        self._open_when_reported()
        self.pump()

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
        self._open_when_reported()
        self.orders.wake()
        self.pump()

    def poll(self):
        """Read the status at once."""
        self.watch.poll()

    def pump(self):
        """Grant what may be granted now, refuse what has no hope."""
        reason = self.closed_reason()
        if reason is not None:
            self.slots.refuse(self._unavailable(reason))
            return
        if not self._open or self.status is None:
            return
        if self.orders.shown.asked_at <= self._reset_at:
            return
        self.slots.wake(self.orders.ready)
        while self.slots.in_flight < self.limit:
            ticket = self.slots.take()
            if ticket is None:
                return
            self._grant(ticket)

    def closed_reason(self):
        """Return why it may receive no new work, or None."""
        if not self.fleet.view.usable(self.endpoint):
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
        models = self.fleet.view.declaration.models
        model = models.get(replica.name)
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

    def _begin(self, ticket):
        if ticket.ask.model:
            self.used_at[ticket.ask.model] = trio.current_time()
        if ticket.cold:
            self.orders.wake()
        self.pump()

    def _grant(self, ticket):
        now = trio.current_time()
        ask = ticket.ask
        entry = self.fleet.view.entries.get(ask.entry)
        name = f"{self._prefix()}{next(self._numbers)}"
        slot = slot_books.Slot(
            name=name,
            entry=ask.entry,
            incarnation=entry.incarnation if entry else "",
            model=ask.model,
            granted_at=now,
            process=self.status.incarnation,
        )
        self.slots.hold(slot, now)
        ticket.finish(
            messages.Grant(
                id=0,
                slot=name,
                endpoint=self.endpoint.name,
                address=self.endpoint.address,
                epoch=self.epoch,
                incarnation=self.status.incarnation,
                cold=ticket.cold,
                wait_s=now - ticket.since,
            )
        )

    def _prefix(self):
        owner = self.fleet.incarnation
        return f"{self.endpoint.name}/{self.epoch}/{owner}/"

    def _completed(self, slot, msg):
        """Tell whether a request counts as completed work.

        Notes
        -----
        One that an earlier process served does not, nor one that a
        model engine answered without any output.
        """
        if self.status is None or slot.process != self.status.incarnation:
            return False
        service = self.fleet.view.declaration.services[self.endpoint.service]
        return service.kind == PLAIN or msg.tokens > 0

    def _return_unused(self, ticket):
        if isinstance(ticket.result, messages.Grant):
            now = trio.current_time()
            self.slots.finish(ticket.result.slot, "unused", 0.0, now)
            self.pump()

    def _rank(self, ask):
        cls = self.fleet.view.declaration.classes.get(ask.priority)
        return cls.rank if cls else 0

    async def _decided(self, model):
        if not model or self.orders.decided(model):
            return True
        await self.orders.read_now()
        return self.orders.decided(model)

    def _refuse_early(self, ask, left_s):
        reason = self.closed_reason()
        if reason is not None:
            return self._unavailable(reason)
        wait_s = self.slots.expected_wait_s(ask.customer, self.limit)
        if ask.model and not self.orders.ready(ask.model):
            wait_s = self.orders.loader.left_s(ask.model)
        if left_s <= 0 or wait_s > left_s:
            return self._too_late(ask, wait_s)
        return None

    def _unavailable(self, reason):
        return slot_books.refusal(
            "endpoint_unavailable",
            f"{self.endpoint.name} gets no new work: {reason}; "
            f"try again at another endpoint",
            retry_after_s=RETRY_AFTER_S,
        )

    def _too_late(self, ask, wait_s=0.0):
        what = f"a slot at {self.endpoint.name}"
        if ask.model and not self.orders.ready(ask.model):
            what = f"the load of {ask.model}"
        return slot_books.refusal(
            "deadline",
            f"{what} does not come within the deadline; try again later "
            f"or allow more time",
            status=504,
            retry_after_s=max(RETRY_AFTER_S, wait_s),
        )

    async def _open_in_time(self):
        await trio.sleep(0.0 if self._open else REPORTS_S)
        self._open = True
        self.pump()

    def _open_when_reported(self):
        if self.fleet.view.live and self.fleet.view.live <= self._reported:
            self._open = True


def not_owner(endpoint):
    """Return the refusal of an entry that does not own an endpoint."""
    return slot_books.refusal(
        "not_owner",
        f"another entry owns {endpoint}; ask that one",
        retry_after_s=RETRY_AFTER_S,
    )


def _engine(fleet, endpoint):
    address = fleet.route(endpoint.address)
    return engines.HttpEngine.from_endpoint(
        dataclasses.replace(endpoint, address=address)
    )
