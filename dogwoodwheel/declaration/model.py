"""The data that the operators' text declares."""

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
        The platform's region that it belongs to.
    state : str
        ``in`` or ``out``; an endpoint VM in a zone that is out receives
        no new work.
    """

    name: str
    region: str
    state: str = "in"


@dataclasses.dataclass(frozen=True)
class Route:
    """Calls of a plain service, by method and path prefix.

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
        Names of the services it depends on.
    deadline_s : float
        Deadline of a request that names none, seconds.
    max_deadline_s : float
        Longest deadline that a request may name, seconds.
    open_routes : tuple of Route
        Calls that need no key.
    once_routes : tuple of Route
        Calls that must not be repeated.
    call_tokens : int
        Tokens that one call of a plain service counts.
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
        Name of the service that runs there.
    zone : str
        Name of its availability zone.
    address : str
        ``IP:PORT``.
    memory_mb : int
        Memory for weights, megabytes; 0 for a plain service.
    concurrency : int
        Requests in flight that it bears when warm.
    fresh_concurrency : int
        Requests in flight that it bears when freshly started.
    fencing : bool
        Whether it refuses orders with an old fencing number.
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
        Name of the service whose engines load it.
    version : str
        Version of its weights; another one is loaded anew.
    size_mb : int
        Memory that a loaded replica takes, megabytes.
    max_replicas : int
        Most replicas that are loaded at once.
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
    """An adapter, called by its own name, on a base model.

    Parameters
    ----------
    name : str
    base : str
        Name of the model that it adapts.
    version : str
        Version of its weights; another one is loaded anew.
    size_mb : int
        Memory that it takes beside its base, megabytes.
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
        Public name of the key; the first part of the key itself.
    salt : str
        Hexadecimal.
    digest : str
        Hexadecimal SHA-256 of salt and secret.
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
        Tokens a second over all entries.
    burst : float
        Tokens that may be used at once over all entries.
    weight : float
        Part in a fair queue, relative to other customers.
    priority : str
        Name of the priority class of a request that names none.
    keys : tuple of Key
        Salted hashes of its keys; see ``dogwoodwheel key issue``.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: str = "normal"
    keys: tuple = ()


@dataclasses.dataclass(frozen=True)
class PriorityClass:
    """A class of requests inside a customer.

    Parameters
    ----------
    name : str
    rank : int
        A lower rank goes first.
    """

    name: str
    rank: int


@dataclasses.dataclass(frozen=True)
class WeightStore:
    """Limits of the platform's weight store.

    Parameters
    ----------
    loads_per_s : float
        Loads that may begin in a second, over the whole fleet.
    parallel_loads : int
        Loads at once at full speed.
    parallel_adapters : int
        Adapter loads in flight at full speed.
    """

    loads_per_s: float = 1.5
    parallel_loads: int = 4
    parallel_adapters: int = 32


@dataclasses.dataclass(frozen=True)
class Declaration:
    """One whole text of the operators, checked.

    Parameters
    ----------
    zones, services, endpoints, models, adapters, customers : dict
        Each by name.
    classes : dict of str to PriorityClass
    weight_store : WeightStore
    partitions : int
        Number of partitions of shared rights; taken at the fleet's
        first start only.
    vm_list_lag_s : float
        Longest lag of the platform's list of VMs, seconds.
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
