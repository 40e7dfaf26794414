"""Schedules the slots of an endpoint among the waiting requests."""

import itertools
import math

import trio

from dogwoodwheel.endpoints import slots as slots_module
from dogwoodwheel.wire import messages

__all__ = ["SlotScheduler", "not_owner_refusal"]

ENTRY_REPORTS_TIMEOUT_S = 1.5
GRANT_DELIVERY_S = 5.0
MARGIN_FRACTION = 0.1
MAX_MARGIN_S = 0.5
MAX_WAIT_FACTOR = 2.0
RETRY_AFTER_S = 1.0
FIRST_EPOCH = 1
MIN_LIMIT_TO_RESERVE = 4
PLAIN_KIND = "plain"


class SlotScheduler:
    """Grants the slots of one endpoint, for its owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner

    Attributes
    ----------
    slots : dogwoodwheel.endpoints.slots.Slots

    Notes
    -----
    A request gets a slot when its model is loaded, it is next in the
    fair queue, and fewer requests are in flight than the endpoint's
    present limit.

    An owner that follows an earlier one grants nothing until every live
    entry has reported its requests in flight at this endpoint, or until
    `ENTRY_REPORTS_TIMEOUT_S` have passed.
    """

    def __init__(self, owner):
        self.owner = owner
        self.fleet = owner.fleet
        self.slots = slots_module.Slots()
        self._serials = itertools.count(1)
        self._reported_entries = set()
        self._granting = owner.epoch == FIRST_EPOCH
        self._reset_at = -math.inf

    async def run(self):
        """Start granting, at once or after the reports' timeout."""
        await trio.sleep(0.0 if self._granting else ENTRY_REPORTS_TIMEOUT_S)
        self._granting = True
        self.grant_slots()

    async def request_slot(self, request):
        """Wait for a slot.

        Parameters
        ----------
        request : dogwoodwheel.wire.messages.SlotAsk

        Returns
        -------
        messages.Grant or messages.Refusal
            A refusal is returned a margin before the deadline, or at
            once if the endpoint may receive no new work.
        """
        now = trio.current_time()
        margin_s = min(MAX_MARGIN_S, MARGIN_FRACTION * request.deadline_s)
        left_s = request.deadline_s - margin_s
        refusal = self._refuse_early(request, left_s)
        if refusal is not None:
            return refusal
        if not await self._may_wait_for(request.model):
            return self._unavailable_refusal(
                f"{request.model} is not decided for it"
            )
        cold = not self.owner.reconciler.is_ready(request.model)
        ticket = slots_module.Ticket(request, self._rank(request), now, cold)
        self.slots.add(ticket)
        try:
            with trio.move_on_at(now + left_s):
                self._on_added(ticket)
                await ticket.resolved.wait()
        except trio.Cancelled:
            self._free_unused(ticket)
            raise
        finally:
            if ticket.result is None:
                self.slots.remove(ticket)
        return ticket.result or self._deadline_refusal(request)

    def on_done(self, msg):
        """Free the slot of a `messages.Done`; a repeated one is ignored."""
        owner = self.owner
        now = trio.current_time()
        slot = self.slots.free(
            msg.slot, msg.outcome, msg.took_s, now, msg.tokens
        )
        if slot is None:
            return
        owner.last_used_at[slot.model] = now
        if msg.outcome in ("reset", "unused"):
            # The endpoint may have restarted; the status shows whether.
            owner.request_poll()
        if msg.outcome == "reset":
            self._reset_at = now
            owner.warmup.reset()
        elif msg.outcome == "ok" and self._counts_as_completed(slot, msg):
            owner.warmup.record_completion()
        owner.health.on_request_end(
            msg.outcome, msg.took_s, self.slots.mean_duration_s, now
        )
        self.grant_slots()

    def on_in_flight(self, msg, asked_at=-math.inf):
        """Record the slots that an entry reports to be in flight here.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.InFlight
        asked_at : float, optional
            When the report was requested; seconds, trio's clock.  A slot
            that was granted more than `GRANT_DELIVERY_S` earlier and is
            not in the report was lost.
        """
        entry = self.fleet.view.entries.get(msg.entry)
        incarnation = entry.incarnation if entry else ""
        now = trio.current_time()
        for name in msg.slots:
            if not name.startswith(self._slot_prefix()):
                slot = self._earlier_slot(name, msg.entry, incarnation, now)
                self.slots.adopt(slot, now)
        # A reported slot of this owner that is unknown has been freed
        # since the report and is not adopted.
        self.slots.free_lost(msg, asked_at - GRANT_DELIVERY_S, now)
        self._reported_entries.add(msg.entry)
        self.start_when_reported()
        self.grant_slots()

    def start_when_reported(self):
        """Start granting once every live entry has reported."""
        live = self.fleet.view.live
        if live and live <= self._reported_entries:
            self._granting = True

    def free_orphaned(self, now):
        """Free the slots that their entries cannot use any more.

        Notes
        -----
        A slot is freed if its entry's process is proved gone.  It is
        also freed if all of the following hold: the entry's heartbeat is
        overdue, the request's deadline has passed, so that no entry
        sends it any more, and the status reports fewer requests than
        slots are granted.
        """
        view = self.fleet.view
        status = self.owner.status
        for slot in list(self.slots.granted.values()):
            gone = self.fleet.gone(slot.entry, slot.entry_incarnation)
            overdue = slot.entry not in view.live and now > slot.deadline_at
            fewer = status and status.in_flight < len(self.slots.granted)
            if gone or (overdue and fewer):
                self.slots.free(slot.name, "cancelled", 0.0, now)

    def request_count(self, model):
        """Return how many requests of a model may run or wait.

        Notes
        -----
        After an earlier owner, the unattributed requests may be for any
        model and are counted for each.
        """
        count = self.slots.running(model) + self.slots.waiting_for(model)
        if self.owner.epoch != FIRST_EPOCH:
            count += self.slots.unattributed
        return count

    def grant_slots(self):
        """Grant free slots; refuse all tickets if no new work is allowed."""
        owner = self.owner
        reason = owner.unavailable_reason()
        if reason is not None:
            self.slots.refuse(self._unavailable_refusal(reason))
            return
        if not self._granting or owner.status is None or owner.tasks.paused():
            return
        if owner.reconciler.reported.asked_at <= self._reset_at:
            return
        self.slots.enqueue_ready(owner.reconciler.is_ready)
        while self.slots.in_flight < owner.limit:
            ticket = self.slots.pop(self._max_rank())
            if ticket is None:
                return
            self._grant(ticket)

    def _max_rank(self):
        """Return the highest rank that may get the next slot.

        Notes
        -----
        If the limit is at least `MIN_LIMIT_TO_RESERVE`, the last slot is
        never granted to the class of the highest rank, which is served
        last.  Otherwise long requests of that class could hold every
        slot, and a short request of another class would wait until one
        of those requests ends.
        """
        limit = self.owner.limit
        ranks = {c.rank for c in self.fleet.view.declaration.classes.values()}
        reserved = limit >= MIN_LIMIT_TO_RESERVE and len(ranks) > 1
        if not reserved or self.slots.in_flight < limit - 1:
            return math.inf
        return max(ranks) - 1

    def _on_added(self, ticket):
        if ticket.request.model:
            self.owner.last_used_at[ticket.request.model] = trio.current_time()
        if ticket.cold:
            self.owner.reconciler.wake()
        self.grant_slots()

    def _grant(self, ticket):
        now = trio.current_time()
        request = ticket.request
        endpoint = self.owner.endpoint
        endpoint_incarnation = self.owner.status.incarnation
        entry = self.fleet.view.entries.get(request.entry)
        slot = slots_module.Slot(
            name=f"{self._slot_prefix()}{next(self._serials)}/{request.model}",
            entry=request.entry,
            entry_incarnation=entry.incarnation if entry else "",
            model=request.model,
            granted_at=now,
            deadline_at=now + request.deadline_s,
            endpoint_incarnation=endpoint_incarnation,
        )
        self.slots.add_granted(slot, now)
        ticket.resolve(
            messages.Grant(
                id=0,
                slot=slot.name,
                endpoint=endpoint.name,
                address=endpoint.address,
                epoch=self.owner.epoch,
                incarnation=endpoint_incarnation,
                cold=ticket.cold,
                wait_s=now - ticket.queued_at,
            )
        )

    def _slot_prefix(self):
        """Return the prefix of the names of slots that this owner grants."""
        endpoint = self.owner.endpoint.name
        return f"{endpoint}/{self.owner.epoch}/{self.fleet.incarnation}/"

    def _earlier_slot(self, name, entry, incarnation, now):
        """Return a slot of an earlier owner; its name contains the model."""
        rest = name.removeprefix(f"{self.owner.endpoint.name}/")
        model = rest.split("/", 3)[-1]
        return slots_module.Slot(name, entry, incarnation, model, now)

    def _counts_as_completed(self, slot, msg):
        """Return whether a request counts towards the warm-up.

        Notes
        -----
        A request served by an earlier process instance of the endpoint
        does not count, nor does one that a model engine answered without
        any output.
        """
        status = self.owner.status
        if status is None or slot.endpoint_incarnation != status.incarnation:
            return False
        services = self.fleet.view.declaration.services
        service = services.get(self.owner.endpoint.service)
        is_plain = service is not None and service.kind == PLAIN_KIND
        return is_plain or msg.tokens > 0

    def _free_unused(self, ticket):
        if isinstance(ticket.result, messages.Grant):
            now = trio.current_time()
            self.slots.free(ticket.result.slot, "unused", 0.0, now)
            self.grant_slots()

    def _rank(self, request):
        cls = self.fleet.view.declaration.classes.get(request.priority)
        return cls.rank if cls else 0

    async def _may_wait_for(self, model):
        reconciler = self.owner.reconciler
        if not model or reconciler.may_wait_for(model):
            return True
        await reconciler.reread_record()
        return reconciler.may_wait_for(model)

    def _refuse_early(self, request, left_s):
        owner = self.owner
        reason = owner.unavailable_reason()
        if reason is not None:
            return self._unavailable_refusal(reason)
        wait_s = self.slots.expected_wait_s(
            request.customer, self._rank(request), owner.warmup.full_limit
        )
        if request.model and not owner.reconciler.is_ready(request.model):
            wait_s = owner.reconciler.loader.remaining_s(request.model)
        # The wait is only an estimate, so a request is refused only if
        # the estimate exceeds the time left by a clear factor.
        if left_s <= 0 or wait_s > MAX_WAIT_FACTOR * left_s:
            return self._deadline_refusal(request, wait_s)
        return None

    def _unavailable_refusal(self, reason):
        return slots_module.make_refusal(
            "endpoint_unavailable",
            f"{self.owner.endpoint.name} gets no new work: {reason}; "
            f"try again at another endpoint",
            retry_after_s=RETRY_AFTER_S,
        )

    def _deadline_refusal(self, request, wait_s=0.0):
        resource = f"a slot at {self.owner.endpoint.name}"
        if request.model and not self.owner.reconciler.is_ready(request.model):
            resource = f"the load of {request.model}"
        return slots_module.make_refusal(
            "deadline",
            f"{resource} does not come within the deadline; try again later "
            f"or allow more time",
            status=504,
            retry_after_s=max(RETRY_AFTER_S, wait_s),
        )


def not_owner_refusal(endpoint):
    """Return the refusal of an entry that does not own an endpoint."""
    return slots_module.make_refusal(
        "not_owner",
        f"another entry owns {endpoint}; ask that one",
        retry_after_s=RETRY_AFTER_S,
    )
