"""Selects the endpoint that a request is sent to.

Notes
-----
Workload: demand moves to models that no engine holds.  A request waits for
its model to be loaded only if the request can be answered in time afterwards.
Otherwise the request is refused at once, with the expected load time.
"""

import dataclasses
import math

from loguru import logger
import trio

from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import endpoint_waits
from dogwoodwheel.entry import limit_waits
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import load_waits
from dogwoodwheel.requests import refusals

__all__ = [
    "Requirements",
    "min_load_s",
    "named_wait_s",
    "select_endpoint",
    "wait_for_endpoint",
]

# Minimum time that an endpoint is assumed to need for an answer, seconds.
MIN_ANSWER_TIME_S = 0.15
# Time to load an adapter, seconds.
ADAPTER_LOAD_S = 0.05
# Maximum time between two attempts to select an endpoint, seconds.
MAX_POLL_INTERVAL_S = 0.25
MIN_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request requires of the endpoint that handles it.

    Parameters
    ----------
    service : dogwoodwheel.entry.datatypes.Service
    request_headers : dogwoodwheel.platform.http_headers.RequestHeaders
    deadline : float
        Time of trio's clock by which the answer must have begun.
    target_latency_s : float
        Time within which the answer should begin, seconds.
    """

    service: object
    request_headers: object
    deadline: float
    target_latency_s: float = math.inf

    @property
    def model_and_adapter(self):
        """``MODEL`` or ``MODEL/ADAPTER``; empty if no model is requested."""
        request_headers = self.request_headers
        if request_headers.adapter:
            return f"{request_headers.model}/{request_headers.adapter}"
        return request_headers.model

    @property
    def waiting_name(self):
        """Name under which the request is counted while it waits."""
        return self.model_and_adapter or self.service.name


async def wait_for_endpoint(components, requirements, excluded):
    """Wait for an endpoint that can handle a request, and return it.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    requirements : Requirements
    excluded : set of str
        Endpoints that this request was already sent to.

    Returns
    -------
    dogwoodwheel.entry.fleet_state.TrackedEndpoint

    Raises
    ------
    RefusedError
        If no endpoint can answer the request in time.
    """
    selected = select_endpoint(components, requirements, excluded)
    if selected is not None:
        return _check_deadline(components, requirements, selected)
    logger.info(
        "wait",
        id=requirements.request_headers.id,
        service=requirements.service.name,
        model=requirements.model_and_adapter,
        expected_s=round(
            min(_expected_wait_s(components, requirements), 999), 2
        ),
        left_s=round(requirements.deadline - trio.current_time(), 2),
        scan_age_s=round(
            trio.current_time() - components.fleet_state.scanned_at, 1
        ),
    )
    with components.request_counts.count_waiting(requirements.waiting_name):
        components.heartbeats.send_soon(to_all=False)
        began_at = trio.current_time()
        while True:
            waited_s = trio.current_time() - began_at
            left_s = (
                requirements.deadline - trio.current_time() - MIN_ANSWER_TIME_S
            )
            hold_s = _check_wait(components, requirements, waited_s, left_s)
            poll_s = min(MAX_POLL_INTERVAL_S, left_s)
            if hold_s:
                poll_s = min(poll_s, max(hold_s, MIN_POLL_INTERVAL_S))
            with trio.move_on_after(poll_s):
                await components.fleet_state.wait_for_change()
            selected = select_endpoint(components, requirements, excluded)
            if selected is not None:
                return _check_deadline(components, requirements, selected)


def _check_wait(components, requirements, waited_s, left_s):
    """Return for how long endpoints hold a request back, or refuse it.

    The time is in seconds; 0 if another reason keeps the request waiting.
    """
    named_s = named_wait_s(components, requirements)
    if named_s > MIN_POLL_INTERVAL_S:
        endpoint_waits.check_wait(requirements, named_s, waited_s, left_s)
        return named_s
    wait_s = load_waits.time_needed_s(
        _expected_wait_s(components, requirements, waited_s), waited_s
    )
    if wait_s > left_s:
        raise _no_endpoint_refusal(components, requirements, wait_s)
    limit_s = _limit_wait_s(components, requirements)
    if limit_s > MIN_POLL_INTERVAL_S:
        max_wait_s = limit_waits.max_wait_s(requirements.target_latency_s)
        limit_waits.check_wait(
            requirements.waiting_name,
            limit_s,
            min(left_s, max_wait_s - waited_s),
        )
    return limit_s


def _check_deadline(components, requirements, tracked_endpoint):
    """Return the endpoint, or refuse a request that would miss its deadline.

    Notes
    -----
    Workload: more prompts than the engines can process.  The given endpoint
    is the best for the request, so no other endpoint can answer in time.
    Prompts of requests that miss their deadline would delay the others.
    """
    endpoint_name = tracked_endpoint.endpoint.id
    now = trio.current_time()
    if requirements.service.engine is not None:
        prompt_tokens = requirements.request_headers.prompt_tokens
        wait_s = load_balancing.time_to_first_event_s(
            components.endpoint_load(endpoint_name), prompt_tokens
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
        components.cold_limiter.record_request(endpoint_name, now)
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
    model_spec = service.engine.models.get(model_name)
    if model_spec is None:
        return math.inf
    shortest_s = math.inf
    for tracked_endpoint in fleet_state.usable_endpoints(service.name):
        endpoint = tracked_endpoint.endpoint
        if model_name in endpoint.memory_weights:
            shortest_s = min(shortest_s, model_spec.memory_load_s)
        elif model_name in endpoint.disk_weights:
            shortest_s = min(shortest_s, model_spec.disk_load_s)
        else:
            shortest_s = min(shortest_s, model_spec.store_load_s)
    return shortest_s


def select_endpoint(components, requirements, excluded):
    """Return the best endpoint that can take a request now, or None.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    requirements : Requirements
    excluded : set of str
        Endpoints that must not be selected.

    Returns
    -------
    dogwoodwheel.entry.fleet_state.TrackedEndpoint or None
    """
    usable = components.fleet_state.usable_endpoints(requirements.service.name)
    holders = {
        tracked.endpoint.id: tracked
        for tracked in usable
        if tracked.endpoint.id not in excluded
        and not components.endpoint_waits.wait_s(
            tracked.endpoint, trio.current_time()
        )
        and _meets_requirements(components, requirements, tracked.endpoint.id)
    }
    now = trio.current_time()
    healthy_holders = {
        name: tracked
        for name, tracked in holders.items()
        if not components.outlier_detector.is_ejected(name, now)
    }
    # If all endpoints are ejected, an ejected endpoint is better than none.
    candidates = {
        name: tracked
        for name, tracked in (healthy_holders or holders).items()
        if _cold_limit_allows(components, requirements, tracked, now)
        and components.endpoint_limits.allows(
            name, now, components.refill_fraction()
        )
    }
    if not candidates:
        return None

    loads = components.endpoint_loads(candidates)

    def get_cost(name, has_affinity):
        tracked_endpoint = candidates[name]
        return load_balancing.endpoint_cost(
            tracked_endpoint.endpoint,
            loads[name],
            same_zone=(
                tracked_endpoint.endpoint.zone == components.settings.zone
            ),
            has_affinity=has_affinity,
            failure_ratio=components.outlier_detector.failure_ratio(name, now),
            is_cold=now < tracked_endpoint.cold_until,
            is_limited=(components.endpoint_limits.limit(name) is not None),
        )

    prefix_key = (
        load_balancing.affinity_key(requirements.request_headers)
        if requirements.request_headers.model
        else ""
    )
    return candidates[
        load_balancing.best_endpoint(sorted(candidates), prefix_key, get_cost)
    ]


def _meets_requirements(components, requirements, endpoint):
    """Return whether an endpoint has loaded a request's model and adapter."""
    request_headers = requirements.request_headers
    if requirements.service.engine is None or not request_headers.model:
        return True
    if components.is_missing(endpoint, requirements.model_and_adapter):
        return False
    if components.outlier_detector.is_unreachable(
        endpoint, trio.current_time()
    ):
        return False
    loaded_model = components.fleet_state.models(endpoint).get(
        request_headers.model
    )
    if loaded_model is None:
        return False
    return (
        not request_headers.adapter
        or request_headers.adapter in loaded_model.adapters
    )


