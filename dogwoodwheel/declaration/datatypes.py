"""Data classes for the contents of the configuration text."""

import dataclasses

__all__ = [
    "Adapter",
    "Customer",
    "Declaration",
    "Endpoint",
    "Key",
    "Model",
    "PriorityClass",
    "Route",
    "Service",
    "WeightStore",
    "Zone",
]


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone.

    Parameters
    ----------
    name : str
    region : str
        The platform's region that contains the zone.
    state : str
        ``in`` or ``out``; an endpoint VM in a zone that is out receives
        no new work.
    """

    name: str
    region: str
    state: str = "in"


@dataclasses.dataclass(frozen=True)
class Route:
    """Calls to a plain service, by method and path prefix.

    Parameters
    ----------
    method : str
        Upper case, or ``*`` for every method.
    path : str
        Prefix of the path below ``/services/NAME``.
    """

    method: str
    path: str


@dataclasses.dataclass(frozen=True)
class Service:
    """A kind of back end: model engines or a plain service.

    Parameters
    ----------
    name : str
    kind : str
        ``models`` or ``plain``.
    depends : tuple of str
        Names of the services that this service depends on.
    deadline_s : float
        Default deadline of a request, seconds.
    max_deadline_s : float
        Longest deadline that a request may set, seconds.
    open_routes : tuple of Route
        Calls that are accepted without a key.
    once_routes : tuple of Route
        Non-idempotent calls, which must run at most once.
    call_tokens : int
        Tokens that one call to a plain service is charged.
    """

    name: str
    kind: str
    depends: tuple = ()
    deadline_s: float = 30.0
    max_deadline_s: float = 600.0
    open_routes: tuple = ()
    once_routes: tuple = ()
    call_tokens: int = 1


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint VM.

    Parameters
    ----------
    name : str
    service : str
        Name of the service that runs on the endpoint.
    zone : str
        Name of the availability zone.
    address : str
        ``IP:PORT``.
    memory_mb : int
        Memory for weights, megabytes; 0 for a plain service.
    concurrency : int
        Maximum requests in flight once the endpoint is warm.
    fresh_concurrency : int
        Maximum requests in flight just after the endpoint has started.
    fencing : bool
        Whether the endpoint rejects orders with an old fencing token.
    """

    name: str
    service: str
    zone: str
    address: str
    memory_mb: int = 0
    concurrency: int = 8
    fresh_concurrency: int = 1
    fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that the engines of a service may load.

    Parameters
    ----------
    name : str
    service : str
        Name of the service whose engines may load the model.
    version : str
        Version of the weights; a change of version causes a reload.
    size_mb : int
        Memory that a loaded replica uses, megabytes.
    max_replicas : int
        Maximum number of replicas that are loaded at once.
    idle_s : float
        Seconds without a request after which a replica is unloaded.
    """

    name: str
    service: str
    version: str
    size_mb: int
    max_replicas: int = 1
    idle_s: float = 300.0


@dataclasses.dataclass(frozen=True)
class Adapter:
    """An adapter of a base model, requested under its own name.

    Parameters
    ----------
    name : str
    base : str
        Name of the base model.
    version : str
        Version of the weights; a change of version causes a reload.
    size_mb : int
        Memory that the adapter uses in addition to its base, megabytes.
    """

    name: str
    base: str
    version: str
    size_mb: int = 0


@dataclasses.dataclass(frozen=True)
class Key:
    """A customer's key, as a salted hash.

    Parameters
    ----------
    name : str
        Public name of the key, which is part of the key that a caller
        sends.
    salt : str
        Salt of the hash, hexadecimal.
    digest : str
        SHA-256 of salt and secret, hexadecimal.
    """

    name: str
    salt: str
    digest: str


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer.

    Parameters
    ----------
    name : str
    rate : float
        Tokens per second, over all entries.
    burst : float
        Tokens that may be used at once, over all entries.
    weight : float
        Share in a fair queue, relative to other customers.
    priority : str
        Name of the default priority class of a request.
    keys : tuple of Key
        Salted hashes of the keys; see ``dogwoodwheel key issue``.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: str = "normal"
    keys: tuple = ()


@dataclasses.dataclass(frozen=True)
class PriorityClass:
    """A priority class, which orders the requests of one customer.

    Parameters
    ----------
    name : str
    rank : int
        Requests of a lower rank are served first.
    """

    name: str
    rank: int


@dataclasses.dataclass(frozen=True)
class WeightStore:
    """Limits of the store from which engines load weights.

    Parameters
    ----------
    loads_per_s : float
        Loads that may start per second, over the whole fleet.
    parallel_loads : int
        Concurrent model loads that the store serves at full speed.
    parallel_adapters : int
        Concurrent adapter loads that the store serves at full speed.
    """

    loads_per_s: float = 1.5
    parallel_loads: int = 4
    parallel_adapters: int = 32


@dataclasses.dataclass(frozen=True)
class Declaration:
    """The parsed configuration text.

    Parameters
    ----------
    zones, services, endpoints, models, adapters, customers : dict
        Items by name.
    classes : dict of str to PriorityClass
    weight_store : WeightStore
    partitions : int
        Number of partitions of the fleet's quotas and endpoints; used
        only at the first start of the fleet.
    vm_list_lag_s : float
        Maximum delay of the platform's list of VMs, seconds.
    """

    zones: dict
    services: dict
    endpoints: dict
    models: dict
    adapters: dict
    customers: dict
    classes: dict
    weight_store: WeightStore = WeightStore()
    partitions: int = 64
    vm_list_lag_s: float = 15.0
