"""Slots of one endpoint: who holds one, and who waits for one."""

import collections
import dataclasses
import math

import trio

from dogwoodwheel.customers import fair_queue
from dogwoodwheel.wire import messages

__all__ = ["Slot", "Slots", "Ticket", "refusal"]

STATUS_LAG_S = 1.0
SMOOTHING = 0.2


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot that was granted.

    Parameters
    ----------
    name : str
    entry, incarnation : str
        The entry that holds it, and that entry's incarnation.
    model : str
    granted_at : float
        Seconds, trio's clock.
    until : float
        Deadline of its request; infinite where it is not known.
    process : str
        Incarnation of the endpoint when it was granted.
    """

    name: str
    entry: str
    incarnation: str
    model: str
    granted_at: float
    until: float = math.inf
    process: str = ""


class Ticket:
    """One request that waits for a slot.

    Parameters
    ----------
    ask : dogwoodwheel.wire.messages.SlotAsk
    rank : int
        Rank of its priority class.
    now : float
    cold : bool
        Whether its model was not loaded when it came.
    """

    def __init__(self, ask, rank, now, cold):
        self.ask = ask
        self.rank = rank
        self.since = now
        self.cold = cold
        self.result = None
        self.done = trio.Event()

    def finish(self, result):
        """Give the ticket its answer, once."""
        if self.result is None:
            self.result = result
            self.done.set()


class Slots:
    """Slots granted, ended lately and waited for, of one endpoint.

    Notes
    -----
    In flight are the slots granted, those whose request may still run
    although its entry gave up (until a status that was asked for later
    than the reports' lag), and what the endpoint reports beyond the
    most slots held within that lag.

    A ticket waits aside until its model is loaded; only then it takes
    its place in the fair queue, so a load holds up nobody else.
    """

    def __init__(self):
        self.granted = {}
        self.foreign = 0
        self.took_s = 0.0
        self.pace_s = 0.0
        self._lingering = {}
        self._cold = {}
        self._queue = fair_queue.FairQueue()
        self._tickets = {}
        self._queued = collections.Counter()
        self._queued_models = collections.Counter()
        self._held = collections.deque()

    @property
    def in_flight(self):
        """Requests that may be running at the endpoint."""
        return len(self.granted) + len(self._lingering) + self.foreign

    @property
    def waiting(self):
        """Tickets that wait, with a loaded model or not."""
        return len(self._tickets) + sum(map(len, self._cold.values()))

    def waiting_for(self, model):
        """Return how many tickets wait for a model."""
        return self._queued_models[model] + len(self._cold.get(model, ()))

    def running(self, model):
        """Return how many requests of a model may be running."""
        slots = [*self.granted.values(), *self._lingering_slots()]
        return sum(slot.model == model for slot in slots)

    def expected_wait_s(self, customer, rank, limit):
        """Return the seconds that a new ticket would wait, about.

        Notes
        -----
        A ticket waits for those of its own customer that do not go after
        it and, at equal weights, for as many of each other customer,
        never for more than all.
        """
        active = {who for (who, _), n in self._queued.items() if n}
        own = sum(
            count
            for (who, other), count in self._queued.items()
            if who == customer and other <= rank
        )
        ahead = min(len(self._tickets), (own + 1) * max(len(active), 1))
        if self.in_flight < limit and not self._tickets:
            return 0.0
        return ahead * self.took_s / max(limit, 1)

    def add(self, ticket):
        """Let a ticket wait; aside while its model is not loaded."""
        if ticket.cold:
            self._cold.setdefault(ticket.ask.model, []).append(ticket)
        else:
            self._enqueue(ticket)

    def remove(self, ticket):
        """Take a ticket out that waits no longer."""
        if ticket in self._tickets:
            self._queue.remove(ticket)
            self._count(ticket, -1)
            return
        tickets = self._cold.get(ticket.ask.model, [])
        if ticket in tickets:
            tickets.remove(ticket)
            if not tickets:
                del self._cold[ticket.ask.model]

    def wake(self, ready):
        """Queue the tickets whose model ``ready(model)`` is loaded."""
        for model in [name for name in self._cold if ready(name)]:
            for ticket in self._cold.pop(model):
                self._enqueue(ticket)

    def take(self, max_rank=math.inf):
        """Return the next ticket in turn of a rank, or None."""
        ticket = self._queue.pop(max_rank)
        if ticket is not None:
            self._count(ticket, -1)
        return ticket

    def tickets(self, model=None):
        """Return the waiting tickets, of one model or of all."""
        found = [t for tickets in self._cold.values() for t in tickets]
        found += self._tickets
        return [t for t in found if model is None or t.ask.model == model]

    def hold(self, slot, now):
        """Count a slot as granted."""
        self.granted[slot.name] = slot
        self._note(now)

    def finish(self, name, outcome, took_s, now, tokens=0):
        """Free a slot; return it, or None where it is not known.

        Notes
        -----
        A request that did not end with a whole answer may run on, so
        its slot lingers.
        """
        slot = self.granted.pop(name, None)
        if slot is None:
            return None
        if outcome == "ok":
            self.took_s = _smooth(self.took_s, took_s)
            self.pace_s = _smooth(self.pace_s, took_s / max(tokens, 1))
        elif outcome != "unused":
            self._lingering[name] = (slot, now)
        self._note(now)
        return slot

    def report(self, in_flight, asked_at):
        """Learn the endpoint's count, from a status asked for then."""
        for name, (_, ended) in list(self._lingering.items()):
            if asked_at - ended >= STATUS_LAG_S:
                del self._lingering[name]
        while len(self._held) > 1 and self._stale(asked_at):
            self._held.popleft()
        most = max((count for _, count in self._held), default=0)
        most = max(most, len(self.granted) + len(self._lingering))
        self.foreign = max(0, in_flight - most)

    def restarted(self, now):
        """Learn that another process of the endpoint answers."""
        for name in list(self.granted):
            self._lingering[name] = (self.granted.pop(name), now)
        self.foreign = 0

    def refuse(self, refusal, model=None):
        """Refuse the waiting tickets, of one model or all."""
        for ticket in self.tickets(model):
            self.remove(ticket)
            ticket.finish(refusal)

    def entries(self):
        """Return the names of the entries that hold a slot."""
        return sorted({slot.entry for slot in self.granted.values()})

    def adopt(self, slot, now):
        """Count a slot that an earlier owner granted."""
        if slot.name not in self.granted and slot.name not in self._lingering:
            self.hold(slot, now)

    def drop_lost(self, report, settled_at, now):
        """Free the slots whose grant was lost on its way.

        Parameters
        ----------
        report : dogwoodwheel.wire.messages.InFlight
            What an entry holds.
        settled_at : float
            A slot granted before then must be in the report.
        now : float
        """
        for slot in list(self.granted.values()):
            lost = slot.entry == report.entry and slot.name not in report.slots
            if lost and slot.granted_at < settled_at:
                self.finish(slot.name, "cancelled", 0.0, now)

    def _enqueue(self, ticket):
        ask = ticket.ask
        self._queue.push(
            ticket, ask.customer, ask.weight, ticket.rank, ask.cost
        )
        self._count(ticket, 1)

    def _count(self, ticket, step):
        if step > 0:
            self._tickets[ticket] = None
        else:
            del self._tickets[ticket]
        self._queued[ticket.ask.customer, ticket.rank] += step
        self._queued_models[ticket.ask.model] += step

    def _note(self, now):
        self._held.append((now, len(self.granted)))

    def _stale(self, asked_at):
        # The second oldest mark tells when the oldest stopped to hold.
        return self._held[1][0] < asked_at - 2 * STATUS_LAG_S

    def _lingering_slots(self):
        return [slot for slot, _ in self._lingering.values()]


def _smooth(mean, value):
    return value if not mean else mean + SMOOTHING * (value - mean)


def refusal(code, message, status=503, retry_after_s=0.0):
    """Return a refusal of a request of which no byte was sent."""
    return messages.Refusal(
        id=0,
        code=code,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
    )
