"""Typed messages between the programs.

Notes
-----
Every message is a frozen data class whose ``id`` pairs a reply with its
request; a message that needs no reply has the ``id`` 0.  Durations are
in seconds and relative, since clocks of two VMs differ.
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
    """First message on a connection, from the side that opened it.

    Parameters
    ----------
    id : int
    role : str
        ``coordinator``, ``gateway`` or ``operator``.
    name, zone, incarnation : str
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
    """Bare confirmation."""

    id: int


@dataclasses.dataclass(frozen=True)
class Config:
    """A version of the configuration, from coordinator to any peer.

    Parameters
    ----------
    id : int
    version : int
    digest : str
        Hexadecimal SHA-256 of the text.
    text : str
        Empty where only the version is told.
    fresh_s : float
        Seconds since the sender knew this to be the newest; negative
        where it does not know.
    leaving : bool
        Whether the sender's VM leaves.
    entries : tuple
        Addresses of the entries to use, best first, from coordinator
        to gateway.
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
    """A gateway asks its coordinator where to run a request.

    Parameters
    ----------
    id : int
    customer : str
        Empty on a route open to all.
    service : str
    model : str
        Model or adapter; empty for a plain service.
    priority : str
        Name of the priority class.
    prompt : int
        Tokens of the prompt.
    limit : int
        Tokens that the caller allows for the output; 0 where unsaid.
    deadline_s : float
        Seconds that are left.
    avoid : tuple of str
        Endpoints that an earlier try failed at.
    charge : int
        Charge of an earlier try, kept for this one; 0 for a new one.
    affinity : str
        Digest of the prompt's beginning, for the prefix cache.
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
    """A slot at an endpoint; also the reply to `SlotAsk`.

    Parameters
    ----------
    id : int
    slot : str
        Unique name of the slot, told back in `Done`.
    endpoint : str
    address : str
        ``IP:PORT``.
    epoch : int
        Epoch of the owner that granted it.
    incarnation : str
        Incarnation of the endpoint as the owner knows it.
    charge : int
        Charge of the customer's tokens, told back in `Settle`.
    cold : bool
        Whether the request waited for a load.
    wait_s : float
        Seconds in the queue.
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
    """A request is refused, with what the caller is told.

    Parameters
    ----------
    id : int
    code : str
    message : str
        Names the remedy.
    run : str
        ``not_run`` or ``unknown``.
    status : int
        HTTP status.
    retry_after_s : float
        0 where waiting does not help.
    charge : int
        Charge that stays open after a failed retry.
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
    """A slot is free again.

    Parameters
    ----------
    id : int
    slot : str
    endpoint : str
    outcome : str
        ``ok``, ``reset`` (the connection broke), ``late`` (no answer in
        time), ``unused`` or ``cancelled``.
    took_s : float
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
    """The true cost of a charge, once the answer has ended."""

    id: int
    charge: int
    customer: str
    model: str
    tokens: int
    output: int = 0


@dataclasses.dataclass(frozen=True)
class SlotAsk:
    """A coordinator asks an endpoint's owner for a slot there.

    Parameters
    ----------
    id : int
    entry : str
    endpoint : str
    customer : str
    priority : str
    model : str
    cost : int
        Tokens, for the fair queue.
    deadline_s : float
    weight : float
        Part of the customer in the fair queue.
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
    """What an entry of a large fleet read of the endpoints.

    Parameters
    ----------
    id : int
    name : str
        The entry.
    age_s : float
        Seconds since it asked for them.
    version : int
        The store's newest version as it answered.
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
    """What an entry tells its peers about itself, several times a second.

    Parameters
    ----------
    id : int
        Grows with each beat of an incarnation.
    name, incarnation, zone : str
    peers, front : str
        ``IP:PORT`` for datagrams of peers, and for callers.
    state : str
        ``starting``, ``serving`` or ``leaving``.
    config_version : int
    store_age_s, scan_age_s : float
        Seconds since the platform's store answered it, and since the
        endpoints that it knows were read there, by whomever.
    operator_row : int
        Version of the newest row of the operator that it has read.
    link_mbps : float
        Bandwidth of its VM's link, megabits a second; 0 if not told.
    known : tuple of str
        Addresses of peers that it hears; empty in a large fleet.
    load : dict of str to (int, int, dict of str to int)
        Requests and prompt tokens that it has in flight at each
        endpoint, and requests by model.
    outcomes : dict of str to (float, float)
        Recent good and bad outcomes at each endpoint.
    spent : dict of str to float
        Units charged to each customer since the process's start.
    asked : dict of str to int
        Requests for each model since the process's start; models that
        were not asked for lately are left out.
    waiting : dict of str to int
        Requests that wait for ``MODEL`` or ``MODEL/ADAPTER``.
    lease : tuple of (int, int) or None
        Fencing token and version of the lease that it holds; the token
        is 0 where it gave that version up.
    holdings : dict
        What each engine holds, if the sender leads: endpoint to
        (age in seconds, models with adapters, model on its way).  A
        brief beat has those that have changed.
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
    """Ask a model's decider for endpoints that hold or load it.

    Parameters
    ----------
    id : int
    model : str
        Model or adapter.
    deadline_s : float
    avoid : tuple of str
        Endpoints that an earlier try failed at.
    """

    id: int
    model: str
    deadline_s: float
    avoid: tuple = ()


