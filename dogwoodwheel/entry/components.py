"""The components of an entry that its requests share."""

import dataclasses

import trio

from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import fleet_state as fleet_state_module
from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import outliers as outliers_module
from dogwoodwheel.entry import quota as quota_module
from dogwoodwheel.entry import request_counts as request_counts_module
from dogwoodwheel.entry import retry_budget as retry_budget_module

__all__ = ["Components"]

# Part of the platform's tolerance for rates that entries may use.
OVERDRAFT_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class Components:
    """What the requests of one entry share.

    Parameters
    ----------
    settings : dogwoodwheel.entry.datatypes.Settings
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    quotas : dogwoodwheel.entry.quota.CustomerQuotas
    retry_budget : dogwoodwheel.entry.retry_budget.RetryBudget
    outlier_detector : dogwoodwheel.entry.outliers.OutlierDetector
    cold_limiter : dogwoodwheel.entry.cold_start.ColdEndpointLimiter
    request_counts : dogwoodwheel.entry.request_counts.RequestCounts
    http_client : dogwoodwheel.engines.http.HttpClient
    metrics : dogwoodwheel.programs.metrics.Metrics
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    outcomes : dict
        Good and bad outcomes at each endpoint since the last beat.
    missing : dict
        Time until which an endpoint is known not to hold a model.
    """

    settings: object
    fleet_state: object
    quotas: object
    retry_budget: object
    outlier_detector: object
    cold_limiter: object
    request_counts: object
    http_client: object
    metrics: object
    heartbeats: object
    outcomes: dict = dataclasses.field(default_factory=dict)
    missing: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_settings(cls, settings, http_client, metrics):
        """Return the components of an entry that has just started."""
        return cls(
            settings=settings,
            fleet_state=fleet_state_module.FleetState(),
            quotas=quota_module.CustomerQuotas(
                settings.first_start, settings.quota_slack * OVERDRAFT_FRACTION
            ),
            retry_budget=retry_budget_module.RetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            ),
            outlier_detector=outliers_module.OutlierDetector(),
            cold_limiter=cold_start.ColdEndpointLimiter(),
            request_counts=request_counts_module.RequestCounts(),
            http_client=http_client,
            metrics=metrics,
            heartbeats=heartbeats_module.HeartbeatExchange(settings.peers),
        )

    def entries(self):
        """Return the names of all entries that may be alive."""
        return [self.settings.name, *self.heartbeats.peers]

    def refill_fraction(self):
        """Return this side's part of a rate, by the peers it hears."""
        known = len(self.heartbeats.peers) + 1
        return (len(self.heartbeats.live_peers()) + 1) / known

    def load(self, endpoint):
        """Return what is in flight at an endpoint, from all entries."""
        return self.loads([endpoint])[endpoint]

    def loads(self, endpoints):
        """Return by endpoint what is in flight there, from all entries."""
        told = [
            peer.heartbeat.load
            for peer in self.heartbeats.live_peers().values()
        ]
        return {name: self._load(name, told) for name in endpoints}

    def _load(self, endpoint, told):
        own = self.request_counts.load(endpoint)
        there = [loads[endpoint] for loads in told if endpoint in loads]
        return load_balancing.EndpointLoad(
            own.requests + sum(load[0] for load in there),
            own.tokens + sum(load[1] for load in there),
        )

    def note(self, endpoint, good):
        """Take the outcome of a request at an endpoint."""
        now = trio.current_time()
        had = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (had[0] + good, had[1] + (not good))
        return self.outlier_detector.record_outcome(endpoint, good, now)

    def fail(self, endpoint):
        """Take a failure that leaves no doubt."""
        had = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (had[0], had[1] + 1)
        return self.outlier_detector.record_unreachable(
            endpoint, trio.current_time()
        )

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
