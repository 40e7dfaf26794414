"""What this entry holds of each customer's rate."""

import collections
import dataclasses

from dogwoodwheel.customers import bucket
from dogwoodwheel.customers import demand

__all__ = ["Account", "Accounts", "State"]


@dataclasses.dataclass(frozen=True)
class State:
    """A customer's tokens at this entry, for the operators."""

    customer: str
    cap: float
    level: float
    held: float
    lent: float
    refundable: float


class Account:
    """One customer at this entry.

    Parameters
    ----------
    customer : dogwoodwheel.declaration.model.Customer
    tokens : dogwoodwheel.customers.bucket.Bucket

    Attributes
    ----------
    held : collections.deque of dogwoodwheel.customers.loans.Borrowed
        Loans taken ahead, oldest first.
    asking : bool
        Whether tokens are being asked for ahead.
    waiting : float
        Tokens of requests that wait for the rate.
    dry_at, dry_tokens : float
        When peers last could not fill a request, and what they had.
    """

    def __init__(self, customer, tokens):
        self.customer = customer
        self.bucket = tokens
        self.demand = demand.Demand()
        self.held = collections.deque()
        self.asking = False
        self.waiting = 0.0
        self.dry_at = float("-inf")
        self.dry_tokens = 0.0

    def take_held(self):
        """Take out all loans taken ahead, to return them."""
        borrowed = list(self.held)
        self.held.clear()
        self.bucket.held = 0.0
        return borrowed

    def spend_held(self, tokens):
        """Spend loans taken ahead; return those that are used up."""
        used_up = []
        while self.held:
            tokens -= self.held[0].spend(tokens)
            if not self.held[0].used_up:
                break
            used_up.append(self.held.popleft())
        return used_up


class Accounts:
    """The accounts of all customers, and the shares this entry has.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    give_back : callable
        Takes loans that are to be returned to their lenders.

    Attributes
    ----------
    partitions : dict of int to int
        Partitions of the rates held here, with their epochs.
    """

    def __init__(self, clock, give_back):
        self.clock = clock
        self.give_back = give_back
        self.partitions = {}
        self._count = 1
        self._untouched = set()
        self._last_gained = set()
        self._known = set()
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
        """Part of every customer's rate that this entry holds."""
        return self._part(self.partitions)

    def states(self):
        """Return the `State` of every customer."""
        return tuple(
            State(
                account.customer.name,
                account.bucket.cap,
                account.bucket.level,
                account.bucket.held,
                account.bucket.lent,
                account.bucket.refundable,
            )
            for account in self
        )

    def gained(self, partitions, full=False):
        """Take partitions of the rate.

        Parameters
        ----------
        partitions : dict of int to int
            Their epochs.
        full : bool
            Whether nobody held them before, so that they start with
            their whole burst; else they start empty.
        """
        new = set(partitions) - set(self.partitions)
        self.partitions.update(partitions)
        if new:
            self._last_gained = new
        if full:
            self._untouched.update(new)
        part = self._part(new)
        if full:
            self._resize(full=part)
        else:
            self._resize(late=part)

    def lost(self, partitions):
        """Give partitions up.

        Parameters
        ----------
        partitions : iterable of int

        Returns
        -------
        dict of str to float
            Tokens by customer that move with them; a debt moves too.
            Send them once, and only to the next holder.
        """
        gone = set(partitions) & set(self.partitions)
        if not gone:
            return {}
        now = self.clock()
        part = len(gone) / len(self.partitions)
        levels = {}
        for account in self:
            self.give_back(account.take_held())
            moved = account.bucket.move_out(part, now)
            levels[account.customer.name] = moved
        for number in gone:
            del self.partitions[number]
        self._untouched -= gone
        self._resize()
        return levels

    def hand_in(self, levels, partitions=None):
        """Add tokens that came with partitions taken by `gained`.

        Parameters
        ----------
        levels : dict of str to float
            As `lost` of the earlier holder returned them.
        partitions : iterable of int, optional
            Those that the tokens belong to; without it, those gained
            last.

        Notes
        -----
        Not idempotent: the caller drops a `HandOver` whose epochs it
        has seen.  The tokens may come late: what has been refilled in
        their place meanwhile is taken off.
        """
        known = set(partitions or self._last_gained) & set(self.partitions)
        now = self.clock()
        part = self._part(known)
        for name, tokens in levels.items():
            account = self._accounts.get(name)
            if account is not None:
                most = account.customer.burst * part
                account.bucket.hand_in(tokens, most, now)

    def configure(self, declaration):
        """Take a configuration.

        Parameters
        ----------
        declaration : dogwoodwheel.declaration.model.Declaration

        Notes
        -----
        A customer that this process has never seen starts with the
        burst of those partitions that nobody held before: no other
        process can have spent it.  All else starts empty.
        """
        self._count = declaration.partitions
        for name in set(self._accounts) - set(declaration.customers):
            self.give_back(self._accounts.pop(name).take_held())
        for customer in declaration.customers.values():
            if customer.name in self._accounts:
                self._accounts[customer.name].customer = customer
            else:
                self._accounts[customer.name] = self._open(customer)
        self._resize()

    def _open(self, customer):
        level = 0.0
        if customer.name not in self._known:
            level = customer.burst * self._part(self._untouched)
        self._known.add(customer.name)
        tokens = bucket.Bucket(
            customer.rate, customer.burst, self.share, level, self.clock()
        )
        return Account(customer, tokens)

    def _part(self, partitions):
        """Return the part of the rate that some partitions carry."""
        valid = sum(number < self._count for number in partitions)
        return valid / self._count

    def _resize(self, full=0.0, late=0.0):
        """Adapt all buckets to the share; parts are full or come late."""
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
                expected=customer.burst * late,
            )