@dataclasses.dataclass(frozen=True)
class Ensured:
    """Endpoints decided for a model, best first."""

    id: int
    endpoints: tuple


@dataclasses.dataclass(frozen=True)
class Nudge:
    """An endpoint's record changed; its owner reads it anew."""

    id: int
    endpoint: str


@dataclasses.dataclass(frozen=True)
class Touch:
    """How much a replica was used lately, from owner to decider.

    Parameters
    ----------
    id : int
    endpoint : str
    model : str
    idle_s : float
        Seconds since the last request; 0 while one is there.
    waiting : int
        Requests in its queue.
    """

    id: int
    endpoint: str
    model: str
    idle_s: float
    waiting: int


@dataclasses.dataclass(frozen=True)
class InFlight:
    """What an entry has in flight at an endpoint, for a new owner."""

    id: int
    entry: str
    endpoint: str
    epoch: int
    slots: tuple


@dataclasses.dataclass(frozen=True)
class Borrow:
    """Ask a peer for some of a customer's tokens."""

    id: int
    entry: str
    incarnation: str
    customer: str
    tokens: float


@dataclasses.dataclass(frozen=True)
class Lent:
    """Tokens lent; ``loan`` names them until they are repaid."""

    id: int
    loan: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Repay:
    """How much of a loan was spent; the rest returns to the lender."""

    id: int
    loan: int
    customer: str
    spent: float


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Levels that move with shares of the rate.

    Parameters
    ----------
    id : int
    shares : tuple of (int, int)
        Partition and its new epoch.
    levels : dict of str to float
        Tokens by customer.
    """

    id: int
    shares: tuple
    levels: dict


@dataclasses.dataclass(frozen=True)
class Permit:
    """Ask for one of the fleet-wide permits to load.

    Parameters
    ----------
    id : int
    entry : str
    kind : str
        ``weights`` or ``adapter``.
    deadline_s : float
    urgency : float
        Requests that wait for this load.
    """

    id: int
    entry: str
    kind: str
    deadline_s: float
    urgency: float = 0.0


@dataclasses.dataclass(frozen=True)
class PermitDone:
    """A permitted load has ended; ``permit`` is the id it had."""

    id: int
    entry: str
    kind: str
    permit: int


@dataclasses.dataclass(frozen=True)
class Beat:
    """Heartbeat between coordinators.

    Parameters
    ----------
    id : int
    entry : str
    incarnation : str
    version : int
        Version of the configuration.
    fresh_s : float
        Seconds since the sender knew that version to be the newest;
        negative where it does not know.
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
    """An operator's question to a coordinator.

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
    """Answer to `Admin`, ready to print."""

    id: int
    body: dict
