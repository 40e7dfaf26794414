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


# Callers abandon a stream after the longest of these, according to the
# platform's documentation: a minimum in seconds, a multiple of the target
# latency, and a multiple of the longest permitted pause between events.
MIN_CALLER_TIMEOUT_S = 2.0
TARGET_LATENCIES_PER_TIMEOUT = 4.0
EVENT_GAPS_PER_TIMEOUT = 8.0


class RouteKind:
    """Which requests of a route may be repeated."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests to one host whose path has a given prefix.

    Parameters
    ----------
    name, host, prefix : str
    kind : str
        One of the values of `RouteKind`.
    services : tuple of (str, float)
        Names of services with their weights.
    timeout_s : float
        Maximum time that a request may be kept waiting, seconds.
    target_latency_s : float
        Time within which an answer, or the first event of a stream, is on
        time, seconds.
    priority : int
        0 is the highest.
    max_attempts : int
        Maximum number of endpoints that one request may be sent to.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    max_event_gap_s : float
        Maximum pause between two events that are on time, seconds.
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
        """Whether a request may run more than once."""
        if self.kind == RouteKind.STREAM:
            return self.resumable
        return self.kind == RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model that the engines of a service may load.

    Parameters
    ----------
    name : str
    size_mb : float
    store_load_s, disk_load_s, memory_load_s : float
        Load time from the weight store, disk and host memory, seconds.
    adapter_mb : float
        Size of each of the model's adapters.
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
        Memory for weights and adapters.
    adapter_slots : int
        Maximum number of adapters that an engine holds.
    loads_per_s : float
        Loads from the weight store that may begin in a second.
    slots : int
        Requests in one batch.
    cache_tokens : int
        Capacity of the key-value cache, tokens.
    disk_mb : float
        Disk for copies of weights; evicts the least recently used.
    """

    models: dict
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    slots: int
    cache_tokens: int
    disk_mb: float = math.inf


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that endpoints provide.

    Parameters
    ----------
    name, health_path : str
    max_connections : int
        Connections that one endpoint accepts from all entries.
    cold_requests_per_s : float
        Requests a second that a cold endpoint can serve; 0 for no limit.
    engine : EngineSpec or None
    """

    name: str
    health_path: str
    max_connections: int
    cold_requests_per_s: float = 0.0
    engine: EngineSpec = None


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer and the rate of its requests.

    Parameters
    ----------
    name : str
    rate, burst : float
        Units a second, and units at once, over all entries; rate 0 for no
        limit.
    priority : int or None
        0 is the highest; outranks the priority of the route.
    rate_in_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    default_tokens : float
        Tokens of a request that does not state its number of tokens.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int = None
    rate_in_tokens: bool = False
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of what a caller may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_timeout_s, idle_timeout_s : float
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
        By host; longest prefix first.
    services : dict of str to Service
    customers : dict of str to Customer
    keys : dict of str to str
        Name of the customer, by key.
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
    ready : bool
        False while the endpoint drains.
    slots : int
    cold_s : float
        Seconds after the registration for which the endpoint stays cold.
    started_ms : int
        Unix time at which the endpoint started, milliseconds.
    models : dict of str to LoadedModel
    in_memory, on_disk : frozenset of str
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
    in_memory: frozenset = frozenset()
    on_disk: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """The state of an engine, as it answers a report call.

    Parameters
    ----------
    models : dict of str to LoadedModel
    busy : bool
        Whether the engine carries out an order.
    orders_accepted : int
        Number of orders that the engine has accepted since its start.
    queued, active : int
        Numbers of requests.
    cache_used : int
        Tokens of the key-value cache that cannot be evicted.
    loading_adapters : frozenset of str
        Adapters that are being loaded, as ``MODEL/ADAPTER``.
    in_memory, on_disk : frozenset of str
    """

    models: dict
    busy: bool
    orders_accepted: int
    queued: int = 0
    active: int = 0
    cache_used: int = 0
    loading_adapters: frozenset = frozenset()
    in_memory: frozenset = frozenset()
    on_disk: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine to load or unload a model or an adapter.

    Parameters
    ----------
    endpoint : str
    load : bool
        False to unload.
    model : str
    adapter : str
        Empty for the model itself.
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
        ``IP:PORT`` for callers, for readiness checks, for the directory,
        for datagrams of peers and for metrics.
    store : str
        ``IP:PORT`` of the platform's store.
    first_start : bool
        Whether the whole system starts for the first time.
    drain_s : float
        Time after which a draining endpoint must get no more requests,
        seconds.
    grace_s : float
        Time between the signal to stop and the kill, seconds.
    lease_s : float
        Minimum time between orders of two lease holders, seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget over all entries: retries for each request, further
        retries, and the window in which both are counted, seconds.
    quota_slack : float
        Units by which a customer's rate may be exceeded over all entries.
    directory_ttl_s : float
        Maximum lifetime of an answer of the directory, seconds.
    link_mbps : float
        Bandwidth of the VM's link, megabits a second; 0 if unknown.
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
