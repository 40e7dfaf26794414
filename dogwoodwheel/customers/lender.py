"""Lend a customer's tokens to peers."""

from dogwoodwheel.customers import loans
from dogwoodwheel.wire import messages

__all__ = ["Lender"]


class Lender:
    """The lending side of an entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    accounts : dogwoodwheel.customers.accounts.Accounts
    clock : callable
        Returns monotonic seconds.
    rng : random.Random

    Notes
    -----
    A loan counts here until the borrower reports it or is proved gone.
    No timeout frees it, since a paused borrower may still spend.
    """

    def __init__(self, fleet, accounts, clock, rng):
        self.fleet = fleet
        self.accounts = accounts
        self.clock = clock
        self.rng = rng
        self._issuers = {}
        self._customers = {}

    def on_borrow(self, msg):
        """Lend to a peer what is here.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Borrow

        Returns
        -------
        dogwoodwheel.wire.messages.Lent
            Without tokens it names the last loan to this borrower.
        """
        key = (msg.entry, msg.incarnation)
        if self.fleet.gone(*key):
            return messages.Lent(msg.id, 0, 0.0)
        if key not in self._issuers:
            self._issuers[key] = loans.Issuer(self.rng)
        issuer = self._issuers[key]
        account = self.accounts.get(msg.customer)
        if account is None or msg.tokens <= 0:
            return messages.Lent(msg.id, issuer.last, 0.0)
        number = issuer.last + 1
        loan = account.bucket.lend(number, msg.tokens, *key, self.clock())
        if loan is None:
            return messages.Lent(msg.id, issuer.last, 0.0)
        self._customers[issuer.issue()] = msg.customer
        return messages.Lent(msg.id, loan.id, loan.tokens)

    def on_repay(self, msg):
        """Close a loan; idempotent.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Repay
            Its customer may be empty: the loan's name tells.

        Returns
        -------
        dogwoodwheel.wire.messages.Ok
        """
        account = self.accounts.get(self._customers.pop(msg.loan, None))
        if account is not None:
            account.bucket.repay(msg.loan, msg.spent, self.clock())
        return messages.Ok(msg.id)

    def sweep(self):
        """Count the loans of borrowers proved gone as spent."""
        for key in [key for key in self._issuers if self.fleet.gone(*key)]:
            del self._issuers[key]
            for account in self.accounts:
                account.bucket.lose(*key)
        self._customers = {
            number: name
            for number, name in self._customers.items()
            if name in self.accounts
            and number in self.accounts.get(name).bucket.loans
        }
