"""Computes costs of endpoints; selects the best endpoint for a request.

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
    "endpoint_cost",
    "time_to_first_event_s",
]

# Prompt tokens that an engine is assumed to process per second.  The
# platform's engines process 38000 to 45000 per second if otherwise idle.
PROMPT_TOKENS_PER_S = 30000.0

# Number of unprocessed prompt tokens that cost as much as a request in flight.
PROMPT_TOKENS_PER_REQUEST = 4000.0
# Further terms of an endpoint's cost, expressed in requests in flight.
OTHER_ZONE_PENALTY = 0.4
PREFIX_AFFINITY_BONUS = 1.5
FAILURE_PENALTY = 20.0
COLD_PENALTY = 6.0
LIMIT_PENALTY = 3.0
FULL_BATCH_PENALTY = 40.0
# Maximum random addition to a cost, so that entries that compute equal costs
# for several endpoints do not all select the same endpoint.
MAX_JITTER = 0.3


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Requests in flight at an endpoint, summed over all entries.

    Parameters
    ----------
    requests : int
        Number of requests in flight.
    tokens : int
        Prompt tokens that the endpoint has not yet processed.
    """

    requests: int = 0
    tokens: int = 0


def affinity_key(request_headers):
    """Return a key that is the same for prompts with a common prefix."""
    shared_prefix = (
        request_headers.prompt_prefix[:-1] or request_headers.prompt_prefix
    )
    return "/".join(
        [
            request_headers.model,
            request_headers.adapter,
            *(name for name, _ in shared_prefix),
        ]
    )


def time_to_first_event_s(load, prompt_tokens):
    """Return the expected time to a request's first event, seconds.

    Parameters
    ----------
    load : EndpointLoad
        Requests in flight at the engine, without the given request.
    prompt_tokens : int
        Length of the request's prompt in tokens.
    """
    return (load.tokens + prompt_tokens) / PROMPT_TOKENS_PER_S


def endpoint_cost(
    endpoint,
    load,
    *,
    same_zone,
    has_affinity,
    failure_ratio,
    is_cold,
    is_limited=False,
):
    """Return the cost of sending a request to an endpoint.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    load : EndpointLoad
    same_zone : bool
        Whether the endpoint is in this entry's availability zone.
    has_affinity : bool
        Whether the endpoint is preferred for the prefix of the prompt.
    failure_ratio : float
        Fraction of the endpoint's recent outcomes that were failures.
    is_cold : bool
        Whether the endpoint registered less than its `cold_s` ago.
    is_limited : bool
        Whether the endpoint names a limit of its requests.

    Returns
    -------
    float
        Cost, expressed in requests in flight.
    """
    cost = load.requests + load.tokens / PROMPT_TOKENS_PER_REQUEST
    # An endpoint with few slots fills its batch sooner.
    cost *= max(1.0, 64.0 / max(1, endpoint.slots)) ** 0.5
    if load.requests >= endpoint.slots:
        cost += FULL_BATCH_PENALTY
    cost += 0.0 if same_zone else OTHER_ZONE_PENALTY
    cost -= PREFIX_AFFINITY_BONUS if has_affinity else 0.0
    cost += FAILURE_PENALTY * failure_ratio
    cost += COLD_PENALTY if is_cold else 0.0
    cost += LIMIT_PENALTY if is_limited else 0.0
    return cost


def best_endpoint(candidates, prefix_key, get_cost, rng=random):
    """Return the name of the endpoint with the lowest cost.

    Parameters
    ----------
    candidates : sequence of str
        Names of endpoints; not empty.
    prefix_key : str
        The request's `affinity_key`; empty if no endpoint is preferred.
    get_cost : callable
        ``get_cost(name, has_affinity)`` returns the cost of the
        endpoint `name`; the endpoint with the lowest cost is selected.
    rng : random.Random
        Source of the random additions.
    """
    preferred = None
    if prefix_key:
        preferred = min(
            candidates,
            key=lambda name: view.rendezvous_score(name, prefix_key),
        )
    return min(
        candidates,
        key=lambda name: (
            get_cost(name, name == preferred) + rng.random() * MAX_JITTER
        ),
    )
