"""Outlier detection: ejects endpoints at which many requests fail.

Notes
-----
Workload: endpoints fail a fraction of their requests although their health
check succeeds, for all callers or only for callers of one availability zone.
Endpoints hang, reset connections, stop answering or alternate between up and
down.  Endpoints that return errors at once seem to be the least loaded.
"""

import dataclasses
import math

__all__ = ["OutcomeRecord", "OutlierDetector"]

# Time in which the weight of a recorded outcome falls by half, seconds.
OUTCOME_HALF_LIFE_S = 3.0
# An endpoint is ejected if its weighted number of failures is at least
# MIN_FAILURES, and failures are at least MIN_FAILURE_RATIO of all outcomes.
MIN_FAILURES = 1.2
MIN_FAILURE_RATIO = 0.25
# Duration of an endpoint's first ejection, seconds.  Each further ejection
# lasts twice as long as the previous one, up to MAX_EJECTION_S.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
# Weight of an outcome at a peer in another availability zone; an outcome at a
# peer in this entry's zone has the weight 1.
OTHER_ZONE_WEIGHT = 0.4


@dataclasses.dataclass
class OutcomeRecord:
    """Recent outcomes of requests to one endpoint.

    Parameters
    ----------
    successes, failures : float
        Number of successes and of failures, weighted by age.
    updated_at : float
        Time of trio's clock at which both numbers were last updated.
    ejected_until : float
        Time of trio's clock at which the last ejection ends.
    ejection_s : float
        Duration of the last ejection, seconds.
    is_unreachable : bool
        Whether the last attempt to send a request to the endpoint failed
        before anything was sent.
    """

    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = -math.inf
    ejection_s: float = 0.0
    is_unreachable: bool = False

    def decay(self, now):
        """Reduce the weighted numbers by the time since `updated_at`."""
        decay_factor = 0.5 ** (
            max(0.0, now - self.updated_at) / OUTCOME_HALF_LIFE_S
        )
        self.successes *= decay_factor
        self.failures *= decay_factor
        self.updated_at = now


class OutlierDetector:
    """Ejects endpoints based on outcomes at this entry and its peers."""

    def __init__(self):
        self._records = {}

    def record_outcome(self, endpoint_name, succeeded, now, weight=1.0):
        """Record an outcome; return whether the outcome ejects the endpoint.

        Parameters
        ----------
        endpoint_name : str
        succeeded : bool
        now : float
            Current time of trio's clock, seconds.
        weight : float
            Weight of the outcome, 0 to 1.
        """
        record = self._records.setdefault(
            endpoint_name, OutcomeRecord(updated_at=now)
        )
        record.decay(now)
        if succeeded:
            record.is_unreachable = False
            record.successes += weight
            if now >= record.ejected_until and record.failures < MIN_FAILURES:
                record.ejection_s = 0.0
            return False
        record.failures += weight
        return self._eject_if_failing(record, now)

    def record_unreachable(self, endpoint_name, now):
        """Record that an endpoint cannot be reached, and eject it.

        Returns
        -------
        bool
            False if the endpoint was already ejected.
        """
        record = self._records.setdefault(
            endpoint_name, OutcomeRecord(updated_at=now)
        )
        record.decay(now)
        record.failures += 1.0
        record.is_unreachable = True
        return self._eject(record, now)

    def is_unreachable(self, endpoint_name, now):
        """Return whether an endpoint is ejected because it is unreachable."""
        record = self._records.get(endpoint_name)
        if record is None or not record.is_unreachable:
            return False
        return now < record.ejected_until

    def record_peer_outcomes(self, outcomes, now, same_zone):
        """Record the outcomes at a peer since its previous heartbeat.

        Parameters
        ----------
        outcomes : dict of str to (float, float)
            Number of successes and of failures, by endpoint.
        now : float
            Current time of trio's clock, seconds.
        same_zone : bool
            Whether the peer is in this entry's availability zone.
        """
        weight = 1.0 if same_zone else OTHER_ZONE_WEIGHT
        for endpoint_name, (successes, failures) in outcomes.items():
            record = self._records.setdefault(
                endpoint_name, OutcomeRecord(updated_at=now)
            )
            record.decay(now)
            record.successes += successes * weight
            record.failures += failures * weight
            if failures:
                self._eject_if_failing(record, now)

    def is_ejected(self, endpoint_name, now):
        """Return whether an endpoint is ejected."""
        record = self._records.get(endpoint_name)
        return record is not None and now < record.ejected_until

    def failure_ratio(self, endpoint_name, now):
        """Return the weighted fraction of failures among recent outcomes.

        Notes
        -----
        Two successes are added, so that a single failure at an endpoint
        with few requests does not yield a ratio of 1.
        """
        record = self._records.get(endpoint_name)
        if record is None:
            return 0.0
        record.decay(now)
        return record.failures / (record.successes + record.failures + 2.0)

    def retain(self, endpoint_names):
        """Keep only the records of the given endpoints."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in endpoint_names
        }

    def _eject_if_failing(self, record, now):
        outcome_count = record.successes + record.failures
        if (
            record.failures >= MIN_FAILURES
            and record.failures >= MIN_FAILURE_RATIO * outcome_count
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
