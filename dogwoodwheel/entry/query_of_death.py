"""Quarantines parts of requests that crash every endpoint that runs them.

Notes
-----
Workload: a query of death crashes each endpoint that begins to run it, and
arrives at all entries.  It is either one section of prompts, in requests that
differ in everything else, or one request, which callers and entries repeat.
Sound requests share all its other parts.  Each crash also breaks off all sound
requests that the endpoint is running, and retries carry the crash to the next
endpoint.

Every entry collects the crashes that it and its peers have observed, with the
parts of the requests that were in flight (`request_parts`), and decides alone.
A part is quarantined once enough crashes are best explained by it.  Of parts
that explain the crashes equally well, the last one is chosen, since the fewest
sound requests share it.  An answer proves all parts of its request sound and
dismisses the crashes before it.  Crashes are forgotten after some time, which
ends the quarantine; a part that then crashes another endpoint is quarantined
again after fewer crashes and for longer.
"""

import collections
import functools
import math
import random

from loguru import logger

from dogwoodwheel.entry import crash_evidence
from dogwoodwheel.entry import quarantines
from dogwoodwheel.entry import request_parts

__all__ = ["QueryOfDeathDetector"]

# Evidence against a part that is required for its quarantine; against a part
# that has been quarantined before; and against a whole request that has been
# answered before: if many callers send the same one, it may well be in flight
# at several endpoints that crash for another reason.
MIN_EVIDENCE = 2.0
MIN_EVIDENCE_AGAIN = 1.0
MIN_EVIDENCE_ANSWERED = 4.0
# Number of events after which an answer proves its request sound.
SOUND_EVENTS = 2
# Observations of the same endpoint within this time are of the same crash.
SAME_CRASH_S = 1.5
OBSERVATION_BITS = 32
# A crash is forgotten after CRASH_MAX_AGE_S.  Each earlier quarantine of a
# part doubles the time for its crashes, up to MAX_QUARANTINE_S.
CRASH_MAX_AGE_S = 60.0
MAX_QUARANTINE_S = 3600.0
MAX_REPORTED_AGE_S = quarantines.REPORTED_FRACTION * CRASH_MAX_AGE_S
# A time that a peer reports again may differ by this from the earlier report.
MAX_DELAY_JITTER_S = 0.1
# Upper limits of what one entry remembers and reports.
MAX_CRASHES = 64
MAX_REPORTED_CRASHES = 16
MAX_SOUND_PARTS = 4096
MAX_QUARANTINED_BEFORE = 256


