"""Bounds on what a caller may send."""

import re
import uuid

import trio

from dogwoodwheel.requests import refusals

__all__ = ["check_headers", "drain", "read_body", "request_id"]

MAX_HEADERS = 100
MAX_TARGET_BYTES = 8 * 1024
BODY_TIMEOUT_S = 30.0
DRAIN_S = 2.0
SANE_ID = re.compile(rb"[A-Za-z0-9._:-]{1,64}")


def request_id(headers):
    """Return the caller's id of a request, or a new one.

    Parameters
    ----------
    headers : dict of bytes to bytes

    Examples
    --------
    >>> request_id({b"x-request-id": b"a-1"})
    'a-1'
    """
    given = headers.get(b"x-request-id", b"")
    if SANE_ID.fullmatch(given):
        return given.decode()
    return uuid.uuid4().hex


def check_headers(scope, limit):
    """Refuse a request whose head is too large.

    Parameters
    ----------
    scope : dict
        The ASGI scope.
    limit : int
        Bytes of all headers.

    Raises
    ------
    RefusedError
    """
    headers = scope["headers"]
    size = sum(len(name) + len(value) for name, value in headers)
    if len(headers) > MAX_HEADERS or size > limit:
        raise refusals.refused(
            "headers_too_large",
            f"headers are bounded by {MAX_HEADERS} lines and "
            f"{limit} bytes; send fewer",
            431,
        )
    if len(scope["raw_path"]) + len(scope["query_string"]) > MAX_TARGET_BYTES:
        raise refusals.refused(
            "path_too_long",
            f"path and query are bounded by {MAX_TARGET_BYTES} bytes; "
            f"send the rest in the body",
            414,
        )


async def read_body(headers, receive, limit):
    """Return the body of a request.

    Parameters
    ----------
    headers : dict of bytes to bytes
    receive : callable
        Of the ASGI server.
    limit : int
        Longest body, bytes.

    Returns
    -------
    bytes or None
        None if the caller went away.

    Raises
    ------
    RefusedError
        If the body is too long or comes too slowly.
    """
    declared = headers.get(b"content-length", b"0")
    if not declared.isdigit() or int(declared) > limit:
        raise _too_large(limit)
    parts = []
    size = 0
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            parts.append(message["body"])
            size += len(message["body"])
            if size > limit:
                raise _too_large(limit)
            if not message["more_body"]:
                break
    if scope.cancelled_caught:
        raise refusals.refused(
            "body_too_slow",
            f"the body did not come within {BODY_TIMEOUT_S:.0f} s; "
            f"send it faster",
            408,
        )
    return b"".join(parts)


async def drain(receive):
    """Take the rest of a body that is refused, for up to `DRAIN_S`.

    Notes
    -----
    Closing a connection with bytes unread resets it, and the caller
    may lose the refusal.
    """
    with trio.move_on_after(DRAIN_S):
        while True:
            message = await receive()
            if not message.get("more_body"):
                return


def _too_large(limit):
    return refusals.refused(
        "body_too_large",
        f"a body is bounded by {limit} bytes; send a shorter one",
        413,
    )
