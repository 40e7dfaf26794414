"""One customer's token bucket at one entry."""

from dogwoodwheel.customers import claims

__all__ = ["Bucket"]

MIN_LOAN_TOKENS = 1.0

# Sums of many floating point steps may miss a bound by this much.
ROUNDING_TOKENS = 1e-6


class Bucket:
    """Part of a customer's rate and burst that one entry holds.

    Parameters
    ----------
    rate : float
        Tokens a second over all entries.
    burst : float
        Tokens at once over all entries.
    share : float
        Part of both that this entry holds, 0 to 1.
    level : float
        Tokens to begin with.
    now : float
        Monotonic time, seconds.

    Notes
    -----
    The invariant is that the sum of the attributes below stays within
    ``cap``, which is ``burst * share``.  As the shares of all entries
    add up to one at most, no more than the burst exists over all
    entries, and in any window no more is spent than burst + rate *
    window.

    Refill goes on whatever is bound: once the sum has reached the cap,
    it eats into what is expected, then into what is refundable, oldest
    first.  So a long stream never stops the refill, and what comes late
    never overfills.  Only ``lent`` is never eaten, since a borrower may
    still spend it.

    Attributes
    ----------
    level : float
        Tokens to spend; negative while an underestimate is owed.
    held : float
        Tokens borrowed ahead from peers; they count at the lender too.
    lent : float
        Tokens that peers borrowed and have not reported yet.
    refundable : float
        Tokens charged by estimate that may still come back.
    expected : float
        Tokens that may still come from the earlier holder of a share.
    """

    def __init__(self, rate, burst, share=0.0, level=0.0, now=0.0):
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level = level
        self.held = 0.0
        self.lent = 0.0
        self.refundable = 0.0
        self.expected = 0.0
        self.loans = {}
        self.charges = {}
        self._eatable = {}
        self._now = now
        self._trim()

    @property
    def cap(self):
        """Tokens that may exist at this entry."""
        return self.burst * self.share

    @property
    def total(self):
        """Tokens that exist at this entry, spendable or bound."""
        bound = self.held + self.lent + self.refundable + self.expected
        return self.level + bound

    @property
    def available(self):
        """Tokens that a request may be charged at once."""
        return self.level + self.held

    def refill(self, now):
        """Add what the rate has earned since the last call.

        Parameters
        ----------
        now : float
            Monotonic time, seconds; an earlier one changes nothing.
        """
        if now <= self._now:
            return
        self._take_in(self.rate * self.share * (now - self._now))
        self._now = now

    def charge(self, number, tokens, now, borrowed=0.0):
        """Take tokens for one request.

        Parameters
        ----------
        number : int
            Name of the charge.
        tokens : float
        now : float
            Monotonic time, seconds.
        borrowed : float
            Tokens that peers lent for this request.

        Returns
        -------
        Charge or None
            None where the tokens do not suffice; nothing is taken then.

        Notes
        -----
        Borrowed tokens go first, since they count at the lender until
        they are reported, then those held.  A debt is paid before.
        """
        self.refill(now)
        if self.available + borrowed < tokens - ROUNDING_TOKENS:
            return None
        need = tokens - min(self.level, 0.0)
        from_borrowed = min(borrowed, need)
        from_held = min(self.held, need - from_borrowed)
        self.held -= from_held
        self.level -= tokens - from_borrowed - from_held
        # What does not fit under the cap is final at once.
        refundable = min(tokens, max(self.cap - self.total, 0.0))
        charge = claims.Charge(
            number, tokens, refundable, now, from_held, from_borrowed
        )
        self.charges[number] = charge
        self._eatable[number] = charge
        self.refundable += refundable
        return charge

    def settle(self, number, actual, now):
        """Replace a charge by its true cost.

        Parameters
        ----------
        number : int
            A charge that is not known changes nothing.
        actual : float
            Tokens.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        float
            Tokens given back; negative where more is owed.

        Notes
        -----
        Idempotent, as a charge is settled once.  Of a refund, what the
        refill has eaten into is gone.
        """
        self.refill(now)
        charge = self._forget(number)
        if charge is None:
            return 0.0
        back = min(charge.tokens - actual, charge.refundable)
        self.level += back
        return back

    def lend(self, number, tokens, entry, incarnation, now):
        """Lend what is there, up to the tokens asked for.

        Parameters
        ----------
        number : int
            Name of the loan.
        tokens : float
        entry, incarnation : str
            The borrower.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        Loan or None
        """
        self.refill(now)
        given = min(tokens, self.level)
        if given < MIN_LOAN_TOKENS:
            return None
        loan = claims.Loan(number, given, entry, incarnation)
        self.loans[number] = loan
        self.level -= given
        self.lent += given
        return loan

    def repay(self, number, spent, now):
        """Close a loan; what was not spent comes back.

        Notes
        -----
        Idempotent: a loan that is not known changes nothing.
        """
        self.refill(now)
        loan = self.loans.pop(number, None)
        if loan is None:
            return
        self.lent -= loan.tokens
        self.level += loan.tokens - min(max(spent, 0.0), loan.tokens)
        self._trim()

    def lose(self, entry, incarnation):
        """Count the loans of a borrower that is proved gone as spent."""
        for loan in list(self.loans.values()):
            if (loan.entry, loan.incarnation) == (entry, incarnation):
                del self.loans[loan.id]
                self.lent -= loan.tokens

    def hold(self, tokens, now):
        """Keep tokens that were borrowed ahead.

        Returns
        -------
        float
            How much fits; the rest is to be returned to the lender.

        Notes
        -----
        They count against this entry's cap although they count at the
        lender too.  So nothing is made when the lender dies and its
        share starts anew elsewhere.
        """
        self.refill(now)
        kept = self._fit(tokens)
        self.held += kept
        return kept

    def drop_held(self, tokens):
        """Take out tokens that were borrowed ahead, to return them."""
        self.held = max(self.held - tokens, 0.0)

    def resize(self, rate, burst, share, now, added=0.0, expected=0.0):
        """Change the rate, the burst or the share.

        Parameters
        ----------
        rate, burst, share : float
        now : float
            Monotonic time, seconds.
        added : float
            Tokens that come with the new share.
        expected : float
            Tokens that may come later, by `hand_in`.
        """
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level += added
        self.expected += expected
        self._trim()

    def hand_in(self, tokens, most, now):
        """Add tokens from the earlier holder of a share.

        Parameters
        ----------
        tokens : float
            Negative for a debt.
        most : float
            What was expected with that share.
        now : float
            Monotonic time, seconds.

        Notes
        -----
        Of what comes late, what the refill has eaten into is gone.
        """
        self.refill(now)
        due = min(self.expected, most)
        self.expected -= due
        self.level += min(tokens, due)

    def move_out(self, part, now):
        """Take out part of the level, to hand it over with the share.

        Parameters
        ----------
        part : float
            Part of this entry's share that moves, 0 to 1.
        now : float
            Monotonic time, seconds.

        Returns
        -------
        float
            Tokens; negative for a debt.
        """
        self.refill(now)
        moved = self.level * part
        self.level -= moved
        return moved

    def expire(self, before):
        """Forget charges made before a time, whose end was never told."""
        for number, charge in list(self.charges.items()):
            if charge.at >= before:
                return
            self._forget(number)

    def _take_in(self, tokens):
        self.level += self._fit(tokens)

    def _fit(self, tokens):
        """Return how much of new tokens fits, eating into refunds."""
        room = self.cap - self.total
        eatable = self.refundable + self.expected
        fits = max(min(tokens, room + eatable), 0.0)
        self._eat(fits - room)
        return fits

    def _eat(self, tokens):
        """Drop what is expected, then refunds, the oldest first."""
        dropped = max(min(tokens, self.expected), 0.0)
        self.expected -= dropped
        tokens -= dropped
        while tokens > 0 and self._eatable:
            number, charge = next(iter(self._eatable.items()))
            eaten = min(tokens, charge.refundable)
            charge.refundable -= eaten
            self.refundable -= eaten
            tokens -= eaten
            if charge.refundable <= 0:
                del self._eatable[number]

    def _forget(self, number):
        charge = self.charges.pop(number, None)
        if charge is not None:
            self._eatable.pop(number, None)
            self.refundable -= charge.refundable
        return charge

    def _trim(self):
        """Bring the sum under the cap: refunds go first, then level."""
        self._eat(self.total - self.cap)
        over = self.total - self.cap
        if over > 0:
            self.level -= min(over, max(self.level, 0.0))
