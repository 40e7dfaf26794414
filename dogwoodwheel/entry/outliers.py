"""Outlier detection: ejects endpoints whose requests fail.

Notes
-----
Workload: endpoints fail a fraction of their requests while their health
check succeeds, for all callers or for those of one availability zone;
they hang, reset connections, stop answering, alternate between up and
down, or return errors at once, so that they seem to be the least loaded.
"""

import dataclasses
import math

__all__ = ["OutcomeRecord", "OutlierDetector"]

# Time in which recorded outcomes lose half of their weight, seconds.
HALF_LIFE_S = 3.0
# An endpoint is ejected if the weighted number of its failures, and their
# fraction of all its outcomes, are at least these.
MIN_FAILURES = 1.2
MIN_FAILURE_RATIO = 0.25
# Duration of the first ejection, which doubles with each further one, and
# its maximum, seconds.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
# Weight of outcomes at peers in other availability zones; that of outcomes
# at peers in this zone is 1.
OTHER_ZONE_WEIGHT = 0.4


@dataclasses.dataclass
class OutcomeRecord:
    """Recent outcomes at one endpoint.

    Parameters
    ----------
    successes, failures : float
        Number of successes and of failures, weighted by age.
    updated_at : float
        Time to which the weights apply, seconds.
    ejected_until : float
        Time at which the last ejection ends, seconds.
    ejection_s : float
        Duration of the last ejection, seconds.
    unreachable : bool
        Whether the last attempt to send a request there failed before
        anything was sent.
    """

    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = -math.inf
    ejection_s: float = 0.0
    unreachable: bool = False

    def decay(self, now):
        """Reduce the weights of the outcomes by their age."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.updated_at = now


class OutlierDetector:
    """Ejects endpoints by outcomes at this entry and at its peers."""

    def __init__(self):
        self._records = {}

    def record_outcome(self, endpoint, success, now, weight=1.0):
        """Record an outcome; return whether it ejects the endpoint.

        Parameters
        ----------
        endpoint : str
        success : bool
        now : float
            Seconds.
        weight : float
        """
        record = self._records.setdefault(
            endpoint, OutcomeRecord(updated_at=now)
        )
        record.decay(now)
        if success:
            record.unreachable = False
            record.successes += weight
            if now >= record.ejected_until and record.failures < MIN_FAILURES:
                record.ejection_s = 0.0
            return False
        record.failures += weight
        return self._eject_if_failing(record, now)

    def record_unreachable(self, endpoint, now):
        """Eject an endpoint that cannot be reached.

        Returns
        -------
        bool
            Whether the endpoint was not ejected already.
        """
        record = self._records.setdefault(
            endpoint, OutcomeRecord(updated_at=now)
        )
        record.decay(now)
        record.failures += 1.0
        record.unreachable = True
        return self._eject(record, now)

    def is_unreachable(self, endpoint, now):
        """Return whether an endpoint is ejected because it is unreachable."""
        record = self._records.get(endpoint)
        if record is None or not record.unreachable:
            return False
        return now < record.ejected_until

    def record_peer_outcomes(self, outcomes, now, same_zone):
        """Record the outcomes at a peer since its last heartbeat.

        Parameters
        ----------
        outcomes : dict of str to (float, float)
            Number of successes and of failures, by endpoint.
        now : float
            Seconds.
        same_zone : bool
            Whether the peer is in this entry's availability zone.
        """
        weight = 1.0 if same_zone else OTHER_ZONE_WEIGHT
        for endpoint, (successes, failures) in outcomes.items():
            record = self._records.setdefault(
                endpoint, OutcomeRecord(updated_at=now)
            )
            record.decay(now)
            record.successes += successes * weight
            record.failures += failures * weight
            if failures:
                self._eject_if_failing(record, now)

    def is_ejected(self, endpoint, now):
        """Return whether an endpoint is ejected."""
        record = self._records.get(endpoint)
        return record is not None and now < record.ejected_until

    def failure_ratio(self, endpoint, now):
        """Return the fraction of recent outcomes that failed, 0 to 1.

        Notes
        -----
        Two successes are added, so that a single failure at an endpoint
        with few requests does not count as a ratio of 1.
        """
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        record.decay(now)
        return record.failures / (record.successes + record.failures + 2.0)

    def retain(self, endpoints):
        """Discard the records of all other endpoints."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in endpoints
        }

    def _eject_if_failing(self, record, now):
        total = record.successes + record.failures
        if (
            record.failures >= MIN_FAILURES
            and record.failures >= MIN_FAILURE_RATIO * total
        ):
            return self._eject(record, now)
        return False

    def _eject(self, record, now):
        if now < record.ejected_until:
            return False
        record.ejection_s = min(
            MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * record.ejection_s)
        )
        record.ejected_until = now + record.ejection_s
        return True
