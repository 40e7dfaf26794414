"""Slots of one endpoint: which are granted, and which requests wait."""

import collections
import dataclasses
import math

import trio

from dogwoodwheel.customers import fair_queue
from dogwoodwheel.wire import messages

__all__ = ["Slot", "Slots", "Ticket", "make_refusal"]

STATUS_LAG_S = 1.0
SMOOTHING_FACTOR = 0.2


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot that was granted.

    Parameters
    ----------
    name : str
    entry, entry_incarnation : str
        The entry that holds the slot, and its process instance.
    model : str
    granted_at : float
        Seconds, trio's clock.
    deadline_at : float
        Deadline of the request, as `granted_at`; infinite if unknown.
    endpoint_incarnation : str
        Process instance of the endpoint when the slot was granted.
    """

    name: str
    entry: str
    entry_incarnation: str
    model: str
    granted_at: float
    deadline_at: float = math.inf
    endpoint_incarnation: str = ""


class Ticket:
    """One request that waits for a slot.

    Parameters
    ----------
    request : dogwoodwheel.wire.messages.SlotAsk
    rank : int
        Rank of the request's priority class.
    now : float
        Seconds, trio's clock.
    cold : bool
        Whether the model was not loaded when the request arrived.
    """

    def __init__(self, request, rank, now, cold):
        self.request = request
        self.rank = rank
        self.queued_at = now
        self.cold = cold
        self.result = None
        self.resolved = trio.Event()

    def resolve(self, result):
        """Set the result; calls after the first have no effect."""
        if self.result is None:
            self.result = result
            self.resolved.set()


class Slots:
    """Slots of one endpoint, and the tickets that wait for one.

    Attributes
    ----------
    granted : dict of str to Slot
        Slots in use, by name.
    unattributed : int
        Requests that the endpoint reports beyond those known here.
    mean_duration_s : float
        Moving average of the request duration; 0 before the first one.
    mean_token_time_s : float
        Moving average of the seconds per output token, or per request
        without output tokens.

    Notes
    -----
    The number of requests in flight has three parts: the granted slots;
    the lingering slots, whose request may still run although its entry
    gave up; and the unattributed requests.  A slot stops lingering with
    a status call sent at least `STATUS_LAG_S` after the slot was freed.
    The unattributed requests are those that the endpoint reports beyond
    the largest number of slots in use since twice that lag before the
    status call.

    A ticket enters the fair queue only once its model is loaded, so
    that a load does not delay requests for other models.
    """

    def __init__(self):
        self.granted = {}
        self.unattributed = 0
        self.mean_duration_s = 0.0
        self.mean_token_time_s = 0.0
        self._lingering = {}
        self._cold_tickets = {}
        self._queue = fair_queue.FairQueue()
        self._queued_tickets = {}
        self._queued_by_customer = collections.Counter()
        self._queued_by_model = collections.Counter()
        self._granted_counts = collections.deque()

    @property
    def in_flight(self):
        """Number of requests that may be running at the endpoint."""
        return len(self.granted) + len(self._lingering) + self.unattributed

    @property
    def waiting_count(self):
        """Number of waiting tickets, whether the model is loaded or not."""
        return len(self._queued_tickets) + sum(
            map(len, self._cold_tickets.values())
        )

    def waiting_for(self, model):
        """Return the number of tickets that wait for a model."""
        return self._queued_by_model[model] + len(
            self._cold_tickets.get(model, ())
        )

    def running(self, model):
        """Return the number of requests of a model that may be running."""
        slots = [*self.granted.values(), *self._lingering_slots()]
        return sum(slot.model == model for slot in slots)

    def expected_wait_s(self, customer, rank, limit):
        """Estimate the seconds that a new ticket would wait.

        Parameters
        ----------
        customer : str
        rank : int
        limit : int
            Number of requests that may be in flight.

        Notes
        -----
        A ticket waits for its own customer's tickets of the same or a
        lower rank and, at equal weights, for as many of each other
        customer, but never for more tickets than are queued.
        """
        active = {who for (who, _), n in self._queued_by_customer.items() if n}
        own = sum(
            count
            for (who, other), count in self._queued_by_customer.items()
            if who == customer and other <= rank
        )
        tickets_before = min(
            len(self._queued_tickets), (own + 1) * max(len(active), 1)
        )
        if self.in_flight < limit and not self._queued_tickets:
            return 0.0
        return tickets_before * self.mean_duration_s / max(limit, 1)

    def add(self, ticket):
        """Add a ticket; keep it out of the queue if its model is cold."""
        if ticket.cold:
            self._cold_tickets.setdefault(ticket.request.model, []).append(
                ticket
            )
        else:
            self._enqueue(ticket)

    def remove(self, ticket):
        """Remove a ticket that no longer waits."""
        if ticket in self._queued_tickets:
            self._queue.remove(ticket)
            self._update_counts(ticket, -1)
            return
        tickets = self._cold_tickets.get(ticket.request.model, [])
        if ticket in tickets:
            tickets.remove(ticket)
            if not tickets:
                del self._cold_tickets[ticket.request.model]

    def enqueue_ready(self, is_ready):
        """Queue the cold tickets whose model is loaded now.

        Parameters
        ----------
        is_ready : callable
            ``is_ready(model)`` returns whether a model is loaded.
        """
        for model in [name for name in self._cold_tickets if is_ready(name)]:
            for ticket in self._cold_tickets.pop(model):
                self._enqueue(ticket)

    def pop(self, max_rank=math.inf):
        """Return the next ticket whose rank is allowed, or None."""
        ticket = self._queue.pop(max_rank)
        if ticket is not None:
            self._update_counts(ticket, -1)
        return ticket

    def tickets(self, model=None):
        """Return the waiting tickets of one model, or of all models."""
        found = [t for tickets in self._cold_tickets.values() for t in tickets]
        found += self._queued_tickets
        return [t for t in found if model is None or t.request.model == model]

    def add_granted(self, slot, now):
        """Count a slot as granted."""
        self.granted[slot.name] = slot
        self._record_count(now)

    def free(self, name, outcome, duration_s, now, tokens=0):
        """Free a slot; return the slot, or None if it is unknown.

        Notes
        -----
        A request that did not end with a complete answer may still run,
        so its slot lingers.
        """
        slot = self.granted.pop(name, None)
        if slot is None:
            return None
        if outcome == "ok":
            self.mean_duration_s = _smooth(self.mean_duration_s, duration_s)
            self.mean_token_time_s = _smooth(
                self.mean_token_time_s, duration_s / max(tokens, 1)
            )
        elif outcome != "unused":
            self._lingering[name] = (slot, now)
        self._record_count(now)
        return slot

    def on_status(self, in_flight, asked_at):
        """Apply the number of requests in flight from a status.

        Parameters
        ----------
        in_flight : int
        asked_at : float
            When the status call was sent; seconds, trio's clock.
        """
        for name, (_, freed_at) in list(self._lingering.items()):
            if asked_at - freed_at >= STATUS_LAG_S:
                del self._lingering[name]
        while len(self._granted_counts) > 1 and self._is_outdated(asked_at):
            self._granted_counts.popleft()
        max_count = max(
            (count for _, count in self._granted_counts), default=0
        )
        max_count = max(max_count, len(self.granted) + len(self._lingering))
        self.unattributed = max(0, in_flight - max_count)

    def on_restart(self, now):
        """Let all slots linger: a new process of the endpoint answers."""
        for name in list(self.granted):
            self._lingering[name] = (self.granted.pop(name), now)
        self.unattributed = 0

    def refuse(self, refusal, model=None):
        """Refuse the waiting tickets of one model, or of all models."""
        for ticket in self.tickets(model):
            self.remove(ticket)
            ticket.resolve(refusal)

    def holders(self):
        """Return the names of the entries that hold a slot."""
        return sorted({slot.entry for slot in self.granted.values()})

    def adopt(self, slot, now):
        """Count a slot that an earlier owner granted."""
        if slot.name not in self.granted and slot.name not in self._lingering:
            self.add_granted(slot, now)

    def free_lost(self, report, granted_before, now):
        """Free the slots whose grant never reached the entry.

        Parameters
        ----------
        report : dogwoodwheel.wire.messages.InFlight
            The slots that an entry holds.
        granted_before : float
            Slots granted before then must be in the report; seconds,
            trio's clock.
        now : float
        """
        for slot in list(self.granted.values()):
            lost = slot.entry == report.entry and slot.name not in report.slots
            if lost and slot.granted_at < granted_before:
                self.free(slot.name, "cancelled", 0.0, now)

    def _enqueue(self, ticket):
        request = ticket.request
        self._queue.push(
            ticket,
            request.customer,
            request.weight,
            ticket.rank,
            request.cost,
        )
        self._update_counts(ticket, 1)

    def _update_counts(self, ticket, change):
        if change > 0:
            self._queued_tickets[ticket] = None
        else:
            del self._queued_tickets[ticket]
        self._queued_by_customer[
            ticket.request.customer, ticket.rank
        ] += change
        self._queued_by_model[ticket.request.model] += change

    def _record_count(self, now):
        self._granted_counts.append((now, len(self.granted)))

    def _is_outdated(self, asked_at):
        # The oldest count was valid until the second oldest was recorded.
        return self._granted_counts[1][0] < asked_at - 2 * STATUS_LAG_S

    def _lingering_slots(self):
        return [slot for slot, _ in self._lingering.values()]


def _smooth(mean, value):
    return value if not mean else mean + SMOOTHING_FACTOR * (value - mean)


def make_refusal(code, message, status=503, retry_after_s=0.0):
    """Return a refusal of a request of which no byte was sent."""
    return messages.Refusal(
        id=0,
        code=code,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
    )
