"""Charges and loans, the reservations of a bucket's tokens."""

import dataclasses

__all__ = ["Charge", "Loan"]


@dataclasses.dataclass(slots=True)
class Charge:
    """Tokens charged for one request whose actual cost is not known yet.

    Parameters
    ----------
    id : int
    tokens : float
        Tokens charged at admission.
    refundable : float
        Tokens of this charge that may still be refunded.
    charged_at : float
        Monotonic time of the charge, seconds.
    from_prefetched : float
        Tokens of this charge that were paid from prefetched loans.
    from_borrowed : float
        Tokens of this charge that were borrowed for this request.
    """

    id: int
    tokens: float
    refundable: float
    charged_at: float
    from_prefetched: float = 0.0
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
