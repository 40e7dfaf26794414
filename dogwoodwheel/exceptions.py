"""Exceptions of the package; each message says how to fix the problem.

Notes
-----
Every exception of the package derives from `DogwoodwheelError`, so that
one ``except`` clause can catch all of them.
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
    """Base class of the exceptions of this package."""


class SettingsError(DogwoodwheelError):
    """A program's settings are invalid; the message names the field."""


class DeclarationError(DogwoodwheelError):
    """The configuration text is invalid.

    Parameters
    ----------
    faults : tuple of dogwoodwheel.declaration.check.Fault
        All faults that were found, ordered by line.
    """

    def __init__(self, faults):
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


class PlatformError(DogwoodwheelError):
    """The platform refused a call or did not answer; nothing was changed."""


class OutcomeUnknownError(PlatformError):
    """The reply to a write was lost; read the row to see if it succeeded."""


class ConflictError(PlatformError):
    """The row that a write replaces has changed; read the row and retry."""


class HistoryLostError(PlatformError):
    """The store no longer lists the changes since a version.

    Read the whole table instead.
    """


class EndpointError(DogwoodwheelError):
    """A call to an endpoint failed."""


class FencedError(EndpointError):
    """An endpoint refused an order because it knows a newer fencing token."""


class BusyError(EndpointError):
    """An endpoint is busy with another order; retry later."""


class NotSentError(EndpointError):
    """No byte of a request was sent to the endpoint; a retry is safe."""


class ReplyError(EndpointError):
    """A reply is missing, invalid or not for this request.

    The request may have run.
    """


class PeerError(DogwoodwheelError):
    """A peer did not answer in time, or the connection to it broke."""


class WireError(DogwoodwheelError):
    """A message cannot be encoded or decoded.

    If the communicating programs are of different releases, upgrade the
    older program.
    """


class RefusedError(DogwoodwheelError):
    """A caller's request is refused.

    Parameters
    ----------
    refusal : dogwoodwheel.wire.messages.Refusal
        The refusal that the caller receives.
    """

    def __init__(self, refusal):
        self.refusal = refusal
        super().__init__(refusal.message)


class HttpStatusError(DogwoodwheelError):
    """An endpoint answered with an error status.

    Parameters
    ----------
    answer : dogwoodwheel.requests.callers.Answer
        The endpoint's answer, which the gateway forwards to the caller.
    """

    def __init__(self, answer):
        self.answer = answer
        super().__init__(f"the endpoint answered {answer.status}")
