"""Whole events of a stream, in order."""

from dogwoodwheel import exceptions

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1024 * 1024
END = b"\n\n"


class EventSplitter:
    """Splits a stream of bytes into whole events with growing numbers.

    Parameters
    ----------
    number_of : callable
        ``number_of(event)`` returns an event's number, or None.
    last_number : int or None
        Number of the last event that the caller has; None if the first
        number is not known beforehand.

    Attributes
    ----------
    last_number : int or None
    count : int
        Events that were passed on.
    """

    def __init__(self, number_of, last_number=None):
        self.last_number = last_number
        self.count = 0
        self._number_of = number_of
        self._buffer = bytearray()

    def restart(self):
        """Begin with another endpoint's stream; drop half an event."""
        self._buffer.clear()

    @property
    def has_partial_event(self):
        """Whether part of an event is held back."""
        return bool(self._buffer)

    def feed(self, part):
        """Return the whole events that are complete now, as bytes.

        Raises
        ------
        ReplyError
            If an event is missing, comes twice or is too long.
        """
        self._buffer += part
        size = self._buffer.rfind(END) + len(END)
        if size < len(END):
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise exceptions.ReplyError("an event is too long")
            return b""
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        for event in data.split(END)[:-1]:
            self._check(event)
        return data

    def _check(self, event):
        number = self._number_of(event)
        if number is None:
            return
        if self.last_number is not None and number != self.last_number + 1:
            raise exceptions.ReplyError(
                f"event {number} followed event {self.last_number}"
            )
        self.last_number = number
        self.count += 1