def _cold_limit_allows(components, requirements, tracked_endpoint, now):
    """Return whether the cold limit, if any, permits a request now."""
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

    The time is in seconds, or infinite if no endpoint is expected to take
    the request, which has already waited for `waited_s` seconds.
    """
    usable = components.fleet_state.usable_endpoints(requirements.service.name)
    if not usable:
        return math.inf
    if (
        requirements.service.engine is None
        or not requirements.request_headers.model
    ):
        return 0.0
    endpoint_names = [tracked.endpoint.id for tracked in usable]
    is_loaded = any(
        requirements.request_headers.model
        in components.fleet_state.models(name)
        for name in endpoint_names
    )
    if is_loaded:
        return ADAPTER_LOAD_S if requirements.request_headers.adapter else 0.0
    loading_since = components.fleet_state.loading_since(
        requirements.request_headers.model
    )
    return load_waits.expected_load_s(
        load_waits.ModelLoad(
            load_s=min_load_s(
                components.fleet_state,
                requirements.service,
                requirements.request_headers.model,
            ),
            elapsed_s=(
                None
                if loading_since is None
                else trio.current_time() - loading_since
            ),
        ),
        waited_s,
    )


def _suited_endpoints(components, requirements):
    """Return the usable endpoints that can handle a request."""
    return [
        tracked.endpoint
        for tracked in components.fleet_state.usable_endpoints(
            requirements.service.name
        )
        if _meets_requirements(components, requirements, tracked.endpoint.id)
    ]


def _limit_wait_s(components, requirements):
    """Return the expected time for which limits hold a request back.

    The time is in seconds; requests that wait for the same are assumed to be
    sent first.  0 if no endpoint is suited, as then no limit is the reason.
    """
    now = trio.current_time()
    waits = components.endpoint_waits
    limits = components.endpoint_limits
    suited = _suited_endpoints(components, requirements)
    wanting = [e.id for e in suited if not waits.wait_s(e, now)]
    if not wanting or any(limits.limit(name) is None for name in wanting):
        return 0.0
    limit_s = limits.wait_s(
        wanting,
        now,
        components.refill_fraction(),
        max(1, components.waiting_count(requirements.waiting_name)),
    )
    return min(
        [limit_s]
        + [waits.wait_s(e, now) for e in suited if e.id not in wanting]
    )


def named_wait_s(components, requirements):
    """Return the time until a suited endpoint wants requests, seconds.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    requirements : Requirements

    Returns
    -------
    float
        0 unless all suited endpoints have named a wait.
    """
    return components.endpoint_waits.shortest_wait_s(
        _suited_endpoints(components, requirements), trio.current_time()
    )


def _no_endpoint_refusal(components, requirements, wait_s):
    if requirements.request_headers.model:
        retry_after_s = load_waits.retry_after_s(wait_s)
        return refusals.refused(
            "no_replica",
            f"{requirements.model_and_adapter} is at no endpoint and takes "
            f"{retry_after_s:.1f} s to load; come back then",
            503,
            retry_after_s=retry_after_s,
        )
    return refusals.refused(
        "no_endpoint",
        f"no endpoint of {requirements.service.name} may receive work; "
        f"come back",
        503,
        retry_after_s=load_waits.MIN_RETRY_AFTER_S,
    )
