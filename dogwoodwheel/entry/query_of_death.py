"""Quarantines prompt sections that crash every engine that answers them.

Notes
-----
Workload: one section of a prompt, a query of death, crashes each engine that
begins an answer to it.  Requests with the section arrive at all entries,
share customers and other sections with sound requests, and differ in
everything else.  Each crash also breaks off all sound requests that the engine
is running, and retries carry the crash to the next engine.

Every entry collects the crashes that it and its peers have observed, with the
prompts of the requests that were in flight, and decides alone.  A section is
quarantined once enough crashes are best explained by it.  Of sections that
explain the crashes equally well, the last one of the prompt is chosen, since
the fewest sound requests share it.  An answer to a section proves the section
sound and dismisses the crashes before it.  Crashes are forgotten after some
time, which ends the quarantine; a section that then crashes another engine is
quarantined again after fewer crashes and for longer.
"""

import collections
import functools
import math
import random

from loguru import logger

from dogwoodwheel.entry import crash_evidence
from dogwoodwheel.entry import quarantines

__all__ = ["QueryOfDeathDetector"]

# Evidence that a crash gives against the sections of a prompt: full if the
# engine had begun an answer without an event, partial if the request was
# still waiting or had just received its first event.
FULL_EVIDENCE = 1.0
PARTIAL_EVIDENCE = 0.5
# Evidence against a section that is required for its quarantine, and against
# a section that has been quarantined before.
MIN_EVIDENCE = 2.0
MIN_EVIDENCE_AGAIN = 1.0
# Number of events after which an answer proves its prompt sound.
SOUND_EVENTS = 2
# Observations of the same endpoint within this time are of the same crash.
SAME_CRASH_S = 1.5
OBSERVATION_BITS = 32
# A crash is forgotten after CRASH_MAX_AGE_S.  Each earlier quarantine of a
# section doubles the time for its crashes, up to MAX_QUARANTINE_S.
CRASH_MAX_AGE_S = 60.0
MAX_QUARANTINE_S = 3600.0
MAX_REPORTED_AGE_S = quarantines.REPORTED_FRACTION * CRASH_MAX_AGE_S
# A time that a peer reports again may differ by this from the earlier report.
MAX_DELAY_JITTER_S = 0.1
# Upper limits of what one entry remembers and reports.
MAX_CRASHES = 64
MAX_REPORTED_CRASHES = 16
MAX_SOUND_SECTIONS = 4096
MAX_QUARANTINED_BEFORE = 256