class QueryOfDeathDetector:
    """Collects crashes of endpoints, and quarantines what explains them.

    Parameters
    ----------
    on_quarantine : callable
        Called without arguments for each part that is quarantined.

    Attributes
    ----------
    quarantines : dict of str to Quarantine
        By part.
    """

    def __init__(self, on_quarantine=lambda: None):
        self.quarantines = {}
        self._on_quarantine = on_quarantine
        self._crashes = []
        self._suspected_parts = frozenset()
        # Times at which parts were proved sound, here and at peers.
        self._sound_since = collections.OrderedDict()
        self._sound_at_peers = collections.OrderedDict()
        # Number of ended quarantines by part.
        self._quarantine_counts = collections.OrderedDict()

    def record_crash(self, endpoint, parts, has_begun, now):
        """Record that an endpoint crashed while a request was in flight.

        Parameters
        ----------
        endpoint : str
        parts : tuple of str
            Parts of the request, the whole being the last one.
        has_begun : bool
            Whether an answer had begun and had no event yet.
        now : float
            Current time of trio's clock, seconds.
        """
        weight = (
            crash_evidence.FULL_EVIDENCE
            if has_begun
            else crash_evidence.PARTIAL_EVIDENCE
        )
        self._add_crash(
            crash_evidence.Crash(
                endpoint,
                now,
                {tuple(parts): weight},
                self._observation(endpoint, now),
            )
        )
        self._update(now)

    def record_sound(self, parts, answered_at):
        """Record an answer to a request.

        Parameters
        ----------
        parts : tuple of str
            Parts of the request.
        answered_at : float
            Time of the answer's first event, or of the whole answer.
        """
        for part in parts:
            _set_newest(self._sound_since, part, answered_at)
        if parts[-1] in self._suspected_parts or any(
            part in self.quarantines for part in parts
        ):
            self._update(answered_at)

    def find_quarantine(self, parts, now):
        """Return the `Quarantine` of one of the parts, or None."""
        if not self.quarantines:
            return None
        for part in parts:
            quarantine = self.quarantines.get(part)
            if quarantine is not None and now < quarantine.expires_at:
                return quarantine
        return None

    def expire(self, now):
        """Forget crashes and end quarantines that are too old."""
        if self._crashes:
            self._update(now)

    def report(self, now):
        """Return what peers should know, for a heartbeat.

        Returns
        -------
        crashes : tuple of (str, float, tuple, tuple)
            Endpoint, age in seconds, pairs of evidence and parts of a
            request, and observations.
        sound_parts : dict of str to float
            Age in seconds of the newest answer, by part of these crashes.
        earlier_quarantines : dict of str to int
            By part that is quarantined: number of earlier quarantines.
        """
        reported = [
            quarantine
            for quarantine in self.quarantines.values()
            if quarantine.is_reported(now)
        ]
        crashes = [
            crash
            for crash in self._crashes
            if now - crash.crashed_at < MAX_REPORTED_AGE_S
            or any(crash in quarantine.crashes for quarantine in reported)
        ]
        parts = _parts_of(crashes)
        return (
            tuple(
                (
                    crash.endpoint,
                    round(now - crash.crashed_at, 3),
                    tuple((w, r) for r, w in crash.requests.items()),
                    tuple(sorted(crash.observations)),
                )
                for crash in crashes[-MAX_REPORTED_CRASHES:]
            ),
            {
                part: round(now - self._sound_since[part], 3)
                for part in parts
                if part in self._sound_since
            },
            {
                quarantine.part: self._quarantine_counts[quarantine.part]
                for quarantine in reported
                if quarantine.part in self._quarantine_counts
            },
        )

    def record_peer_report(
        self, crashes, sound_parts, earlier_quarantines, now
    ):
        """Add what a peer reported; the parameters are those of `report`."""
        if not crashes and not sound_parts:
            return
        has_changed = False
        for part, count in earlier_quarantines.items():
            if count > self._quarantine_counts.get(part, 0):
                self._set_quarantine_count(part, count)
                has_changed = True
        for endpoint, age_s, requests, observations in crashes:
            if age_s < MAX_QUARANTINE_S:
                has_changed |= self._add_crash(
                    crash_evidence.Crash(
                        endpoint,
                        now - age_s,
                        {tuple(r): weight for weight, r in requests if r},
                        frozenset(observations),
                    )
                )
        for part, age_s in sound_parts.items():
            known_at = self._sound_at_peers.get(part, -math.inf)
            has_changed |= now - age_s > known_at + MAX_DELAY_JITTER_S
            _set_newest(self._sound_at_peers, part, now - age_s)
        if has_changed:
            self._update(now)

    def _observation(self, endpoint, now):
        """Return a new observation, or none if the crash is known."""
        if any(self._is_same_time(c, endpoint, now) for c in self._crashes):
            return frozenset()
        return frozenset([random.getrandbits(OBSERVATION_BITS)])

    def _is_same_time(self, crash, endpoint, crashed_at):
        return (
            crash.endpoint == endpoint
            and abs(crash.crashed_at - crashed_at) < SAME_CRASH_S
        )

    def _add_crash(self, crash):
        """Add a crash, or merge it with an earlier report of the same one.

        Returns
        -------
        bool
            Whether the evidence has changed.
        """
        known = [
            c for c in self._crashes if c.observations & crash.observations
        ] or [
            c
            for c in self._crashes
            if self._is_same_time(c, crash.endpoint, crash.crashed_at)
        ]
        merged = functools.reduce(crash_evidence.merge, [*known, crash])
        self._crashes = [c for c in self._crashes if c not in known]
        self._crashes.append(merged)
        self._crashes.sort(key=lambda c: (c.crashed_at, c.endpoint))
        del self._crashes[:-MAX_CRASHES]
        return len(known) != 1 or merged.requests != known[0].requests

    def _update(self, now):
        sound_since = self._all_sound_since()
        previous = self.quarantines
        suspects = crash_evidence.find_suspects(
            self._crashes, sound_since, self._min_evidence
        )
        self.quarantines = {}
        kept = []
        for part, (evidence, crashes) in suspects.items():
            expires_at = crashes[-1].crashed_at + self._duration_s(part)
            if now < expires_at:
                kept.extend(crashes)
                self.quarantines[part] = quarantines.Quarantine(
                    part,
                    evidence,
                    tuple(crashes),
                    expires_at,
                )
        for part in previous.keys() - self.quarantines.keys():
            self._end_quarantine(previous[part], now)
        for part in self.quarantines.keys() - previous.keys():
            self._log_quarantine(self.quarantines[part], now)
        self._crashes = [
            crash
            for crash in self._crashes
            if crash in kept or now - crash.crashed_at < CRASH_MAX_AGE_S
        ]
        self._suspected_parts = _parts_of(self._crashes)

    def _end_quarantine(self, quarantine, now):
        part = quarantine.part
        has_expired = now >= quarantine.expires_at
        if has_expired:
            self._set_quarantine_count(
                part, self._quarantine_counts.get(part, 0) + 1
            )
        logger.info(
            "query of death: released",
            part=part,
            why=(
                "no endpoint crashed for a while"
                if has_expired
                else "an answer or another part explains the crashes"
            ),
        )

    def _set_quarantine_count(self, part, count):
        _set_newest(
            self._quarantine_counts, part, count, MAX_QUARANTINED_BEFORE
        )

    def _log_quarantine(self, quarantine, now):
        self._on_quarantine()
        logger.warning(
            "query of death: quarantined",
            part=quarantine.part,
            evidence=quarantine.evidence,
            endpoints=",".join(quarantine.endpoints),
            expires_s=round(quarantine.expires_at - now, 1),
            earlier=self._quarantine_counts.get(quarantine.part, 0),
        )

    def _min_evidence(self, part):
        if part in self._quarantine_counts:
            return MIN_EVIDENCE_AGAIN
        if request_parts.is_whole(part) and (
            part in self._sound_since or part in self._sound_at_peers
        ):
            return MIN_EVIDENCE_ANSWERED
        return MIN_EVIDENCE

    def _duration_s(self, part):
        return min(
            MAX_QUARANTINE_S,
            CRASH_MAX_AGE_S * 2 ** self._quarantine_counts.get(part, 0),
        )

    def _all_sound_since(self):
        return {
            part: max(
                self._sound_since.get(part, -math.inf),
                self._sound_at_peers.get(part, -math.inf),
            )
            for part in _parts_of(self._crashes)
        }


def _parts_of(crashes):
    """Return the parts of all requests that may have caused crashes."""
    return {
        part
        for crash in crashes
        for request in crash.requests
        for part in request
    }


def _set_newest(values, name, value, max_size=MAX_SOUND_PARTS):
    """Raise a value of a dictionary that keeps its last-used names only."""
    values[name] = max(value, values.get(name, -math.inf))
    values.move_to_end(name)
    if len(values) > max_size:
        values.popitem(last=False)
