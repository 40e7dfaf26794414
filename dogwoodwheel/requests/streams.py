"""Relay of an engine's stream of events to a caller.

Notes
-----
The bytes are relayed unchanged, and most events are not decoded: the
cost of a chunk limits how many tokens an entry relays per second.  Only
complete events are relayed, so that a stream that breaks off can be
resumed after the last token relayed.
"""

import json
import math
import re

import trio

from dogwoodwheel import exceptions

__all__ = ["Relay"]

END_MARK = re.compile(rb"(?:^|\n)data: ?\[DONE\](?:\r?\n){2}")
FINISH_REASON = re.compile(rb'"finish_reason": ?"')
SSE_HEADERS = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
)
MAX_EVENT_BYTES = 1024 * 1024
MAX_STREAM_S = 3600.0
LIMIT_SLACK_TOKENS = 16


class Relay:
    """A stream to a caller, composed of one or more engine replies.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.ModelCall
    caller : dogwoodwheel.requests.callers.Caller
    scope : trio.CancelScope
        Scope of the call.  Until the first events are relayed, its
        deadline is the call's deadline; then `MAX_STREAM_S` applies.

    Attributes
    ----------
    end_mark_received : bool
        Whether the stream's end mark, ``data: [DONE]``, was received.
    first_relayed_at : float or None
        Time of trio's clock at which the first events were relayed.
    exceeded_token_limit : bool
        Whether the engine sent more output tokens than the caller
        allows.
    write_gaps_s : list of float
        Seconds between writes to the caller.
    """

    def __init__(self, call, caller, scope):
        self.call = call
        self.caller = caller
        self.scope = scope
        self.end_mark_received = False
        self.exceeded_token_limit = False
        self.first_relayed_at = None
        self.write_gaps_s = []
        self._buffer = bytearray()
        self._first_event = b""
        self._num_events = 0
        self._last_relayed_at = math.inf
        self._has_finish_reason = False
        self._events_to_skip = 0
        self._reported_output_tokens = None

    def begin(self):
        """Prepare to relay another reply, and drop an incomplete event."""
        self._buffer.clear()
        self._has_finish_reason = False
        # A stream is resumed only if a token was relayed.  Otherwise the
        # engine sends the stream from its start, and the events that were
        # relayed already are skipped.
        self._events_to_skip = 0 if self.relayed_tokens else self._num_events

    def feed(self, chunk):
        """Append a chunk of the reply to the buffer."""
        self._buffer += chunk

    @property
    def relayed_tokens(self):
        """Number of tokens relayed.

        Notes
        -----
        Each event carries one token, except the first event of a chat.
        """
        return self._num_events - self._preamble_events()

    @property
    def output_tokens(self):
        """Number of output tokens reported by the engine, else relayed."""
        if self._reported_output_tokens is not None:
            return self._reported_output_tokens
        return self.relayed_tokens

    async def flush(self):
        """Relay the complete events in the buffer.

        Raises
        ------
        ReplyError
            If the engine sent more tokens than the caller allows, or an
            event is too long.
        """
        data = self._pop_events()
        if not data:
            return
        if self._num_events > self._max_tokens():
            self.exceeded_token_limit = True
            raise exceptions.ReplyError(
                "the engine sent more tokens than were asked for"
            )
        now = trio.current_time()
        if self.first_relayed_at is None:
            self.first_relayed_at = now
            self.scope.deadline = now + MAX_STREAM_S
            self.caller.is_event_stream = True
            await self.caller.start(200, SSE_HEADERS)
        else:
            self.write_gaps_s.append(now - self._last_relayed_at)
        self._last_relayed_at = now
        await self.caller.send(data, more=not self.end_mark_received)

    def _pop_events(self):
        """Remove from the buffer and return the events to relay now."""
        buffer = self._buffer
        size = max(buffer.rfind(b"\n\n") + 2, buffer.rfind(b"\r\n\r\n") + 4)
        if size < 4:
            if len(buffer) > MAX_EVENT_BYTES:
                raise exceptions.ReplyError("an event is too long")
            return b""
        end = END_MARK.search(buffer) if b"[DONE]" in buffer else None
        if end is not None:
            size = end.end()
            self.end_mark_received = True
            self._read_usage(bytes(buffer[: end.start()]))
        elif self._must_wait_for_end(buffer):
            return b""
        data = bytes(buffer[:size])
        del buffer[:size]
        if self._events_to_skip:
            data = self._drop_relayed_events(data)
        self._count_events(data)
        return data

    def _drop_relayed_events(self, data):
        events = data.split(b"\n\n")
        new_events = events[self._events_to_skip :]
        self._events_to_skip = max(0, self._events_to_skip - (len(events) - 1))
        return b"\n\n".join(new_events)

    def _must_wait_for_end(self, buffer):
        # The last events of an answer are relayed only together with the
        # end mark: if the mark does not arrive, a resumed stream sends
        # the held events again.
        if not self.call.single_choice:
            return False
        if not self._has_finish_reason:
            self._has_finish_reason = FINISH_REASON.search(buffer) is not None
        return self._has_finish_reason

    def _count_events(self, data):
        if not self._first_event:
            self._first_event = data.partition(b"\n\n")[0]
        self._num_events += data.count(b"\ndata:") + data.startswith(b"data:")
        if self.end_mark_received:
            # The end mark and the events with a finish reason carry no
            # token.
            self._num_events -= 1 + len(FINISH_REASON.findall(data))

    def _max_tokens(self):
        limit = self.call.max_output_tokens
        return limit + LIMIT_SLACK_TOKENS if limit else math.inf

    def _preamble_events(self):
        """Return 1 if the first event relayed carries no token, else 0."""
        count = 0
        try:
            choice = json.loads(self._first_event.partition(b":")[2])[
                "choices"
            ][0]
            delta = choice.get("delta")
            if delta is not None and not delta.get("content"):
                count = 1
        except (ValueError, KeyError, IndexError, TypeError, AttributeError):
            pass
        return count

    def _read_usage(self, data):
        start = data.rfind(b'"usage"')
        if start < 0:
            return
        event = data[data.rfind(b"\ndata:", 0, start) + 1 :]
        event = event.partition(b"\n\n")[0]
        try:
            usage = json.loads(event.partition(b":")[2])["usage"]
            self._reported_output_tokens = int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return
