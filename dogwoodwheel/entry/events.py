"""Splitting of a stream into complete events, with a check of their order."""

from dogwoodwheel import exceptions

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = b"\n\n"


class EventSplitter:
    """Splits a stream of bytes into complete events with rising numbers.

    Parameters
    ----------
    number_of : callable
        ``number_of(event)`` returns the number of an event, or None if
        the event has no number.
    last_number : int or None
        Number of the last event that the caller has received; None if
        the number of the first event is not known in advance.

    Attributes
    ----------
    last_number : int or None
        Number of the last event that was returned.
    count : int
        Numbered events that were returned.
    """

    def __init__(self, number_of, last_number=None):
        self.last_number = last_number
        self.count = 0
        self._number_of = number_of
        self._buffer = bytearray()

    def reset(self):
        """Discard a partial event before a stream of another endpoint."""
        self._buffer.clear()

    @property
    def has_partial_event(self):
        """Whether the beginning of an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, chunk):
        """Add a chunk and return all events that are now complete, as bytes.

        Raises
        ------
        ReplyError
            If an event is missing, repeated or too long.
        """
        self._buffer += chunk
        size = self._buffer.rfind(EVENT_END) + len(EVENT_END)
        if size < len(EVENT_END):
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise exceptions.ReplyError("an event is too long")
            return b""
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        for event in data.split(EVENT_END)[:-1]:
            self._check_order(event)
        return data

    def _check_order(self, event):
        number = self._number_of(event)
        if number is None:
            return
        if self.last_number is not None and number != self.last_number + 1:
            raise exceptions.ReplyError(
                f"event {number} followed event {self.last_number}"
            )
        self.last_number = number
        self.count += 1
