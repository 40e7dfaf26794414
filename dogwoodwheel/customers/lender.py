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
    A loan counts at the lender until the borrower reports how much of
    the loan was spent, or until the borrower's process instance is
    proved gone.  No timeout ends a loan, since a paused borrower may
    still spend the tokens.
    """

    def __init__(self, fleet, accounts, clock, rng):
        self.fleet = fleet
        self.accounts = accounts
        self.clock = clock
        self.rng = rng
        self._id_issuers = {}
        self._customer_by_loan = {}

    def on_borrow(self, msg):
        """Lend available tokens to a peer.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Borrow

        Returns
        -------
        dogwoodwheel.wire.messages.Lent
            If no tokens are lent, the id of the last loan to this
            borrower is given instead of a new one.
        """
        borrower = (msg.entry, msg.incarnation)
        if self.fleet.gone(*borrower):
            return messages.Lent(msg.id, 0, 0.0)
        if borrower not in self._id_issuers:
            self._id_issuers[borrower] = loans.LoanIdIssuer(self.rng)
        issuer = self._id_issuers[borrower]
        account = self.accounts.get(msg.customer)
        if account is None or msg.tokens <= 0:
            return messages.Lent(msg.id, issuer.last_id, 0.0)
        loan_id = issuer.last_id + 1
        loan = account.bucket.lend(
            loan_id, msg.tokens, *borrower, self.clock()
        )
        if loan is None:
            return messages.Lent(msg.id, issuer.last_id, 0.0)
        self._customer_by_loan[issuer.issue()] = msg.customer
        return messages.Lent(msg.id, loan.id, loan.tokens)

    def on_repay(self, msg):
        """Close a loan; idempotent.

        Parameters
        ----------
        msg : dogwoodwheel.wire.messages.Repay
            The customer of the message may be empty, since the lender
            knows the customer of each loan.

        Returns
        -------
        dogwoodwheel.wire.messages.Ok
        """
        account = self.accounts.get(self._customer_by_loan.pop(msg.loan, None))
        if account is not None:
            account.bucket.repay(msg.loan, msg.spent, self.clock())
        return messages.Ok(msg.id)

    def sweep(self):
        """Count the loans of borrowers that are proved gone as spent."""
        for borrower in [
            borrower
            for borrower in self._id_issuers
            if self.fleet.gone(*borrower)
        ]:
            del self._id_issuers[borrower]
            for account in self.accounts:
                account.bucket.write_off(*borrower)
        self._customer_by_loan = {
            loan_id: customer
            for loan_id, customer in self._customer_by_loan.items()
            if customer in self.accounts
            and loan_id in self.accounts.get(customer).bucket.loans
        }
