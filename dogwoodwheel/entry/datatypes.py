"""Data types of an entry: configuration, endpoints, engines and orders."""

import dataclasses
import math

__all__ = [
    "Configuration",
    "Customer",
    "Endpoint",
    "EngineReport",
    "EngineSpec",
    "Limits",
    "LoadedModel",
    "ModelSpec",
    "Order",
    "Route",
    "RouteKind",
    "Service",
    "Settings",
]

# The platform's documentation states that callers abandon a stream after the
# longest of three times: a minimum in seconds, a multiple of the target
# latency, and a multiple of the longest permitted pause between events.
MIN_CALLER_TIMEOUT_S = 2.0
TARGET_LATENCIES_PER_TIMEOUT = 4.0
EVENT_GAPS_PER_TIMEOUT = 8.0


class RouteKind:
    """Whether requests may run again; a stream may only if it is resumable."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Route:
    """Rules for the requests to one host whose path has a given prefix.

    Parameters
    ----------
    name, host, prefix : str
    kind : str
        One of the values of `RouteKind`.
    services : tuple of (str, float)
        Names of services; each gets requests in proportion to its weight.
    timeout_s : float
        Maximum time within which a request must be answered, seconds.
    target_latency_s : float
        Target time to an answer or to the first event of a stream, seconds.
    priority : int
        Priority of the requests; 0 is the highest.
    max_attempts : int
        Maximum number of endpoints that one request may be sent to.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    max_event_gap_s : float
        Longest pause after an event before the next counts as late, seconds.
    """

    name: str
    host: str
    prefix: str
    kind: str
    services: tuple
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_event_gap_s: float = math.inf

    @property
    def caller_timeout_s(self):
        """Seconds after which callers abandon a stream without an event."""
        if self.kind != RouteKind.STREAM:
            return math.inf
        event_gap_s = (
            self.max_event_gap_s if self.max_event_gap_s < math.inf else 0.0
        )
        return max(
            MIN_CALLER_TIMEOUT_S,
            TARGET_LATENCIES_PER_TIMEOUT * self.target_latency_s,
            EVENT_GAPS_PER_TIMEOUT * event_gap_s,
        )

    @property
    def is_retryable(self):
        """Whether a request may safely run more than once."""
        if self.kind == RouteKind.STREAM:
            return self.resumable
        return self.kind == RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model that the engines of a service may load.

    Parameters
    ----------
    name : str
    size_mb, adapter_mb : float
        Size of the weights, and of each of the model's adapters, MB.
    store_load_s, disk_load_s, memory_load_s : float
        Load time from the weight store, disk and host memory, seconds.
    """

    name: str
    size_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Properties that all engines of a service share.

    Parameters
    ----------
    models : dict of str to ModelSpec
    memory_mb : float
        Memory of an engine for weights and adapters, MB.
    adapter_slots : int
        Maximum number of adapters that an engine holds.
    weight_store_loads_per_s : float
        Maximum rate at which loads from the weight store begin, per second.
    slots : int
        Maximum number of requests in one batch of an engine.
    cache_tokens : int
        Capacity of the key-value cache, tokens.
    disk_mb : float
        Disk for copies of weights, MB.  If the disk is full, the engine
        evicts the least recently used copy.
    """

    models: dict
    memory_mb: float
    adapter_slots: int
    weight_store_loads_per_s: float
    slots: int
    cache_tokens: int
    disk_mb: float = math.inf


@dataclasses.dataclass(frozen=True)
class Service:
    """A service provided by a group of endpoints.

    Parameters
    ----------
    name, health_path : str
        Name of the service, and path of its endpoints' health check.
    max_connections : int
        Connections that one endpoint accepts from all entries together.
    cold_requests_per_s : float
        Requests per second that a cold endpoint can serve; 0 for no limit.
    engine : EngineSpec or None
        None if the endpoints of the service do not run model engines.
    """

    name: str
    health_path: str
    max_connections: int
    cold_requests_per_s: float = 0.0
    engine: EngineSpec = None


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer, the permitted rate and the priority of its requests.

    Parameters
    ----------
    name : str
    rate, burst : float
        Refill rate (units per second) and capacity (units) of the customer's
        token bucket, over all entries.  Rate 0 means no limit.
    priority : int or None
        0 is the highest.  Takes precedence over the route's priority.
    rate_in_tokens : bool
        Whether a unit of the rate is a token; otherwise a unit is a request.
    default_request_tokens : float
        Number of tokens assumed for a request that does not state a number.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int = None
    rate_in_tokens: bool = False
    default_request_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of what a caller may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's headers and of its body, bytes.
    header_timeout_s, idle_timeout_s : float
        Maximum time to receive headers, and for which an unused connection
        is kept, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
    routes : dict of str to tuple of Route
        Routes by host; in each tuple, longer prefixes come first.
    services : dict of str to Service
    customers : dict of str to Customer
    keys : dict of str to str
        Name of the customer that each key belongs to.
    limits : Limits
    """

    version: int
    routes: dict
    services: dict
    customers: dict
    keys: dict
    limits: Limits = Limits()


