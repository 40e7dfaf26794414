"""Finds the prompt sections that best explain crashes of engines.

Notes
-----
Workload: as for `query_of_death`.  A crash breaks off many sound requests
together with the one that caused it, and prompts share most of their sections.
"""

import collections
import dataclasses
import math
import zlib

__all__ = ["Crash", "find_suspects", "merge"]

# Number of prompts that are remembered of a crash, strongest evidence first.
MAX_PROMPTS_PER_CRASH = 8
# Number of observations that are remembered of a crash.
MAX_OBSERVATIONS = 32


@dataclasses.dataclass(frozen=True)
class Crash:
    """The crash of an engine, with the prompts it may have died of.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint's process instance.
    crashed_at : float
        Time of trio's clock.
    prompts : dict of tuple of str to float
        Evidence against each prompt, by the prompt's shared sections.
    observations : frozenset of int
        Random numbers, one of each entry that observed the crash.  Two
        reports with a common number describe the same crash, whatever their
        times: a heartbeat may be read long after it was sent, and the clock
        of a VM stands still while the VM is suspended.
    """

    endpoint: str
    crashed_at: float
    prompts: dict
    observations: frozenset = frozenset()


def find_suspects(crashes, sound_since, min_evidence):
    """Return the sections that best explain a set of crashes.

    Parameters
    ----------
    crashes : sequence of Crash
    sound_since : dict of str to float
        By section: time of the newest event of an answer to the section.
        Crashes before that time are no evidence against the section.
    min_evidence : callable
        ``min_evidence(section)`` returns the required sum of evidence.

    Returns
    -------
    dict of str to (float, list of Crash)
        By section: the evidence and the crashes that the section explains.
        A crash that one section explains does not count for others.

    Notes
    -----
    Takes time proportional to the number of sections in all prompts, times
    the number of sections found.

    Examples
    --------
    >>> crashes = [
    ...     Crash("a", 1.0, {("shared", "x"): 1.0, ("shared", "y"): 0.5}),
    ...     Crash("b", 2.0, {("shared", "x"): 1.0, ("other", "z"): 0.5}),
    ... ]
    >>> list(find_suspects(crashes, {}, lambda section: 2.0))
    ['x']
    """
    suspects = {}
    unexplained = list(crashes)
    while unexplained:
        evidence = collections.Counter()
        depths = {}
        for crash in unexplained:
            sections = _evidence_of(crash, sound_since)
            for section, (weight, depth) in sections.items():
                evidence[section] += weight
                depths[section] = max(depth, depths.get(section, 0))
        found = [s for s in evidence if evidence[s] >= min_evidence(s)]
        if not found:
            return suspects
        # The name makes all entries choose the same section.
        suspect = max(found, key=lambda s: (evidence[s], depths[s], s))
        explained = [
            crash
            for crash in unexplained
            if suspect in _evidence_of(crash, sound_since)
        ]
        suspects[suspect] = (evidence[suspect], explained)
        unexplained = [c for c in unexplained if c not in explained]
    return suspects


def _evidence_of(crash, sound_since):
    """Return the evidence and position of each section that is not sound."""
    sections = {}
    for prompt, weight in crash.prompts.items():
        for depth, section in enumerate(prompt):
            if sound_since.get(section, -math.inf) > crash.crashed_at:
                continue
            previous = sections.get(section, (0.0, 0))
            sections[section] = max(previous, (weight, depth))
    return sections


def merge(known, crash):
    """Return one crash from two reports, with the strongest evidence.

    Notes
    -----
    Of equally strong evidence, each crash keeps other prompts, so that the
    same prompt is not lost each time; all entries keep the same ones.
    """
    prompts = dict(known.prompts)
    for prompt, weight in crash.prompts.items():
        prompts[prompt] = max(weight, prompts.get(prompt, 0.0))

    def rank(item):
        prompt, weight = item
        text = "/".join((known.endpoint, *prompt))
        return -weight, zlib.crc32(text.encode())

    strongest = sorted(prompts.items(), key=rank)
    return Crash(
        known.endpoint,
        min(known.crashed_at, crash.crashed_at),
        dict(strongest[:MAX_PROMPTS_PER_CRASH]),
        # All entries keep the same numbers.
        frozenset(
            sorted(known.observations | crash.observations)[:MAX_OBSERVATIONS]
        ),
    )
