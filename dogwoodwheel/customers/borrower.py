"""Borrow a customer's tokens from peers, and repay the loans."""

import collections
import dataclasses
import math

import trio

from dogwoodwheel.customers import loans
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["BorrowResult", "Borrower"]

MAX_PEERS_PER_ROUND = 8
MAX_ROUNDS = 4
CALL_TIMEOUT_S = 0.3
MIN_CALL_TIMEOUT_S = 0.02
MIN_BORROW_TOKENS = 1.0
ROUNDING_ERROR_TOKENS = 1e-6
MAX_LOAN_AGE_S = 1.0
RECENT_LENDER_S = 10.0
REPAY_TIMEOUT_S = 1.0
REPAY_RETRY_DELAY_S = 0.2

# At most this fraction of a peer's maximum tokens is requested from the
# peer, so that one request does not empty its bucket while other peers
# could lend as well.
MAX_PEER_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class BorrowResult:
    """Loans that peers granted for one purpose.

    Parameters
    ----------
    loans : list of dogwoodwheel.customers.loans.BorrowedLoan
    calls : int
        Number of `Borrow` messages sent.
    replies : int
        Number of replies received, with or without tokens.
    """

    loans: list = dataclasses.field(default_factory=list)
    calls: int = 0
    replies: int = 0

    @property
    def tokens(self):
        """Tokens not spent yet."""
        return sum(loan.unspent for loan in self.loans)


