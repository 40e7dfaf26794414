"""Sends a request to an endpoint once, and receives the reply."""

import dataclasses
import functools
import secrets

import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import replies
from dogwoodwheel.wire import messages

__all__ = ["Delivery", "attempt"]

RESUME_HEADER = b"X-Resume-From"
ATTEMPT_ID_BYTES = 4


@dataclasses.dataclass
class Delivery:
    """Destination of a reply, over all attempts of a request.

    Parameters
    ----------
    caller : dogwoodwheel.requests.callers.Caller or None
        None if the complete answer is returned and nothing is streamed.
    scope : trio.CancelScope
        Cancels the attempts at the scope's deadline, which is extended
        once the first bytes of a reply are sent to the caller.
    relay : dogwoodwheel.requests.streams.Relay or None
        Relays a stream of tokens; None if the call requests no stream.
    """

    caller: object
    scope: trio.CancelScope
    relay: object = None

    @property
    def reply_started(self):
        """Whether a part of the reply has been sent to the caller."""
        return self.caller is not None and self.caller.reply_started


async def attempt(call, http_client, address, delivery):
    """Send a request to an endpoint once and receive the reply.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    http_client : dogwoodwheel.engines.http.HttpClient
    address : str
        ``IP:PORT``.
    delivery : Delivery

    Returns
    -------
    dogwoodwheel.requests.replies.CompletedAttempt or FailedAttempt
    """
    req = make_request(call, delivery)
    try:
        async with http_client.stream(address, req) as reply:
            return await replies.receive(call, reply, delivery)
    except exceptions.NotSentError as exc:
        return replies.FailedAttempt(messages.NOT_RUN, "reset", str(exc))
    except exceptions.ReplyError as exc:
        outcome = "late" if http.is_timeout(exc) else "reset"
        return replies.FailedAttempt(messages.MAY_HAVE_RUN, outcome, str(exc))


@functools.singledispatch
def make_request(call, delivery):
    """Return the HTTP request that sends a call to an endpoint."""
    raise NotImplementedError(type(call))


@make_request.register
def _model_request(call: calls.ModelCall, delivery):
    headers = [(b"Content-Type", b"application/json")]
    relay = delivery.relay
    if relay is not None and relay.relayed_tokens:
        headers.append((RESUME_HEADER, str(relay.relayed_tokens).encode()))
    return http.Request(
        id=_attempt_id(call),
        method="POST",
        target=call.path.encode(),
        headers=tuple(headers),
        body=call.body,
    )


@make_request.register
def _plain_request(call: calls.PlainCall, delivery):
    return http.Request(
        id=_attempt_id(call),
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        new_connection=call.at_most_once,
    )


def _attempt_id(call):
    # The id must be unique at the endpoint: two attempts may go to the same
    # endpoint, and two callers may choose the same id.
    return f"{call.id}.{secrets.token_hex(ATTEMPT_ID_BYTES)}"
