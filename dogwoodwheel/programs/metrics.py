"""Metrics of one process."""

import aioprometheus
from aioprometheus.formats import text

__all__ = ["CONTENT_TYPE", "Metrics"]

CONTENT_TYPE = text.TEXT_CONTENT_TYPE
PREFIX = "dogwoodwheel_"
INFINITY = float("inf")

SHORT_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    INFINITY,
)
LONG_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
    300.0,
    600.0,
    INFINITY,
)

HISTOGRAMS = {
    "queue_wait_seconds": ("Wait for a slot.", SHORT_BUCKETS_S),
    "cold_start_seconds": ("Wait for a load.", LONG_BUCKETS_S),
    "first_token_seconds": ("Arrival to first token.", LONG_BUCKETS_S),
    "token_gap_seconds": ("Gap between two tokens.", SHORT_BUCKETS_S),
    "total_seconds": ("Arrival to end of the answer.", LONG_BUCKETS_S),
}
COUNTERS = {
    "refusals_total": "Requests refused, by cause.",
    "retries_total": "Requests sent again to another endpoint.",
    "decisions_total": "Decisions on replicas that were recorded.",
    "conflicts_total": "Commits refused for another's earlier write.",
    "orders_total": "Orders to endpoints, by kind.",
}
GAUGES = {
    "shares": "Partitions of the customers' rates that are held.",
    "slots": "Requests in flight that are allowed, by endpoint.",
    "replicas_loaded": "Replicas loaded at the endpoints owned.",
    "idle_accelerator_seconds": "Seconds that loaded replicas were idle.",
    "config_version": "Version of the configuration in force.",
    "control_bytes": "Bytes between processes, by direction.",
    "control_messages": "Messages between processes, by direction.",
}


class Metrics:
    """All metrics of one process.

    Notes
    -----
    An update costs microseconds and needs no event loop.  Label values
    are names of the configuration or constants, since the text format
    escapes nothing; what a caller sends must not become a label.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count_refusal("rate_limited")
    >>> b'refusals_total{code="rate_limited"} 1' in metrics.render()
    True
    """

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._all = {}
        for name, (doc, buckets) in HISTOGRAMS.items():
            self._all[name] = aioprometheus.Histogram(
                PREFIX + name, doc, registry=self.registry, buckets=buckets
            )
        for name, doc in COUNTERS.items():
            self._all[name] = aioprometheus.Counter(
                PREFIX + name, doc, registry=self.registry
            )
        for name, doc in GAUGES.items():
            self._all[name] = aioprometheus.Gauge(
                PREFIX + name, doc, registry=self.registry
            )

    def _observe(self, name, customer, priority, seconds):
        labels = {"customer": customer, "class": priority}
        self._all[name].observe(labels, float(seconds))

    def observe_queue_wait(self, customer, priority, seconds):
        """Note a wait for a slot."""
        self._observe("queue_wait_seconds", customer, priority, seconds)

    def observe_cold_start(self, customer, priority, seconds):
        """Note a wait for a load."""
        self._observe("cold_start_seconds", customer, priority, seconds)

    def observe_first_token(self, customer, priority, seconds):
        """Note the time from a request's arrival to its first token."""
        self._observe("first_token_seconds", customer, priority, seconds)

    def observe_token_gap(self, customer, priority, seconds):
        """Note a gap between two tokens of a stream."""
        self._observe("token_gap_seconds", customer, priority, seconds)

    def observe_total_time(self, customer, priority, seconds):
        """Note the time from a request's arrival to its answer's end."""
        self._observe("total_seconds", customer, priority, seconds)

    def count_refusal(self, code):
        """Count a refusal by its code."""
        self._all["refusals_total"].inc({"code": code})

    def count_retry(self):
        """Count a request sent again to another endpoint."""
        self._all["retries_total"].inc({})

    def count_decision(self):
        """Count a recorded decision on a replica."""
        self._all["decisions_total"].inc({})

    def count_conflict(self):
        """Count a commit refused for another's earlier write."""
        self._all["conflicts_total"].inc({})

    def count_order(self, kind):
        """Count an order to an endpoint, such as ``load``."""
        self._all["orders_total"].inc({"kind": kind})

    def set_shares(self, number):
        """Set the number of shares of the rates that are held."""
        self._all["shares"].set({}, number)

    def set_slots(self, endpoint, number):
        """Set the requests in flight that an endpoint is allowed."""
        self._all["slots"].set({"endpoint": endpoint}, number)

    def set_replicas_loaded(self, number):
        """Set the number of replicas loaded."""
        self._all["replicas_loaded"].set({}, number)

    def add_idle_time(self, seconds):
        """Add time in which a loaded replica had no request."""
        self._all["idle_accelerator_seconds"].add({}, float(seconds))

    def set_config_version(self, version):
        """Set the version of the configuration in force."""
        self._all["config_version"].set({}, version)

    def set_control(self, direction, size, messages):
        """Set bytes and messages ``in`` or ``out`` between processes."""
        labels = {"direction": direction}
        self._all["control_bytes"].set(labels, size)
        self._all["control_messages"].set(labels, messages)

    def render(self):
        """Return all metrics in Prometheus' text format, as bytes."""
        return text.TextFormatter().marshall(self.registry)
