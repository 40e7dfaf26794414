"""Who gets a slot at an endpoint, and when."""

import itertools
import math

import trio

from dogwoodwheel.endpoints import slots as slot_books
from dogwoodwheel.wire import messages

__all__ = ["Grants", "not_owner"]

REPORTS_S = 1.5
SETTLED_S = 5.0
SPARE_PART = 0.1
MAX_SPARE_S = 0.5
HOPELESS_FACTOR = 2.0
RETRY_AFTER_S = 1.0
FIRST_EPOCH = 1
KEEPS_FROM = 4
PLAIN = "plain"


class Grants:
    """Grants the slots of one endpoint, for its owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner

    Notes
    -----
    A request gets a slot when its model is loaded, its turn has come,
    and fewer requests are in flight than the endpoint bears at its age.

    An owner after another one grants nothing until every live entry
    has told what it has in flight here, or `REPORTS_S` have passed.
    """

    def __init__(self, owner):
        self.owner = owner
        self.fleet = owner.fleet
        self.slots = slot_books.Slots()
        self._numbers = itertools.count(1)
        self._reported = set()
        self._open = owner.epoch == FIRST_EPOCH
        self._reset_at = -math.inf

    async def run(self):
        """Begin to grant, when it is time; return then."""
        await trio.sleep(0.0 if self._open else REPORTS_S)
        self._open = True
        self.pump()

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
        cold = not self.owner.orders.ready(ask.model)
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
        owner = self.owner
        now = trio.current_time()
        slot = self.slots.finish(
            msg.slot, msg.outcome, msg.took_s, now, msg.tokens
        )
        if slot is None:
            return
        owner.used_at[slot.model] = now
        if msg.outcome in ("reset", "unused"):
            # It may be another process by now; its status will tell.
            owner.poll()
        if msg.outcome == "reset":
            self._reset_at = now
            owner.warmup.reset()
        elif msg.outcome == "ok" and self._completed(slot, msg):
            owner.warmup.completed()
        owner.health.request_ended(
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
        for name in msg.slots:
            if not name.startswith(self._prefix()):
                slot = self._earlier(name, msg.entry, incarnation, now)
                self.slots.adopt(slot, now)
        # One of ours that is not known any more has ended since.
        self.slots.drop_lost(msg, asked_at - SETTLED_S, now)
        self._reported.add(msg.entry)
        self.open_when_reported()
        self.pump()

    def open_when_reported(self):
        """Begin to grant once every live entry has reported."""
        live = self.fleet.view.live
        if live and live <= self._reported:
            self._open = True

    def free_dead(self, now):
        """Free the slots of entries that cannot use them any more.

        Notes
        -----
        Those of an entry that is proved gone.  Also those of one whose
        heartbeat is overdue, once the deadline of the request is past,
        after which it is not sent any more, and the status shows that
        fewer run than are counted.
        """
        view = self.fleet.view
        status = self.owner.status
        for slot in list(self.slots.granted.values()):
            gone = self.fleet.gone(slot.entry, slot.incarnation)
            late = slot.entry not in view.live and now > slot.until
            fewer = status and status.in_flight < len(self.slots.granted)
            if gone or (late and fewer):
                self.slots.finish(slot.name, "cancelled", 0.0, now)

    def known(self, model):
        """Return how many requests of a model may run or wait.

        Notes
        -----
        What runs beyond the slots known, after an earlier owner, may be
        of any model.
        """
        count = self.slots.running(model) + self.slots.waiting_for(model)
        if self.owner.epoch != FIRST_EPOCH:
            count += self.slots.foreign
        return count

    def pump(self):
        """Grant what may be granted now, refuse what has no hope."""
        owner = self.owner
        reason = owner.closed_reason()
        if reason is not None:
            self.slots.refuse(self._unavailable(reason))
            return
        if not self._open or owner.status is None or owner.watch.held():
            return
        if owner.orders.shown.asked_at <= self._reset_at:
            return
        self.slots.wake(owner.orders.ready)
        while self.slots.in_flight < owner.limit:
            ticket = self.slots.take(self._max_rank())
            if ticket is None:
                return
            self._grant(ticket)

    def _max_rank(self):
        """Return the highest rank that may have the next slot.

        Notes
        -----
        The last slot of an endpoint that bears several is kept from the
        class that goes last: else its long requests hold every slot, and
        a short one waits for the first of them to end.
        """
        limit = self.owner.limit
        ranks = {c.rank for c in self.fleet.view.declaration.classes.values()}
        kept = limit >= KEEPS_FROM and len(ranks) > 1
        if not kept or self.slots.in_flight < limit - 1:
            return math.inf
        return max(ranks) - 1

    def _begin(self, ticket):
        if ticket.ask.model:
            self.owner.used_at[ticket.ask.model] = trio.current_time()
        if ticket.cold:
            self.owner.orders.wake()
        self.pump()

    def _grant(self, ticket):
        now = trio.current_time()
        ask = ticket.ask
        endpoint = self.owner.endpoint
        process = self.owner.status.incarnation
        entry = self.fleet.view.entries.get(ask.entry)
        slot = slot_books.Slot(
            name=f"{self._prefix()}{next(self._numbers)}/{ask.model}",
            entry=ask.entry,
            incarnation=entry.incarnation if entry else "",
            model=ask.model,
            granted_at=now,
            until=now + ask.deadline_s,
            process=process,
        )
        self.slots.hold(slot, now)
        ticket.finish(
            messages.Grant(
                id=0,
                slot=slot.name,
                endpoint=endpoint.name,
                address=endpoint.address,
                epoch=self.owner.epoch,
                incarnation=process,
                cold=ticket.cold,
                wait_s=now - ticket.since,
            )
        )

    def _prefix(self):
        """Return the beginning of the names of the slots granted here."""
        endpoint = self.owner.endpoint.name
        return f"{endpoint}/{self.owner.epoch}/{self.fleet.incarnation}/"

    def _earlier(self, name, entry, incarnation, now):
        """Return the slot of an earlier owner; its name tells the model."""
        rest = name.removeprefix(f"{self.owner.endpoint.name}/")
        model = rest.split("/", 3)[-1]
        return slot_books.Slot(name, entry, incarnation, model, now)

    def _completed(self, slot, msg):
        """Tell whether a request counts as completed work.

        Notes
        -----
        One that an earlier process served does not, nor one that a
        model engine answered without any output.
        """
        status = self.owner.status
        if status is None or slot.process != status.incarnation:
            return False
        services = self.fleet.view.declaration.services
        service = services.get(self.owner.endpoint.service)
        plain = service is not None and service.kind == PLAIN
        return plain or msg.tokens > 0

    def _return_unused(self, ticket):
        if isinstance(ticket.result, messages.Grant):
            now = trio.current_time()
            self.slots.finish(ticket.result.slot, "unused", 0.0, now)
            self.pump()

    def _rank(self, ask):
        cls = self.fleet.view.declaration.classes.get(ask.priority)
        return cls.rank if cls else 0

    async def _decided(self, model):
        orders = self.owner.orders
        if not model or orders.decided(model):
            return True
        await orders.read_now()
        return orders.decided(model)

    def _refuse_early(self, ask, left_s):
        owner = self.owner
        reason = owner.closed_reason()
        if reason is not None:
            return self._unavailable(reason)
        wait_s = self.slots.expected_wait_s(
            ask.customer, self._rank(ask), owner.warmup.full
        )
        if ask.model and not owner.orders.ready(ask.model):
            wait_s = owner.orders.loader.left_s(ask.model)
        # An estimate; only what is far too late is refused by it.
        if left_s <= 0 or wait_s > HOPELESS_FACTOR * left_s:
            return self._too_late(ask, wait_s)
        return None

    def _unavailable(self, reason):
        return slot_books.refusal(
            "endpoint_unavailable",
            f"{self.owner.endpoint.name} gets no new work: {reason}; "
            f"try again at another endpoint",
            retry_after_s=RETRY_AFTER_S,
        )

    def _too_late(self, ask, wait_s=0.0):
        what = f"a slot at {self.owner.endpoint.name}"
        if ask.model and not self.owner.orders.ready(ask.model):
            what = f"the load of {ask.model}"
        return slot_books.refusal(
            "deadline",
            f"{what} does not come within the deadline; try again later "
            f"or allow more time",
            status=504,
            retry_after_s=max(RETRY_AFTER_S, wait_s),
        )


def not_owner(endpoint):
    """Return the refusal of an entry that does not own an endpoint."""
    return slot_books.refusal(
        "not_owner",
        f"another entry owns {endpoint}; ask that one",
        retry_after_s=RETRY_AFTER_S,
    )