class QueryOfDeathDetector:
    """Collects crashes of engines, and quarantines what explains them.

    Parameters
    ----------
    on_quarantine : callable
        Called without arguments for each section that is quarantined.

    Attributes
    ----------
    quarantines : dict of str to Quarantine
        By section.
    """

    def __init__(self, on_quarantine=lambda: None):
        self.quarantines = {}
        self._on_quarantine = on_quarantine
        self._crashes = []
        # Times at which sections were proved sound, here and at peers.
        self._sound_since = collections.OrderedDict()
        self._sound_at_peers = collections.OrderedDict()
        # Number of ended quarantines by section.
        self._quarantine_counts = collections.OrderedDict()

    def record_crash(self, endpoint, sections, has_begun, now):
        """Record that an engine crashed while a request was in flight.

        Parameters
        ----------
        endpoint : str
        sections : tuple of str
            Shared sections of the request's prompt; not empty.
        has_begun : bool
            Whether an answer had begun and had no event yet.
        now : float
            Current time of trio's clock, seconds.
        """
        weight = FULL_EVIDENCE if has_begun else PARTIAL_EVIDENCE
        self._add_crash(
            crash_evidence.Crash(
                endpoint,
                now,
                {tuple(sections): weight},
                self._observation(endpoint, now),
            )
        )
        self._update(now)

    def record_sound(self, sections, answered_at):
        """Record an answer to a prompt.

        Parameters
        ----------
        sections : tuple of str
            Shared sections of the prompt.
        answered_at : float
            Time of the answer's first event.
        """
        for section in sections:
            _set_newest(self._sound_since, section, answered_at)
        if any(section in self.quarantines for section in sections):
            self._update(answered_at)

    def find_quarantine(self, sections, now):
        """Return the `Quarantine` of one of the sections, or None."""
        if not self.quarantines:
            return None
        for section in sections:
            quarantine = self.quarantines.get(section)
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
            Endpoint, age in seconds, pairs of evidence and sections, and
            observations.
        sound_sections : dict of str to float
            Age in seconds of the newest answer, by section of these crashes.
        earlier_quarantines : dict of str to int
            By section that is quarantined: number of earlier quarantines.
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
        sections = {
            section
            for crash in crashes
            for prompt in crash.prompts
            for section in prompt
        }
        return (
            tuple(
                (
                    crash.endpoint,
                    round(now - crash.crashed_at, 3),
                    tuple((w, p) for p, w in crash.prompts.items()),
                    tuple(sorted(crash.observations)),
                )
                for crash in crashes[-MAX_REPORTED_CRASHES:]
            ),
            {
                section: round(now - self._sound_since[section], 3)
                for section in sections
                if section in self._sound_since
            },
            {
                quarantine.section: self._quarantine_counts[quarantine.section]
                for quarantine in reported
                if quarantine.section in self._quarantine_counts
            },
        )

    def record_peer_report(
        self, crashes, sound_sections, earlier_quarantines, now
    ):
        """Add what a peer reported; the parameters are those of `report`."""
        if not crashes and not sound_sections:
            return
        has_changed = False
        for section, count in earlier_quarantines.items():
            if count > self._quarantine_counts.get(section, 0):
                self._set_quarantine_count(section, count)
                has_changed = True
        for endpoint, age_s, prompts, observations in crashes:
            if age_s < MAX_QUARANTINE_S:
                has_changed |= self._add_crash(
                    crash_evidence.Crash(
                        endpoint,
                        now - age_s,
                        {tuple(p): weight for weight, p in prompts},
                        frozenset(observations),
                    )
                )
        for section, age_s in sound_sections.items():
            known_at = self._sound_at_peers.get(section, -math.inf)
            has_changed |= now - age_s > known_at + MAX_DELAY_JITTER_S
            _set_newest(self._sound_at_peers, section, now - age_s)
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
        return len(known) != 1 or merged.prompts != known[0].prompts

    def _update(self, now):
        sound_since = self._all_sound_since()
        previous = self.quarantines
        suspects = crash_evidence.find_suspects(
            self._crashes, sound_since, self._min_evidence
        )
        self.quarantines = {}
        kept = []
        for section, (evidence, crashes) in suspects.items():
            expires_at = crashes[-1].crashed_at + self._duration_s(section)
            if now < expires_at:
                kept.extend(crashes)
                self.quarantines[section] = quarantines.Quarantine(
                    section,
                    evidence,
                    tuple(crashes),
                    expires_at,
                )
        for section in previous.keys() - self.quarantines.keys():
            self._end_quarantine(previous[section], now)
        for section in self.quarantines.keys() - previous.keys():
            self._log_quarantine(self.quarantines[section], now)
        self._crashes = [
            crash
            for crash in self._crashes
            if crash in kept or now - crash.crashed_at < CRASH_MAX_AGE_S
        ]

    def _end_quarantine(self, quarantine, now):
        section = quarantine.section
        has_expired = now >= quarantine.expires_at
        if has_expired:
            self._set_quarantine_count(
                section, self._quarantine_counts.get(section, 0) + 1
            )
        logger.info(
            "query of death: released",
            section=section,
            why=(
                "no engine crashed for a while"
                if has_expired
                else "an answer or another section explains the crashes"
            ),
        )

    def _set_quarantine_count(self, section, count):
        _set_newest(
            self._quarantine_counts, section, count, MAX_QUARANTINED_BEFORE
        )

    def _log_quarantine(self, quarantine, now):
        self._on_quarantine()
        logger.warning(
            "query of death: quarantined",
            section=quarantine.section,
            evidence=quarantine.evidence,
            endpoints=",".join(quarantine.endpoints),
            expires_s=round(quarantine.expires_at - now, 1),
            earlier=self._quarantine_counts.get(quarantine.section, 0),
        )

    def _min_evidence(self, section):
        if section in self._quarantine_counts:
            return MIN_EVIDENCE_AGAIN
        return MIN_EVIDENCE

    def _duration_s(self, section):
        return min(
            MAX_QUARANTINE_S,
            CRASH_MAX_AGE_S * 2 ** self._quarantine_counts.get(section, 0),
        )

    def _all_sound_since(self):
        return {
            section: max(
                self._sound_since.get(section, -math.inf),
                self._sound_at_peers.get(section, -math.inf),
            )
            for section in {
                section
                for crash in self._crashes
                for prompt in crash.prompts
                for section in prompt
            }
        }


def _set_newest(values, name, value, max_size=MAX_SOUND_SECTIONS):
    """Raise a value of a dictionary that keeps its last-used names only."""
    values[name] = max(value, values.get(name, -math.inf))
    values.move_to_end(name)
    if len(values) > max_size:
        values.popitem(last=False)
