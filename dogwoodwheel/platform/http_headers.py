"""Reads and writes the HTTP headers that the platform defines."""

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

MS_PER_S = 1000.0
AUTH_SCHEME = b"token "
# Request headers of a caller that are not forwarded: the entry sets these
# headers itself, or they must not reach an endpoint.
RESERVED_HEADERS = frozenset(
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
    """Values of the headers of a caller's request.

    Parameters
    ----------
    id, host, key : str
        Each is empty if the request has no such header.  The host is in
        lower case and without a port.
    deadline_s : float or None
        Time for which the caller waits for the reply, seconds.
    model, adapter : str
        Names; empty if the request names none.
    prompt_tokens, output_tokens : int
        Token counts that the caller states; 0 if none are stated.
    prompt_prefix : tuple of (str, int)
        Names of the leading sections of the prompt, each with its number
        of tokens.
    resumes_stream : bool
        Whether the caller resumes a stream that broke off.
    last_event_id : int
        Number of the last event that the caller received; 0 if the
        header is absent or not a number.
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
    """Return the `RequestHeaders` of a caller's request.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    ValueError
        If a header is malformed.
    """
    fields = {name: value.decode("latin-1") for name, value in headers}
    model, _, adapter = fields.get(b"x-model", "").partition("/")
    prompt, _, output = fields.get(b"x-token-count", "0,0").partition(",")
    raw_event_id = fields.get(b"last-event-id", "")
    return RequestHeaders(
        id=fields.get(b"x-request-id", ""),
        host=fields.get(b"host", "").partition(":")[0].lower(),
        key=_parse_key(fields.get(b"authorization", "")),
        deadline_s=_parse_deadline_s(fields.get(b"x-request-deadline")),
        model=model,
        adapter=adapter,
        prompt_tokens=int(prompt),
        output_tokens=int(output or 0),
        prompt_prefix=_parse_prompt_prefix(fields.get(b"x-prompt-prefix", "")),
        resumes_stream=bool(raw_event_id),
        last_event_id=int(raw_event_id) if raw_event_id.isdigit() else 0,
    )


def for_endpoint(
    headers, instance, customer, remaining_s, urgency, last_event_id, version
):
    """Return the headers of a request that is forwarded to an endpoint.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        Headers of the caller's request, names in lower case.
    instance : str
        Process instance of the endpoint; another one must refuse the
        request.
    customer : str
        Name of the customer; empty to omit the header.
    remaining_s : float
        Time left until the deadline, seconds.
    urgency : int or None
        Priority at the engine, 0 first; None to omit the header.
    last_event_id : int or None
        Number of the last event that the caller received, if the entry
        itself resumes the stream; else None.
    version : bytes
        Version of the weights that must serve the request; empty for any.
    """
    dropped = RESERVED_HEADERS | forwarding.hop_by_hop_headers(headers)
    if last_event_id is not None:
        dropped |= {b"last-event-id"}
    forwarded = [
        (name, value) for name, value in headers if name not in dropped
    ]
    forwarded.append((b"x-expect-instance", instance.encode()))
    remaining_ms = max(1, int(remaining_s * MS_PER_S))
    forwarded.append((b"x-request-deadline", str(remaining_ms).encode()))
    if customer:
        forwarded.append((b"x-tenant", customer.encode()))
    if urgency is not None:
        forwarded.append((b"x-request-urgency", str(urgency).encode()))
    if last_event_id is not None:
        forwarded.append((b"last-event-id", str(last_event_id).encode()))
    if version:
        forwarded.append((b"x-expect-version", version))
    return tuple(forwarded)


def for_caller(headers):
    """Return the headers of an endpoint's reply to send to the caller."""
    dropped = forwarding.hop_by_hop_headers(headers)
    dropped |= {b"x-request-id", b"date", b"content-length"}
    return tuple(
        (name, value) for name, value in headers if name not in dropped
    )


def server_seal(reply):
    """Return the endpoint's signature of a reply; empty if unsigned."""
    return reply.header(b"x-server-seal")


def weights_version(reply):
    """Return the version of the weights that were used; empty if not sent."""
    return reply.header(b"x-weight-versions")


def was_not_executed(reply):
    """Return whether the endpoint states that it did not run the request."""
    return reply.status == MISDIRECTED or bool(reply.header(b"x-not-executed"))


def instance_load(reply):
    """Return the load that an endpoint reports with a reply.

    Returns
    -------
    tuple of (int, int, int) or None
        Running requests, waiting requests and slots; None if the header
        is absent or malformed.
    """
    parts = reply.header(b"x-instance-load").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return tuple(int(part) for part in parts)


def event_id(event):
    """Return the number in the ``id`` field of an event, or None."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            number = line[3:].strip()
            return int(number) if number.isdigit() else None
    return None


def _parse_key(value):
    raw = value.strip()
    if raw[: len(AUTH_SCHEME)].lower() != AUTH_SCHEME.decode():
        return ""
    return raw[len(AUTH_SCHEME) :].strip()


def _parse_deadline_s(value):
    return None if value is None else float(value) / MS_PER_S


def _parse_prompt_prefix(value):
    parts = []
    for item in value.split(","):
        name, colon, tokens = item.strip().partition(":")
        if colon:
            parts.append((name, int(tokens)))
    return tuple(parts)
