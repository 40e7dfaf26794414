"""One try of a request at one endpoint."""

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
TRY_ID_BYTES = 4


@dataclasses.dataclass
class Delivery:
    """Where a reply goes to, over all tries of a request.

    Parameters
    ----------
    caller : dogwoodwheel.requests.callers.Caller or None
        None where the whole answer is wanted and nothing passed on.
    scope : trio.CancelScope
        Ends the work at the deadline, which a reply that has begun to
        be passed on moves.
    relay : dogwoodwheel.requests.streams.Relay or None
        Of a stream of tokens.
    """

    caller: object
    scope: trio.CancelScope
    relay: object = None

    @property
    def started(self):
        """Whether the caller has got a part of the reply."""
        return self.caller is not None and self.caller.started


async def attempt(call, http_client, address, delivery):
    """Try a request at an endpoint, once.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    http_client : dogwoodwheel.engines.http.HttpClient
    address : str
        ``IP:PORT``.
    delivery : Delivery

    Returns
    -------
    dogwoodwheel.requests.replies.Served or Failed
    """
    req = request_of(call, delivery)
    try:
        async with http_client.stream(address, req) as reply:
            return await replies.receive(call, reply, delivery)
    except exceptions.NotSentError as exc:
        return replies.Failed(messages.NOT_RUN, "reset", str(exc))
    except exceptions.ReplyError as exc:
        outcome = "late" if http.is_timeout(exc) else "reset"
        return replies.Failed(messages.MAY_HAVE_RUN, outcome, str(exc))


@functools.singledispatch
def request_of(call, delivery):
    """Return the request to an endpoint for a call."""
    raise NotImplementedError(type(call))


@request_of.register
def _model_request(call: calls.ModelCall, delivery):
    headers = [(b"Content-Type", b"application/json")]
    relay = delivery.relay
    if relay is not None and relay.tokens:
        headers.append((RESUME_HEADER, str(relay.tokens).encode()))
    return http.Request(
        id=_try_id(call),
        method="POST",
        target=call.path.encode(),
        headers=tuple(headers),
        body=call.body,
    )


@request_of.register
def _plain_request(call: calls.PlainCall, delivery):
    return http.Request(
        id=_try_id(call),
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        new_connection=call.once,
    )


def _try_id(call):
    # Two tries may have one endpoint, and two callers one id.
    return f"{call.id}.{secrets.token_hex(TRY_ID_BYTES)}"
