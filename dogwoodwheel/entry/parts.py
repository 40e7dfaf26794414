"""The parts of an entry that its requests share."""

import dataclasses

import trio

from dogwoodwheel.entry import board as board_module
from dogwoodwheel.entry import budget as budget_module
from dogwoodwheel.entry import choice
from dogwoodwheel.entry import cold as cold_module
from dogwoodwheel.entry import flights as flights_module
from dogwoodwheel.entry import knowledge as knowledge_module
from dogwoodwheel.entry import spending as spending_module
from dogwoodwheel.entry import suspicion as suspicion_module

__all__ = ["Parts"]

# Part of the platform's tolerance for rates that entries may use.
OVERDRAFT_PART = 0.25


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the requests of one entry share.

    Parameters
    ----------
    settings : dogwoodwheel.entry.model.Settings
    knowledge : dogwoodwheel.entry.knowledge.Knowledge
    spending : dogwoodwheel.entry.spending.Spending
    budget : dogwoodwheel.entry.budget.RetryBudget
    suspicion : dogwoodwheel.entry.suspicion.Suspicion
    allowance : dogwoodwheel.entry.cold.Allowance
    flights : dogwoodwheel.entry.flights.Flights
    http_client : dogwoodwheel.engines.http.HttpClient
    metrics : dogwoodwheel.programs.metrics.Metrics
    board : dogwoodwheel.entry.board.Board
    outcomes : dict
        Good and bad outcomes at each endpoint since the last beat.
    missing : dict
        Time until which an endpoint is known not to hold a model.
    """

    settings: object
    knowledge: object
    spending: object
    budget: object
    suspicion: object
    allowance: object
    flights: object
    http_client: object
    metrics: object
    board: object
    outcomes: dict = dataclasses.field(default_factory=dict)
    missing: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_settings(cls, settings, http_client, metrics):
        """Return the parts of an entry that has just started."""
        return cls(
            settings=settings,
            knowledge=knowledge_module.Knowledge(),
            spending=spending_module.Spending(
                settings.first_start, settings.quota_slack * OVERDRAFT_PART
            ),
            budget=budget_module.RetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            ),
            suspicion=suspicion_module.Suspicion(),
            allowance=cold_module.Allowance(),
            flights=flights_module.Flights(),
            http_client=http_client,
            metrics=metrics,
            board=board_module.Board(settings.peers),
        )

    def entries(self):
        """Return the names of all entries that may be alive."""
        return [self.settings.name, *self.board.peers]

    def refill_part(self):
        """Return this side's part of a rate, by the peers it hears."""
        known = len(self.board.peers) + 1
        return (len(self.board.live()) + 1) / known

    def load(self, endpoint):
        """Return what is in flight at an endpoint, from all entries."""
        return self.loads([endpoint])[endpoint]

    def loads(self, endpoints):
        """Return by endpoint what is in flight there, from all entries."""
        told = [peer.beat.load for peer in self.board.live().values()]
        return {name: self._load(name, told) for name in endpoints}

    def _load(self, endpoint, told):
        own = self.flights.load(endpoint)
        there = [loads[endpoint] for loads in told if endpoint in loads]
        return choice.Load(
            own.requests + sum(load[0] for load in there),
            own.tokens + sum(load[1] for load in there),
        )

    def note(self, endpoint, good):
        """Take the outcome of a request at an endpoint."""
        now = trio.current_time()
        had = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (had[0] + good, had[1] + (not good))
        return self.suspicion.note(endpoint, good, now)

    def fail(self, endpoint):
        """Take a failure that leaves no doubt."""
        had = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (had[0], had[1] + 1)
        return self.suspicion.fail(endpoint, trio.current_time())

    def lacks(self, endpoint, name, seconds):
        """Note that an endpoint does not hold a model for now."""
        self.missing[endpoint, name] = trio.current_time() + seconds

    def is_missing(self, endpoint, name):
        """Tell whether an endpoint has just said that it lacks a model."""
        until = self.missing.get((endpoint, name))
        if until is None:
            return False
        if trio.current_time() >= until:
            del self.missing[endpoint, name]
            return False
        return True
