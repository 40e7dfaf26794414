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
    "slow_step_seconds": (
        "Time for which one task held the event loop, if 0.05 s or more.",
        SHORT_BUCKETS_S,
    ),
}
COUNTERS = {
    "refusals_total": "Requests refused, by cause.",
    "retries_total": "Requests sent again to another endpoint.",
    "decisions_total": "Decisions on replicas that were recorded.",
    "conflicts_total": "Commits refused for another's earlier write.",
    "orders_total": "Orders to endpoints, by kind.",
    "unanswered_total": "Requests without a complete answer, by cause.",
    "task_errors_total": "Errors of background tasks, by task.",
    "crash_suspects_total": "Requests in flight as an endpoint crashed.",
    "leaving_total": "Endpoints that said in an answer that they leave.",
    "limits_total": "Endpoints that began to name a limit.",
    "waits_total": "Endpoints that began to want no requests for a time.",
    "quarantines_total": "Parts of requests that were quarantined.",
}
GAUGES = {
    "shares": "Partitions of the customers' rates that are held.",
    "slots": "Requests in flight that are allowed, by endpoint.",
    "replicas_loaded": "Replicas loaded at the endpoints owned.",
    "idle_accelerator_seconds": "Seconds that loaded replicas were idle.",
    "config_version": "Version of the configuration in force.",
    "store_era": "Era of the platform's store; rises as it is restored.",
    "control_bytes": "Bytes between processes, by direction.",
    "control_messages": "Messages between processes, by direction.",
}


class Metrics:
    """All metrics of one process.

    Notes
    -----
    An update takes microseconds and needs no event loop.  Label values
    must be constants or names from the configuration, never data from a
    caller, since the formatter does not escape label values.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count_refusal("rate_limited")
    >>> b'refusals_total{code="rate_limited"} 1' in metrics.render()
    True
    """

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._metrics = {}
        for name, (doc, buckets) in HISTOGRAMS.items():
            self._metrics[name] = aioprometheus.Histogram(
                PREFIX + name, doc, registry=self.registry, buckets=buckets
            )
        for name, doc in COUNTERS.items():
            self._metrics[name] = aioprometheus.Counter(
                PREFIX + name, doc, registry=self.registry
            )
        for name, doc in GAUGES.items():
            self._metrics[name] = aioprometheus.Gauge(
                PREFIX + name, doc, registry=self.registry
            )

    def _observe(self, name, customer, priority, seconds):
        labels = {"customer": customer, "class": priority}
        self._metrics[name].observe(labels, float(seconds))

    def observe_queue_wait(self, customer, priority, seconds):
        """Record the wait for a slot, seconds."""
        self._observe("queue_wait_seconds", customer, priority, seconds)

    def observe_cold_start(self, customer, priority, seconds):
        """Record the wait for the load of a model, seconds."""
        self._observe("cold_start_seconds", customer, priority, seconds)

    def observe_first_token(self, customer, priority, seconds):
        """Record the time from arrival to the first token, seconds."""
        self._observe("first_token_seconds", customer, priority, seconds)

    def observe_token_gap(self, customer, priority, seconds):
        """Record the gap between two tokens of a stream, seconds."""
        self._observe("token_gap_seconds", customer, priority, seconds)

    def observe_total_time(self, customer, priority, seconds):
        """Record the time from arrival to the end of the answer, seconds."""
        self._observe("total_seconds", customer, priority, seconds)

    def observe_slow_step(self, seconds):
        """Record for how long one task held the event loop, seconds."""
        self._metrics["slow_step_seconds"].observe({}, float(seconds))

    def count_refusal(self, code):
        """Count a refusal by its code."""
        self._metrics["refusals_total"].inc({"code": code})

    def count_retry(self):
        """Count a retry of a request at another endpoint."""
        self._metrics["retries_total"].inc({})

    def count_decision(self):
        """Count a decision about a replica that a commit recorded."""
        self._metrics["decisions_total"].inc({})

    def count_conflict(self):
        """Count a commit rejected because of an earlier concurrent write."""
        self._metrics["conflicts_total"].inc({})

    def count_order(self, kind):
        """Count an order to an endpoint, such as ``load``."""
        self._metrics["orders_total"].inc({"kind": kind})

    def count_unanswered(self, cause):
        """Count a request whose connection ended without a whole answer."""
        self._metrics["unanswered_total"].inc({"cause": cause})

    def count_task_error(self, task):
        """Count an error that ended a background task."""
        self._metrics["task_errors_total"].inc({"task": task})

    def count_crash_suspect(self):
        """Count a request that was in flight as an engine crashed."""
        self._metrics["crash_suspects_total"].inc({})

    def count_quarantine(self):
        """Count a prompt section that was quarantined."""
        self._metrics["quarantines_total"].inc({})

    def count_leaving(self):
        """Count an endpoint that said in an answer that it leaves."""
        self._metrics["leaving_total"].inc({})

    def count_wait(self):
        """Count an endpoint that began to want no requests for a time."""
        self._metrics["waits_total"].inc({})

    def count_limit(self):
        """Count an endpoint that began to name a limit."""
        self._metrics["limits_total"].inc({})

    def set_shares(self, number):
        """Set the number of partitions of the rates that this entry owns."""
        self._metrics["shares"].set({}, number)

    def set_slots(self, endpoint, number):
        """Set the maximum number of requests in flight at an endpoint."""
        self._metrics["slots"].set({"endpoint": endpoint}, number)

    def set_replicas_loaded(self, number):
        """Set the number of replicas loaded at the owned endpoints."""
        self._metrics["replicas_loaded"].set({}, number)

    def add_idle_time(self, seconds):
        """Add seconds in which a loaded replica had no request."""
        self._metrics["idle_accelerator_seconds"].add({}, float(seconds))

    def set_config_version(self, version):
        """Set the version of the configuration in force."""
        self._metrics["config_version"].set({}, version)

    def set_store_era(self, era):
        """Set the latest known era of the platform's store."""
        self._metrics["store_era"].set({}, era)

    def set_control_traffic(self, direction, size, messages):
        """Set the bytes and messages sent (``out``) or received (``in``)."""
        labels = {"direction": direction}
        self._metrics["control_bytes"].set(labels, size)
        self._metrics["control_messages"].set(labels, messages)

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return text.TextFormatter().marshall(self.registry)
