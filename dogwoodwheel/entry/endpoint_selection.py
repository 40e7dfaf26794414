"""Finding an endpoint for a request, or the time until there is one.

Notes
-----
Load pattern: demand moves to models that no engine holds.  A request
waits for a load only where it can still be answered after it; one that
cannot is refused at once, with the time at which the model is there.
"""

import dataclasses
import math

from loguru import logger
import trio

from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.requests import refusals

__all__ = ["Requirements", "select_endpoint", "load_s", "wait_for_endpoint"]

# Time that a request takes at an engine once it is there, at least.
SERVICE_S = 0.15
# Time of an order around the load itself.
ORDER_S = 0.3
# A request that has waited so much longer than it has time left gives up
# hope, whatever is expected.
OVERDUE_S = 0.5
# A load that takes longer than the one begins within the other, if at all.
LONG_LOAD_S = 2.0
BEGUN_S = 0.6
# A load that has taken so many times what it should counts as lost.
LOST_FACTOR = 1.5
# Time to load an adapter.
ADAPTER_S = 0.05
# Retry-After where a model waits for others to be loaded, seconds: about
# half a load from the weight store.
UNPLACED_RETRY_S = 3.0
# Retry-After where nothing tells when there will be room.
UNKNOWN_RETRY_S = 0.5
POLL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request needs of an endpoint.

    Parameters
    ----------
    service : dogwoodwheel.entry.datatypes.Service
    asked : dogwoodwheel.platform.http_headers.RequestHeaders
    until : float
        Time of trio's clock at which the answer must have begun.
    """

    service: object
    request_headers: object
    deadline: float

    @property
    def name(self):
        """``MODEL`` or ``MODEL/ADAPTER``; empty for a plain service."""
        asked = self.request_headers
        if asked.adapter:
            return f"{asked.model}/{asked.adapter}"
        return asked.model


async def wait_for_endpoint(components, need, avoid):
    """Return the tracked endpoint that a request goes to.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    need : Need
    avoid : set of str
        Endpoints that this request was at.

    Raises
    ------
    RefusedError
        If no endpoint can answer it in time.
    """
    found = select_endpoint(components, need, avoid)
    if found is not None:
        return _admitted(components, need, found)
    logger.info(
        "wait",
        id=need.request_headers.id,
        service=need.service.name,
        model=need.name,
        expected_s=round(min(_expected_s(components, need), 999), 2),
        left_s=round(need.deadline - trio.current_time(), 2),
        scan_age_s=round(
            trio.current_time() - components.fleet_state.scanned_at, 1
        ),
    )
    with components.request_counts.count_waiting(
        need.name or need.service.name
    ):
        components.heartbeats.send_soon(to_all=False)
        began = trio.current_time()
        while True:
            waited_s = trio.current_time() - began
            wait_s = max(
                _expected_s(components, need, waited_s), waited_s - OVERDUE_S
            )
            left_s = need.deadline - trio.current_time() - SERVICE_S
            if wait_s > left_s:
                raise _refused(components, need, wait_s)
            with trio.move_on_after(min(POLL_S, left_s)):
                await components.fleet_state.wait_for_change()
            found = select_endpoint(components, need, avoid)
            if found is not None:
                return _admitted(components, need, found)


def _admitted(components, need, tracked_endpoint):
    """Return an endpoint that answers in time; refuse at once if none.

    Notes
    -----
    Load pattern: more prompts than the engines read.  The endpoint is
    the best there is, so what it cannot answer in time nobody can, and
    a prompt that is read in vain delays all others.
    """
    name = tracked_endpoint.endpoint.id
    now = trio.current_time()
    if need.service.engine is not None:
        tokens = need.request_headers.prompt_tokens
        wait_s = load_balancing.time_to_first_event_s(
            components.load(name), tokens
        )
        if now + wait_s > need.deadline:
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


def load_s(fleet_state, service, model_name):
    """Return how long the quickest load of a model takes, seconds.

    Parameters
    ----------
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    service : dogwoodwheel.entry.datatypes.Service
    model_name : str
    """
    spec = service.engine.models.get(model_name)
    if spec is None:
        return math.inf
    quickest = math.inf
    for tracked_endpoint in fleet_state.usable(service.name):
        endpoint = tracked_endpoint.endpoint
        if model_name in endpoint.in_memory:
            quickest = min(quickest, spec.memory_load_s)
        elif model_name in endpoint.on_disk:
            quickest = min(quickest, spec.disk_load_s)
        else:
            quickest = min(quickest, spec.store_load_s)
    return quickest


def select_endpoint(components, need, avoid):
    """Return the best tracked endpoint now, or None."""
    usable = components.fleet_state.usable(need.service.name)
    holders = {
        s.endpoint.id: s
        for s in usable
        if s.endpoint.id not in avoid
        and _holds(components, need, s.endpoint.id)
    }
    now = trio.current_time()
    trusted = {
        name: s
        for name, s in holders.items()
        if not components.outlier_detector.is_ejected(name, now)
    }
    # Where all are avoided, a doubtful endpoint is better than none.
    warm = {
        name: s
        for name, s in (trusted or holders).items()
        if _bears(components, need, s, now)
    }
    if not warm:
        return None

    loads = components.loads(warm)

    def scores(name, has_affinity):
        tracked_endpoint = warm[name]
        return load_balancing.score(
            tracked_endpoint.endpoint,
            loads[name],
            same_zone=tracked_endpoint.endpoint.zone
            == components.settings.zone,
            has_affinity=has_affinity,
            failure_ratio=components.outlier_detector.failure_ratio(name, now),
            cold=now < tracked_endpoint.cold_until,
        )

    affinity = (
        load_balancing.affinity_of(need.request_headers)
        if need.request_headers.model
        else ""
    )
    return warm[load_balancing.best_endpoint(sorted(warm), affinity, scores)]


def _holds(components, need, endpoint):
    asked = need.request_headers
    if need.service.engine is None or not asked.model:
        return True
    if components.is_missing(endpoint, need.name):
        return False
    if components.outlier_detector.is_down(endpoint, trio.current_time()):
        return False
    held = components.fleet_state.models(endpoint).get(asked.model)
    if held is None:
        return False
    return not asked.adapter or asked.adapter in held.adapters


def _bears(components, need, tracked_endpoint, now):
    """Tell whether an endpoint that may be cold may get a request."""
    per_s = need.service.cold_requests_per_s
    if now >= tracked_endpoint.cold_until or not per_s:
        return True
    name = tracked_endpoint.endpoint.id
    return cold_start.is_assigned(
        components.settings.name, components.entries(), name, per_s
    ) and components.cold_limiter.allows(name, now)


def _expected_s(components, need, waited_s=0.0):
    """Return the time until an endpoint can take a request, seconds.

    Notes
    -----
    A load from the weight store that was not begun at once is not going
    to begin soon: others go before it.
    """
    usable = components.fleet_state.usable(need.service.name)
    if not usable:
        return math.inf
    if need.service.engine is None or not need.request_headers.model:
        return 0.0
    names = [s.endpoint.id for s in usable]
    held = any(
        need.request_headers.model in components.fleet_state.models(name)
        for name in names
    )
    if held:
        return ADAPTER_S if need.request_headers.adapter else 0.0
    seconds = load_s(
        components.fleet_state, need.service, need.request_headers.model
    )
    coming = components.fleet_state.loading_since(need.request_headers.model)
    elapsed_s = 0.0 if coming is None else trio.current_time() - coming
    # A load that takes far longer than it should was lost.
    if coming is not None and elapsed_s < LOST_FACTOR * seconds + ORDER_S:
        return max(0.0, seconds - elapsed_s)
    begun_late = waited_s > BEGUN_S and seconds > LONG_LOAD_S
    return math.inf if begun_late else seconds + ORDER_S


def _refused(components, need, wait_s):
    if need.request_headers.model:
        if wait_s == math.inf:
            wait_s = UNPLACED_RETRY_S
        return refusals.refused(
            "no_replica",
            f"{need.name} is at no endpoint and takes {wait_s:.1f} s to "
            f"load; come back then",
            503,
            retry_after_s=max(wait_s, UNKNOWN_RETRY_S),
        )
    return refusals.refused(
        "no_endpoint",
        f"no endpoint of {need.service.name} may receive work; come back",
        503,
        retry_after_s=UNKNOWN_RETRY_S,
    )
