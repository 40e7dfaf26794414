"""Relay of an engine's stream of events to a caller.

Notes
-----
The bytes are passed on as they came, with no event decoded: what a
chunk costs sets how many tokens a second an entry bears.  Only whole
events are passed on, so a stream that breaks can be resumed at a token.
"""

import json
import math
import re

import trio

from dogwoodwheel import exceptions

__all__ = ["Relay"]

END = re.compile(rb"(?:^|\n)data: ?\[DONE\](?:\r?\n){2}")
FINISH = re.compile(rb'"finish_reason": ?"')
SSE_HEADERS = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
)
MAX_EVENT_BYTES = 1024 * 1024
MAX_STREAM_S = 3600.0
LIMIT_SLACK = 16


class Relay:
    """A stream to a caller, over one or several replies of engines.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.ModelCall
    caller : dogwoodwheel.requests.callers.Caller
    scope : trio.CancelScope
        Its deadline is that of the first token.

    Attributes
    ----------
    ended : bool
        Whether the end mark was passed on.
    first_at : float or None
        Time of trio's clock at which the stream began.
    overrun : bool
        Whether the engine sent more tokens than were asked for.
    gaps : list of float
        Seconds between bursts.
    """

    def __init__(self, call, caller, scope):
        self.call = call
        self.caller = caller
        self.scope = scope
        self.ended = False
        self.overrun = False
        self.first_at = None
        self.gaps = []
        self._buffer = bytearray()
        self._head = b""
        self._events = 0
        self._last_at = math.inf
        self._finishing = False
        self._skip = 0
        self._usage = None

    def begin(self):
        """Begin with the reply of another engine; drop half an event."""
        self._buffer.clear()
        self._finishing = False
        # Without a token passed on, the new stream starts all over.
        self._skip = 0 if self.tokens else self._events

    def feed(self, part):
        """Take a part that came."""
        self._buffer += part

    @property
    def tokens(self):
        """Tokens passed on, one an event but for the first of a chat."""
        return self._events - self._preamble()

    @property
    def output(self):
        """Tokens of the output, as the engine tells or as counted."""
        if self._usage is not None:
            return self._usage
        return self.tokens

    async def flush(self):
        """Pass on the whole events that came.

        Raises
        ------
        ReplyError
            If the stream exceeds what was asked for.
        """
        data = self._take()
        if not data:
            return
        if self._events > self._most():
            self.overrun = True
            raise exceptions.ReplyError(
                "the engine sent more tokens than were asked for"
            )
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
            self.scope.deadline = now + MAX_STREAM_S
            self.caller.events = True
            await self.caller.start(200, SSE_HEADERS)
        else:
            self.gaps.append(now - self._last_at)
        self._last_at = now
        await self.caller.send(data, more=not self.ended)

    def _take(self):
        """Return the whole events that may be passed on."""
        buffer = self._buffer
        size = max(buffer.rfind(b"\n\n") + 2, buffer.rfind(b"\r\n\r\n") + 4)
        if size < 4:
            if len(buffer) > MAX_EVENT_BYTES:
                raise exceptions.ReplyError("an event is too long")
            return b""
        end = END.search(buffer) if b"[DONE]" in buffer else None
        if end is not None:
            size = end.end()
            self.ended = True
            self._read_usage(bytes(buffer[: end.start()]))
        elif self._holds_back(buffer):
            return b""
        data = bytes(buffer[:size])
        del buffer[:size]
        if self._skip:
            data = self._without_known(data)
        self._count(data)
        return data

    def _without_known(self, data):
        events = data.split(b"\n\n")
        kept = events[self._skip :]
        self._skip = max(0, self._skip - (len(events) - 1))
        return b"\n\n".join(kept)

    def _holds_back(self, buffer):
        # The end of an answer is passed on with its end mark only: when
        # the mark fails to come, a resumed stream sends the end again.
        if not self.call.single:
            return False
        if not self._finishing:
            self._finishing = FINISH.search(buffer) is not None
        return self._finishing

    def _count(self, data):
        if not self._head:
            self._head = data.partition(b"\n\n")[0]
        self._events += data.count(b"\ndata:") + data.startswith(b"data:")
        if self.ended:
            self._events -= 1 + len(FINISH.findall(data))

    def _most(self):
        limit = self.call.limit
        return limit + LIMIT_SLACK if limit else math.inf

    def _preamble(self):
        """Return how many events passed on are no token."""
        count = 0
        try:
            choice = json.loads(self._head.partition(b":")[2])["choices"][0]
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
            self._usage = int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return
