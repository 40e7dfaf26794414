"""Borrow ahead where a customer's demand at this entry is steady."""

import collections

import trio

__all__ = ["Ahead"]

AHEAD_S = 1.0
KEEP_S = 2.0
GATHER_S = 1.0


class Ahead:
    """Keeps some borrowed tokens, so that admission asks nobody.

    Parameters
    ----------
    borrower : dogwoodwheel.customers.borrower.Borrower
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    Held is at most what the demand needs for `AHEAD_S` beyond this
    entry's own share, and never more than fits under the cap.  What is
    not used for `KEEP_S` is returned.
    """

    def __init__(self, borrower, clock):
        self.borrower = borrower
        self.clock = clock
        self._orders = collections.deque()
        self._wake = trio.Event()

    def consider(self, account):
        """Order tokens for a customer if its demand asks for it."""
        if account.asking or self._wanted(account) <= 0:
            return
        account.asking = True
        self._orders.append(account)
        self._wake.set()

    def return_stale(self, account):
        """Return tokens that nobody has used for a while."""
        stale = self.clock() - KEEP_S
        if account.held and account.held[-1].at < stale:
            self.borrower.settle(account.take_held())

    async def run(self):
        """Carry out orders, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                self._wake = trio.Event()
                while self._orders:
                    nursery.start_soon(self._fetch, self._orders.popleft())
                await self._wake.wait()

    def _wanted(self, account):
        """Return the tokens to ask for now."""
        tokens = account.bucket
        own_rate = tokens.rate * tokens.share
        beyond = account.demand.rate(self.clock()) - own_rate
        target = min(beyond * AHEAD_S, tokens.cap - tokens.lent)
        there = max(tokens.available, 0.0)
        if there > target / 2:
            return 0.0
        return target - there

    async def _fetch(self, account):
        try:
            wanted = self._wanted(account)
            until = self.clock() + GATHER_S
            got = await self.borrower.gather(account.customer, wanted, until)
            for loan in got.loans:
                self._hold(account, loan)
        finally:
            account.asking = False

    def _hold(self, account, loan):
        kept = account.bucket.hold(loan.left, self.clock())
        if kept >= loan.left:
            account.held.append(loan)
            return
        # A loan is reported as a whole, so a part of it is not kept.
        account.bucket.drop_held(kept)
        self.borrower.settle([loan])
