"""Queue requests fairly by customers' tokens and priority classes."""

import collections
import math

__all__ = ["FairQueue"]

QUANTUM_TOKENS = 512


class _Flow:
    """Waiting requests of one customer."""

    def __init__(self):
        self.weight = 1.0
        self.deficit = 0.0
        self.has_turn = False
        self.ranks = {}

    def push(self, rank, item, cost):
        """Append an item after the others of its rank."""
        if rank not in self.ranks:
            self.ranks[rank] = collections.OrderedDict()
        self.ranks[rank][item] = cost

    @property
    def lowest_rank(self):
        """Rank of the item that is served first."""
        return min(self.ranks)

    def head(self):
        """Return rank, item and cost of the item that is served first."""
        rank = self.lowest_rank
        item, cost = next(iter(self.ranks[rank].items()))
        return rank, item, cost

    def remove(self, rank, item):
        """Remove an item."""
        del self.ranks[rank][item]
        if not self.ranks[rank]:
            del self.ranks[rank]


class FairQueue:
    """Serve customers by deficit round robin over their tokens.

    Parameters
    ----------
    quantum : float
        Tokens that a customer of weight 1 is granted in one turn.

    Notes
    -----
    Deficit round robin is described by Shreedhar and Varghese, 1995.
    Among the items of one customer, a lower rank is served first, and
    items of equal rank are served in order of arrival.  A short request
    is therefore delayed neither by long requests of other customers nor
    by long requests of a higher rank.

    `push` and `remove` take constant time.  `pop` takes constant time
    while costs are about the size of the quantum.  In the worst case
    `pop` visits each waiting customer a fixed number of times, since
    rounds that would serve nobody are skipped.

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
        self._positions = {}

    def __len__(self):
        return len(self._positions)

    def __contains__(self, item):
        return item in self._positions

    def push(self, item, customer, weight, rank, cost):
        """Append an item.

        Parameters
        ----------
        item : hashable
            Must not be in the queue already.
        customer : str
        weight : float
            Share of the customer relative to the others, above 0.
        rank : int
            Rank of the priority class; a lower rank is served first.
        cost : float
            Cost of the item, tokens.

        Raises
        ------
        ValueError
            If the item is in the queue already or the weight is not
            above 0.
        """
        if item in self._positions:
            raise ValueError(f"{item!r} is already in the queue")
        if weight <= 0:
            raise ValueError(f"weight must be above 0, not {weight}")
        flow = self._flows.get(customer)
        if flow is None:
            flow = _Flow()
            self._flows[customer] = flow
        flow.weight = weight
        flow.push(rank, item, cost)
        self._positions[item] = (customer, rank)

    def remove(self, item):
        """Remove an item before its turn.

        Returns
        -------
        bool
            Whether the item was in the queue.
        """
        position = self._positions.pop(item, None)
        if position is None:
            return False
        customer, rank = position
        self._remove_from_flow(customer, rank, item)
        return True

    def pop(self, max_rank=math.inf):
        """Remove and return the item whose turn it is.

        Parameters
        ----------
        max_rank : int, optional
            Only items of at most this rank are returned.  With this
            limit the last free slots can be reserved for short requests
            while long requests occupy all other slots.

        Returns
        -------
        hashable or None
            None if no item of at most this rank is waiting.
        """
        visited, eligible = 0, []
        while self._flows:
            customer, flow = next(iter(self._flows.items()))
            if flow.lowest_rank <= max_rank:
                if self._can_pop(flow):
                    return self._pop_head(customer, flow)
                eligible.append(flow)
            flow.has_turn = False
            self._flows.move_to_end(customer)
            visited += 1
            if visited >= len(self._flows):
                if not eligible:
                    return None
                self._skip_rounds(eligible)
                visited, eligible = 0, []
        return None

    def _can_pop(self, flow):
        """Start a flow's turn; return whether its deficit covers its head."""
        if not flow.has_turn:
            flow.has_turn = True
            flow.deficit += self.quantum * flow.weight
        _, _, cost = flow.head()
        return cost <= flow.deficit

    def _pop_head(self, customer, flow):
        rank, item, cost = flow.head()
        flow.deficit -= cost
        del self._positions[item]
        self._remove_from_flow(customer, rank, item)
        return item

    def _remove_from_flow(self, customer, rank, item):
        flow = self._flows[customer]
        flow.remove(rank, item)
        # A customer without waiting items accumulates no deficit.
        if not flow.ranks:
            del self._flows[customer]

    def _skip_rounds(self, flows):
        """Grant the quanta of all turns in which nobody could be served."""
        turns = min(self._turns_needed(flow) for flow in flows)
        for flow in flows:
            flow.deficit += (turns - 1) * self.quantum * flow.weight

    def _turns_needed(self, flow):
        _, _, cost = flow.head()
        missing = cost - flow.deficit
        return max(math.ceil(missing / (self.quantum * flow.weight)), 1)
