"""Quarantines of parts of requests; `query_of_death` begins and ends them."""

import dataclasses

__all__ = ["Quarantine", "REPORTED_FRACTION"]

# Peers are told of a crash during this fraction of the time for which it is
# remembered, so that no two entries renew each other's memory of a crash that
# both are about to forget.
REPORTED_FRACTION = 0.8


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """A part whose requests are refused.

    Parameters
    ----------
    part : str
    evidence : float
        Sum of the evidence of the crashes.
    crashes : tuple of dogwoodwheel.entry.crash_evidence.Crash
        Crashes that the part explains, oldest first; not empty.
    expires_at : float
        Time of trio's clock at which the quarantine ends if no endpoint
        crashes until then.
    """

    part: str
    evidence: float
    crashes: tuple
    expires_at: float

    @property
    def endpoints(self):
        """Endpoints that crashed."""
        return tuple(crash.endpoint for crash in self.crashes)

    def is_reported(self, now):
        """Return whether peers are told of the quarantine's crashes."""
        began_at = self.crashes[-1].crashed_at
        return now < began_at + REPORTED_FRACTION * (
            self.expires_at - began_at
        )
