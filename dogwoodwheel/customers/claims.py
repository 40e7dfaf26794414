"""What is bound of a bucket's tokens: charges and loans."""

import dataclasses

__all__ = ["Charge", "Loan"]


@dataclasses.dataclass(slots=True)
class Charge:
    """Tokens taken for one request, until its true cost is known.

    Parameters
    ----------
    id : int
    tokens : float
        Charged at admission.
    refundable : float
        What of it may still come back.
    at : float
        Time of the charge, seconds.
    from_held : float
        Part paid with tokens borrowed ahead.
    from_borrowed : float
        Part paid with tokens borrowed for this request.
    """

    id: int
    tokens: float
    refundable: float
    at: float
    from_held: float = 0.0
    from_borrowed: float = 0.0


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens lent to another entry.

    Parameters
    ----------
    id : int
    tokens : float
    entry, incarnation : str
        The borrower.
    """

    id: int
    tokens: float
    entry: str
    incarnation: str
