"""Ids of loans, and a borrower's record of the loans it received."""

import dataclasses

__all__ = ["BorrowedLoan", "LenderRecord", "LoanIdIssuer"]

SERIAL_BITS = 31
TAG_BITS = 32
ROUNDING_ERROR_TOKENS = 1e-6


@dataclasses.dataclass(slots=True)
class BorrowedLoan:
    """A loan as its borrower records it.

    Parameters
    ----------
    lender, incarnation : str
    customer : str
    loan_id : int
        Id that the lender gave to the loan.
    tokens : float
        Tokens lent.
    spent : float
        Tokens spent so far.
    requested_at : float
        Monotonic time when the loan was requested, seconds.
    """

    lender: str
    incarnation: str
    customer: str
    loan_id: int
    tokens: float
    spent: float = 0.0
    requested_at: float = 0.0

    @property
    def unspent(self):
        """Tokens not spent yet."""
        return self.tokens - self.spent

    @property
    def is_spent(self):
        """Whether all tokens are spent, up to rounding errors."""
        return self.unspent < ROUNDING_ERROR_TOKENS

    def spend(self, tokens):
        """Spend at most the given tokens; return how many were spent."""
        spent = min(tokens, self.unspent)
        self.spent += spent
        return spent


class LoanIdIssuer:
    """Issue a lender's ids of its loans to one process instance.

    Parameters
    ----------
    rng : random.Random
        Draws a random tag, so that the ids differ from those that an
        earlier process of the lender issued.

    Notes
    -----
    Ids are consecutive, so the next id shows a borrower which replies
    were lost.
    """

    def __init__(self, rng):
        self.serial = 0
        self._tag = rng.getrandbits(TAG_BITS)

    @property
    def last_id(self):
        """Id of the last loan."""
        return self._tag << SERIAL_BITS | self.serial

    def issue(self):
        """Return the id of a new loan."""
        self.serial += 1
        return self.last_id


class LenderRecord:
    """A borrower's record of the loans from one lender.

    Notes
    -----
    If the reply to `Borrow` is lost, the lender counts a loan that the
    borrower does not know.  The borrower detects this loan by a gap in
    the ids.  From a failed call until the gap has been reconciled, the
    record is unreconciled and no more tokens are borrowed from the
    lender.

    Attributes
    ----------
    in_flight : int
        Calls that have no reply yet.
    unreconciled : bool
        Whether a call has failed since the record was last reconciled
        with the lender.
    """

    def __init__(self):
        self.in_flight = 0
        self.unreconciled = False
        self._tag = None
        self._reconciled_serial = 0
        self._last_serial = 0
        self._received_serials = set()

    def record_reply(self, loan_id, received):
        """Record a reply to `Borrow`.

        Parameters
        ----------
        loan_id : int
            Id of the loan in the reply, or of the last loan if the reply
            grants none.
        received : bool
            Whether the reply grants tokens.
        """
        tag, serial = divmod(loan_id, 1 << SERIAL_BITS)
        if tag != self._tag:
            # The lender has restarted and no longer counts older loans.
            self._tag = tag
            self._reconciled_serial = 0
            self._last_serial = 0
            self._received_serials.clear()
        self._last_serial = max(self._last_serial, serial)
        if received:
            self._received_serials.add(serial)

    def pop_missing(self):
        """Return the ids of loans that were granted but never received.

        Returns
        -------
        list of int
            Each id is returned once.  The list is empty while calls are
            in flight, since their replies may contain the loans.
        """
        if self.in_flight:
            return []
        serials = range(self._reconciled_serial + 1, self._last_serial + 1)
        lost = [
            serial
            for serial in serials
            if serial not in self._received_serials
        ]
        self._reconciled_serial = self._last_serial
        self._received_serials.clear()
        return [self._tag << SERIAL_BITS | serial for serial in lost]
