"""Scores endpoints, and picks the best one for a request.

Notes
-----
Workload: bursts of long prompts that share prefixes, at engines that slow
down as their batches fill.  Many entries send requests at the same time
and learn of each other's requests in flight one heartbeat late.
"""

import dataclasses
import random

from dogwoodwheel.membership import view

__all__ = [
    "EndpointLoad",
    "affinity_key",
    "best_endpoint",
    "score",
    "time_to_first_event_s",
]

# Prompt tokens that an engine is assumed to process in a second; the
# platform's engines process 38000 to 45000 if they do nothing else.
PROMPT_TOKENS_PER_S = 30000.0

# Unprocessed prompt tokens that weigh as much as one request in flight.
PROMPT_TOKENS_PER_REQUEST = 4000.0
# Further terms of the score, in requests in flight at the endpoint.
OTHER_ZONE_PENALTY = 0.4
PREFIX_AFFINITY_BONUS = 1.5
FAILURE_PENALTY = 20.0
COLD_PENALTY = 6.0
FULL_BATCH_PENALTY = 40.0
# Maximum random addition to a score, which makes entries with the same data
# choose differently between equal endpoints.
MAX_JITTER = 0.3


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Requests in flight at an endpoint, from all entries.

    Parameters
    ----------
    requests : int
    tokens : int
        Tokens of the prompts that the endpoint has not yet processed.
    """

    requests: int = 0
    tokens: int = 0


def affinity_key(request_headers):
    """Return a key that is equal for requests with a common prefix."""
    shared = (
        request_headers.prompt_prefix[:-1] or request_headers.prompt_prefix
    )
    return "/".join(
        [
            request_headers.model,
            request_headers.adapter,
            *(name for name, _ in shared),
        ]
    )


def time_to_first_event_s(load, tokens):
    """Return the time to a request's first event at an engine, seconds.

    Parameters
    ----------
    load : EndpointLoad
        Requests in flight at the engine, without this one.
    tokens : int
        Tokens of the request's prompt.
    """
    return (load.tokens + tokens) / PROMPT_TOKENS_PER_S


def score(endpoint, load, *, same_zone, has_affinity, failure_ratio, cold):
    """Return the cost of an endpoint, in requests in flight.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    load : EndpointLoad
    same_zone : bool
        Whether the endpoint is in this entry's availability zone.
    has_affinity : bool
        Whether the endpoint is the preferred one for the prompt's prefix.
    failure_ratio : float
        Fraction of the endpoint's recent outcomes that were failures.
    cold : bool
    """
    total = load.requests + load.tokens / PROMPT_TOKENS_PER_REQUEST
    # The batch of a small endpoint fills sooner.
    total *= max(1.0, 64.0 / max(1, endpoint.slots)) ** 0.5
    if load.requests >= endpoint.slots:
        total += FULL_BATCH_PENALTY
    total += 0.0 if same_zone else OTHER_ZONE_PENALTY
    total -= PREFIX_AFFINITY_BONUS if has_affinity else 0.0
    total += FAILURE_PENALTY * failure_ratio
    total += COLD_PENALTY if cold else 0.0
    return total


def best_endpoint(candidates, affinity, scores, rng=random):
    """Return the endpoint with the lowest score.

    Parameters
    ----------
    candidates : sequence of str
        Names of endpoints; not empty.
    affinity : str
        Key of the request's prefix, see `affinity_key`; empty for none.
    scores : callable
        ``scores(name, has_affinity)`` returns the score of an endpoint.
    rng : random.Random
    """
    preferred = None
    if affinity:
        preferred = min(
            candidates, key=lambda name: view.rendezvous_score(name, affinity)
        )
    return min(
        candidates,
        key=lambda name: (
            scores(name, name == preferred) + rng.random() * MAX_JITTER
        ),
    )
