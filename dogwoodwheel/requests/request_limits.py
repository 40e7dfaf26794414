"""Limits on the headers, target and body of a request."""

import re
import uuid

import trio

from dogwoodwheel.requests import refusals

__all__ = ["check_headers", "discard_body", "read_body", "request_id"]

MAX_HEADERS = 100
MAX_TARGET_BYTES = 8 * 1024
BODY_TIMEOUT_S = 30.0
DISCARD_TIMEOUT_S = 2.0
VALID_ID = re.compile(rb"[A-Za-z0-9._:-]{1,64}")


def request_id(headers):
    """Return the id that the caller gave a request, or a new id.

    Parameters
    ----------
    headers : dict of bytes to bytes

    Examples
    --------
    >>> request_id({b"x-request-id": b"a-1"})
    'a-1'
    """
    caller_id = headers.get(b"x-request-id", b"")
    if VALID_ID.fullmatch(caller_id):
        return caller_id.decode()
    return uuid.uuid4().hex


def check_headers(scope, limit):
    """Refuse a request whose headers or target are too large.

    Parameters
    ----------
    scope : dict
        The ASGI scope.
    limit : int
        Maximum size of all header names and values together, bytes.

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
        The ASGI server's ``receive``.
    limit : int
        Maximum size of the body, bytes.

    Returns
    -------
    bytes or None
        None if the caller has disconnected.

    Raises
    ------
    RefusedError
        If the body is too long or arrives too slowly.
    """
    content_length = headers.get(b"content-length", b"0")
    if not content_length.isdigit() or int(content_length) > limit:
        raise _too_large(limit)
    chunks = []
    size = 0
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunks.append(message["body"])
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
    return b"".join(chunks)


async def discard_body(receive):
    """Read and discard the rest of a body, for up to `DISCARD_TIMEOUT_S`.

    Notes
    -----
    A refusal may be sent before the body has been read.  Closing a
    connection with unread bytes resets it, so that the caller may not
    receive the refusal.
    """
    with trio.move_on_after(DISCARD_TIMEOUT_S):
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