class Borrower:
    """The borrowing side of an entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
    """

    def __init__(self, fleet, clock, rng):
        self.fleet = fleet
        self.clock = clock
        self.rng = rng
        self._records = {}
        self._last_lent_at = {}
        self._repayments = collections.defaultdict(dict)
        self._wake = trio.Event()

    async def borrow(self, customer, tokens, deadline):
        """Borrow from peers until the tokens suffice or no peer lends.

        Parameters
        ----------
        customer : dogwoodwheel.declaration.datatypes.Customer
        tokens : float
            Tokens to borrow.
        deadline : float
            Monotonic time after which no more peers are called, seconds.

        Returns
        -------
        BorrowResult
            The caller spends the loans and passes them to `repay`.

        Notes
        -----
        Loans that were requested more than `MAX_LOAN_AGE_S` ago are
        returned to their lenders unspent.  Such a loan indicates that
        this process was paused, and the lender's share may have been
        taken over by another entry in the meantime.
        """
        result = BorrowResult()
        peers = self._peers()
        try:
            for round_number in range(MAX_ROUNDS):
                missing = tokens - result.tokens
                left_s = deadline - self.clock()
                if (
                    missing < ROUNDING_ERROR_TOKENS
                    or not peers
                    or left_s < MIN_CALL_TIMEOUT_S
                ):
                    break
                count = self._peer_count(customer, missing, peers[0])
                called = peers[
                    : min(count << round_number, MAX_PEERS_PER_ROUND)
                ]
                remaining = peers[len(called) :]
                per_peer = max(missing / len(called), MIN_BORROW_TOKENS)
                full_lenders = await self._borrow_round(
                    customer, per_peer, called, result, deadline
                )
                peers = remaining + full_lenders
        except BaseException:
            self.repay(result.loans)
            raise
        return self._drop_old_loans(result)

    def repay(self, borrowed):
        """Report loans to their lenders and return the unspent tokens.

        Parameters
        ----------
        borrowed : iterable of dogwoodwheel.customers.loans.BorrowedLoan
        """
        for loan in borrowed:
            repayment = messages.Repay(
                0, loan.loan_id, loan.customer, loan.spent
            )
            self._queue_repayment(loan.lender, loan.incarnation, repayment)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Repay loans and reconcile lender records until cancelled."""
        task_status.started()
        busy = set()
        async with trio.open_nursery() as nursery:
            while True:
                self._wake = trio.Event()
                for lender in self._lenders_due() - busy:
                    busy.add(lender)
                    nursery.start_soon(self._repay_and_reconcile, lender, busy)
                await self._wake.wait()

    def reachable_share(self):
        """Return the fraction of the rate that usable peers hold."""
        view = self.fleet.view
        if view.declaration is None:
            return 0.0
        partitions = sum(len(peer.shares) for peer in self._peers())
        return partitions / view.declaration.partitions

    def remove_absent(self):
        """Remove the state of entries that have left the fleet."""
        present = self.fleet.view.entries
        for lender in [name for name in self._records if name not in present]:
            if not self._records[lender].in_flight:
                del self._records[lender]
        for lender in [
            name for name in self._last_lent_at if name not in present
        ]:
            del self._last_lent_at[lender]

    def _drop_old_loans(self, result):
        """Return the recent loans; repay the others to their lenders."""
        oldest = self.clock() - MAX_LOAN_AGE_S
        self.repay(loan for loan in result.loans if loan.requested_at < oldest)
        recent = [loan for loan in result.loans if loan.requested_at >= oldest]
        return BorrowResult(recent, result.calls, result.replies)

    def _peers(self):
        """Return usable peers that hold shares, recent lenders first."""
        entries = self.fleet.view.entries.values()
        usable = [entry for entry in entries if self._is_usable(entry)]
        self.rng.shuffle(usable)
        usable.sort(key=self._sort_key)
        return usable

    def _sort_key(self, entry):
        """Sort recent lenders first and entries that are overdue last."""
        oldest = self.clock() - RECENT_LENDER_S
        overdue = entry.name not in self.fleet.view.live
        return overdue, -max(self._lent_at(entry), oldest)

    def _is_usable(self, entry):
        if entry.name == self.fleet.me or not entry.shares:
            return False
        record = self._records.get(entry.name)
        return record is None or not record.unreconciled

    def _lent_at(self, entry):
        return self._last_lent_at.get(entry.name, -math.inf)

    def _peer_count(self, customer, missing, peer):
        """Return the number of peers to call in the first round.

        The estimate assumes that all peers hold as many partitions as
        the given one.
        """
        partitions = self.fleet.view.declaration.partitions
        max_tokens = customer.burst * len(peer.shares) / partitions
        return math.ceil(missing / max(max_tokens * MAX_PEER_FRACTION, 1.0))

    async def _borrow_round(
        self, customer, per_peer, called, result, deadline
    ):
        """Borrow from several peers; return those that lent in full."""
        full_lenders = []
        async with trio.open_nursery() as nursery:
            for peer in called:
                nursery.start_soon(
                    self._borrow_from,
                    peer,
                    customer,
                    per_peer,
                    result,
                    full_lenders,
                    deadline,
                )
        return full_lenders

    async def _borrow_from(
        self, peer, customer, tokens, result, full_lenders, deadline
    ):
        """Borrow from one peer and add the loan to ``result``."""
        record = self._records.setdefault(peer.name, loans.LenderRecord())
        msg = messages.Borrow(
            0, self.fleet.me, self.fleet.incarnation, customer.name, tokens
        )
        result.calls += 1
        requested_at = self.clock()
        # The deadline may have passed before this task is scheduled.
        left_s = max(deadline - requested_at, MIN_CALL_TIMEOUT_S)
        timeout_s = min(CALL_TIMEOUT_S, left_s)
        reply = await self._call(record, peer, msg, timeout_s)
        result.replies += reply is not None
        if reply is None or reply.tokens <= 0:
            self._last_lent_at.pop(peer.name, None)
            return
        result.loans.append(
            loans.BorrowedLoan(
                peer.name,
                peer.incarnation,
                customer.name,
                reply.loan,
                reply.tokens,
                requested_at=requested_at,
            )
        )
        self._last_lent_at[peer.name] = self.clock()
        if reply.tokens >= tokens:
            full_lenders.append(peer)

    async def _call(self, record, peer, msg, timeout_s):
        """Send `Borrow`; return `Lent`, or None if the call failed."""
        reply = None
        record.in_flight += 1
        try:
            reply = await self.fleet.call(peer.name, msg, timeout_s)
        except exceptions.PeerError:
            return None
        finally:
            record.in_flight -= 1
            if reply is None:
                record.unreconciled = True
            else:
                record.record_reply(reply.loan, reply.tokens > 0)
                self._return_missing(record, peer)
            if record.unreconciled:
                self._wake.set()
        return reply

    def _return_missing(self, record, peer):
        """Return the loans whose replies were lost."""
        for loan_id in record.pop_missing():
            repayment = messages.Repay(0, loan_id, "", 0.0)
            self._queue_repayment(peer.name, peer.incarnation, repayment)

    def _queue_repayment(self, lender, incarnation, repayment):
        self._repayments[lender][repayment.loan] = (incarnation, repayment)
        self._wake.set()

    def _lenders_due(self):
        """Return lenders to repay or to reconcile with."""
        unreconciled = {
            name
            for name, record in self._records.items()
            if record.unreconciled and not record.in_flight
        }
        return unreconciled | {
            name for name, due in self._repayments.items() if due
        }

    async def _repay_and_reconcile(self, lender, busy):
        """Deliver the repayments to one lender, and reconcile with it."""
        try:
            delivered = await self._deliver_repayments(lender)
            delivered = delivered and await self._reconcile(lender)
            if not delivered:
                await trio.sleep(REPAY_RETRY_DELAY_S)
        finally:
            busy.discard(lender)
            self._wake.set()

    async def _deliver_repayments(self, lender):
        """Deliver repayments; return whether all were delivered."""
        due = self._repayments[lender]
        while due:
            loan_id, (incarnation, repayment) = next(iter(due.items()))
            if not self.fleet.gone(lender, incarnation):
                try:
                    await self.fleet.call(lender, repayment, REPAY_TIMEOUT_S)
                except exceptions.PeerError:
                    return False
            due.pop(loan_id, None)
        return True

    async def _reconcile(self, lender):
        """Find out after a failed call which replies were lost.

        Returns
        -------
        bool
            False if the lender did not reply.
        """
        record = self._records.get(lender)
        if record is None or not record.unreconciled or record.in_flight:
            return True
        peer = self.fleet.view.entries.get(lender)
        if peer is None:
            del self._records[lender]
            return True
        # A request for 0 tokens only returns the id of the last loan.
        msg = messages.Borrow(
            0, self.fleet.me, self.fleet.incarnation, "", 0.0
        )
        reply = await self._call(record, peer, msg, REPAY_TIMEOUT_S)
        if reply is None:
            return False
        record.unreconciled = False
        return True
