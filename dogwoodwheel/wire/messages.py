"""Messages between the programs, as frozen data classes.

Notes
-----
A reply has the same ``id`` as the message that it answers; a message
that needs no reply has the ``id`` 0.  Times are sent as durations in
seconds, never as points in time, since the clocks of two VMs differ.
"""

import dataclasses

__all__ = [
    "Admin",
    "AdminReply",
    "Ask",
    "Beat",
    "Borrow",
    "Config",
    "Done",
    "EndpointRows",
    "EntryBeat",
    "Ensure",
    "Ensured",
    "Grant",
    "HandOver",
    "Hello",
    "InFlight",
    "Lent",
    "Nudge",
    "Ok",
    "Permit",
    "PermitDone",
    "Refusal",
    "Repay",
    "Settle",
    "SlotAsk",
    "Touch",
]

NOT_RUN = "not_run"
MAY_HAVE_RUN = "unknown"


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message on a connection, sent by the side that opened it.

    Parameters
    ----------
    id : int
    role : str
        ``coordinator``, ``gateway`` or ``operator``.
    name, zone, incarnation : str
        ``incarnation`` identifies the process instance.
    address : str
        ``IP:PORT`` at which callers reach a gateway.
    """

    id: int
    role: str
    name: str
    zone: str
    incarnation: str
    address: str = ""


@dataclasses.dataclass(frozen=True)
class Ok:
    """Confirmation without further content."""

    id: int


@dataclasses.dataclass(frozen=True)
class Config:
    """A version of the configuration, sent by a coordinator to any peer.

    Parameters
    ----------
    id : int
    version : int
    digest : str
        Hexadecimal SHA-256 of the configuration text.
    text : str
        The configuration text; empty if only its version is announced.
    fresh_s : float
        Seconds since the sender last confirmed that this version is
        the newest; negative if that is unknown.
    leaving : bool
        Whether the sender's VM is draining.
    entries : tuple of str
        Addresses of the entries that callers should use, best first;
        only sent to gateways.
    """

    id: int
    version: int
    digest: str
    text: str = ""
    fresh_s: float = -1.0
    leaving: bool = False
    entries: tuple = ()


@dataclasses.dataclass(frozen=True)
class Ask:
    """A gateway asks its coordinator for a slot for a request.

    Parameters
    ----------
    id : int
    customer : str
        Empty on a route that needs no key.
    service : str
    model : str
        Model or adapter; empty for a plain service.
    priority : str
        Name of the priority class.
    prompt : int
        Length of the prompt, tokens.
    limit : int
        Maximum length of the output, tokens; 0 if the caller sets none.
    deadline_s : float
        Seconds left until the deadline.
    avoid : tuple of str
        Endpoints at which an earlier attempt failed.
    charge : int
        Id of an earlier attempt's charge to reuse; 0 for a new charge.
    affinity : str
        Digest of the start of the prompt, for the prefix cache.
    """

    id: int
    customer: str
    service: str
    model: str
    priority: str
    prompt: int
    limit: int
    deadline_s: float
    avoid: tuple = ()
    charge: int = 0
    affinity: str = ""


@dataclasses.dataclass(frozen=True)
class Grant:
    """A slot at an endpoint, in reply to `Ask` or `SlotAsk`.

    Parameters
    ----------
    id : int
    slot : str
        Unique name of the slot, returned in `Done`.
    endpoint : str
    address : str
        ``IP:PORT``.
    epoch : int
        Epoch of the owner that granted the slot.
    incarnation : str
        Process instance of the endpoint, as the owner knows it.
    charge : int
        Id of the charge of the customer's tokens, returned in `Settle`.
    cold : bool
        Whether the request waited for the model to be loaded.
    wait_s : float
        Time in the queue, seconds.
    """

    id: int
    slot: str
    endpoint: str
    address: str
    epoch: int
    incarnation: str = ""
    charge: int = 0
    cold: bool = False
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The refusal of a request, as the caller receives it.

    Parameters
    ----------
    id : int
    code : str
    message : str
        Says what the caller can do.
    run : str
        ``not_run``, or ``unknown`` if the request may have run.
    status : int
        HTTP status.
    retry_after_s : float
        0 if waiting does not help.
    charge : int
        Id of the charge that stays open after a failed retry.
    """

    id: int
    code: str
    message: str
    run: str = NOT_RUN
    status: int = 503
    retry_after_s: float = 0.0
    charge: int = 0


