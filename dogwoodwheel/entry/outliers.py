"""Which endpoints fail requests, from their outcomes.

Notes
-----
Load patterns: endpoints fail part of their requests while their health
check is good, for all callers or those of one zone; they hang, reset,
go dark, go down and up by turns, or answer errors at once and so seem
to be the least loaded.
"""

import dataclasses
import math

__all__ = ["OutlierDetector", "Record"]

# Outcomes lose half of their weight in this time, seconds.
HALF_LIFE_S = 3.0
# An endpoint is avoided when at least so many recent outcomes were bad,
# and they are at least this part of all.
MIN_BAD = 1.2
BAD_PART = 0.25
# Time without requests after it failed, doubled each time, seconds.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 6.0
# Weight of what peers in other zones saw, against this zone's.
OTHER_ZONE_WEIGHT = 0.4


@dataclasses.dataclass
class Record:
    """Recent outcomes at one endpoint.

    Parameters
    ----------
    good, bad : float
        Outcomes, weighted by age.
    at : float
        Time of the weights, seconds.
    paused_until : float
    pause_s : float
        Length of the last pause.
    unreached : bool
        Whether nothing could be sent there when it was last tried.
    """

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0
    paused_until: float = -math.inf
    pause_s: float = 0.0
    unreached: bool = False

    def decay(self, now):
        """Let the outcomes age."""
        part = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.good *= part
        self.bad *= part
        self.at = now


class OutlierDetector:
    """Outcomes at all endpoints, own ones and those that peers tell."""

    def __init__(self):
        self._records = {}

    def record_outcome(self, endpoint, good, now, weight=1.0):
        """Take an outcome; return whether the endpoint is avoided anew.

        Parameters
        ----------
        endpoint : str
        good : bool
        now : float
            Seconds.
        weight : float
        """
        record = self._records.setdefault(endpoint, Record(at=now))
        record.decay(now)
        if good:
            record.unreached = False
            record.good += weight
            if now >= record.paused_until and record.bad < MIN_BAD:
                record.pause_s = 0.0
            return False
        record.bad += weight
        return self._judge(record, now)

    def record_unreachable(self, endpoint, now):
        """Take an outcome that leaves no doubt, such as a refused connect."""
        record = self._records.setdefault(endpoint, Record(at=now))
        record.decay(now)
        record.bad += 1.0
        record.unreached = True
        return self._pause(record, now)

    def is_down(self, endpoint, now):
        """Tell whether nothing could be sent there a moment ago."""
        record = self._records.get(endpoint)
        if record is None or not record.unreached:
            return False
        return now < record.paused_until

    def record_peer_outcomes(self, outcomes, now, same_zone):
        """Take outcomes that a peer saw since its beat before.

        Parameters
        ----------
        outcomes : dict of str to (float, float)
            Good and bad ones.
        now : float
        same_zone : bool
        """
        weight = 1.0 if same_zone else OTHER_ZONE_WEIGHT
        for endpoint, (good, bad) in outcomes.items():
            record = self._records.setdefault(endpoint, Record(at=now))
            record.decay(now)
            record.good += good * weight
            record.bad += bad * weight
            if bad:
                self._judge(record, now)

    def is_ejected(self, endpoint, now):
        """Tell whether an endpoint is to be avoided."""
        record = self._records.get(endpoint)
        return record is not None and now < record.paused_until

    def failure_ratio(self, endpoint, now):
        """Return the part of recent outcomes that were bad, 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        record.decay(now)
        return record.bad / (record.good + record.bad + 2.0)

    def retain(self, endpoints):
        """Forget all other endpoints."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in endpoints
        }

    def _judge(self, record, now):
        total = record.good + record.bad
        if record.bad >= MIN_BAD and record.bad >= BAD_PART * total:
            return self._pause(record, now)
        return False

    def _pause(self, record, now):
        if now < record.paused_until:
            return False
        record.pause_s = min(
            LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * record.pause_s)
        )
        record.paused_until = now + record.pause_s
        return True
