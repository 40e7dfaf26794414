"""Faults of the next replies of a stand-in engine."""

import dataclasses

__all__ = ["Fault", "Faults"]

KINDS = (
    "none",
    "late",
    "crossed",
    "short",
    "duplicated",
    "broken",
    "no_done",
    "stall",
    "endless",
    "error",
    "close_before",
    "close_after",
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """How one reply fails.

    Parameters
    ----------
    kind : str
        ``late``: begins after ``delay_s``; ``crossed``: is that to
        another request; ``short``: ends before its length; ``duplicated``:
        comes twice; ``broken``: reset after ``tokens``; ``no_done``: a
        stream ends without its mark; ``stall``: nothing comes after
        ``tokens``; ``endless``: tokens come for ever; ``error``: has
        ``status``; ``close_before``: reset before the request runs;
        ``close_after``: reset after it ran.
    model : str
        Only for this model; empty for any.
    """

    kind: str
    delay_s: float = 0.0
    tokens: int = 1
    status: int = 500
    model: str = ""


NONE = Fault("none")


class Faults:
    """Faults that wait for their requests, in order."""

    def __init__(self):
        self.waiting = []

    def put(self, faults):
        """Add faults for the next replies.

        Raises
        ------
        ValueError
            If a kind is unknown.
        """
        for fields in faults:
            fault = Fault(**fields)
            if fault.kind not in KINDS:
                raise ValueError(f"kind must be one of {KINDS}")
            self.waiting.append(fault)

    def clear(self):
        """Drop the faults that still wait."""
        self.waiting.clear()

    def take(self, model):
        """Return the fault of a request that begins."""
        for index, fault in enumerate(self.waiting):
            if fault.model in ("", model):
                return self.waiting.pop(index)
        return NONE
