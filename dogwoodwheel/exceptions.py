"""Kinds of errors; each message names the remedy.

Notes
-----
Every error of the package derives from `DogwoodwheelError`, so that a
caller may catch all of them at once.
"""

__all__ = [
    "BusyError",
    "ConflictError",
    "DeclarationError",
    "DogwoodwheelError",
    "EndpointError",
    "FencedError",
    "HistoryLostError",
    "HttpStatusError",
    "NotSentError",
    "OutcomeUnknownError",
    "PeerError",
    "PlatformError",
    "RefusedError",
    "ReplyError",
    "SettingsError",
    "WireError",
]


class DogwoodwheelError(Exception):
    """Base of all errors of this package."""


class SettingsError(DogwoodwheelError):
    """A program's settings are wrong; the message names the field."""


class DeclarationError(DogwoodwheelError):
    """The operators' text has faults.

    Parameters
    ----------
    faults : tuple of dogwoodwheel.declaration.check.Fault
        Every fault found, in the order of the lines.
    """

    def __init__(self, faults):
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


class PlatformError(DogwoodwheelError):
    """The platform did not answer, or refused; nothing took effect."""


class OutcomeUnknownError(PlatformError):
    """A write was sent and its reply was lost; read back to learn."""


class ConflictError(PlatformError):
    """A row has another version than expected; read it and try again."""


class HistoryLostError(PlatformError):
    """The store has forgotten a version; read the whole table."""


class EndpointError(DogwoodwheelError):
    """An endpoint did not answer an order or a status call."""


class FencedError(EndpointError):
    """An endpoint refused an order for its old fencing number."""


class BusyError(EndpointError):
    """An endpoint carries out another order; try again after it."""


class NotSentError(EndpointError):
    """No byte of a request reached the endpoint; a retry is safe."""


class ReplyError(EndpointError):
    """A reply is short, crossed or malformed; the request may have run."""


class PeerError(DogwoodwheelError):
    """A peer did not answer in time, or its connection broke."""


class WireError(DogwoodwheelError):
    """A message cannot be read; upgrade the older of the two programs."""


class RefusedError(DogwoodwheelError):
    """A request is refused.

    Parameters
    ----------
    refusal : dogwoodwheel.wire.messages.Refusal
        What the caller is told.
    """

    def __init__(self, refusal):
        self.refusal = refusal
        super().__init__(refusal.message)


class HttpStatusError(DogwoodwheelError):
    """An endpoint answered with a failure, which the caller gets.

    Parameters
    ----------
    answer : dogwoodwheel.requests.callers.Answer
    """

    def __init__(self, answer):
        self.answer = answer
        super().__init__(f"the endpoint answered {answer.status}")
