"""Reads and writes the HTTP headers that the platform defines."""

import dataclasses
import math
import re

from loguru import logger

from dogwoodwheel.platform import decoding
from dogwoodwheel.requests import forwarding

__all__ = [
    "RequestHeaders",
    "decode",
    "event_id",
    "for_caller",
    "for_endpoint",
    "is_leaving",
    "request_rate_limit",
    "reply_form",
    "reported_request_counts",
    "retry_after_s",
    "server_seal",
    "was_not_executed",
    "weights_version",
]

MS_PER_S = 1000.0
# Maximum number of tokens that a header may state.  The sum over all requests
# in flight must fit into the 64-bit integers of heartbeats.
MAX_TOKENS = 10**9
MAX_REQUESTS = 10**9
MAX_EVENT_ID = 10**15
AUTH_SCHEME = b"token "
# Headers of a caller's request that are not forwarded, because the entry sets
# them itself or because they must not reach an endpoint.
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
# Heartbeats carry the names of models and adapters.
MAX_MODEL_NAME_LENGTH = 256
# HTTP status of an endpoint that does not hold the requested model.
MISDIRECTED = 421
# HTTP status of an endpoint that turns a request away.
UNAVAILABLE = 503
# Statuses that promise a caller that its request has not run.
NOT_RUN_STATUSES = (408, MISDIRECTED, 429, UNAVAILABLE)
MIN_FAILURE_STATUS = 400
# Seconds, with a fraction or without; a longer number is no time.
SECONDS_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


@dataclasses.dataclass(frozen=True)
class RequestHeaders:
    """Values of the headers of a caller's request.

    Parameters
    ----------
    id, host, key : str
        Request ID, host in lower case without a port, and API key; each
        is empty if the request does not contain it.
    deadline_s : float or None
        Time for which the caller waits for the reply, seconds.
    model, adapter : str
        Names of the model and its adapter; empty if not stated.
    prompt_tokens, output_tokens : int
        Numbers of tokens that the caller states; 0 if not stated.
    prompt_prefix : tuple of (str, int)
        Names of the leading sections of the prompt, each with its number
        of tokens.
    resumes_stream : bool
        Whether the caller resumes a stream that broke off.
    last_event_id : int
        Number of the last event that the caller received; 0 if the
        request contains no number.
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

    @property
    def shared_sections(self):
        """Names of the sections that other prompts may share, in order."""
        return tuple(name for name, _ in self.prompt_prefix[:-1])


def decode(headers):
    """Return the `RequestHeaders` of a caller's request.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        Headers of the request, names in lower case.

    Raises
    ------
    ValueError
        If a header is malformed.
    """
    headers_by_name = {
        name: value.decode("latin-1") for name, value in headers
    }
    model_and_adapter = headers_by_name.get(b"x-model", "")
    if len(model_and_adapter) > MAX_MODEL_NAME_LENGTH:
        raise ValueError("the name of the model is too long")
    model, _, adapter = model_and_adapter.partition("/")
    raw_prompt_tokens, _, raw_output_tokens = headers_by_name.get(
        b"x-token-count", "0,0"
    ).partition(",")
    raw_event_id = headers_by_name.get(b"last-event-id", "")
    return RequestHeaders(
        id=headers_by_name.get(b"x-request-id", ""),
        host=headers_by_name.get(b"host", "").partition(":")[0].lower(),
        key=_parse_key(headers_by_name.get(b"authorization", "")),
        deadline_s=_parse_deadline_s(
            headers_by_name.get(b"x-request-deadline")
        ),
        model=model,
        adapter=adapter,
        prompt_tokens=_parse_tokens(raw_prompt_tokens),
        output_tokens=_parse_tokens(raw_output_tokens or "0"),
        prompt_prefix=_parse_prompt_prefix(
            headers_by_name.get(b"x-prompt-prefix", "")
        ),
        resumes_stream=bool(raw_event_id),
        last_event_id=decoding.parse_digits(raw_event_id, MAX_EVENT_ID, 0),
    )


def for_endpoint(
    headers,
    instance,
    customer,
    remaining_s,
    urgency,
    last_event_id,
    required_weights_version,
):
    """Return the headers of a request that is forwarded to an endpoint.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        Headers of the caller's request, names in lower case.
    instance : str
        ID of the endpoint's process instance.  An endpoint that has
        restarted has another ID and refuses the request.
    customer : str
        Name of the customer; empty to omit the header.
    remaining_s : float
        Time left until the deadline, seconds.
    urgency : int or None
        Priority at the engine, 0 being the highest; None to omit the
        header.
    last_event_id : int or None
        If the entry resumes a stream after an endpoint failed: number of
        the last event that the caller received.  Otherwise None; the
        caller's own last-event-id header, if any, is then forwarded.
    required_weights_version : bytes
        Version of the weights that the endpoint must use; empty for any.
    """
    dropped_names = RESERVED_HEADERS | forwarding.hop_by_hop_headers(headers)
    if last_event_id is not None:
        dropped_names |= {b"last-event-id"}
    forwarded_headers = [
        (name, value) for name, value in headers if name not in dropped_names
    ]
    forwarded_headers.append((b"x-expect-instance", instance.encode()))
    remaining_ms = max(1, int(remaining_s * MS_PER_S))
    forwarded_headers.append(
        (b"x-request-deadline", str(remaining_ms).encode())
    )
    if customer:
        forwarded_headers.append((b"x-tenant", customer.encode()))
    if urgency is not None:
        forwarded_headers.append((b"x-request-urgency", str(urgency).encode()))
    if last_event_id is not None:
        forwarded_headers.append(
            (b"last-event-id", str(last_event_id).encode())
        )
    if required_weights_version:
        forwarded_headers.append(
            (b"x-expect-version", required_weights_version)
        )
    return tuple(forwarded_headers)


def for_caller(headers):
    """Return those headers of an endpoint's reply that the caller gets."""
    dropped_names = forwarding.hop_by_hop_headers(headers)
    dropped_names |= {b"x-request-id", b"date", b"content-length"}
    return tuple(
        (name, value) for name, value in headers if name not in dropped_names
    )