@dataclasses.dataclass(frozen=True)
class Done:
    """Notice that a request has ended and its slot is free again.

    Parameters
    ----------
    id : int
    slot : str
    endpoint : str
    outcome : str
        ``ok``, ``reset`` (the connection broke), ``late`` (no answer in
        time), ``unused`` (the request did not run) or ``cancelled``.
    took_s : float
        Duration of the attempt, seconds.
    tokens : int
        Output tokens.
    """

    id: int
    slot: str
    endpoint: str
    outcome: str
    took_s: float = 0.0
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Settle:
    """The actual cost of a charge in tokens, once the answer has ended."""

    id: int
    charge: int
    customer: str
    model: str
    tokens: int
    output: int = 0


@dataclasses.dataclass(frozen=True)
class SlotAsk:
    """A coordinator asks the owner of an endpoint for a slot there.

    Parameters
    ----------
    id : int
    entry : str
    endpoint : str
    customer : str
    priority : str
    model : str
    cost : int
        Cost of the request in the fair queue, tokens.
    deadline_s : float
    weight : float
        Weight of the customer in the fair queue.
    """

    id: int
    entry: str
    endpoint: str
    customer: str
    priority: str
    model: str
    cost: int
    deadline_s: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class EndpointRows:
    """Rows of the endpoints, which an entry of a large fleet has read.

    Parameters
    ----------
    id : int
    name : str
        The entry that read the rows.
    age_s : float
        Seconds since the entry sent the read to the store.
    version : int
        Newest version in the store when the store answered.
    rows : tuple of (str, int, bytes)
        Key, version and value of each row.
    """

    id: int
    name: str
    age_s: float
    version: int
    rows: tuple


@dataclasses.dataclass(frozen=True)
class EntryBeat:
    """Heartbeat that an entry sends to its peers several times a second.

    Parameters
    ----------
    id : int
        Grows with each heartbeat of a process instance.
    name, incarnation, zone : str
    peers, front : str
        ``IP:PORT`` for datagrams of peers, and for callers.
    state : str
        ``starting``, ``serving`` or ``leaving``.
    config_version : int
    store_age_s, scan_age_s : float
        Seconds since the store last answered the entry, and since the
        rows of endpoints that it uses were read, by any entry.
    operator_row : int
        Version of the newest operators' row that the entry has read.
    link_mbps : float
        Bandwidth of the VM's network link, Mbit/s; 0 if unknown.
    known : tuple of str
        Addresses of the live peers; empty in a large fleet.
    load : dict of str to (int, int, dict of str to int)
        By endpoint: requests in flight, their prompt tokens, and
        requests in flight by model.
    outcomes : dict of str to (float, float)
        By endpoint: recent successes and failures.
    spent : dict of str to float
        By customer: units charged since the start of the process.
    asked : dict of str to int
        By model: requests since the start of the process; a large
        fleet leaves out models without recent requests.
    waiting : dict of str to int
        By ``MODEL`` or ``MODEL/ADAPTER``: requests that wait for it.
    lease : tuple of (int, int) or None
        Fencing token and version of the lease that the entry holds;
        the token is 0 if the entry has released that version.
    holdings : dict
        From the lease holder, by endpoint: age of the engine's report
        in seconds, loaded models with adapters, and the model being
        loaded.  A brief heartbeat has only engines that changed.
    """

    id: int
    name: str
    incarnation: str
    zone: str
    peers: str
    front: str
    state: str
    config_version: int = 0
    store_age_s: float = 0.0
    scan_age_s: float = 0.0
    operator_row: int = 0
    link_mbps: float = 0.0
    known: tuple = ()
    load: dict = dataclasses.field(default_factory=dict)
    outcomes: dict = dataclasses.field(default_factory=dict)
    spent: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    lease: tuple = None
    holdings: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Ensure:
    """Asks a model's decider for endpoints that hold or load the model.

    Parameters
    ----------
    id : int
    model : str
        Model or adapter.
    deadline_s : float
    avoid : tuple of str
        Endpoints at which an earlier attempt failed.
    """

    id: int
    model: str
    deadline_s: float
    avoid: tuple = ()


