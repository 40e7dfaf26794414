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

from dogwoodwheel.entry import choice
from dogwoodwheel.entry import cold
from dogwoodwheel.requests import refusals

__all__ = ["Need", "find", "load_s", "place"]

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
class Need:
    """What a request needs of an endpoint.

    Parameters
    ----------
    service : dogwoodwheel.entry.model.Service
    asked : dogwoodwheel.platform.http_headers.RequestHeaders
    until : float
        Time of trio's clock at which the answer must have begun.
    """

    service: object
    asked: object
    until: float

    @property
    def name(self):
        """``MODEL`` or ``MODEL/ADAPTER``; empty for a plain service."""
        asked = self.asked
        if asked.adapter:
            return f"{asked.model}/{asked.adapter}"
        return asked.model


async def place(parts, need, avoid):
    """Return the sighting of the endpoint that a request goes to.

    Parameters
    ----------
    parts : dogwoodwheel.entry.parts.Parts
    need : Need
    avoid : set of str
        Endpoints that this request was at.

    Raises
    ------
    RefusedError
        If no endpoint can answer it in time.
    """
    found = find(parts, need, avoid)
    if found is not None:
        return _admitted(parts, need, found)
    logger.info(
        "wait",
        id=need.asked.id,
        service=need.service.name,
        model=need.name,
        expected_s=round(min(_expected_s(parts, need), 999), 2),
        left_s=round(need.until - trio.current_time(), 2),
        scan_age_s=round(trio.current_time() - parts.knowledge.scanned_at, 1),
    )
    with parts.flights.wait_for(need.name or need.service.name):
        parts.board.hurry(to_all=False)
        began = trio.current_time()
        while True:
            waited_s = trio.current_time() - began
            wait_s = max(
                _expected_s(parts, need, waited_s), waited_s - OVERDUE_S
            )
            left_s = need.until - trio.current_time() - SERVICE_S
            if wait_s > left_s:
                raise _refused(parts, need, wait_s)
            with trio.move_on_after(min(POLL_S, left_s)):
                await parts.knowledge.wait()
            found = find(parts, need, avoid)
            if found is not None:
                return _admitted(parts, need, found)


def _admitted(parts, need, sighting):
    """Return an endpoint that answers in time; refuse at once if none.

    Notes
    -----
    Load pattern: more prompts than the engines read.  The endpoint is
    the best there is, so what it cannot answer in time nobody can, and
    a prompt that is read in vain delays all others.
    """
    name = sighting.endpoint.id
    now = trio.current_time()
    if need.service.engine is not None:
        tokens = need.asked.prompt_tokens
        wait_s = choice.first_event_s(parts.load(name), tokens)
        if now + wait_s > need.until:
            raise refusals.refused(
                "engines_full",
                f"the engines need {wait_s:.1f} s to come to this; come "
                f"back later",
                503,
                retry_after_s=wait_s / 2,
            )
    if now < sighting.cold_until:
        parts.allowance.use(name, now)
    return sighting


def load_s(knowledge, service, model_name):
    """Return how long the quickest load of a model takes, seconds.

    Parameters
    ----------
    knowledge : dogwoodwheel.entry.knowledge.Knowledge
    service : dogwoodwheel.entry.model.Service
    model_name : str
    """
    spec = service.engine.models.get(model_name)
    if spec is None:
        return math.inf
    quickest = math.inf
    for sighting in knowledge.usable(service.name):
        endpoint = sighting.endpoint
        if model_name in endpoint.in_memory:
            quickest = min(quickest, spec.memory_load_s)
        elif model_name in endpoint.on_disk:
            quickest = min(quickest, spec.disk_load_s)
        else:
            quickest = min(quickest, spec.store_load_s)
    return quickest


def find(parts, need, avoid):
    """Return the sighting of the best endpoint now, or None."""
    usable = parts.knowledge.usable(need.service.name)
    holders = {
        s.endpoint.id: s
        for s in usable
        if s.endpoint.id not in avoid and _holds(parts, need, s.endpoint.id)
    }
    now = trio.current_time()
    trusted = {
        name: s
        for name, s in holders.items()
        if not parts.suspicion.avoided(name, now)
    }
    # Where all are avoided, a doubtful endpoint is better than none.
    warm = {
        name: s
        for name, s in (trusted or holders).items()
        if _bears(parts, need, s, now)
    }
    if not warm:
        return None

    loads = parts.loads(warm)

    def scores(name, kept):
        sighting = warm[name]
        return choice.score(
            sighting.endpoint,
            loads[name],
            same_zone=sighting.endpoint.zone == parts.settings.zone,
            kept=kept,
            bad_part=parts.suspicion.bad_part(name, now),
            cold=now < sighting.cold_until,
        )

    affinity = choice.affinity_of(need.asked) if need.asked.model else ""
    return warm[choice.best(sorted(warm), affinity, scores)]


def _holds(parts, need, endpoint):
    asked = need.asked
    if need.service.engine is None or not asked.model:
        return True
    if parts.is_missing(endpoint, need.name):
        return False
    if parts.suspicion.is_down(endpoint, trio.current_time()):
        return False
    held = parts.knowledge.models(endpoint).get(asked.model)
    if held is None:
        return False
    return not asked.adapter or asked.adapter in held.adapters


def _bears(parts, need, sighting, now):
    """Tell whether an endpoint that may be cold may get a request."""
    per_s = need.service.cold_per_s
    if now >= sighting.cold_until or not per_s:
        return True
    name = sighting.endpoint.id
    return cold.may_use(
        parts.settings.name, parts.entries(), name, per_s
    ) and parts.allowance.allows(name, now)


def _expected_s(parts, need, waited_s=0.0):
    """Return the time until an endpoint can take a request, seconds.

    Notes
    -----
    A load from the weight store that was not begun at once is not going
    to begin soon: others go before it.
    """
    usable = parts.knowledge.usable(need.service.name)
    if not usable:
        return math.inf
    if need.service.engine is None or not need.asked.model:
        return 0.0
    names = [s.endpoint.id for s in usable]
    held = any(
        need.asked.model in parts.knowledge.models(name) for name in names
    )
    if held:
        return ADAPTER_S if need.asked.adapter else 0.0
    seconds = load_s(parts.knowledge, need.service, need.asked.model)
    coming = parts.knowledge.coming_since(need.asked.model)
    elapsed_s = 0.0 if coming is None else trio.current_time() - coming
    # A load that takes far longer than it should was lost.
    if coming is not None and elapsed_s < LOST_FACTOR * seconds + ORDER_S:
        return max(0.0, seconds - elapsed_s)
    begun_late = waited_s > BEGUN_S and seconds > LONG_LOAD_S
    return math.inf if begun_late else seconds + ORDER_S


def _refused(parts, need, wait_s):
    if need.asked.model:
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
