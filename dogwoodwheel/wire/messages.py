"""Messages between the programs, as frozen data classes.

Notes
-----
Every message has an ``id``, an int: a reply has the ``id`` of the message
that it answers, and a message that needs no reply has 0.  Times are sent
as durations in seconds, never as points in time, since the clocks of two
VMs differ.  A charge is the tokens reserved for a request in the token
bucket of its customer; a loan is tokens lent by one entry to another.
The owner of an endpoint is the entry that grants the endpoint's slots,
and a model's decider the entry that selects the endpoints to load it on.
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
    role : str
        ``coordinator``, ``gateway`` or ``operator``.
    name, zone, incarnation : str
        VM, availability zone and process instance of the sender.
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
    """A version of the configuration, or only its number and digest.

    Parameters
    ----------
    version : int
    digest : str
        Hexadecimal SHA-256 of the configuration text.
    text : str
        The configuration text; empty to announce only the version.
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
    customer : str
        Empty on a route that needs no key.
    service : str
    model : str
        Model or adapter; empty if the service has no models.
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
        Id of the charge that an earlier attempt at this request made;
        0 if there is none.
    affinity : str
        Digest of the start of the prompt, by which equal starts prefer
        the same endpoint, for its prefix cache.
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
    slot : str
        Unique name of the slot, returned in `Done`.
    endpoint : str
    address : str
        ``IP:PORT``.
    epoch : int
        Fencing token of the owner that granted the slot.
    incarnation : str
        Process instance of the endpoint, as the owner knows it.
    charge : int
        Id of the charge of the customer's tokens, returned in `Settle`.
    cold : bool
        Whether the request waited for the model to be loaded.
    wait_s : float
        Time that the request waited for the slot, seconds.
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
    """Refusal of a request, with what the caller is told.

    Parameters
    ----------
    code : str
    message : str
        Cause of the refusal, and what the caller can do.
    run : str
        ``not_run``, or ``unknown`` if the request may have run.
    status : int
        HTTP status.
    retry_after_s : float
        Time to wait before a retry; 0 if waiting does not help.
    charge : int
        Id of the charge of an earlier attempt, which another retry can
        reuse; 0 if there is none.
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
    """Notice that an attempt has ended, so that its slot is free again.

    Parameters
    ----------
    slot, endpoint : str
        Names of the slot, from `Grant`, and of its endpoint.
    outcome : str
        ``ok``, ``reset`` (the connection broke), ``late`` (no answer in
        time), ``unused`` (the request did not run) or ``cancelled``.
    took_s : float
        Duration of the attempt, seconds.
    tokens : int
        Number of output tokens.
    """

    id: int
    slot: str
    endpoint: str
    outcome: str
    took_s: float = 0.0
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Settle:
    """Reports the tokens that a request used, to correct its charge.

    ``charge`` is the id of the charge, ``tokens`` the tokens of prompt and
    output, and ``output`` those of the output alone.
    """

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
    entry : str
        Name of the entry that asks.
    endpoint, customer, priority, model : str
        ``model`` is empty if the service has no models.
    cost : int
        Cost of the request in the fair queue, tokens.
    deadline_s : float
        Seconds left until the entry stops waiting for the slot.
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
    name : str
        The entry that read the rows.
    age_s : float
        Seconds since the entry sent the read to the platform's store.
    version : int
        Newest version in the platform's store when it answered.
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
        Seconds since the platform's store last answered the entry, and
        since some entry read the rows of endpoints that this one uses.
    operator_row : int
        Version of the newest operators' row that the entry has read, with
        the store's era in its upper bits.
    store_era : int
        Latest era of the platform's store that the entry knows.
    link_mbps : float
        Bandwidth of the VM's network link, Mbit/s; 0 if unknown.
    known : tuple of str
        Addresses of the live peers; empty in a large fleet.
    load : dict of str to (int, int, dict of str to int)
        By endpoint: requests in flight, their prompt tokens, and
        requests in flight by model.
    outcomes : dict of str to (float, float)
        By endpoint: numbers of recent successes and failures.
    spent : dict of str to float
        By customer: units charged since the start of the process.
    asked : dict of str to int
        By model: requests since the start of the process; a large
        fleet leaves out models without recent requests.
    waiting : dict of str to int
        By ``MODEL`` or ``MODEL/ADAPTER``: requests that wait for it.
    lease : tuple of (int, int) or None
        Fencing token and row version of the lease; the token is 0 if
        the entry has given the lease up at that row version.
    holdings : dict
        By endpoint, sent by the lease holder only: age of the engine's
        report in seconds, loaded models with adapters, and the model
        being loaded.  Some heartbeats only list engines that changed.
    crashes : tuple of (str, float, tuple, tuple)
        Crashes of endpoints: endpoint, age in seconds, pairs of evidence and
        the parts of the request it is held against, and numbers that identify
        the crash.
    sound_parts : dict of str to float
        By part of these requests: seconds since this entry passed on an
        answer to a request with it.
    earlier_quarantines : dict of str to int
        By part that is quarantined: number of earlier quarantines.
    limits : dict of str to (float or None, float or None, int)
        By endpoint that named a limit: the limit in the newest answer that
        this entry got, age of that answer in seconds, and requests sent.
    leaving : dict of str to int
        By endpoint that said in an answer that it leaves, though it is
        registered as ready: Unix time of its start, milliseconds.
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
    store_era: int = 0
    link_mbps: float = 0.0
    known: tuple = ()
    load: dict = dataclasses.field(default_factory=dict)
    outcomes: dict = dataclasses.field(default_factory=dict)
    spent: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    lease: tuple = None
    holdings: dict = dataclasses.field(default_factory=dict)
    crashes: tuple = ()
    sound_parts: dict = dataclasses.field(default_factory=dict)
    earlier_quarantines: dict = dataclasses.field(default_factory=dict)
    limits: dict = dataclasses.field(default_factory=dict)
    leaving: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Ensure:
    """Asks a model's decider for endpoints that hold or load the model.

    Parameters
    ----------
    model : str
        Model or adapter.
    deadline_s : float
        Seconds left until the request's deadline.
    avoid : tuple of str
        Endpoints at which an earlier attempt failed.
    """

    id: int
    model: str
    deadline_s: float
    avoid: tuple = ()


@dataclasses.dataclass(frozen=True)
class Ensured:
    """Endpoints that have a model loaded or are loading it, best first."""

    id: int
    endpoints: tuple


@dataclasses.dataclass(frozen=True)
class Nudge:
    """Tells an endpoint's owner to reread the endpoint's changed record."""

    id: int
    endpoint: str


@dataclasses.dataclass(frozen=True)
class Touch:
    """Recent use of a replica; an endpoint's owner informs the decider.

    Parameters
    ----------
    endpoint, model : str
    idle_s : float
        Seconds without a request; 0 while the replica is in use.
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
    """Slots of an endpoint that the sender uses, or the owner's query."""

    id: int
    entry: str
    endpoint: str
    epoch: int
    slots: tuple