@dataclasses.dataclass(frozen=True)
class LoadedModel:
    """A model that an engine has loaded.

    Parameters
    ----------
    name : str
    adapters : frozenset of str
    """

    name: str
    adapters: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """The registration of an endpoint VM.

    Parameters
    ----------
    id : str
        Name of this process instance of the endpoint.
    service, address, zone : str
        Name of the service, ``IP:PORT`` and availability zone.
    ready : bool
        False while the endpoint drains.
    slots : int
        Maximum number of requests in one batch.
    cold_s : float
        Time for which the endpoint stays cold after it registers, seconds.
    started_ms : int
        Unix time at which the endpoint started, milliseconds.
    models : dict of str to LoadedModel
    memory_weights, disk_weights : frozenset of str
        Models whose weights the endpoint keeps in host memory or on disk.
    """

    id: str
    service: str
    address: str
    zone: str
    ready: bool = True
    slots: int = 1
    cold_s: float = 0.0
    started_ms: int = 0
    models: dict = dataclasses.field(default_factory=dict)
    memory_weights: frozenset = frozenset()
    disk_weights: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """The state of an engine, as the engine reports it.

    Parameters
    ----------
    models : dict of str to LoadedModel
    busy : bool
        Whether the engine carries out an order.
    orders_accepted : int
        Number of orders that the engine has accepted since its start.
    queued_requests, running_requests : int
        Number of requests that wait at the engine, and that run there.
    cache_used_tokens : int
        Tokens in the key-value cache that cannot be evicted.
    loading_adapters : frozenset of str
        Adapters that are being loaded, as ``MODEL/ADAPTER``.
    memory_weights, disk_weights : frozenset of str
        Models whose weights the engine keeps in host memory or on disk.
    """

    models: dict
    busy: bool
    orders_accepted: int
    queued_requests: int = 0
    running_requests: int = 0
    cache_used_tokens: int = 0
    loading_adapters: frozenset = frozenset()
    memory_weights: frozenset = frozenset()
    disk_weights: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine to load or unload a model or an adapter.

    Parameters
    ----------
    endpoint : str
    load : bool
        True to load, False to unload.
    model : str
    adapter : str
        Adapter to load or unload; empty for the model itself.
    """

    endpoint: str
    load: bool
    model: str
    adapter: str = ""


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of an entry.

    Parameters
    ----------
    name, zone, region : str
    front, readiness, directory, peers, metrics : str
        ``IP:PORT`` on which the entry serves callers, readiness checks, the
        directory, heartbeats of peers and metrics.
    store : str
        ``IP:PORT`` of the platform's store.
    first_start : bool
        Whether the whole system starts for the first time.
    drain_s : float
        Time after which draining endpoints must receive no requests, seconds.
    grace_s : float
        Time from the stop signal until the entry is killed, seconds.
    lease_s : float
        Minimum time between orders of two lease holders, seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget over all entries: permitted retries per request, number
        of additional retries, and the window for both, seconds.
    quota_slack : float
        Units by which a customer may exceed its rate over all entries.
    directory_ttl_s : float
        Time for which an answer of the directory may be cached, seconds.
    link_mbps : float
        Bandwidth of the VM's network link, megabits a second; 0 if unknown.
    memory_bytes : int
        Size at which the platform kills the process; 0 if unknown.
    """

    name: str
    zone: str
    region: str
    front: str
    readiness: str
    directory: str
    peers: str
    metrics: str
    store: str
    first_start: bool = False
    drain_s: float = 2.0
    grace_s: float = 8.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    quota_slack: float = 0.0
    directory_ttl_s: float = 5.0
    link_mbps: float = 0.0
    memory_bytes: int = 0
