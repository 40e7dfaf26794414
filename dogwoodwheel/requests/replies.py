"""Receives endpoints' replies: buffers them, or relays each chunk."""

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

__all__ = ["FailedAttempt", "CompletedAttempt", "receive"]

OK = 200
NOT_FOUND = 404
RETRYABLE_CLIENT_ERRORS = (408, 429)
MIN_SERVER_ERROR = 500
UNAVAILABLE_STATUSES = (502, 503, 504)
RUN_HEADER = b"x-run"
RESUMED_HEADER = b"x-resumed-from"
JSON_HEADERS = ((b"content-type", b"application/json"),)
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BYTES = 1024 * 1024
REPLY_END_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True)
class CompletedAttempt:
    """Result of an attempt that answered the request.

    Parameters
    ----------
    answer : dogwoodwheel.requests.callers.Answer or None
        None if the reply was already sent to the caller.
    output_tokens : int
        Number of output tokens.
    """

    answer: callers.Answer = None
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """Result of an attempt that failed.

    Parameters
    ----------
    run_state : str
        ``not_run``, or ``unknown`` if the request may have run.
    outcome : str
        Outcome as in `dogwoodwheel.wire.messages.Done`.
    message : str
        Cause of the failure, for the log and the caller.
    answer : dogwoodwheel.requests.callers.Answer or None
        The endpoint's reply; None if no reply was kept.
    """

    run_state: str
    outcome: str
    message: str
    answer: callers.Answer = None


@functools.singledispatch
async def receive(call, reply, delivery):
    """Receive the reply to a call.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    reply : dogwoodwheel.engines.http.Reply
    delivery : dogwoodwheel.requests.attempts.Delivery

    Returns
    -------
    CompletedAttempt or FailedAttempt

    Raises
    ------
    ReplyError
        If the reply is incomplete, malformed or too long.

    Notes
    -----
    If the delivery has a caller, a stream of events is relayed as it
    arrives, and so is a reply of a service without models that exceeds
    `MAX_BUFFERED_BYTES`.
    """
    raise NotImplementedError(type(call))


@receive.register
async def _receive_model(call: calls.ModelCall, reply, delivery):
    if reply.status != OK:
        return await _model_error(reply)
    if call.stream:
        idle_s = min(http.IDLE_TIMEOUT_S, call.service.deadline_s)
        return await _receive_stream(reply, delivery.relay, idle_s)
    body = await _read_body(reply, MAX_REPLY_BYTES)
    try:
        usage = json.loads(body).get("usage") or {}
        output_tokens = int(usage.get("completion_tokens") or 0)
    except (ValueError, AttributeError, TypeError) as exc:
        raise exceptions.ReplyError("the reply is no JSON object") from exc
    return CompletedAttempt(
        callers.Answer(OK, JSON_HEADERS, body), output_tokens
    )


async def _receive_stream(reply, relay, idle_s):
    if relay.relayed_tokens:
        resumed_from = reply.header(RESUMED_HEADER)
        if resumed_from != str(relay.relayed_tokens).encode():
            return FailedAttempt(
                messages.MAY_HAVE_RUN,
                "ok",
                "the engine cannot resume the stream",
            )
    relay.begin()
    with trio.CancelScope() as scope:

        async def flush():
            await relay.flush()
            # The reply usually ends with the end mark.  If not, waiting
            # longer to reuse the connection costs more than a new one.
            wait_s = REPLY_END_WAIT_S if relay.end_mark_received else idle_s
            scope.deadline = trio.current_time() + wait_s

        async for chunk in reply.iter_chunks(before_wait=flush):
            relay.feed(chunk)
        if not relay.end_mark_received:
            await relay.flush()
    if relay.end_mark_received:
        return CompletedAttempt(output_tokens=relay.output_tokens)
    if scope.cancelled_caught:
        return FailedAttempt(
            messages.MAY_HAVE_RUN, "late", "the stream stood still"
        )
    return FailedAttempt(
        messages.MAY_HAVE_RUN, "reset", "the stream ended without its end mark"
    )


async def _model_error(reply):
    body = await _read_body(reply, MAX_BUFFERED_BYTES)
    answer = callers.Answer(
        reply.status,
        tuple(forwarding.reply_headers(reply.headers)),
        body,
    )
    if reply.status == NOT_FOUND:
        # The model was unloaded between the grant and the request.
        return FailedAttempt(
            messages.NOT_RUN, "unused", "the model is not loaded"
        )
    if (
        reply.status < MIN_SERVER_ERROR
        and reply.status not in RETRYABLE_CLIENT_ERRORS
    ):
        return CompletedAttempt(answer)
    return FailedAttempt(
        _run_state_of(reply),
        "reset",
        f"the engine replied {reply.status}",
        answer,
    )


@receive.register
async def _receive_plain(call: calls.PlainCall, reply, delivery):
    headers = tuple(forwarding.reply_headers(reply.headers))
    must_buffer = delivery.caller is None or call.method == "HEAD"
    if not must_buffer and reply.header(b"content-type").startswith(
        b"text/event-stream"
    ):
        return await _relay_reply(
            reply, headers, b"", reply.iter_chunks(), delivery
        )
    limit = MAX_REPLY_BYTES if must_buffer else MAX_BUFFERED_BYTES
    chunks = reply.iter_chunks()
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > limit:
            break
    else:
        answer = callers.Answer(reply.status, headers, bytes(body))
        return _plain_result(call, reply, answer)
    if must_buffer:
        raise exceptions.ReplyError("the reply is too long to be kept")
    return await _relay_reply(reply, headers, bytes(body), chunks, delivery)


def _plain_result(call, reply, answer):
    if reply.status not in UNAVAILABLE_STATUSES:
        return CompletedAttempt(answer)
    run = _run_state_of(reply)
    if run == messages.NOT_RUN or not call.at_most_once:
        message = f"the service replied {reply.status}"
        return FailedAttempt(run, "reset", message, answer)
    return CompletedAttempt(answer)


async def _relay_reply(reply, headers, body_start, chunks, delivery):
    """Relay a long reply to the caller.

    Notes
    -----
    If the endpoint's reply breaks off, the reply to the caller is cut
    off as well.
    """
    now = trio.current_time()
    delivery.scope.deadline = now + streams.MAX_STREAM_S
    await delivery.caller.start(reply.status, headers)
    if body_start:
        await delivery.caller.send(body_start)
    async for chunk in chunks:
        await delivery.caller.send(chunk)
    await delivery.caller.send(b"", more=False)
    return CompletedAttempt()


async def _read_body(reply, limit):
    body = bytearray()
    async for chunk in reply.iter_chunks():
        body += chunk
        if len(body) > limit:
            raise exceptions.ReplyError(
                f"the reply is longer than {limit} bytes"
            )
    return bytes(body)


def _run_state_of(reply):
    if reply.header(RUN_HEADER) == messages.NOT_RUN.encode():
        return messages.NOT_RUN
    return messages.MAY_HAVE_RUN
