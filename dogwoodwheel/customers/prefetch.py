"""Prefetch loans for customers whose demand at this entry is steady."""

import collections

import trio

__all__ = ["Prefetcher"]

PREFETCH_HORIZON_S = 1.0
MAX_UNUSED_S = 2.0
BORROW_TIMEOUT_S = 1.0


class Prefetcher:
    """Borrow tokens in advance, so that admission need not call peers.

    Parameters
    ----------
    borrower : dogwoodwheel.customers.borrower.Borrower
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    The prefetched tokens of a customer cover at most the demand of
    `PREFETCH_HORIZON_S` beyond this entry's share of the rate, and never
    exceed the cap of the bucket.  Tokens that have not been used for
    `MAX_UNUSED_S` are returned.
    """

    def __init__(self, borrower, clock):
        self.borrower = borrower
        self.clock = clock
        self._queue = collections.deque()
        self._wake = trio.Event()

    def schedule_if_needed(self, account):
        """Schedule a prefetch for a customer whose demand requires one."""
        if account.is_prefetching or self._shortfall(account) <= 0:
            return
        account.is_prefetching = True
        self._queue.append(account)
        self._wake.set()

    def return_unused(self, account):
        """Return prefetched loans that have not been used recently."""
        oldest = self.clock() - MAX_UNUSED_S
        if (
            account.prefetched_loans
            and account.prefetched_loans[-1].requested_at < oldest
        ):
            self.borrower.repay(account.pop_prefetched())

    async def run(self):
        """Carry out scheduled prefetches until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._wake = trio.Event()
                while self._queue:
                    nursery.start_soon(self._fetch, self._queue.popleft())
                await self._wake.wait()

    def _shortfall(self, account):
        """Return the number of tokens to prefetch now."""
        bucket = account.bucket
        own_rate = bucket.rate * bucket.share
        excess_rate = account.demand.rate(self.clock()) - own_rate
        target = min(
            excess_rate * PREFETCH_HORIZON_S, bucket.cap - bucket.lent
        )
        available = max(bucket.available, 0.0)
        if available > target / 2:
            return 0.0
        return target - available

    async def _fetch(self, account):
        try:
            tokens = self._shortfall(account)
            deadline = self.clock() + BORROW_TIMEOUT_S
            result = await self.borrower.borrow(
                account.customer, tokens, deadline
            )
            for loan in result.loans:
                self._add_loan(account, loan)
        finally:
            account.is_prefetching = False

    def _add_loan(self, account, loan):
        added = account.bucket.add_prefetched(loan.unspent, self.clock())
        if added >= loan.unspent:
            account.prefetched_loans.append(loan)
            return
        # A loan is reported as one unit, so no part of a loan that does
        # not fit completely is kept.
        account.bucket.remove_prefetched(added)
        self.borrower.repay([loan])
