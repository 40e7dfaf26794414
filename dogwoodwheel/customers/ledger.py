"""Charge requests to their customers' rates, over all entries."""

import itertools
import random

import trio

from dogwoodwheel.customers import accounts
from dogwoodwheel.customers import ahead
from dogwoodwheel.customers import borrower
from dogwoodwheel.customers import estimate
from dogwoodwheel.customers import lender
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Ledger"]

GATHER_S = 1.0
RETRY_MIN_S = 0.01
RETRY_MAX_S = 0.05
DRY_S = 0.5
MIN_RETRY_AFTER_S = 0.05
UNREACHABLE_RETRY_S = 1.0
CHARGE_KEEP_S = 3600.0
SWEEP_S = 1.0
ID_BITS = 62
MIN_RATE = 1e-9


class Ledger:
    """All token buckets of one entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
        Offers ``view``, ``me``, ``incarnation``, ``call`` and ``gone``.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random, optional
        Draws names and random waits.

    Notes
    -----
    Each entry holds the rate and burst of the partitions it has.  Where
    these do not suffice for a request, it borrows from peers.

    Attributes
    ----------
    accounts : dogwoodwheel.customers.accounts.Accounts
    estimator : dogwoodwheel.customers.estimate.Estimator
    """

    def __init__(self, fleet, clock=trio.current_time, rng=None):
        rng = rng or random.Random()
        self.clock = clock
        self.rng = rng
        self.estimator = estimate.Estimator()
        self.borrower = borrower.Borrower(fleet, clock, rng)
        self.accounts = accounts.Accounts(clock, self.borrower.settle)
        self.lender = lender.Lender(fleet, self.accounts, clock, rng)
        self.ahead = ahead.Ahead(self.borrower, clock)
        self._charges = {}
        self._ids = itertools.count(rng.getrandbits(ID_BITS) + 1)

    async def admit(self, ask):
        """Charge a request to its customer.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask

        Returns
        -------
        int
            Name of the charge, for `settle`; 0 on a route open to all.

        Raises
        ------
        RefusedError
            If the customer's rate does not allow the request in time.

        Notes
        -----
        Charged are the prompt and the estimated output; for a plain
        service's call the tokens that the call counts.
        """
        if not ask.customer:
            return 0
        if self._charges.get(ask.charge) == ask.customer:
            return ask.charge
        account = self.accounts.get(ask.customer)
        if account is None:
            raise _unknown_customer(ask)
        cost = self._cost(ask, account.customer)
        number = next(self._ids)
        if not self._charge(account, number, cost):
            before = account.waiting
            account.waiting += cost
            try:
                await self._gather(ask, account, number, cost, before)
            finally:
                account.waiting -= cost
        self.ahead.consider(account)
        return number

    def settle(self, msg):
        """Replace a charge by its true cost; idempotent.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Settle
        """
        if msg.model and msg.output > 0:
            self.estimator.observe(msg.customer, msg.model, msg.output)
        account = self.accounts.get(self._charges.pop(msg.charge, None))
        if account is not None:
            account.bucket.settle(msg.charge, msg.tokens, self.clock())

    def on_borrow(self, msg):
        """Lend to a peer; see `lender.Lender.on_borrow`."""
        return self.lender.on_borrow(msg)

    def on_repay(self, msg):
        """Close a loan; see `lender.Lender.on_repay`."""
        return self.lender.on_repay(msg)

    def gained(self, partitions, full=False):
        """Take partitions; see `accounts.Accounts.gained`."""
        self.accounts.gained(partitions, full)

    def lost(self, partitions):
        """Give partitions up; see `accounts.Accounts.lost`."""
        return self.accounts.lost(partitions)

    def hand_in(self, levels, partitions=None):
        """Add tokens handed over; see `accounts.Accounts.hand_in`."""
        self.accounts.hand_in(levels, partitions)

    def configure(self, declaration):
        """Take a configuration; see `accounts.Accounts.configure`."""
        self.accounts.configure(declaration)

    def sweep(self):
        """Count loans of gone borrowers as spent; drop what is stale."""
        self.lender.sweep()
        before = self.clock() - CHARGE_KEEP_S
        for account in self.accounts:
            account.bucket.expire(before)
            self.ahead.return_stale(account)
        self._charges = {
            number: name
            for number, name in self._charges.items()
            if name in self.accounts
            and number in self.accounts.get(name).bucket.charges
        }
        self.borrower.forget_absent()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Repay loans, borrow ahead and sweep, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.borrower.run)
            nursery.start_soon(self.ahead.run)
            task_status.started()
            while True:
                await trio.sleep(SWEEP_S)
                self.sweep()

    def _cost(self, ask, customer):
        """Return the tokens to charge at admission."""
        if ask.prompt > customer.burst:
            raise _larger_than_burst(ask, customer)
        if not ask.model:
            return ask.prompt
        output = self.estimator.estimate(ask.customer, ask.model, ask.limit)
        # An estimate is no proof that the request cannot be served.
        return min(ask.prompt + output, customer.burst)

    def _charge(self, account, number, cost, borrowed=()):
        """Charge with what is here and ``borrowed``; tell if it did."""
        now = self.clock()
        lent = sum(loan.left for loan in borrowed)
        charge = account.bucket.charge(number, cost, now, lent)
        if charge is None:
            return False
        tokens = charge.from_borrowed
        for loan in borrowed:
            tokens -= loan.spend(tokens)
        self.borrower.settle(account.spend_held(charge.from_held))
        account.demand.add(cost, now)
        self._charges[number] = account.customer.name
        return True

    async def _gather(self, ask, account, number, cost, before):
        """Borrow until the request can be charged, or refuse it."""
        until = self.clock() + min(ask.deadline_s, GATHER_S)
        while True:
            missing = self._surely_missing(account, cost)
            if missing <= 0:
                missing = await self._try(ask, account, number, cost, until)
                if missing is None:
                    return
            before = min(before, account.waiting - cost)
            wait_s = self._wait_s(ask, account, missing + before)
            if self.clock() + wait_s >= until:
                raise _rate_limited(ask, account.customer, wait_s)
            wait_s += self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            await trio.sleep(wait_s)

    async def _try(self, ask, account, number, cost, until):
        """Ask peers once.

        Returns
        -------
        float or None
            Tokens that were missing, or None where it was charged.
        """
        short = cost - account.bucket.available
        got = await self.borrower.gather(account.customer, short, until)
        there = got.tokens
        charged = self._charge(account, number, cost, got.loans)
        # What was not needed, or does not suffice, returns at once.
        self.borrower.settle(got.loans)
        if charged:
            return None
        # Peers that are silent may hold enough; nobody can tell.
        silent = got.asked > 0 and got.answered == 0
        if silent or not self.borrower.reachable():
            self._refuse_alone(ask, account, cost)
        account.dry_at = self.clock()
        account.dry_tokens = there
        return max(cost - account.bucket.available - there, 0.0)

    def _refuse_alone(self, ask, account, cost):
        """Refuse what this entry cannot admit while no peer answers."""
        own = account.customer.burst * self.accounts.share
        if cost > own:
            raise _no_share(ask)

    def _surely_missing(self, account, cost):
        """Return the tokens that peers cannot have, asked a moment ago."""
        since_s = self.clock() - account.dry_at
        if since_s > DRY_S:
            return 0.0
        earned = account.customer.rate * since_s
        there = account.bucket.available + account.dry_tokens + earned
        return max(cost - there, 0.0)

    def _wait_s(self, ask, account, tokens):
        """Return the time in which the reachable rate earns tokens."""
        share = min(self.accounts.share + self.borrower.reachable(), 1.0)
        if share <= 0:
            raise _no_share(ask)
        rate = max(account.customer.rate * share, MIN_RATE)
        return tokens / rate


