"""The components of an entry that all of its requests share."""

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

# Fraction of the platform's tolerance for exceeded rates by which a
# customer's token bucket may be overdrawn at one entry.
OVERDRAFT_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class Components:
    """The components that the requests of one entry share.

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
    outcomes : dict of str to (int, int)
        Successful and failed requests at each endpoint since the last
        full heartbeat.
    missing : dict of (str, str) to float
        By endpoint and ``MODEL`` or ``MODEL/ADAPTER``: time of trio's
        clock until which the endpoint is assumed not to hold the model.
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
        """Return the fraction of each rate that refills local buckets.

        Notes
        -----
        The fraction is that of the live entries among the known ones.
        In a network partition the fractions of all sides add up to 1
        until silent peers are removed.
        """
        known = len(self.heartbeats.peers) + 1
        return (len(self.heartbeats.live_peers()) + 1) / known

    def load(self, endpoint):
        """Return the `EndpointLoad` from all entries at an endpoint."""
        return self.loads([endpoint])[endpoint]

    def loads(self, endpoints):
        """Return the `EndpointLoad` from all entries at each endpoint."""
        peer_loads = [
            peer.heartbeat.load
            for peer in self.heartbeats.live_peers().values()
        ]
        return {name: self._load(name, peer_loads) for name in endpoints}

    def _load(self, endpoint, peer_loads):
        own = self.request_counts.load(endpoint)
        others = [loads[endpoint] for loads in peer_loads if endpoint in loads]
        return load_balancing.EndpointLoad(
            own.requests + sum(load[0] for load in others),
            own.tokens + sum(load[1] for load in others),
        )

    def record_outcome(self, endpoint, success):
        """Record whether an endpoint handled a request without failing.

        Returns
        -------
        bool
            Whether the outlier detector now ejects the endpoint.
        """
        now = trio.current_time()
        old = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (old[0] + success, old[1] + (not success))
        return self.outlier_detector.record_outcome(endpoint, success, now)

    def record_unreachable(self, endpoint):
        """Record that no connection to an endpoint could be opened.

        Returns
        -------
        bool
            Whether the outlier detector now ejects the endpoint.
        """
        old = self.outcomes.get(endpoint, (0, 0))
        self.outcomes[endpoint] = (old[0], old[1] + 1)
        return self.outlier_detector.record_unreachable(
            endpoint, trio.current_time()
        )

    def mark_missing(self, endpoint, model, duration_s):
        """Assume for a time that an endpoint does not hold a model."""
        self.missing[endpoint, model] = trio.current_time() + duration_s

    def is_missing(self, endpoint, model):
        """Return whether an endpoint is assumed not to hold a model."""
        until = self.missing.get((endpoint, model))
        if until is None:
            return False
        if trio.current_time() >= until:
            del self.missing[endpoint, model]
            return False
        return True
