"""Refusals, and how a caller is told of them."""

import json
import math

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["body_of", "headers_of", "refused"]

KINDS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}
CLIENT_KIND = "invalid_request_error"
SERVER_KIND = "server_error"
SERVER_STATUS = 500


def refused(
    code,
    message,
    status,
    run=messages.NOT_RUN,
    retry_after_s=0.0,
):
    """Return the error that refuses a request.

    Parameters
    ----------
    code : str
        Short name of the cause, for programs.
    message : str
        Names the remedy.
    status : int
        HTTP status.
    run : str
        ``not_run``, or ``unknown`` where the request may have run.
    retry_after_s : float
        0 where waiting does not help.

    Returns
    -------
    dogwoodwheel.exceptions.RefusedError

    Examples
    --------
    >>> refused("no_route", "there is no such path", 404).refusal.run
    'not_run'
    """
    return exceptions.RefusedError(
        messages.Refusal(0, code, message, run, status, retry_after_s)
    )


def headers_of(refusal):
    """Return the headers of a refusal's reply.

    Notes
    -----
    ``X-Should-Retry`` keeps the published client libraries from
    repeating by themselves what may have run.
    """
    headers = [(b"content-type", b"application/json")]
    if refusal.retry_after_s > 0:
        seconds = str(math.ceil(refusal.retry_after_s)).encode()
        headers.append((b"retry-after", seconds))
    if refusal.run == messages.MAY_HAVE_RUN:
        headers.append((b"x-should-retry", b"false"))
    return headers


def body_of(refusal):
    """Return the JSON body of a refusal, in the shape of OpenAI's API.

    Examples
    --------
    >>> body_of(refused("a", "b", 404).refusal)[:25]
    b'{"error": {"message": "b"'
    """
    kind = KINDS.get(refusal.status)
    if kind is None:
        server = refusal.status >= SERVER_STATUS
        kind = SERVER_KIND if server else CLIENT_KIND
    error = {
        "message": refusal.message,
        "type": kind,
        "code": refusal.code,
        "param": None,
        "run": refusal.run,
    }
    return json.dumps({"error": error}).encode()
