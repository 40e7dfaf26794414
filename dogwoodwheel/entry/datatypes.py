"""The data that an entry decides by."""

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


# Callers leave a stream after the longest of these: seconds, and multiples
# of the aim and of the longest pause, as the platform's pages tell.
MIN_PATIENCE_S = 2.0
AIMS_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0


class RouteKind:
    """What may be repeated of the requests of a route."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host below one path prefix.

    Parameters
    ----------
    name, host, prefix : str
    kind : str
        One of `RouteKind`.
    services : tuple of (str, float)
        Names of services with their weights.
    timeout_s : float
        Longest time that a request may be kept waiting, seconds.
    aim_s : float
        Time within which an answer, or a stream's first event, is on
        time, seconds.
    rank : int
        Priority; 0 goes first.
    max_attempts : int
        Most endpoints that one request may be sent to.
    open : bool
        Whether it needs no key.
    resumable : bool
        Whether a stream may go on at another endpoint.
    gap_s : float
        Longest pause between events that is on time, seconds.
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
        """Seconds after which callers leave a stream without an event."""
        if self.kind != RouteKind.STREAM:
            return math.inf
        gap_s = (
            self.max_event_gap_s if self.max_event_gap_s < math.inf else 0.0
        )
        return max(
            MIN_PATIENCE_S,
            AIMS_OF_PATIENCE * self.target_latency_s,
            GAPS_OF_PATIENCE * gap_s,
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
        Time of a load, by where the weights are, seconds.
    adapter_mb : float
        Size of each of its adapters.
    """

    name: str
    size_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """What is common to the engines of a service.

    Parameters
    ----------
    models : dict of str to ModelSpec
    memory_mb : float
        Memory for weights and adapters.
    adapter_slots : int
    loads_per_s : float
        Loads from the weight store that may begin in a second.
    slots : int
        Requests in one batch.
    cache_tokens : int
        Tokens of the key-value cache.
    disk_mb : float
        Disk for copies of weights; the one used longest ago makes way.
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
    """A kind of back end.

    Parameters
    ----------
    name, health_path : str
    max_connections : int
        Connections that one endpoint accepts from all entries.
    cold_per_s : float
        Requests a second that a cold endpoint bears; 0 for no limit.
    engine : EngineSpec or None
    """

    name: str
    health_path: str
    max_connections: int
    cold_requests_per_s: float = 0.0
    engine: EngineSpec = None


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer.

    Parameters
    ----------
    name : str
    rate, burst : float
        Units a second, and at once, over all entries; rate 0 for no
        limit.
    rank : int or None
        Priority, which goes before the route's.
    in_tokens : bool
        Whether a unit is a token; else it is a request.
    plain_tokens : float
        Tokens of a request that names none.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int = None
    rate_in_tokens: bool = False
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what a caller may send.

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
    """One version of what the operator configured.

    Parameters
    ----------
    version : int
    routes : dict of str to tuple of Route
        By host; longest prefix first.
    services : dict of str to Service
    customers : dict of str to Customer
    keys : dict of str to str
        Customer of each key.
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
    """A model in an engine's memory.

    Parameters
    ----------
    name : str
    adapters : frozenset of str
    """

    name: str
    adapters: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint VM as it registered itself.

    Parameters
    ----------
    id : str
        Name of this incarnation.
    service, address, zone : str
    ready : bool
        False while it drains.
    slots : int
    cold_s : float
        Seconds for which it stays cold, as of the registration.
    born_ms : int
        Unix time of its start.
    models : dict of str to Loaded
    in_memory, on_disk : frozenset of str
        Models of which it keeps a copy outside the accelerators.
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
    """What an engine tells of itself when asked.

    Parameters
    ----------
    models : dict of str to Loaded
    busy : bool
        Whether it carries out an order.
    accepted : int
        Orders that it took since its start.
    queued, active : int
        Requests.
    cache_used : int
        Tokens of the key-value cache that cannot yield.
    coming : frozenset of str
        Adapters on their way, as ``MODEL/ADAPTER``.
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
    """An order to an engine.

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
        ``IP:PORT`` for callers, for readiness checks, for the
        directory, for datagrams of peers and for metrics.
    store : str
        ``IP:PORT`` of the platform's store.
    first_start : bool
        Whether the whole system starts for the first time.
    drain_s : float
        Time after which a leaving endpoint gets nothing more, seconds.
    grace_s : float
        Time between the signal to stop and the kill, seconds.
    lease_s : float
        Least time between orders of two holders, seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Budget of retries over all entries.
    quota_slack : float
        Units by which a customer's rate may be exceeded over all
        entries.
    directory_ttl_s : float
        Longest lifetime of an answer of the directory, seconds.
    link_mbps : float
        Bandwidth of the VM's own link, megabits a second; 0 where it is
        not told.
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