def reply_form(reply):
    """Return a reply's status and media type, which two parts share."""
    media_type = reply.header(b"content-type").partition(b";")[0]
    return reply.status, media_type.strip().lower()


def server_seal(reply):
    """Return the endpoint's signature of a reply; empty if unsigned."""
    return reply.header(b"x-server-seal")


def weights_version(reply):
    """Return the version of the weights that produced a reply, or empty."""
    return reply.header(b"x-weight-versions")


def was_not_executed(reply):
    """Return whether the endpoint states that it did not run the request."""
    return reply.status == MISDIRECTED or (
        reply.status >= MIN_FAILURE_STATUS
        and bool(reply.header(b"x-not-executed"))
    )


def is_leaving(reply):
    """Return whether an endpoint says in a reply that it leaves."""
    value = reply.header(b"server-leaving")
    if value not in (b"", b"0", b"1"):
        logger.warning(
            "leaving: malformed", value=value[:64].decode("latin-1")
        )
    return value == b"1"


def retry_after_s(reply):
    """Return for how long an endpoint wants no requests of this entry.

    Returns
    -------
    float
        Seconds; 0 unless the endpoint turns a request away and names a time
        that can be understood.  The platform defines no dates here.
    """
    value = reply.header(b"retry-after").strip()
    if reply.status != UNAVAILABLE or not value:
        return 0.0
    if SECONDS_PATTERN.fullmatch(value):
        return float(value)
    logger.warning("wait: malformed", value=value[:64].decode("latin-1"))
    return 0.0


def request_rate_limit(reply):
    """Return the limit that an endpoint names in a reply.

    Returns
    -------
    float or None
        Requests per second that the endpoint takes from all entries
        together; None if the header is absent or no finite number of at
        least 0.
    """
    value = reply.header(b"server-limit")
    if not value:
        return None
    try:
        limit = float(value)
    except ValueError:
        limit = math.nan
    if 0.0 <= limit < math.inf:
        return limit
    logger.warning("limit: malformed", value=value[:64].decode("latin-1"))
    return None


def reported_request_counts(reply):
    """Return the numbers of requests that an endpoint reports in a reply.

    Returns
    -------
    tuple of (int, int, int) or None
        Number of running requests, number of waiting requests and number
        of slots; None if the header is absent or malformed.
    """
    counts = reply.header(b"x-instance-load").split(b",")
    numbers = tuple(
        decoding.parse_digits(count.strip(), MAX_REQUESTS) for count in counts
    )
    return None if len(numbers) != 3 or None in numbers else numbers


def event_id(event):
    """Return the number in an event's ``id`` field; None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return decoding.parse_digits(line[3:].strip(), MAX_EVENT_ID)
    return None


def _parse_key(value):
    raw = value.strip()
    if raw[: len(AUTH_SCHEME)].lower() != AUTH_SCHEME.decode():
        return ""
    return raw[len(AUTH_SCHEME) :].strip()


def _parse_deadline_s(value):
    if value is None:
        return None
    deadline_s = float(value) / MS_PER_S
    if not math.isfinite(deadline_s):
        raise ValueError(f"a deadline of {value[:20]} ms is no finite number")
    return deadline_s


def _parse_tokens(text):
    number = decoding.parse_digits(text.strip(), MAX_TOKENS)
    if number is None:
        raise ValueError(f"{text[:20]!r} is no number of tokens")
    return number


def _parse_prompt_prefix(value):
    sections = []
    for item in value.split(","):
        name, colon, tokens = item.strip().partition(":")
        if colon:
            sections.append((name, _parse_tokens(tokens)))
    return tuple(sections)
