"""Selects the endpoint that a request is sent to.

Notes
-----
Workload: demand moves to models that no engine holds.  A request waits
for the load of its model only if it can still be answered afterwards;
otherwise it is refused at once, with the time until the model is loaded.
"""

import dataclasses
import math

from loguru import logger
import trio

from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.requests import refusals

__all__ = [
    "Requirements",
    "min_load_s",
    "select_endpoint",
    "wait_for_endpoint",
]

# Minimum time that an endpoint needs to answer a request, seconds.
MIN_SERVICE_S = 0.15
# Time of the order for a load, besides the load itself, seconds.
ORDER_S = 0.3
# A request is refused once it has waited longer than its remaining time
# plus this, whatever load time is expected, seconds.
OVERDUE_S = 0.5
# A load that takes longer than LONG_LOAD_S is not expected in time if it has
# not begun LOAD_START_S after the request began to wait, seconds.
LONG_LOAD_S = 2.0
LOAD_START_S = 0.6
# A load that has run for this multiple of its expected time counts as lost.
LOST_LOAD_FACTOR = 1.5
# Time to load an adapter, seconds.
ADAPTER_LOAD_S = 0.05
# Retry-After if a model must wait for other loads, seconds: about half the
# time of a load from the weight store.
UNPLACED_RETRY_S = 3.0
# Minimum Retry-After, used if the time of the next free endpoint is
# unknown, seconds.
MIN_RETRY_S = 0.5
# Maximum pause between two checks for an endpoint, seconds.
POLL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request requires of an endpoint.

    Parameters
    ----------
    service : dogwoodwheel.entry.datatypes.Service
    request_headers : dogwoodwheel.platform.http_headers.RequestHeaders
    deadline : float
        Time of trio's clock by which the answer must have begun.
    """

    service: object
    request_headers: object
    deadline: float

    @property
    def name(self):
        """``MODEL`` or ``MODEL/ADAPTER``; empty for a plain service."""
        request_headers = self.request_headers
        if request_headers.adapter:
            return f"{request_headers.model}/{request_headers.adapter}"
        return request_headers.model


async def wait_for_endpoint(components, requirements, avoid):
    """Return the endpoint that a request is sent to, when there is one.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    requirements : Requirements
    avoid : set of str
        Endpoints that this request was already sent to.

    Returns
    -------
    dogwoodwheel.entry.fleet_state.TrackedEndpoint

    Raises
    ------
    RefusedError
        If no endpoint can answer the request in time.
    """
    selected = select_endpoint(components, requirements, avoid)
    if selected is not None:
        return _check_deadline(components, requirements, selected)
    logger.info(
        "wait",
        id=requirements.request_headers.id,
        service=requirements.service.name,
        model=requirements.name,
        expected_s=round(
            min(_expected_wait_s(components, requirements), 999), 2
        ),
        left_s=round(requirements.deadline - trio.current_time(), 2),
        scan_age_s=round(
            trio.current_time() - components.fleet_state.scanned_at, 1
        ),
    )
    with components.request_counts.count_waiting(
        requirements.name or requirements.service.name
    ):
        components.heartbeats.send_soon(to_all=False)
        began = trio.current_time()
        while True:
            waited_s = trio.current_time() - began
            wait_s = max(
                _expected_wait_s(components, requirements, waited_s),
                waited_s - OVERDUE_S,
            )
            left_s = (
                requirements.deadline - trio.current_time() - MIN_SERVICE_S
            )
            if wait_s > left_s:
                raise _refusal(components, requirements, wait_s)
            with trio.move_on_after(min(POLL_S, left_s)):
                await components.fleet_state.wait_for_change()
            selected = select_endpoint(components, requirements, avoid)
            if selected is not None:
                return _check_deadline(components, requirements, selected)


def _check_deadline(components, requirements, tracked_endpoint):
    """Return the endpoint, or refuse the request if it would be late.

    Notes
    -----
    Workload: more prompts than the engines can process.  The endpoint is
    the best one for the request, so no other can answer it in time
    either, and processing a prompt in vain delays all other requests.
    """
    name = tracked_endpoint.endpoint.id
    now = trio.current_time()
    if requirements.service.engine is not None:
        tokens = requirements.request_headers.prompt_tokens
        wait_s = load_balancing.time_to_first_event_s(
            components.endpoint_load(name), tokens
        )
        if now + wait_s > requirements.deadline:
            raise refusals.refused(
                "engines_full",
                f"the engines need {wait_s:.1f} s to come to this; come "
                f"back later",
                503,
                retry_after_s=wait_s / 2,
            )
    if now < tracked_endpoint.cold_until:
        components.cold_limiter.record_request(name, now)
    return tracked_endpoint


def min_load_s(fleet_state, service, model_name):
    """Return the shortest time in which an engine can load a model.

    Parameters
    ----------
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    service : dogwoodwheel.entry.datatypes.Service
    model_name : str

    Returns
    -------
    float
        Seconds; infinite if no engine may load the model.
    """
    spec = service.engine.models.get(model_name)
    if spec is None:
        return math.inf
    shortest_s = math.inf
    for tracked_endpoint in fleet_state.usable_endpoints(service.name):
        endpoint = tracked_endpoint.endpoint
        if model_name in endpoint.in_memory:
            shortest_s = min(shortest_s, spec.memory_load_s)
        elif model_name in endpoint.on_disk:
            shortest_s = min(shortest_s, spec.disk_load_s)
        else:
            shortest_s = min(shortest_s, spec.store_load_s)
    return shortest_s


def select_endpoint(components, requirements, avoid):
    """Return the best endpoint that can take a request now, or None.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    requirements : Requirements
    avoid : set of str
        Endpoints that must not be selected.

    Returns
    -------
    dogwoodwheel.entry.fleet_state.TrackedEndpoint or None
    """
    usable = components.fleet_state.usable_endpoints(requirements.service.name)
    holders = {
        tracked.endpoint.id: tracked
        for tracked in usable
        if tracked.endpoint.id not in avoid
        and _meets(components, requirements, tracked.endpoint.id)
    }
    now = trio.current_time()
    healthy = {
        name: tracked
        for name, tracked in holders.items()
        if not components.outlier_detector.is_ejected(name, now)
    }
    # If all endpoints are ejected, an unreliable one is better than none.
    candidates = {
        name: tracked
        for name, tracked in (healthy or holders).items()
        if _cold_limit_allows(components, requirements, tracked, now)
    }
    if not candidates:
        return None

    loads = components.endpoint_loads(candidates)

    def scores(name, has_affinity):
        tracked_endpoint = candidates[name]
        return load_balancing.score(
            tracked_endpoint.endpoint,
            loads[name],
            same_zone=(
                tracked_endpoint.endpoint.zone == components.settings.zone
            ),
            has_affinity=has_affinity,
            failure_ratio=components.outlier_detector.failure_ratio(name, now),
            cold=now < tracked_endpoint.cold_until,
        )

    affinity = (
        load_balancing.affinity_key(requirements.request_headers)
        if requirements.request_headers.model
        else ""
    )
    return candidates[
        load_balancing.best_endpoint(sorted(candidates), affinity, scores)
    ]


def _meets(components, requirements, endpoint):
    """Return whether an endpoint holds what a request requires."""
    request_headers = requirements.request_headers
    if requirements.service.engine is None or not request_headers.model:
        return True
    if components.is_missing(endpoint, requirements.name):
        return False
    if components.outlier_detector.is_unreachable(
        endpoint, trio.current_time()
    ):
        return False
    loaded = components.fleet_state.models(endpoint).get(request_headers.model)
    if loaded is None:
        return False
    return (
        not request_headers.adapter
        or request_headers.adapter in loaded.adapters
    )


def _cold_limit_allows(components, requirements, tracked_endpoint, now):
    """Return whether an endpoint is warm or may take a request if cold."""
    requests_per_s = requirements.service.cold_requests_per_s
    if now >= tracked_endpoint.cold_until or not requests_per_s:
        return True
    name = tracked_endpoint.endpoint.id
    return cold_start.is_assigned(
        components.settings.name,
        components.entry_names(),
        name,
        requests_per_s,
    ) and components.cold_limiter.allows(name, now)


def _expected_wait_s(components, requirements, waited_s=0.0):
    """Return the expected time until an endpoint can take a request.

    The time is in seconds, and infinite if no endpoint is expected to take
    the request, which has already waited for `waited_s`.

    Notes
    -----
    A load from the weight store that has not begun soon after the request
    is unlikely to begin in time: loads of other models precede it.
    """
    usable = components.fleet_state.usable_endpoints(requirements.service.name)
    if not usable:
        return math.inf
    if (
        requirements.service.engine is None
        or not requirements.request_headers.model
    ):
        return 0.0
    names = [tracked.endpoint.id for tracked in usable]
    is_held = any(
        requirements.request_headers.model
        in components.fleet_state.models(name)
        for name in names
    )
    if is_held:
        return ADAPTER_LOAD_S if requirements.request_headers.adapter else 0.0
    seconds = min_load_s(
        components.fleet_state,
        requirements.service,
        requirements.request_headers.model,
    )
    loading_since = components.fleet_state.loading_since(
        requirements.request_headers.model
    )
    elapsed_s = (
        0.0 if loading_since is None else trio.current_time() - loading_since
    )
    # A load that takes far longer than expected counts as lost.
    if (
        loading_since is not None
        and elapsed_s < LOST_LOAD_FACTOR * seconds + ORDER_S
    ):
        return max(0.0, seconds - elapsed_s)
    not_in_time = waited_s > LOAD_START_S and seconds > LONG_LOAD_S
    return math.inf if not_in_time else seconds + ORDER_S


def _refusal(components, requirements, wait_s):
    if requirements.request_headers.model:
        if wait_s == math.inf:
            wait_s = UNPLACED_RETRY_S
        return refusals.refused(
            "no_replica",
            f"{requirements.name} is at no endpoint and takes {wait_s:.1f} s "
            f"to load; come back then",
            503,
            retry_after_s=max(wait_s, MIN_RETRY_S),
        )
    return refusals.refused(
        "no_endpoint",
        f"no endpoint of {requirements.service.name} may receive work; "
        f"come back",
        503,
        retry_after_s=MIN_RETRY_S,
    )
