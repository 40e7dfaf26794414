"""Splits a stream of bytes into events and checks the events' numbers."""

from dogwoodwheel import exceptions

__all__ = ["EventSplitter"]

# Maximum size of an event with the comments before it, and maximum number of
# chunks in which they come; an endpoint sends an event in one chunk, or a few.
MAX_EVENT_BYTES = 1024 * 1024
MAX_EVENT_CHUNKS = 4096
EVENT_END = b"\n\n"


class EventSplitter:
    """Splits a stream of bytes into events with consecutive numbers.

    Parameters
    ----------
    get_event_number : callable
        ``get_event_number(event)`` returns the number of an event, or
        None if the event has no number.
    last_number : int or None
        Number of the last event that the caller has received; the next
        event must have the number after it.  None if the first event may
        have any number.

    Attributes
    ----------
    last_number : int or None
        Number of the last numbered event that `feed` has returned; until
        then, the value of the parameter.  After `reset`, the number of the
        last one that was sent.
    event_count : int
        Number of numbered events that `feed` has returned, or after
        `reset` of those that were sent.
    """

    def __init__(self, get_event_number, last_number=None):
        self.last_number = last_number
        self.event_count = 0
        self._get_event_number = get_event_number
        self._buffer = bytearray()
        # What has come since the last numbered event.
        self._bytes_since_event = 0
        self._chunks_since_event = 0
        self._sent = (last_number, 0)

    def mark_sent(self):
        """Note that the caller gets all events that `feed` has returned."""
        self._sent = (self.last_number, self.event_count)

    def reset(self):
        """Discard what the caller has not got, before the next attempt."""
        self._buffer.clear()
        self._bytes_since_event = self._chunks_since_event = 0
        self.last_number, self.event_count = self._sent

    @property
    def buffered_bytes(self):
        """Number of bytes of the incomplete event in the buffer."""
        return len(self._buffer)

    @property
    def has_partial_event(self):
        """Whether the buffer holds the beginning of an incomplete event."""
        return bool(self._buffer)

    def feed(self, chunk):
        """Add a chunk; return the bytes of all events that are complete now.

        Raises
        ------
        ReplyError
            If an event is missing, repeated or without a number, or if
            more than `MAX_EVENT_BYTES` or `MAX_EVENT_CHUNKS` come without
            the end of a numbered event.

        Notes
        -----
        The bytes that are buffered contain no end of an event, so that
        each byte is searched once, in whatever chunks the bytes come.
        """
        search_from = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += chunk
        self._bytes_since_event += len(chunk)
        self._chunks_since_event += 1
        end = self._buffer.rfind(EVENT_END, search_from)
        complete_events = b""
        if end >= 0:
            complete_bytes = end + len(EVENT_END)
            complete_events = bytes(self._buffer[:complete_bytes])
            del self._buffer[:complete_bytes]
            count_before = self.event_count
            for event in complete_events.split(EVENT_END)[:-1]:
                self._check_order(event)
            if self.event_count > count_before:
                self._bytes_since_event = len(self._buffer)
                self._chunks_since_event = 0
        if (
            self._bytes_since_event > MAX_EVENT_BYTES
            or self._chunks_since_event > MAX_EVENT_CHUNKS
        ):
            raise exceptions.ReplyError(
                f"no event after event {self.last_number} in "
                f"{self._bytes_since_event} bytes"
            )
        return complete_events

    def _check_order(self, event):
        number = self._get_event_number(event)
        if number is None:
            if _is_comment(event):
                return
            raise exceptions.ReplyError(
                f"no event with a number after event {self.last_number}"
            )
        if self.last_number is not None and number != self.last_number + 1:
            raise exceptions.ReplyError(
                f"event {number} followed event {self.last_number}"
            )
        self.last_number = number
        self.event_count += 1


def _is_comment(event):
    return all(
        not line or line.startswith(b":") for line in event.split(b"\n")
    )
