"""Charge requests to their customers' rates, over all entries."""

import itertools
import random

import trio

from dogwoodwheel.customers import accounts
from dogwoodwheel.customers import borrower
from dogwoodwheel.customers import estimate
from dogwoodwheel.customers import lender
from dogwoodwheel.customers import prefetch
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Ledger"]

BORROW_TIMEOUT_S = 1.0
RETRY_JITTER_MIN_S = 0.01
RETRY_JITTER_MAX_S = 0.05
SHORTFALL_VALID_S = 0.5
MIN_RETRY_AFTER_S = 0.05
UNREACHABLE_RETRY_AFTER_S = 1.0
MAX_CHARGE_AGE_S = 3600.0
SWEEP_INTERVAL_S = 1.0
CHARGE_ID_BITS = 62
MIN_TOKENS_PER_S = 1e-9


class Ledger:
    """Charge requests to the customers' token buckets of one entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
        Provides ``view``, ``me``, ``incarnation``, ``call`` and
        ``gone``.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random, optional
        Draws random ids and the jitter of retries.

    Notes
    -----
    Each entry holds the rate and burst of its partitions.  If these do
    not suffice for a request, the entry borrows tokens from peers.

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
        self.accounts = accounts.Accounts(clock, self.borrower.repay)
        self.lender = lender.Lender(fleet, self.accounts, clock, rng)
        self.prefetcher = prefetch.Prefetcher(self.borrower, clock)
        self._customer_by_charge = {}
        self._charge_ids = itertools.count(rng.getrandbits(CHARGE_ID_BITS) + 1)

    async def admit(self, ask):
        """Charge a request to its customer.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask

        Returns
        -------
        int
            Id of the charge, for `settle`; 0 for a request without a
            customer, on an open route.

        Raises
        ------
        RefusedError
            If the customer's rate does not allow the request within its
            deadline.

        Notes
        -----
        The charge covers the prompt and the estimated output of a
        request to a model, or the fixed tokens of a call to a plain
        service.
        """
        if not ask.customer:
            return 0
        if self._customer_by_charge.get(ask.charge) == ask.customer:
            return ask.charge
        account = self.accounts.get(ask.customer)
        if account is None:
            raise _unknown_customer(ask)
        cost = self._cost(ask, account.customer)
        charge_id = next(self._charge_ids)
        if not self._charge(account, charge_id, cost):
            tokens_before = account.waiting_tokens
            account.waiting_tokens += cost
            try:
                await self._wait_for_tokens(
                    ask, account, charge_id, cost, tokens_before
                )
            finally:
                account.waiting_tokens -= cost
        self.prefetcher.schedule_if_needed(account)
        return charge_id

    def settle(self, msg):
        """Replace a charge by the actual cost of its request; idempotent.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Settle
        """
        if msg.model and msg.output > 0:
            self.estimator.observe(msg.customer, msg.model, msg.output)
        account = self.accounts.get(
            self._customer_by_charge.pop(msg.charge, None)
        )
        if account is not None:
            account.bucket.settle(msg.charge, msg.tokens, self.clock())

    def on_borrow(self, msg):
        """Lend to a peer; see `lender.Lender.on_borrow`."""
        return self.lender.on_borrow(msg)

    def on_repay(self, msg):
        """Close a loan; see `lender.Lender.on_repay`."""
        return self.lender.on_repay(msg)

    def add_partitions(self, partitions, full=False):
        """Add partitions; see `accounts.Accounts.add_partitions`."""
        self.accounts.add_partitions(partitions, full)

    def remove_partitions(self, partitions):
        """Remove partitions; see `accounts.Accounts.remove_partitions`."""
        return self.accounts.remove_partitions(partitions)

    def add_transferred(self, levels, partitions=None):
        """Add transferred tokens; see `accounts.Accounts.add_transferred`."""
        self.accounts.add_transferred(levels, partitions)

    def configure(self, declaration):
        """Apply a configuration; see `accounts.Accounts.configure`."""
        self.accounts.configure(declaration)

    def sweep(self):
        """Write off loans of gone borrowers; drop old charges and loans."""
        self.lender.sweep()
        oldest = self.clock() - MAX_CHARGE_AGE_S
        for account in self.accounts:
            account.bucket.expire(oldest)
            self.prefetcher.return_unused(account)
        self._customer_by_charge = {
            charge_id: customer
            for charge_id, customer in self._customer_by_charge.items()
            if customer in self.accounts
            and charge_id in self.accounts.get(customer).bucket.charges
        }
        self.borrower.remove_absent()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Repay loans, prefetch loans and sweep until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.borrower.run)
            nursery.start_soon(self.prefetcher.run)
            task_status.started()
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self.sweep()

    def _cost(self, ask, customer):
        """Return the tokens to charge at admission."""
        if ask.prompt > customer.burst:
            raise _larger_than_burst(ask, customer)
        if not ask.model:
            return ask.prompt
        output = self.estimator.estimate(ask.customer, ask.model, ask.limit)
        # Only the prompt can prove that a request exceeds the burst; the
        # estimated output cannot, so the charge is capped instead.
        return min(ask.prompt + output, customer.burst)

    def _charge(self, account, charge_id, cost, borrowed=()):
        """Charge own and borrowed tokens; return whether they suffice."""
        now = self.clock()
        borrowed_tokens = sum(loan.unspent for loan in borrowed)
        charge = account.bucket.charge(charge_id, cost, now, borrowed_tokens)
        if charge is None:
            return False
        tokens = charge.from_borrowed
        for loan in borrowed:
            tokens -= loan.spend(tokens)
        self.borrower.repay(account.spend_prefetched(charge.from_prefetched))
        account.demand.add(cost, now)
        self._customer_by_charge[charge_id] = account.customer.name
        return True

    async def _wait_for_tokens(
        self, ask, account, charge_id, cost, tokens_before
    ):
        """Borrow and wait until the request is charged, or refuse it.

        Parameters
        ----------
        tokens_before : float
            Tokens of the customer's requests that were waiting already.
        """
        deadline = self.clock() + min(ask.deadline_s, BORROW_TIMEOUT_S)
        while True:
            missing = self._known_shortfall(account, cost)
            if missing <= 0:
                missing = await self._borrow_and_charge(
                    ask, account, charge_id, cost, deadline
                )
                if missing is None:
                    return
            tokens_before = min(tokens_before, account.waiting_tokens - cost)
            wait_s = self._wait_s(ask, account, missing + tokens_before)
            if self.clock() + wait_s >= deadline:
                raise _rate_limited(ask, account.customer, wait_s)
            wait_s += self.rng.uniform(RETRY_JITTER_MIN_S, RETRY_JITTER_MAX_S)
            await trio.sleep(wait_s)

    async def _borrow_and_charge(
        self, ask, account, charge_id, cost, deadline
    ):
        """Borrow from peers once and charge the request if possible.

        Returns
        -------
        float or None
            Tokens that are missing, or None if the request is charged.
        """
        shortfall = cost - account.bucket.available
        result = await self.borrower.borrow(
            account.customer, shortfall, deadline
        )
        borrowed_tokens = result.tokens
        charged = self._charge(account, charge_id, cost, result.loans)
        # Loans that were not needed or do not suffice are returned now.
        self.borrower.repay(result.loans)
        if charged:
            return None
        # Without replies, it is unknown whether peers have enough tokens.
        silent = result.calls > 0 and result.replies == 0
        if silent or not self.borrower.reachable_share():
            self._refuse_if_above_own_burst(ask, account, cost)
        account.shortfall_at = self.clock()
        account.shortfall_peer_tokens = borrowed_tokens
        return max(cost - account.bucket.available - borrowed_tokens, 0.0)

    def _refuse_if_above_own_burst(self, ask, account, cost):
        """Refuse a request that only unreachable peers could cover."""
        own_burst = account.customer.burst * self.accounts.share
        if cost > own_burst:
            raise _no_share(ask)

    def _known_shortfall(self, account, cost):
        """Return the tokens missing by the last replies of peers.

        Replies older than `SHORTFALL_VALID_S` are ignored; the result is
        then 0, and peers are called again.
        """
        elapsed_s = self.clock() - account.shortfall_at
        if elapsed_s > SHORTFALL_VALID_S:
            return 0.0
        refilled = account.customer.rate * elapsed_s
        available = (
            account.bucket.available + account.shortfall_peer_tokens + refilled
        )
        return max(cost - available, 0.0)

    def _wait_s(self, ask, account, tokens):
        """Return the seconds in which the reachable rate yields tokens."""
        share = min(self.accounts.share + self.borrower.reachable_share(), 1.0)
        if share <= 0:
            raise _no_share(ask)
        rate = max(account.customer.rate * share, MIN_TOKENS_PER_S)
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
        UNREACHABLE_RETRY_AFTER_S,
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
