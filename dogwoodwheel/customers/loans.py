"""Names of loans, and what a borrower knows of those it received."""

import dataclasses

__all__ = ["Account", "Borrowed", "Issuer"]

SERIAL_BITS = 31
TAG_BITS = 32
ROUNDING_TOKENS = 1e-6


@dataclasses.dataclass(slots=True)
class Borrowed:
    """A loan as the borrower has it.

    Parameters
    ----------
    lender, incarnation : str
    customer : str
    loan : int
        Name of the loan, from the lender.
    tokens : float
    spent : float
        Tokens used so far.
    at : float
        Time when it was asked for, seconds.
    """

    lender: str
    incarnation: str
    customer: str
    loan: int
    tokens: float
    spent: float = 0.0
    at: float = 0.0

    @property
    def left(self):
        """Tokens not used yet."""
        return self.tokens - self.spent

    @property
    def used_up(self):
        """Whether nothing is left but rounding."""
        return self.left < ROUNDING_TOKENS

    def spend(self, tokens):
        """Use up to some tokens; return how many."""
        used = min(tokens, self.left)
        self.spent += used
        return used


class Issuer:
    """A lender's names of its loans to one process.

    Parameters
    ----------
    rng : random.Random
        Draws a tag, so that names of an earlier process never recur.

    Notes
    -----
    Names count up without gaps, so a borrower sees from the next one
    which replies were lost.
    """

    def __init__(self, rng):
        self.serial = 0
        self._tag = rng.getrandbits(TAG_BITS)

    @property
    def last(self):
        """Name of the last loan."""
        return self._tag << SERIAL_BITS | self.serial

    def issue(self):
        """Return the name of a new loan."""
        self.serial += 1
        return self.last


class Account:
    """A borrower's record of one lender's loans.

    Notes
    -----
    Where the reply to `Borrow` is lost, the lender counts a loan that
    the borrower does not know.  The account finds it by the gap in the
    names.  While a call has failed and the gap is not closed, the
    account is in doubt and the lender is not asked for more.

    Attributes
    ----------
    in_flight : int
        Calls that have no reply yet.
    doubt : bool
        Whether a call has failed since the account was last closed.
    """

    def __init__(self):
        self.in_flight = 0
        self.doubt = False
        self._tag = None
        self._closed = 0
        self._top = 0
        self._seen = set()

    def note(self, loan, received):
        """Take in a reply.

        Parameters
        ----------
        loan : int
            Name of this loan, or of the last one where none was given.
        received : bool
            Whether tokens came with it.
        """
        tag, serial = divmod(loan, 1 << SERIAL_BITS)
        if tag != self._tag:
            # Another process of the lender, which knows no older loan.
            self._tag = tag
            self._closed = 0
            self._top = 0
            self._seen.clear()
        self._top = max(self._top, serial)
        if received:
            self._seen.add(serial)

    def missing(self):
        """Return the names of loans that were given but never received.

        Returns
        -------
        list of int
            Empty while calls are in flight, whose replies may bring
            them.  A name is returned once.
        """
        if self.in_flight:
            return []
        serials = range(self._closed + 1, self._top + 1)
        lost = [serial for serial in serials if serial not in self._seen]
        self._closed = self._top
        self._seen.clear()
        return [self._tag << SERIAL_BITS | serial for serial in lost]
