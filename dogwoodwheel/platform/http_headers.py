"""Callers' requests and endpoints' replies as the platform writes them."""

import dataclasses

from dogwoodwheel.requests import forwarding

__all__ = [
    "RequestHeaders",
    "decode",
    "event_id",
    "for_caller",
    "for_endpoint",
    "instance_load",
    "server_seal",
    "was_not_executed",
    "weights_version",
]

MILLISECONDS = 1000.0
SCHEME = b"token "
# What the system sets itself, or what must not reach an endpoint.
OWN = frozenset(
    (
        b"authorization",
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"wait-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-hold",
        b"x-kv-backup",
        b"x-pin-duration",
        b"x-request-deadline",
        b"x-request-id",
        b"x-request-urgency",
        b"x-tenant",
    )
)
MISDIRECTED = 421


@dataclasses.dataclass(frozen=True)
class RequestHeaders:
    """What the headers of a caller's request say.

    Parameters
    ----------
    id, host, key : str
        The key is empty where none was sent.
    deadline_s : float or None
        How long the caller waits, seconds.
    model, adapter : str
        Empty where the request names none.
    prompt_tokens, output_tokens : int
    prompt_prefix : tuple of (str, int)
        Parts of the prompt with their tokens.
    resumes_stream : bool
        Whether the caller goes on with a stream that broke.
    last_event_id : int
        Number of the last event that the caller has.
    """

    id: str
    host: str
    key: str = ""
    deadline_s: float = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_prefix: tuple = ()
    resumes_stream: bool = False
    last_event_id: int = 0


def decode(headers):
    """Return what the headers of a request say.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    ValueError
        If one is malformed.
    """
    fields = {name: value.decode("latin-1") for name, value in headers}
    model, _, adapter = fields.get(b"x-model", "").partition("/")
    prompt, _, output = fields.get(b"x-token-count", "0,0").partition(",")
    last = fields.get(b"last-event-id", "")
    return RequestHeaders(
        id=fields.get(b"x-request-id", ""),
        host=fields.get(b"host", "").partition(":")[0].lower(),
        key=_key(fields.get(b"authorization", "")),
        deadline_s=_deadline(fields.get(b"x-request-deadline")),
        model=model,
        adapter=adapter,
        prompt_tokens=int(prompt),
        output_tokens=int(output or 0),
        prompt_prefix=_prefix(fields.get(b"x-prompt-prefix", "")),
        resumes_stream=bool(last),
        last_event_id=int(last) if last.isdigit() else 0,
    )


def for_endpoint(
    headers, instance, customer, deadline_s, urgency, last_event_id, version
):
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        The caller's.
    instance : str
        Incarnation that must answer.
    customer : str
        Empty for none.
    deadline_s : float
        Time left, seconds.
    urgency : int or None
        0 goes first.
    last_event_id : int or None
        Number of the last event that the caller has, where the system
        itself goes on with a stream.
    version : bytes
        Version of the weights that must answer; empty for any.
    """
    dropped = OWN | forwarding.of_connection(headers)
    if last_event_id is not None:
        dropped |= {b"last-event-id"}
    kept = [(k, v) for k, v in headers if k not in dropped]
    kept.append((b"x-expect-instance", instance.encode()))
    left_ms = max(1, int(deadline_s * MILLISECONDS))
    kept.append((b"x-request-deadline", str(left_ms).encode()))
    if customer:
        kept.append((b"x-tenant", customer.encode()))
    if urgency is not None:
        kept.append((b"x-request-urgency", str(urgency).encode()))
    if last_event_id is not None:
        kept.append((b"last-event-id", str(last_event_id).encode()))
    if version:
        kept.append((b"x-expect-version", version))
    return tuple(kept)


def for_caller(headers):
    """Return the headers of a reply that go back to the caller."""
    dropped = forwarding.of_connection(headers)
    dropped |= {b"x-request-id", b"date", b"content-length"}
    return tuple((k, v) for k, v in headers if k not in dropped)


def server_seal(reply):
    """Return an endpoint's signature of a reply; empty for none."""
    return reply.header(b"x-server-seal")


def weights_version(reply):
    """Return the version of the weights that answered; empty for none."""
    return reply.header(b"x-weight-versions")


def was_not_executed(reply):
    """Tell whether an endpoint says that it did not run a request."""
    return reply.status == MISDIRECTED or bool(reply.header(b"x-not-executed"))


def instance_load(reply):
    """Return running, waiting and slots of an endpoint, or None."""
    parts = reply.header(b"x-instance-load").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return tuple(int(part) for part in parts)


def event_id(event):
    """Return the number of an event of a stream, or None."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            number = line[3:].strip()
            return int(number) if number.isdigit() else None
    return None


def _key(value):
    raw = value.strip()
    if raw[: len(SCHEME)].lower() != SCHEME.decode():
        return ""
    return raw[len(SCHEME) :].strip()


def _deadline(value):
    return None if value is None else float(value) / MILLISECONDS


def _prefix(value):
    parts = []
    for item in value.split(","):
        name, colon, tokens = item.strip().partition(":")
        if colon:
            parts.append((name, int(tokens)))
    return tuple(parts)
