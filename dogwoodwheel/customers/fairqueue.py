"""A queue in which customers share by tokens and classes have a rank."""

import collections
import math

__all__ = ["FairQueue"]

QUANTUM_TOKENS = 512


class _Flow:
    """Waiting requests of one customer."""

    def __init__(self):
        self.weight = 1.0
        self.deficit = 0.0
        self.visited = False
        self.ranks = {}

    def push(self, rank, item, cost):
        """Append an item behind those of its rank."""
        if rank not in self.ranks:
            self.ranks[rank] = collections.OrderedDict()
        self.ranks[rank][item] = cost

    @property
    def lowest_rank(self):
        """Rank of what goes first."""
        return min(self.ranks)

    def head(self):
        """Return rank, item and cost of what goes first."""
        rank = self.lowest_rank
        item, cost = next(iter(self.ranks[rank].items()))
        return rank, item, cost

    def remove(self, rank, item):
        """Take an item out."""
        del self.ranks[rank][item]
        if not self.ranks[rank]:
            del self.ranks[rank]


class FairQueue:
    """Deficit round robin over customers, by tokens.

    Parameters
    ----------
    quantum : float
        Tokens that a customer of weight 1 may send in one turn.

    Notes
    -----
    Deficit round robin: Shreedhar and Varghese, 1995.  Inside a customer
    the lower rank goes first, and equal ranks go in order of arrival.
    So neither another customer's long request nor a long one of a
    higher rank stands before a short one.

    `push` and `remove` take constant time; `pop` does as long as costs
    are of the quantum's size, and visits each waiting customer a fixed
    number of times at worst, since rounds that would serve nobody are
    skipped.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.push("audit", "husk", 1.0, 9, 4000)
    >>> queue.push("question", "husk", 1.0, 1, 50)
    >>> queue.pop(), queue.pop(), queue.pop()
    ('question', 'audit', None)
    """

    def __init__(self, quantum=QUANTUM_TOKENS):
        self.quantum = quantum
        self._flows = collections.OrderedDict()
        self._places = {}

    def __len__(self):
        return len(self._places)

    def __contains__(self, item):
        return item in self._places

    def push(self, item, customer, weight, rank, cost):
        """Append an item.

        Parameters
        ----------
        item : hashable
            Must not be waiting already.
        customer : str
        weight : float
            Part of the customer relative to others, above 0.
        rank : int
            Rank of the priority class; the lower goes first.
        cost : float
            Tokens.

        Raises
        ------
        ValueError
            If the item waits already or the weight is not above 0.
        """
        if item in self._places:
            raise ValueError(f"{item!r} waits already; push it once")
        if weight <= 0:
            raise ValueError(f"weight {weight} is not above 0")
        flow = self._flows.get(customer)
        if flow is None:
            flow = _Flow()
            self._flows[customer] = flow
        flow.weight = weight
        flow.push(rank, item, cost)
        self._places[item] = (customer, rank)

    def remove(self, item):
        """Take an item out before its turn.

        Returns
        -------
        bool
            False where it does not wait.
        """
        place = self._places.pop(item, None)
        if place is None:
            return False
        customer, rank = place
        self._take(customer, rank, item)
        return True

    def pop(self, max_rank=math.inf):
        """Return the item whose turn it is.

        Parameters
        ----------
        max_rank : int, optional
            Only items of this rank or a lower one.  So the last free
            slots can be kept for short requests while long ones run in
            all others.

        Returns
        -------
        hashable or None
            None where no such item waits.
        """
        passed, eligible = 0, []
        while self._flows:
            customer, flow = next(iter(self._flows.items()))
            if flow.lowest_rank <= max_rank:
                if self._may_send(flow):
                    return self._send(customer, flow)
                eligible.append(flow)
            flow.visited = False
            self._flows.move_to_end(customer)
            passed += 1
            if passed >= len(self._flows):
                if not eligible:
                    return None
                self._skip_rounds(eligible)
                passed, eligible = 0, []
        return None

    def _may_send(self, flow):
        """Grant a flow its turn, and tell whether it pays for its head."""
        if not flow.visited:
            flow.visited = True
            flow.deficit += self.quantum * flow.weight
        _, _, cost = flow.head()
        return cost <= flow.deficit

    def _send(self, customer, flow):
        rank, item, cost = flow.head()
        flow.deficit -= cost
        del self._places[item]
        self._take(customer, rank, item)
        return item

    def _take(self, customer, rank, item):
        flow = self._flows[customer]
        flow.remove(rank, item)
        # An idle customer saves nothing up.
        if not flow.ranks:
            del self._flows[customer]

    def _skip_rounds(self, flows):
        """Grant at once the turns in which nobody could be served."""
        turns = min(self._turns(flow) for flow in flows)
        for flow in flows:
            flow.deficit += (turns - 1) * self.quantum * flow.weight

    def _turns(self, flow):
        _, _, cost = flow.head()
        missing = cost - flow.deficit
        return max(math.ceil(missing / (self.quantum * flow.weight)), 1)
