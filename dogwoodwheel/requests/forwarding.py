"""Forwarding of headers between callers and endpoints."""

from dogwoodwheel.requests import refusals

__all__ = [
    "api_key_of",
    "check_key_not_exposed",
    "hop_by_hop_headers",
    "reply_headers",
    "request_headers",
]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
NOT_FORWARDED = frozenset(
    (
        b"authorization",
        b"content-length",
        b"expect",
        b"host",
        b"x-deadline-ms",
        b"x-priority",
        b"x-request-id",
        b"x-resume-from",
    )
)
# A shorter word could occur in a path or body by chance.
MIN_KEY_BYTES = 8


def api_key_of(authorization):
    """Return the API key in an ``Authorization`` header, as bytes.

    Examples
    --------
    >>> api_key_of("Bearer dw-a-b")
    b'dw-a-b'
    """
    return authorization.strip().rpartition(" ")[2].encode("latin-1")


def request_headers(headers, authorization):
    """Return the headers of a request that are forwarded to an endpoint.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    authorization : str
        Value of the ``Authorization`` header.  Headers that contain its
        key are not forwarded.

    Returns
    -------
    tuple of (bytes, bytes)
    """
    key = api_key_of(authorization)
    dropped = NOT_FORWARDED | hop_by_hop_headers(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not (key and key in value)
    )


def reply_headers(headers):
    """Return the headers of a reply that are forwarded to the caller."""
    dropped = hop_by_hop_headers(headers) | {b"x-request-id", b"date"}
    return [(name, value) for name, value in headers if name not in dropped]


def check_key_not_exposed(authorization, *parts):
    """Refuse a request that has the caller's key in its path or body.

    Parameters
    ----------
    authorization : str
    parts : bytes
        Path with query, and body.

    Raises
    ------
    RefusedError
        If the key would be exposed to an endpoint.
    """
    key = api_key_of(authorization)
    if len(key) < MIN_KEY_BYTES:
        return
    if any(key in part for part in parts):
        raise refusals.refused(
            "key_misplaced",
            "the key stands in the path or body; send it in the header "
            "Authorization only, and have this key withdrawn",
            400,
        )


def hop_by_hop_headers(headers):
    """Return the names of the hop-by-hop headers of a message.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    set of bytes
    """
    names = set(HOP_BY_HOP)
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names
