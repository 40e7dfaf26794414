"""Refusals of requests and their HTTP replies."""

import json
import math

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["body_of", "headers_of", "refused"]

ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}
CLIENT_ERROR_TYPE = "invalid_request_error"
SERVER_ERROR_TYPE = "server_error"
MIN_SERVER_ERROR_STATUS = 500


def refused(
    code,
    message,
    status,
    run=messages.NOT_RUN,
    retry_after_s=0.0,
):
    """Return the error to raise for a request that is refused.

    Parameters
    ----------
    code : str
        Short name of the cause, for programs.
    message : str
        Cause and remedy, for people.
    status : int
        HTTP status.
    run : str
        ``not_run``, or ``unknown`` if the request may have run.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 if waiting does not help.

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
    ``X-Should-Retry: false`` keeps OpenAI's published client
    libraries from retrying a request that may have run.
    """
    headers = [(b"content-type", b"application/json")]
    if refusal.retry_after_s > 0:
        seconds = str(math.ceil(refusal.retry_after_s)).encode()
        headers.append((b"retry-after", seconds))
    if refusal.run == messages.MAY_HAVE_RUN:
        headers.append((b"x-should-retry", b"false"))
    return headers


def body_of(refusal):
    """Return the JSON body of a refusal, in the format of OpenAI's API.

    Examples
    --------
    >>> body_of(refused("a", "b", 404).refusal)[:25]
    b'{"error": {"message": "b"'
    """
    error_type = ERROR_TYPES.get(refusal.status)
    if error_type is None:
        is_server_error = refusal.status >= MIN_SERVER_ERROR_STATUS
        error_type = (
            SERVER_ERROR_TYPE if is_server_error else CLIENT_ERROR_TYPE
        )
    error = {
        "message": refusal.message,
        "type": error_type,
        "code": refusal.code,
        "param": None,
        "run": refusal.run,
    }
    return json.dumps({"error": error}).encode()