@dataclasses.dataclass(frozen=True)
class Borrow:
    """Asks a peer for a loan of tokens of a customer's rate limit."""

    id: int
    entry: str
    incarnation: str
    customer: str
    tokens: float


@dataclasses.dataclass(frozen=True)
class Lent:
    """Reply to `Borrow`: id of the loan and tokens lent, maybe none."""

    id: int
    loan: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Repay:
    """Ends a loan; the lender gets back the tokens not ``spent``."""

    id: int
    loan: int
    customer: str
    spent: float


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Hands partitions of the customers' rates over to another entry.

    Parameters
    ----------
    shares : tuple of (int, int)
        Number of each partition, and its new epoch (fencing token).
    levels : dict of str to float
        By customer: balance of the token bucket for these partitions;
        negative after an overdraft.
    """

    id: int
    shares: tuple
    levels: dict


@dataclasses.dataclass(frozen=True)
class Permit:
    """Asks for one of the fleet-wide permits to load a model or adapter.

    Parameters
    ----------
    entry : str
        Name of the entry that asks.
    kind : str
        ``weights`` for a model, or ``adapter``.
    deadline_s : float
        Maximum wait for the permit, seconds.
    urgency : float
        Requests that wait for this model load, plus 1 for each second
        since the entry first asked for the permit.
    """

    id: int
    entry: str
    kind: str
    deadline_s: float
    urgency: float = 0.0


@dataclasses.dataclass(frozen=True)
class PermitDone:
    """Frees the permit of an ended model load; ``permit`` is ignored."""

    id: int
    entry: str
    kind: str
    permit: int


@dataclasses.dataclass(frozen=True)
class Beat:
    """Heartbeat of a coordinator, or notice that a gateway is draining.

    Parameters
    ----------
    entry, incarnation : str
        VM and process instance of the sender.
    version : int
        Version of the configuration in force.
    fresh_s : float
        Seconds since the sender last confirmed that this version is
        the newest; negative if that is unknown.
    leaving : bool
        Whether the sender is draining.
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
    what : str
        ``status`` or ``explain``.
    args : dict of str to str
        ``customer`` and ``model`` of ``explain``; empty for ``status``.
    """

    id: int
    what: str
    args: dict


@dataclasses.dataclass(frozen=True)
class AdminReply:
    """Reply to `Admin`; the command line prints ``body``."""

    id: int
    body: dict