@dataclasses.dataclass(frozen=True)
class Ensured:
    """Endpoints that hold or load a model, best first."""

    id: int
    endpoints: tuple


@dataclasses.dataclass(frozen=True)
class Nudge:
    """Notice that an endpoint's record changed; its owner rereads it."""

    id: int
    endpoint: str


@dataclasses.dataclass(frozen=True)
class Touch:
    """Recent use of a replica, reported by its owner to its decider.

    Parameters
    ----------
    id : int
    endpoint : str
    model : str
    idle_s : float
        Seconds since the last request; 0 while the replica is in use.
    waiting : int
        Requests that wait for the replica.
    """

    id: int
    endpoint: str
    model: str
    idle_s: float
    waiting: int


@dataclasses.dataclass(frozen=True)
class InFlight:
    """Slots of an endpoint that the sender uses, or a query for them."""

    id: int
    entry: str
    endpoint: str
    epoch: int
    slots: tuple


@dataclasses.dataclass(frozen=True)
class Borrow:
    """Asks a peer to lend some of its tokens of a customer's rate."""

    id: int
    entry: str
    incarnation: str
    customer: str
    tokens: float


@dataclasses.dataclass(frozen=True)
class Lent:
    """Tokens lent; ``loan`` identifies the loan until it is repaid."""

    id: int
    loan: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Repay:
    """Ends a loan; the tokens that were not spent return to the lender."""

    id: int
    loan: int
    customer: str
    spent: float


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Token balances that move with partitions of the customers' rates.

    Parameters
    ----------
    id : int
    shares : tuple of (int, int)
        Partitions, each with its new epoch.
    levels : dict of str to float
        By customer: the balance in tokens; negative for a debt.
    """

    id: int
    shares: tuple
    levels: dict


@dataclasses.dataclass(frozen=True)
class Permit:
    """Asks for one of the fleet-wide permits to load a model or adapter.

    Parameters
    ----------
    id : int
    entry : str
    kind : str
        ``weights`` or ``adapter``.
    deadline_s : float
        Maximum wait for the permit, seconds.
    urgency : float
        Requests that wait for this load, plus 1 for each second since
        the permit was first asked for.
    """

    id: int
    entry: str
    kind: str
    deadline_s: float
    urgency: float = 0.0


@dataclasses.dataclass(frozen=True)
class PermitDone:
    """Returns a permit when the load has ended; ``permit`` is unused."""

    id: int
    entry: str
    kind: str
    permit: int


@dataclasses.dataclass(frozen=True)
class Beat:
    """Heartbeat of a coordinator, or notice that a gateway is draining.

    Parameters
    ----------
    id : int
    entry : str
    incarnation : str
    version : int
        Version of the configuration in force.
    fresh_s : float
        Seconds since the sender last confirmed that this version is
        the newest; negative if that is unknown.
    leaving : bool
    """

    id: int
    entry: str
    incarnation: str
    version: int
    fresh_s: float
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Admin:
    """A query of the operators' command line to a coordinator.

    Parameters
    ----------
    id : int
    what : str
        ``status`` or ``explain``.
    args : dict of str to str
    """

    id: int
    what: str
    args: dict


@dataclasses.dataclass(frozen=True)
class AdminReply:
    """Answer to `Admin`, which the command line prints."""

    id: int
    body: dict
