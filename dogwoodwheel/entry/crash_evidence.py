"""Finds the parts of requests that best explain crashes of endpoints.

Notes
-----
Workload: as for `query_of_death`.  A crash breaks off many sound requests
together with the one that caused it, and requests share most of their parts.
"""

import collections
import dataclasses
import math
import zlib

from dogwoodwheel.entry import request_parts

__all__ = [
    "Crash",
    "FULL_EVIDENCE",
    "PARTIAL_EVIDENCE",
    "find_suspects",
    "merge",
]

# Evidence that a crash gives against the parts of a request: full if the
# endpoint had begun an answer without an event, otherwise partial.  Against
# the whole request, it is also full if no other one can have been the cause.
FULL_EVIDENCE = 1.0
PARTIAL_EVIDENCE = 0.5
# Number of requests that are remembered of a crash, strongest evidence first.
MAX_REQUESTS_PER_CRASH = 8
# Number of observations that are remembered of a crash.
MAX_OBSERVATIONS = 32


@dataclasses.dataclass(frozen=True)
class Crash:
    """The crash of an endpoint, with the requests that it may be due to.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint's process instance.
    crashed_at : float
        Time of trio's clock.
    requests : dict of tuple of str to float
        Evidence against each request that was in flight, by its parts, the
        whole request being the last one.
    observations : frozenset of int
        Random numbers, one of each entry that observed the crash.  Two
        reports with a common number describe the same crash, whatever their
        times: a heartbeat may be read long after it was sent, and the clock
        of a VM stands still while the VM is suspended.
    """

    endpoint: str
    crashed_at: float
    requests: dict
    observations: frozenset = frozenset()


def find_suspects(crashes, sound_since, min_evidence):
    """Return the parts of requests that best explain a set of crashes.

    Parameters
    ----------
    crashes : sequence of Crash
    sound_since : dict of str to float
        By part: time of the newest event of an answer to a request with it.
        Crashes before that time are no evidence against the part.
    min_evidence : callable
        ``min_evidence(part)`` returns the required sum of evidence.

    Returns
    -------
    dict of str to (float, list of Crash)
        By part: the evidence and the crashes that the part explains.
        A crash that one part explains does not count for others.

    Notes
    -----
    Takes time proportional to the number of parts of all requests, times
    the number of parts found.

    Examples
    --------
    >>> crashes = [
    ...     Crash("a", 1.0, {("shared", "x"): 1.0, ("shared", "y"): 0.5}),
    ...     Crash("b", 2.0, {("shared", "x"): 1.0, ("other", "z"): 0.5}),
    ... ]
    >>> list(find_suspects(crashes, {}, lambda part: 2.0))
    ['x']
    """
    suspects = {}
    unexplained = list(crashes)
    while unexplained:
        evidence = collections.Counter()
        depths = {}
        for crash in unexplained:
            parts = _evidence_of(crash, sound_since)
            for part, (weight, depth) in parts.items():
                evidence[part] += weight
                depths[part] = max(depth, depths.get(part, 0))
        found = [
            part for part in evidence if evidence[part] >= min_evidence(part)
        ]
        if not found:
            return suspects
        # The name makes all entries choose the same part.
        suspect = max(
            found, key=lambda part: (evidence[part], depths[part], part)
        )
        explained = [
            crash
            for crash in unexplained
            if suspect in _evidence_of(crash, sound_since)
        ]
        suspects[suspect] = (evidence[suspect], explained)
        unexplained = [c for c in unexplained if c not in explained]
    return suspects


def _evidence_of(crash, sound_since):
    """Return the evidence and position of each part that is not sound."""

    def is_sound(part):
        return sound_since.get(part, -math.inf) > crash.crashed_at

    suspected = {
        request: weight
        for request, weight in crash.requests.items()
        if not is_sound(request[-1])
    }
    is_only_one = len(suspected) == 1
    parts = {}
    for request, weight in suspected.items():
        for depth, part in enumerate(request):
            if is_sound(part):
                continue
            if is_only_one and request_parts.is_whole(part):
                weight = FULL_EVIDENCE
            previous = parts.get(part, (0.0, 0))
            parts[part] = max(previous, (weight, depth))
    return parts


def merge(known, crash):
    """Return one crash from two reports, with the strongest evidence.

    Notes
    -----
    Of equally strong evidence, each crash keeps other requests, so that the
    same request is not lost each time; all entries keep the same ones.
    """
    requests = dict(known.requests)
    for request, weight in crash.requests.items():
        requests[request] = max(weight, requests.get(request, 0.0))

    def rank(item):
        request, weight = item
        text = "/".join((known.endpoint, *request))
        return -weight, zlib.crc32(text.encode())

    strongest = sorted(requests.items(), key=rank)
    return Crash(
        known.endpoint,
        min(known.crashed_at, crash.crashed_at),
        dict(strongest[:MAX_REQUESTS_PER_CRASH]),
        # All entries keep the same numbers.
        frozenset(
            sorted(known.observations | crash.observations)[:MAX_OBSERVATIONS]
        ),
    )
