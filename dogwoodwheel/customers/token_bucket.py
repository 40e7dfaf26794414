"""One customer's token bucket at one entry."""

from dogwoodwheel.customers import charges

__all__ = ["TokenBucket"]

MIN_LOAN_TOKENS = 1.0

# Bound on the accumulated rounding error of floating point sums.
ROUNDING_ERROR_TOKENS = 1e-6


class TokenBucket:
    """One entry's share of a customer's rate and burst.

    Parameters
    ----------
    rate : float
        Tokens per second over all entries.
    burst : float
        Maximum number of tokens over all entries.
    share : float
        Fraction of rate and burst that this entry holds, 0 to 1.
    level : float
        Initial tokens.
    now : float
        Monotonic time, seconds.

    Notes
    -----
    Invariant: the sum of the attributes below never exceeds ``cap``,
    which is ``burst * share``.  Since the shares of all entries add up
    to at most one, at most burst tokens exist over all entries, and at
    most burst + rate * window tokens are spent in any window.

    The refill continues while tokens are reserved.  Once the sum has
    reached the cap, a refill first reduces ``expected``, then
    ``refundable``, oldest charge first.  A long stream therefore never
    stops the refill, and tokens that arrive late never exceed the cap.
    The refill never reduces ``lent``, since a borrower may still spend
    the tokens.

    Attributes
    ----------
    level : float
        Tokens to spend; negative for a debt after too low estimates.
    prefetched : float
        Tokens prefetched from peers; they also count at the lender.
    lent : float
        Tokens lent to peers that have not been repaid yet.
    refundable : float
        Tokens charged by estimate that may still be refunded.
    expected : float
        Tokens that the previous holder of a share may still transfer.
    """

    def __init__(self, rate, burst, share=0.0, level=0.0, now=0.0):
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level = level
        self.prefetched = 0.0
        self.lent = 0.0
        self.refundable = 0.0
        self.expected = 0.0
        self.loans = {}
        self.charges = {}
        self._refundable_charges = {}
        self._refilled_at = now
        self._trim()

    @property
    def cap(self):
        """Maximum number of tokens at this entry."""
        return self.burst * self.share

    @property
    def total(self):
        """Tokens at this entry, spendable or reserved."""
        reserved = (
            self.prefetched + self.lent + self.refundable + self.expected
        )
        return self.level + reserved

    @property
    def available(self):
        """Tokens that can be charged to a request immediately."""
        return self.level + self.prefetched

    def refill(self, now):
        """Add the tokens that the rate has yielded since the last call.

        Parameters
        ----------
        now : float
            Monotonic time, seconds; a time before the last call has no effect.
        """
        if now <= self._refilled_at:
            return
        self._add(self.rate * self.share * (now - self._refilled_at))
        self._refilled_at = now

    def charge(self, charge_id, tokens, now, borrowed=0.0):
        """Charge tokens for one request.

        Parameters
        ----------
        charge_id : int
        tokens : float
        now : float
            Monotonic time, seconds.
        borrowed : float
            Tokens that peers lent for this request.

        Returns
        -------
        Charge or None
            None if the tokens do not suffice; nothing is charged then.

        Notes
        -----
        A debt is paid off too.  Borrowed tokens are used first, since
        they count at the lender until reported, then prefetched ones.
        """
        self.refill(now)
        if self.available + borrowed < tokens - ROUNDING_ERROR_TOKENS:
            return None
        required = tokens - min(self.level, 0.0)
        from_borrowed = min(borrowed, required)
        from_prefetched = min(self.prefetched, required - from_borrowed)
        self.prefetched -= from_prefetched
        self.level -= tokens - from_borrowed - from_prefetched
        # Tokens that would exceed the cap can never be refunded.
        refundable = min(tokens, max(self.cap - self.total, 0.0))
        charge = charges.Charge(
            charge_id, tokens, refundable, now, from_prefetched, from_borrowed
        )
        self.charges[charge_id] = charge
        self._refundable_charges[charge_id] = charge
        self.refundable += refundable
        return charge

    def settle(self, charge_id, actual, now):
        """Replace a charge by the actual cost of its request.

        Parameters
        ----------
        charge_id : int
            An unknown charge has no effect.
        actual : float
            Actual cost, tokens.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        float
            Tokens refunded; negative if the charge was too low.

        Notes
        -----
        Idempotent, since a charge is settled only once.  Tokens that
        the refill has already replaced are not refunded.
        """
        self.refill(now)
        charge = self._remove_charge(charge_id)
        if charge is None:
            return 0.0
        refund = min(charge.tokens - actual, charge.refundable)
        self.level += refund
        return refund

    def lend(self, loan_id, tokens, entry, incarnation, now):
        """Lend available tokens to a peer.

        Parameters
        ----------
        loan_id : int
        tokens : float
            Maximum number of tokens to lend.
        entry, incarnation : str
            The borrower.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        Loan or None
            None if fewer than `MIN_LOAN_TOKENS` can be lent.
        """
        self.refill(now)
        granted = min(tokens, self.level)
        if granted < MIN_LOAN_TOKENS:
            return None
        loan = charges.Loan(loan_id, granted, entry, incarnation)
        self.loans[loan_id] = loan
        self.level -= granted
        self.lent += granted
        return loan

    def repay(self, loan_id, spent, now):
        """Close a loan and take back the unspent tokens.

        Notes
        -----
        The method is idempotent: an unknown loan has no effect.
        """
        self.refill(now)
        loan = self.loans.pop(loan_id, None)
        if loan is None:
            return
        self.lent -= loan.tokens
        self.level += loan.tokens - min(max(spent, 0.0), loan.tokens)
        self._trim()

    def write_off(self, entry, incarnation):
        """Count the loans of a borrower that is proved gone as spent."""
        for loan in list(self.loans.values()):
            if (loan.entry, loan.incarnation) == (entry, incarnation):
                del self.loans[loan.id]
                self.lent -= loan.tokens

    def add_prefetched(self, tokens, now):
        """Add prefetched tokens.

        Returns
        -------
        float
            Tokens that fit; the caller returns the rest to the lender.

        Notes
        -----
        Prefetched tokens count against this entry's cap as well as at
        the lender.  Otherwise additional tokens would exist after the
        lender fails and another entry takes over its share.
        """
        self.refill(now)
        added = self._make_room(tokens)
        self.prefetched += added
        return added

    def remove_prefetched(self, tokens):
        """Remove prefetched tokens that are returned to their lender."""
        self.prefetched = max(self.prefetched - tokens, 0.0)

    def resize(self, rate, burst, share, now, added=0.0, expected=0.0):
        """Change the rate, the burst or the share.

        Parameters
        ----------
        rate, burst, share : float
        now : float
            Monotonic time, seconds.
        added : float
            Tokens that are added with the new share.
        expected : float
            Tokens that may be added later, by `add_transferred`.
        """
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level += added
        self.expected += expected
        self._trim()

    def add_transferred(self, tokens, max_tokens, now):
        """Add tokens that the previous holder of a share transfers.

        Parameters
        ----------
        tokens : float
            Negative for a debt.
        max_tokens : float
            Tokens that were expected with that share.
        now : float
            Monotonic time, seconds.

        Notes
        -----
        Tokens that the refill has already replaced are not added.
        """
        self.refill(now)
        due = min(self.expected, max_tokens)
        self.expected -= due
        self.level += min(tokens, due)

    def withdraw_fraction(self, fraction, now):
        """Remove the tokens that move with a fraction of the share.

        Parameters
        ----------
        fraction : float
            Fraction of this entry's share that moves, 0 to 1.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        float
            Tokens removed; negative for a debt.
        """
        self.refill(now)
        moved = self.level * fraction
        self.level -= moved
        return moved

    def expire(self, before):
        """Remove charges made before a time and never settled."""
        for charge_id, charge in list(self.charges.items()):
            if charge.charged_at >= before:
                return
            self._remove_charge(charge_id)

    def _add(self, tokens):
        self.level += self._make_room(tokens)

    def _make_room(self, tokens):
        """Reduce reservations for new tokens; return how many fit."""
        room = self.cap - self.total
        forfeitable = self.refundable + self.expected
        fitting = max(min(tokens, room + forfeitable), 0.0)
        self._forfeit(fitting - room)
        return fitting

    def _forfeit(self, tokens):
        """Reduce expected tokens, then refunds, oldest charge first."""
        dropped = max(min(tokens, self.expected), 0.0)
        self.expected -= dropped
        tokens -= dropped
        while tokens > 0 and self._refundable_charges:
            charge_id, charge = next(iter(self._refundable_charges.items()))
            forfeited = min(tokens, charge.refundable)
            charge.refundable -= forfeited
            self.refundable -= forfeited
            tokens -= forfeited
            if charge.refundable <= 0:
                del self._refundable_charges[charge_id]

    def _remove_charge(self, charge_id):
        charge = self.charges.pop(charge_id, None)
        if charge is not None:
            self._refundable_charges.pop(charge_id, None)
            self.refundable -= charge.refundable
        return charge

    def _trim(self):
        """Enforce the cap: reduce reservations first, then the level."""
        self._forfeit(self.total - self.cap)
        excess = self.total - self.cap
        if excess > 0:
            self.level -= min(excess, max(self.level, 0.0))
