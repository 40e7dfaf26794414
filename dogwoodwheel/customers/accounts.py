"""This entry's share of each customer's rate and burst."""

import collections
import dataclasses

from dogwoodwheel.customers import demand
from dogwoodwheel.customers import token_bucket

__all__ = ["Account", "Accounts", "State"]


@dataclasses.dataclass(frozen=True)
class State:
    """A customer's tokens at this entry, as operators see them."""

    customer: str
    cap: float
    level: float
    held: float
    lent: float
    refundable: float


class Account:
    """One customer's bucket and demand at this entry.

    Parameters
    ----------
    customer : dogwoodwheel.declaration.datatypes.Customer
    customer_bucket : dogwoodwheel.customers.token_bucket.TokenBucket

    Attributes
    ----------
    prefetched_loans : collections.deque
        Prefetched loans, `dogwoodwheel.customers.loans.BorrowedLoan`,
        the oldest first.
    is_prefetching : bool
        Whether a prefetch is scheduled or running.
    waiting_tokens : float
        Tokens of the requests that wait for the customer's rate.
    shortfall_at : float
        Monotonic time when peers last lent too few tokens for a request,
        seconds.
    shortfall_peer_tokens : float
        Tokens that peers lent at that time.
    """

    def __init__(self, customer, customer_bucket):
        self.customer = customer
        self.bucket = customer_bucket
        self.demand = demand.Demand()
        self.prefetched_loans = collections.deque()
        self.is_prefetching = False
        self.waiting_tokens = 0.0
        self.shortfall_at = float("-inf")
        self.shortfall_peer_tokens = 0.0

    def pop_prefetched(self):
        """Remove and return all prefetched loans."""
        borrowed = list(self.prefetched_loans)
        self.prefetched_loans.clear()
        self.bucket.prefetched = 0.0
        return borrowed

    def spend_prefetched(self, tokens):
        """Spend prefetched loans; return the loans that are spent."""
        spent_loans = []
        while self.prefetched_loans:
            tokens -= self.prefetched_loans[0].spend(tokens)
            if not self.prefetched_loans[0].is_spent:
                break
            spent_loans.append(self.prefetched_loans.popleft())
        return spent_loans


class Accounts:
    """The accounts of all customers, and the partitions of this entry.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    repay_loans : callable
        Called with loans that are to be returned to their lenders.

    Attributes
    ----------
    partitions : dict of int to int
        Epochs of the partitions that this entry holds, by partition.
    """

    def __init__(self, clock, repay_loans):
        self.clock = clock
        self.repay_loans = repay_loans
        self.partitions = {}
        self._partition_count = 1
        self._full_partitions = set()
        self._last_added = set()
        self._known_customers = set()
        self._accounts = {}

    def __iter__(self):
        return iter(self._accounts.values())

    def __contains__(self, customer):
        return customer in self._accounts

    def get(self, customer):
        """Return the account of a customer by name, or None."""
        return self._accounts.get(customer)

    @property
    def share(self):
        """Fraction of every customer's rate that this entry holds."""
        return self._fraction(self.partitions)

    def states(self):
        """Return the `State` of every customer."""
        return tuple(
            State(
                account.customer.name,
                account.bucket.cap,
                account.bucket.level,
                account.bucket.prefetched,
                account.bucket.lent,
                account.bucket.refundable,
            )
            for account in self
        )

    def add_partitions(self, partitions, full=False):
        """Add partitions that this entry now holds.

        Parameters
        ----------
        partitions : dict of int to int
            Epochs by partition.
        full : bool
            Whether the partitions had no holder before.  Such partitions
            start with their full burst, all others without tokens.
        """
        new = set(partitions) - set(self.partitions)
        self.partitions.update(partitions)
        if new:
            self._last_added = new
        if full:
            self._full_partitions.update(new)
        fraction = self._fraction(new)
        if full:
            self._resize(full=fraction)
        else:
            self._resize(expected=fraction)

    def remove_partitions(self, partitions):
        """Remove partitions that this entry no longer holds.

        Parameters
        ----------
        partitions : iterable of int

        Returns
        -------
        dict of str to float
            Tokens by customer that move with the partitions; negative
            for a debt.  The caller must send them at most once, and only
            to the next holder.
        """
        removed = set(partitions) & set(self.partitions)
        if not removed:
            return {}
        now = self.clock()
        fraction = len(removed) / len(self.partitions)
        levels = {}
        for account in self:
            self.repay_loans(account.pop_prefetched())
            moved = account.bucket.withdraw_fraction(fraction, now)
            levels[account.customer.name] = moved
        for partition in removed:
            del self.partitions[partition]
        self._full_partitions -= removed
        self._resize()
        return levels

    def add_transferred(self, levels, partitions=None):
        """Add tokens that were transferred with added partitions.

        Parameters
        ----------
        levels : dict of str to float
            Tokens by customer, as returned by `remove_partitions` at the
            previous holder.
        partitions : iterable of int, optional
            Partitions to which the tokens belong; by default the
            partitions that were added last.

        Notes
        -----
        The method is not idempotent: the caller must drop a `HandOver`
        whose epochs it has already processed.  The tokens may arrive
        late; what the refill has added in their place is subtracted.
        """
        known = set(partitions or self._last_added) & set(self.partitions)
        now = self.clock()
        fraction = self._fraction(known)
        for name, tokens in levels.items():
            account = self._accounts.get(name)
            if account is not None:
                max_tokens = account.customer.burst * fraction
                account.bucket.add_transferred(tokens, max_tokens, now)

    def configure(self, declaration):
        """Apply a configuration.

        Parameters
        ----------
        declaration : dogwoodwheel.declaration.datatypes.Declaration

        Notes
        -----
        A customer that is new to this process starts with the burst of
        those partitions that had no holder before, since no other
        process can have spent that burst.  In all other cases a customer
        starts without tokens.
        """
        self._partition_count = declaration.partitions
        for name in set(self._accounts) - set(declaration.customers):
            self.repay_loans(self._accounts.pop(name).pop_prefetched())
        for customer in declaration.customers.values():
            if customer.name in self._accounts:
                self._accounts[customer.name].customer = customer
            else:
                self._accounts[customer.name] = self._open(customer)
        self._resize()

    def _open(self, customer):
        level = 0.0
        if customer.name not in self._known_customers:
            level = customer.burst * self._fraction(self._full_partitions)
        self._known_customers.add(customer.name)
        customer_bucket = token_bucket.TokenBucket(
            customer.rate, customer.burst, self.share, level, self.clock()
        )
        return Account(customer, customer_bucket)

    def _fraction(self, partitions):
        """Return the fraction of the rate that some partitions carry."""
        valid = sum(
            partition < self._partition_count for partition in partitions
        )
        return valid / self._partition_count

    def _resize(self, full=0.0, expected=0.0):
        """Adapt all buckets to the share of this entry.

        Parameters
        ----------
        full : float
            Fraction of the burst that is added at once.
        expected : float
            Fraction of the burst that the previous holder may transfer
            later.
        """
        now = self.clock()
        share = self.share
        for account in self:
            customer = account.customer
            account.bucket.resize(
                customer.rate,
                customer.burst,
                share,
                now,
                added=customer.burst * full,
                expected=customer.burst * expected,
            )
