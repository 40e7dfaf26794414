"""Borrow a customer's tokens from peers, and repay them."""

import collections
import dataclasses
import math

import trio

from dogwoodwheel.customers import loans
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Borrower", "Gathered"]

ASK_AT_ONCE = 8
MAX_ROUNDS = 4
CALL_TIMEOUT_S = 0.3
MIN_CALL_S = 0.02
MIN_ASK_TOKENS = 1.0
ROUNDING_TOKENS = 1e-6
FRESH_S = 1.0
GAVE_LATELY_S = 10.0
REPAY_TIMEOUT_S = 1.0
REPAY_RETRY_S = 0.2

# A peer is asked for no more than this part of what it may hold, so
# that one request does not empty it while others could give as well.
PEER_PART = 0.5


@dataclasses.dataclass(slots=True)
class Gathered:
    """What peers lent for one purpose.

    Parameters
    ----------
    loans : list of dogwoodwheel.customers.loans.Borrowed
    asked : int
        Messages sent.
    answered : int
        Replies that came, with tokens or without.
    """

    loans: list = dataclasses.field(default_factory=list)
    asked: int = 0
    answered: int = 0

    @property
    def tokens(self):
        """Tokens not used yet."""
        return sum(loan.left for loan in self.loans)


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
        self._accounts = {}
        self._gave = {}
        self._repays = collections.defaultdict(dict)
        self._wake = trio.Event()

    async def gather(self, customer, tokens, until):
        """Ask peers for tokens until there are enough or none gives.

        Parameters
        ----------
        customer : dogwoodwheel.declaration.model.Customer
        tokens : float
        until : float
            Monotonic time at which to give up, seconds.

        Returns
        -------
        Gathered
            The caller spends its loans and hands them to `settle`.

        Notes
        -----
        Only fresh loans are returned.  Where this process was paused
        meanwhile, the lender's share may have passed on, so the loan
        goes back unspent.
        """
        got = Gathered()
        peers = self._peers()
        try:
            for number in range(MAX_ROUNDS):
                missing = tokens - got.tokens
                left_s = until - self.clock()
                if (
                    missing < ROUNDING_TOKENS
                    or not peers
                    or left_s < MIN_CALL_S
                ):
                    break
                count = self._count(customer, missing, peers[0])
                asked = peers[: min(count << number, ASK_AT_ONCE)]
                rest = peers[len(asked) :]
                part = max(missing / len(asked), MIN_ASK_TOKENS)
                generous = await self._round(customer, part, asked, got, until)
                peers = rest + generous
        except BaseException:
            self.settle(got.loans)
            raise
        return self._fresh(got)

    def settle(self, borrowed):
        """Report loans to their lenders: what is unspent goes back.

        Parameters
        ----------
        borrowed : iterable of dogwoodwheel.customers.loans.Borrowed
        """
        for loan in borrowed:
            repay = messages.Repay(0, loan.loan, loan.customer, loan.spent)
            self._queue(loan.lender, loan.incarnation, repay)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Repay loans and close accounts in doubt, for ever."""
        task_status.started()
        busy = set()
        async with trio.open_nursery() as nursery:
            while True:
                self._wake = trio.Event()
                for lender in self._due() - busy:
                    busy.add(lender)
                    nursery.start_soon(self._serve, lender, busy)
                await self._wake.wait()

    def reachable(self):
        """Return the part of the rate that answering peers hold."""
        view = self.fleet.view
        if view.declaration is None:
            return 0.0
        held = sum(len(peer.shares) for peer in self._peers())
        return held / view.declaration.partitions

    def forget_absent(self):
        """Drop what concerns entries that have left the fleet."""
        present = self.fleet.view.entries
        for lender in [name for name in self._accounts if name not in present]:
            if not self._accounts[lender].in_flight:
                del self._accounts[lender]
        for lender in [name for name in self._gave if name not in present]:
            del self._gave[lender]

    def _fresh(self, got):
        """Return what is fresh; the rest goes back to its lenders."""
        oldest = self.clock() - FRESH_S
        self.settle(loan for loan in got.loans if loan.at < oldest)
        fresh = [loan for loan in got.loans if loan.at >= oldest]
        return Gathered(fresh, got.asked, got.answered)

    def _peers(self):
        """Return peers that hold shares, those that gave lately first."""
        entries = self.fleet.view.entries.values()
        usable = [entry for entry in entries if self._usable(entry)]
        self.rng.shuffle(usable)
        usable.sort(key=self._order)
        return usable

    def _order(self, entry):
        """Put entries that are overdue last, and those that gave first."""
        before = self.clock() - GAVE_LATELY_S
        overdue = entry.name not in self.fleet.view.live
        return overdue, -max(self._when_gave(entry), before)

    def _usable(self, entry):
        if entry.name == self.fleet.me or not entry.shares:
            return False
        account = self._accounts.get(entry.name)
        return account is None or not account.doubt

    def _when_gave(self, entry):
        return self._gave.get(entry.name, -math.inf)

    def _count(self, customer, missing, peer):
        """Return how many peers like this one to ask at first."""
        parts = self.fleet.view.declaration.partitions
        holds = customer.burst * len(peer.shares) / parts
        return math.ceil(missing / max(holds * PEER_PART, 1.0))

    async def _round(self, customer, part, asked, got, until):
        """Ask some peers; return those that gave all they were asked."""
        generous = []
        async with trio.open_nursery() as nursery:
            for peer in asked:
                nursery.start_soon(
                    self._ask, peer, customer, part, got, generous, until
                )
        return generous

    async def _ask(self, peer, customer, tokens, got, generous, until):
        """Ask one peer; what it lends is added to ``got``."""
        account = self._accounts.setdefault(peer.name, loans.Account())
        msg = messages.Borrow(
            0, self.fleet.me, self.fleet.incarnation, customer.name, tokens
        )
        got.asked += 1
        asked_at = self.clock()
        # The time may be over when this task gets its turn.
        left_s = max(until - asked_at, MIN_CALL_S)
        timeout_s = min(CALL_TIMEOUT_S, left_s)
        reply = await self._call(account, peer, msg, timeout_s)
        got.answered += reply is not None
        if reply is None or reply.tokens <= 0:
            self._gave.pop(peer.name, None)
            return
        got.loans.append(
            loans.Borrowed(
                peer.name,
                peer.incarnation,
                customer.name,
                reply.loan,
                reply.tokens,
                at=asked_at,
            )
        )
        self._gave[peer.name] = self.clock()
        if reply.tokens >= tokens:
            generous.append(peer)

    async def _call(self, account, peer, msg, timeout_s):
        """Send `Borrow`; return `Lent`, or None where the call failed."""
        reply = None
        account.in_flight += 1
        try:
            reply = await self.fleet.call(peer.name, msg, timeout_s)
        except exceptions.PeerError:
            return None
        finally:
            account.in_flight -= 1
            if reply is None:
                account.doubt = True
            else:
                account.note(reply.loan, reply.tokens > 0)
                self._return_missing(account, peer)
            if account.doubt:
                self._wake.set()
        return reply

    def _return_missing(self, account, peer):
        for loan in account.missing():
            repay = messages.Repay(0, loan, "", 0.0)
            self._queue(peer.name, peer.incarnation, repay)

    def _queue(self, lender, incarnation, repay):
        self._repays[lender][repay.loan] = (incarnation, repay)
        self._wake.set()

    def _due(self):
        doubtful = {
            name
            for name, account in self._accounts.items()
            if account.doubt and not account.in_flight
        }
        return doubtful | {name for name, due in self._repays.items() if due}

    async def _serve(self, lender, busy):
        """Deliver what is due to one lender."""
        try:
            delivered = await self._repay(lender)
            delivered = delivered and await self._probe(lender)
            if not delivered:
                await trio.sleep(REPAY_RETRY_S)
        finally:
            busy.discard(lender)
            self._wake.set()

    async def _repay(self, lender):
        """Deliver repayments; return whether the lender took them."""
        due = self._repays[lender]
        while due:
            loan, (incarnation, repay) = next(iter(due.items()))
            if not self.fleet.gone(lender, incarnation):
                try:
                    await self.fleet.call(lender, repay, REPAY_TIMEOUT_S)
                except exceptions.PeerError:
                    return False
            due.pop(loan, None)
        return True

    async def _probe(self, lender):
        """Learn which replies were lost, where a call has failed."""
        account = self._accounts.get(lender)
        if account is None or not account.doubt or account.in_flight:
            return True
        peer = self.fleet.view.entries.get(lender)
        if peer is None:
            del self._accounts[lender]
            return True
        msg = messages.Borrow(
            0, self.fleet.me, self.fleet.incarnation, "", 0.0
        )
        reply = await self._call(account, peer, msg, REPAY_TIMEOUT_S)
        if reply is None:
            return False
        account.doubt = False
        return True
