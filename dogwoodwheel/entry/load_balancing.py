"""Which endpoint gets a request.

Notes
-----
Load pattern: bursts of long prompts with parts in common, at engines
whose batches slow down as they fill, met by many entries at once that
know each other's requests in flight a beat late.
"""

import dataclasses
import random

from dogwoodwheel.membership import view

__all__ = [
    "EndpointLoad",
    "affinity_of",
    "best_endpoint",
    "time_to_first_event_s",
    "score",
]

# Prompt tokens that an engine reads in a second; the platform's engines
# read 38 to 45 thousand when they do nothing else.
PROMPT_TOKENS_PER_S = 30000.0

# Weights of the score, in requests in flight at an endpoint.
PROMPT_TOKENS_PER_REQUEST = 4000.0
OTHER_ZONE = 0.4
KEPT_PREFIX = 1.5
BAD_OUTCOMES = 20.0
COLD = 6.0
# Requests in flight by which a full batch weighs more.
FULL = 40.0
# Entries with the same view of two equal endpoints part at random.
JITTER = 0.3


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """What is in flight at an endpoint, from all entries.

    Parameters
    ----------
    requests, tokens : int
        Tokens are those of prompts that wait to be read.
    """

    requests: int = 0
    tokens: int = 0


def affinity_of(asked):
    """Return what requests with a common beginning have in common."""
    shared = asked.prompt_prefix[:-1] or asked.prompt_prefix
    return "/".join(
        [asked.model, asked.adapter, *(name for name, _ in shared)]
    )


def time_to_first_event_s(load, tokens):
    """Return the time to a request's first event at an engine, seconds.

    Parameters
    ----------
    load : Load
        What is in flight there before it.
    tokens : int
        Tokens of its prompt.
    """
    return (load.tokens + tokens) / PROMPT_TOKENS_PER_S


def score(endpoint, load, *, same_zone, has_affinity, failure_ratio, cold):
    """Return how unfavourable an endpoint is, in requests in flight.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    load : Load
    same_zone : bool
    kept : bool
        Whether it is the one that keeps such prompts.
    bad_part : float
        Part of its recent outcomes that were bad.
    cold : bool
    """
    total = load.requests + load.tokens / PROMPT_TOKENS_PER_REQUEST
    # Small endpoints fill sooner.
    total *= max(1.0, 64.0 / max(1, endpoint.slots)) ** 0.5
    if load.requests >= endpoint.slots:
        total += FULL
    total += 0.0 if same_zone else OTHER_ZONE
    total -= KEPT_PREFIX if has_affinity else 0.0
    total += BAD_OUTCOMES * failure_ratio
    total += COLD if cold else 0.0
    return total


def best_endpoint(candidates, affinity, scores, rng=random):
    """Return the most favourable endpoint.

    Parameters
    ----------
    candidates : sequence of str
        Names of endpoints; not empty.
    affinity : str
        What the request has in common with others; empty for nothing.
    scores : callable
        ``scores(name, kept)`` returns the score of an endpoint.
    rng : random.Random
    """
    keeper = None
    if affinity:
        keeper = min(candidates, key=lambda name: view.rank(name, affinity))
    return min(
        candidates,
        key=lambda name: scores(name, name == keeper) + rng.random() * JITTER,
    )
