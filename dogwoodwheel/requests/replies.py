"""Replies of endpoints, received whole or passed on as they come."""

import dataclasses
import functools
import json

import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import forwarding
from dogwoodwheel.requests import streams
from dogwoodwheel.wire import messages

__all__ = ["Failed", "Served", "receive"]

OK = 200
NOT_FOUND = 404
TIMEOUTS = (408, 429)
SERVER_ERROR = 500
BUSY = (502, 503, 504)
RUN_HEADER = b"x-run"
RESUMED_HEADER = b"x-resumed-from"
JSON_HEADERS = ((b"content-type", b"application/json"),)
MAX_REPLY_BYTES = 64 * 1024 * 1024
BUFFER_BYTES = 1024 * 1024
TAIL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Served:
    """The request was answered.

    Parameters
    ----------
    answer : dogwoodwheel.requests.callers.Answer or None
        None where the caller got it already.
    output : int
        Tokens of the output.
    """

    answer: callers.Answer = None
    output: int = 0


@dataclasses.dataclass(frozen=True)
class Failed:
    """The try failed.

    Parameters
    ----------
    run : str
        ``not_run``, or ``unknown`` where the request may have run.
    outcome : str
        As in `dogwoodwheel.wire.messages.Done`.
    message : str
    answer : dogwoodwheel.requests.callers.Answer or None
        What the endpoint replied, where it did.
    """

    run: str
    outcome: str
    message: str
    answer: callers.Answer = None


@functools.singledispatch
async def receive(call, reply, delivery):
    """Receive the reply to a call, and pass on what may be.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    reply : dogwoodwheel.engines.http.Reply
    delivery : dogwoodwheel.requests.attempts.Delivery

    Returns
    -------
    Served or Failed

    Raises
    ------
    ReplyError
        If the reply is not whole.
    """
    raise NotImplementedError(type(call))


@receive.register
async def _receive_model(call: calls.ModelCall, reply, delivery):
    if reply.status != OK:
        return await _model_error(reply)
    if call.stream:
        idle_s = min(http.IDLE_TIMEOUT_S, call.service.deadline_s)
        return await _receive_stream(reply, delivery.relay, idle_s)
    body = await _whole(reply, MAX_REPLY_BYTES)
    try:
        usage = json.loads(body).get("usage") or {}
        output = int(usage.get("completion_tokens") or 0)
    except (ValueError, AttributeError, TypeError) as exc:
        raise exceptions.ReplyError("the reply is no JSON object") from exc
    return Served(callers.Answer(OK, JSON_HEADERS, body), output)


async def _receive_stream(reply, relay, idle_s):
    if relay.tokens:
        resumed = reply.header(RESUMED_HEADER)
        if resumed != str(relay.tokens).encode():
            return Failed(
                messages.MAY_HAVE_RUN,
                "ok",
                "the engine cannot resume the stream",
            )
    relay.begin()
    with trio.CancelScope() as scope:

        async def flush():
            await relay.flush()
            # Once it has ended, the end of the reply mostly came along;
            # else the connection is not worth a wait.
            wait_s = TAIL_S if relay.ended else idle_s
            scope.deadline = trio.current_time() + wait_s

        async for part in reply.iter_chunks(on_drained=flush):
            relay.feed(part)
        if not relay.ended:
            await relay.flush()
    if relay.ended:
        return Served(output=relay.output)
    if scope.cancelled_caught:
        return Failed(messages.MAY_HAVE_RUN, "late", "the stream stood still")
    return Failed(
        messages.MAY_HAVE_RUN, "reset", "the stream ended without its end mark"
    )


async def _model_error(reply):
    body = await _whole(reply, BUFFER_BYTES)
    answer = callers.Answer(
        reply.status,
        tuple(forwarding.reply_headers(reply.headers)),
        body,
    )
    if reply.status == NOT_FOUND:
        # The model went between the grant and the request.
        return Failed(messages.NOT_RUN, "unused", "the model is not loaded")
    if reply.status < SERVER_ERROR and reply.status not in TIMEOUTS:
        return Served(answer)
    return Failed(
        _run_of(reply), "reset", f"the engine replied {reply.status}", answer
    )


@receive.register
async def _receive_plain(call: calls.PlainCall, reply, delivery):
    headers = tuple(forwarding.reply_headers(reply.headers))
    whole = delivery.caller is None or call.method == "HEAD"
    if not whole and reply.header(b"content-type").startswith(
        b"text/event-stream"
    ):
        return await _pass_on(
            reply, headers, b"", reply.iter_chunks(), delivery
        )
    limit = MAX_REPLY_BYTES if whole else BUFFER_BYTES
    parts = reply.iter_chunks()
    body = bytearray()
    async for part in parts:
        body += part
        if len(body) > limit:
            break
    else:
        answer = callers.Answer(reply.status, headers, bytes(body))
        return _judge(call, reply, answer)
    if whole:
        raise exceptions.ReplyError("the reply is too long to be kept")
    return await _pass_on(reply, headers, bytes(body), parts, delivery)


def _judge(call, reply, answer):
    if reply.status not in BUSY:
        return Served(answer)
    run = _run_of(reply)
    if run == messages.NOT_RUN or not call.once:
        message = f"the service replied {reply.status}"
        return Failed(run, "reset", message, answer)
    return Served(answer)


async def _pass_on(reply, headers, begun, parts, delivery):
    """Pass on a long reply; one that breaks off is cut for the caller."""
    now = trio.current_time()
    delivery.scope.deadline = now + streams.MAX_STREAM_S
    await delivery.caller.start(reply.status, headers)
    if begun:
        await delivery.caller.send(begun)
    async for part in parts:
        await delivery.caller.send(part)
    await delivery.caller.send(b"", more=False)
    return Served()


async def _whole(reply, limit):
    body = bytearray()
    async for part in reply.iter_chunks():
        body += part
        if len(body) > limit:
            raise exceptions.ReplyError(
                f"the reply is longer than {limit} bytes"
            )
    return bytes(body)


def _run_of(reply):
    if reply.header(RUN_HEADER) == messages.NOT_RUN.encode():
        return messages.NOT_RUN
    return messages.MAY_HAVE_RUN
