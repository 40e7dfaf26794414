"""The components that all requests of an entry share."""

import dataclasses

import trio

from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import crash_guard
from dogwoodwheel.entry import endpoint_waits as endpoint_waits_module
from dogwoodwheel.entry import fleet_state as fleet_state_module
from dogwoodwheel.entry import heartbeats as heartbeats_module
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import outliers as outliers_module
from dogwoodwheel.entry import query_of_death
from dogwoodwheel.entry import quota as quota_module
from dogwoodwheel.entry import rate_limits
from dogwoodwheel.entry import request_counts as request_counts_module
from dogwoodwheel.entry import request_durations as durations_module
from dogwoodwheel.entry import retry_budget as retry_budget_module
from dogwoodwheel.platform import http_headers

__all__ = ["Components"]

# How far a customer's token bucket may go below zero at one entry, as a
# fraction of the rate excess that the platform tolerates.
OVERDRAFT_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class Components:
    """The components that all requests of an entry share.

    Parameters
    ----------
    settings : dogwoodwheel.entry.datatypes.Settings
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    quotas : dogwoodwheel.entry.quota.CustomerQuotas
    retry_budget : dogwoodwheel.entry.retry_budget.RetryBudget
    outlier_detector : dogwoodwheel.entry.outliers.OutlierDetector
    query_of_death_detector : \
            dogwoodwheel.entry.query_of_death.QueryOfDeathDetector
    crash_checker : dogwoodwheel.entry.crash_guard.CrashChecker
    endpoint_limits : dogwoodwheel.entry.rate_limits.EndpointLimits
    endpoint_waits : dogwoodwheel.entry.endpoint_waits.EndpointWaits
    cold_limiter : dogwoodwheel.entry.cold_start.ColdEndpointLimiter
    request_counts : dogwoodwheel.entry.request_counts.RequestCounts
    request_durations : \
            dogwoodwheel.entry.request_durations.RequestDurations
    http_client : dogwoodwheel.engines.http.HttpClient
    metrics : dogwoodwheel.programs.metrics.Metrics
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    outcome_counts : dict of str to (int, int)
        By endpoint: number of requests that succeeded and number that
        failed since this entry's last full heartbeat.
    missing_models : dict of (str, str) to float
        By endpoint and ``MODEL`` or ``MODEL/ADAPTER``: time of trio's
        clock until which the endpoint is assumed not to hold the model.
    """

    settings: object
    fleet_state: object
    quotas: object
    retry_budget: object
    outlier_detector: object
    query_of_death_detector: object
    crash_checker: object
    endpoint_limits: object
    endpoint_waits: object
    cold_limiter: object
    request_counts: object
    request_durations: object
    http_client: object
    metrics: object
    heartbeats: object
    outcome_counts: dict = dataclasses.field(default_factory=dict)
    missing_models: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_settings(cls, settings, http_client, metrics):
        """Return the components of an entry that has just started."""
        return cls(
            settings=settings,
            fleet_state=fleet_state_module.FleetState(metrics.count_leaving),
            quotas=quota_module.CustomerQuotas(
                settings.first_start, settings.quota_slack * OVERDRAFT_FRACTION
            ),
            retry_budget=retry_budget_module.RetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            ),
            outlier_detector=outliers_module.OutlierDetector(),
            query_of_death_detector=query_of_death.QueryOfDeathDetector(
                metrics.count_quarantine
            ),
            crash_checker=crash_guard.CrashChecker(http_client),
            endpoint_limits=rate_limits.EndpointLimits(metrics.count_limit),
            endpoint_waits=endpoint_waits_module.EndpointWaits(
                metrics.count_wait
            ),
            cold_limiter=cold_start.ColdEndpointLimiter(),
            request_counts=request_counts_module.RequestCounts(),
            request_durations=durations_module.RequestDurations(),
            http_client=http_client,
            metrics=metrics,
            heartbeats=heartbeats_module.HeartbeatExchange(settings.peers),
        )

    def entry_names(self):
        """Return the names of this entry and of all peers, silent or not."""
        return [self.settings.name, *self.heartbeats.peers]

    def refill_fraction(self):
        """Return the fraction of customers' rates that refills buckets here.

        Notes
        -----
        The fraction is the number of live entries divided by the number
        of known entries.  If the network is partitioned, the fractions of
        all sides add up to 1 until silent peers are removed.
        """
        known_entries = len(self.heartbeats.peers) + 1
        return (self.heartbeats.live_peer_count() + 1) / known_entries

    def endpoint_load(self, endpoint):
        """Return the requests and tokens in flight at an endpoint."""
        return self.endpoint_loads([endpoint])[endpoint]

    def endpoint_loads(self, endpoints):
        """Return the `EndpointLoad` of each endpoint, over all entries."""
        peer_loads = [
            peer.heartbeat.load
            for peer in self.heartbeats.live_peers().values()
        ]
        return {
            name: self._endpoint_load(name, peer_loads) for name in endpoints
        }

    def _endpoint_load(self, endpoint_id, peer_loads):
        own_load = self.request_counts.endpoint_load(endpoint_id)
        peer_loads_here = [
            loads[endpoint_id] for loads in peer_loads if endpoint_id in loads
        ]
        return load_balancing.EndpointLoad(
            own_load.requests + sum(load[0] for load in peer_loads_here),
            own_load.tokens + sum(load[1] for load in peer_loads_here),
        )

    def waiting_count(self, name):
        """Return the number of requests that wait, over all entries.

        Parameters
        ----------
        name : str
            ``MODEL``, ``MODEL/ADAPTER`` or service that they wait for.
        """
        return self.request_counts.waiting.get(name, 0) + sum(
            peer.heartbeat.waiting.get(name, 0)
            for peer in self.heartbeats.live_peers().values()
        )

    def record_outcome(self, endpoint, success):
        """Record whether an endpoint handled a request without failing.

        Returns
        -------
        bool
            Whether the outlier detector now ejects the endpoint.
        """
        now = trio.current_time()
        previous_counts = self.outcome_counts.get(endpoint, (0, 0))
        self.outcome_counts[endpoint] = (
            previous_counts[0] + success,
            previous_counts[1] + (not success),
        )
        return self.outlier_detector.record_outcome(endpoint, success, now)

    def record_unreachable(self, endpoint):
        """Record that no connection to an endpoint could be opened.

        Returns
        -------
        bool
            Whether the outlier detector now ejects the endpoint.
        """
        previous_counts = self.outcome_counts.get(endpoint, (0, 0))
        self.outcome_counts[endpoint] = (
            previous_counts[0],
            previous_counts[1] + 1,
        )
        return self.outlier_detector.record_unreachable(
            endpoint, trio.current_time()
        )

    def record_sent(self, endpoint):
        """Record that a request is sent to an endpoint."""
        if self.endpoint_limits.record_sent(
            endpoint, trio.current_time(), self.refill_fraction()
        ):
            self.heartbeats.send_soon()

    def record_reply(self, endpoint, reply):
        """Record what a reply tells of the endpoint that sent it.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        reply : dogwoodwheel.engines.http.Reply

        Notes
        -----
        If another process has taken the endpoint's address, the endpoint has
        gone, so that the notice of the other process is right for it as well.
        """
        wait_s = http_headers.retry_after_s(reply)
        if wait_s:
            self.endpoint_waits.record(endpoint, wait_s, trio.current_time())
        if http_headers.is_leaving(reply) and self.fleet_state.record_leaving(
            endpoint.id, endpoint.started_ms
        ):
            self.heartbeats.send_soon()

    def mark_missing(self, endpoint, model, duration_s):
        """Assume for some seconds that an endpoint does not hold a model."""
        self.missing_models[endpoint, model] = trio.current_time() + duration_s

    def is_missing(self, endpoint, model):
        """Return whether an endpoint is assumed not to hold a model."""
        missing_until = self.missing_models.get((endpoint, model))
        if missing_until is None:
            return False
        if trio.current_time() >= missing_until:
            del self.missing_models[endpoint, model]
            return False
        return True
