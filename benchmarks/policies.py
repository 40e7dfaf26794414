"""Ways to share a customer's rate, to be compared."""

import dataclasses

from benchmarks import memoryfleet
from dogwoodwheel.customers import estimate
from dogwoodwheel.customers import token_bucket

__all__ = ["POLICIES", "Policy"]


@dataclasses.dataclass(frozen=True)
class Policy:
    """A way to share rates among entries.

    Parameters
    ----------
    name : str
    whole_limit : bool
        Charge all the tokens that the caller allows.
    plain_refund : bool
        Refund whatever was not used, without counting it meanwhile.
    lend : bool
        Whether entries lend each other tokens.
    one_home : bool
        Whether one entry holds the whole of each rate.
    down : bool
        Whether the first entry is down for some time.
    skew : float
        Part of a customer's calls that come at one entry.
    """

    name: str
    whole_limit: bool = False
    plain_refund: bool = False
    lend: bool = True
    one_home: bool = False
    down: bool = False
    skew: float = 0.7

    def build(self, declaration, names, seed):
        """Return a fleet that follows the policy."""
        fleet = memoryfleet.MemoryFleet(declaration, names, seed)
        if self.one_home:
            for name in names[1:]:
                shares = list(fleet.view.entries[name].shares)
                levels = fleet.take(name, shares)
                fleet.give(names[0], shares)
                fleet.ledgers[names[0]].add_transferred(levels)
        for name, ledger in fleet.ledgers.items():
            self._adapt(fleet, name, ledger)
        return fleet

    def _adapt(self, fleet, name, ledger):
        if self.whole_limit:
            ledger.estimator = WholeLimit()
        if not self.lend:
            ledger.borrower.fleet = Alone(fleet, name)
        if self.plain_refund:
            for account in ledger.accounts:
                old = account.bucket
                account.bucket = PlainRefund(
                    old.rate, old.burst, old.share, old.level
                )


POLICIES = (
    Policy("chosen"),
    Policy("chosen, all calls at one entry", skew=1.0),
    Policy("fixed parts", lend=False),
    Policy("whole max_tokens", whole_limit=True),
    Policy("plain refund", plain_refund=True),
    Policy("chosen, one entry down", down=True),
    Policy("one home, home down", one_home=True, down=True),
)


class WholeLimit(estimate.Estimator):
    """Estimates that the caller uses all that it allows."""

    def estimate(self, customer, model, limit=0):
        """Return the limit."""
        return limit or estimate.DEFAULT_OUTPUT_TOKENS


class Alone(memoryfleet.Port):
    """A fleet in which an entry sees no peer."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name, fleet.view.entries[name].incarnation)

    @property
    def view(self):
        """The fleet, with no entry but this one."""
        whole = super().view
        entries = {self.me: whole.entries[self.me]}
        return dataclasses.replace(whole, entries=entries)


class PlainRefund(token_bucket.TokenBucket):
    """A bucket that does not count what it may have to refund."""

    @property
    def total(self):
        """Tokens at this entry, without those that may come back."""
        return self.level + self.prefetched + self.lent

    def settle(self, charge_id, actual, now):
        """Refund all that was not used, up to the cap."""
        self.refill(now)
        charge = self._remove_charge(charge_id)
        if charge is None:
            return 0.0
        back = charge.tokens - actual
        self.level += min(back, max(self.cap - self.total, 0.0))
        return back

    def _forfeit(self, tokens):
        """Leave what is refundable alone."""