def _refused(ask, code, status, message, retry_after_s=0.0):
    return exceptions.RefusedError(
        messages.Refusal(
            ask.id,
            code,
            message,
            status=status,
            retry_after_s=retry_after_s,
            charge=ask.charge,
        )
    )


def _unknown_customer(ask):
    return _refused(
        ask,
        "unknown_customer",
        403,
        f"customer {ask.customer} is not in the configuration in force; "
        f"ask the operators to add it",
    )


def _larger_than_burst(ask, customer):
    return _refused(
        ask,
        "larger_than_burst",
        413,
        f"the request counts {ask.prompt} tokens and the burst of customer "
        f"{customer.name} is {customer.burst:.0f}; make it shorter or ask "
        f"the operators for a larger burst",
    )


def _no_share(ask):
    return _refused(
        ask,
        "no_share",
        503,
        "this entry reaches too few of those that hold the customer's "
        "rate; try another entry",
        UNREACHABLE_RETRY_S,
    )


def _rate_limited(ask, customer, wait_s):
    wait_s = max(wait_s, MIN_RETRY_AFTER_S)
    return _refused(
        ask,
        "rate_limited",
        429,
        f"customer {customer.name} is at its rate of {customer.rate:.0f} "
        f"tokens a second; retry after {wait_s:.2f} s or ask the operators "
        f"for a larger rate",
        wait_s,
    )
