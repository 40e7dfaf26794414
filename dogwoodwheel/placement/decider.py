"""Decides on which endpoints models have replicas."""

import dataclasses
import math
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.placement import catalog
from dogwoodwheel.placement import placer
from dogwoodwheel.placement import records
from dogwoodwheel.placement import replica_maintenance
from dogwoodwheel.placement import replica_usage
from dogwoodwheel.wire import messages

__all__ = ["Decider"]

RECORD_FRESH_S = 1.0
ANSWER_TIMEOUT_S = 2.0
DECISION_TIMEOUT_S = 30.0
# How long one decision retries while the platform is out.
OUTAGE_RETRY_S = 1.5
# After failed retries, decisions try the platform just once for this long.
OUTAGE_HOLD_S = 1.0
# First pause while the platform is out, and maximum pause after a conflict.
BACKOFF_S = 0.05
CAPACITY_POLL_S = 0.1
RETRY_AFTER_S = 2.0
# Fraction of a deadline that is kept for sending the answer.
DEADLINE_MARGIN = 0.1


@dataclasses.dataclass(frozen=True)
class ModelPlacement:
    """Placement of one model, as last read from the table.

    Parameters
    ----------
    record : dogwoodwheel.placement.records.ModelRecord
    active : tuple of str
        Endpoints with a replica of the declared version that is not to
        be unloaded.
    read_at : float
        Time of the read, seconds on trio's clock.
    """

    record: records.ModelRecord
    active: tuple
    read_at: float


class PendingDecision:
    """A decision in progress, shared by all requests that wait for it.

    Attributes
    ----------
    result : tuple of str, messages.Refusal or None
        Endpoints, best first, or the refusal; None without a decision.
    """

    def __init__(self):
        self.result = None
        self.finished = trio.Event()


class Decider:
    """Decides the placement of the models that hash to this entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    rng : random.Random, optional

    Notes
    -----
    Concurrent requests for one model share one decision, which continues
    even if all of them time out.  Two entries may both believe that they
    are the decider of a model; each commit checks the versions of both
    rows, so they cannot decide the same replica twice.

    A known placement is returned at once and read again in the
    background, so neither a slow platform nor an outage delays requests
    for a model that is already placed.  If the placement has changed
    meanwhile, the owner of the endpoint refuses the request.
    """

    def __init__(self, fleet, table, rng=None):
        self.fleet = fleet
        self.table = table
        self.rng = rng or random.Random()
        self.catalog = catalog.Catalog(fleet)
        self.usage_tracker = replica_usage.UsageTracker()
        self.placer = placer.Placer(fleet, table)
        self.placements = {}
        self._pending_decisions = {}
        self._outage_until = -math.inf
        self._nursery = None
        self._started = trio.Event()

    async def run(self):
        """Run decisions and replica maintenance until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._started.set()
            nursery.start_soon(
                replica_maintenance.ReplicaMaintenance(self).run
            )

    async def ensure(self, request):
        """Return endpoints that hold or load a model.

        Parameters
        ----------
        request : dogwoodwheel.wire.messages.Ensure

        Returns
        -------
        messages.Ensured or messages.Refusal
            Within `ANSWER_TIMEOUT_S`.  After a refusal with the code
            ``endpoint_unavailable`` the caller may retry at once.
        """
        if self.catalog.model(request.model) is None:
            return _refusal(
                "unknown_model",
                f"{request.model} is not declared; see GET /v1/models",
                status=404,
            )
        active = self._cached_endpoints(request)
        if active:
            self._refresh(request)
            return self._ensured(request, active)
        budget_s = request.deadline_s * (1 - DEADLINE_MARGIN)
        result = None
        with trio.move_on_after(max(0.0, min(budget_s, ANSWER_TIMEOUT_S))):
            await self._started.wait()
            pending = self._join_decision(request)
            await pending.finished.wait()
            result = pending.result
        if isinstance(result, messages.Refusal):
            return result
        if result:
            return self._ensured(request, result)
        return self._refuse_undecided(request)

    async def record_usage(self, msg):
        """Record a usage report on a replica."""
        self.usage_tracker.record_usage(msg, trio.current_time())

    async def decided_endpoints(self, model):
        """Return the names of the endpoints decided for a model.

        Raises
        ------
        PlatformError
        """
        record = await records.read_model(self.table, model)
        return record.endpoints

    async def read(self, name):
        """Read the rows of a model and of its endpoints.

        Returns
        -------
        placement : ModelPlacement
        down : set of str
            Endpoints of the model that are recorded as not answering.

        Raises
        ------
        PlatformError
        """
        model = self.catalog.model(name)
        read_at = trio.current_time()
        record = await records.read_model(self.table, name)
        active = []
        down = set()
        for endpoint in filter(self.catalog.usable, record.endpoints):
            endpoint_record = await records.read_endpoint(self.table, endpoint)
            if endpoint_record.down:
                down.add(endpoint)
            replica = endpoint_record.replicas.get(name)
            if replica is None or replica.state == records.UNLOAD:
                continue
            if model is None or replica.version == model.version:
                active.append(endpoint)
        active.sort(key=lambda endpoint: endpoint in down)
        self.placements[name] = ModelPlacement(record, tuple(active), read_at)
        return self.placements[name], down

    def _cached_endpoints(self, request):
        placement = self.placements.get(request.model)
        if placement is None:
            return ()
        active = tuple(filter(self.catalog.usable, placement.active))
        return active if set(active) - set(request.avoid) else ()

    def _refresh(self, request):
        placement = self.placements[request.model]
        now = trio.current_time()
        stale = now - placement.read_at > RECORD_FRESH_S
        if stale and now > self._outage_until and self._nursery is not None:
            self._join_decision(request)

    def _ensured(self, request, names):
        ordered = sorted(
            names,
            key=lambda name: (
                name in request.avoid,
                self.usage_tracker.waiting(request.model, name),
            ),
        )
        return messages.Ensured(0, tuple(ordered))

    def _refuse_undecided(self, request):
        if trio.current_time() < self._outage_until:
            return self._refuse_without_platform(request.model)
        return _refusal(
            "endpoint_unavailable",
            f"no place for {request.model} yet; try again",
            retry_after_s=RETRY_AFTER_S,
        )

    def _join_decision(self, request):
        pending = self._pending_decisions.get(request.model)
        if pending is None:
            pending = self._pending_decisions[request.model] = (
                PendingDecision()
            )
            self._nursery.start_soon(self._run_decision, pending, request)
        return pending

    async def _run_decision(self, pending, request):
        try:
            with trio.move_on_after(DECISION_TIMEOUT_S):
                pending.result = await self._decide(request)
        finally:
            del self._pending_decisions[request.model]
            pending.finished.set()

    async def _decide(self, request):
        """Return endpoints or a refusal, without a time limit of its own.

        Notes
        -----
        While the platform is known to be out, it is tried only once, so
        that the refusal is returned without the delay of retries.
        """
        now = trio.current_time()
        retry_until = now + (
            0.0 if now < self._outage_until else OUTAGE_RETRY_S
        )
        backoff_s = BACKOFF_S
        while True:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S * 3):
                    result = await self._attempt(request)
                if result is not None:
                    return result
                await trio.sleep(CAPACITY_POLL_S * self.rng.uniform(0.5, 1.5))
            except exceptions.ConflictError:
                self.fleet.metrics.count_conflict()
                await trio.sleep(self.rng.uniform(0, BACKOFF_S))
            except (exceptions.PlatformError, trio.TooSlowError) as exc:
                logger.warning("placement: platform is out: {}", exc)
                active = self._cached_endpoints(request)
                if active:
                    return active
                if trio.current_time() + backoff_s > retry_until:
                    self._outage_until = trio.current_time() + OUTAGE_HOLD_S
                    return self._refuse_without_platform(request.model)
                await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
                backoff_s *= 2

    async def _attempt(self, request):
        """Return endpoints or a refusal; None if the caller should retry."""
        model = self.catalog.model(request.model)
        if model is None:
            return _refusal("unknown_model", f"{request.model} was removed")
        base = self.catalog.base(request.model)
        base_endpoints = None
        if base:
            reply = await self._ensure_base(request, base)
            if isinstance(reply, messages.Refusal):
                return reply
            base_endpoints = reply.endpoints
        placement, down = await self.read(request.model)
        active = placement.active
        if set(active) - set(request.avoid) - down:
            return active
        usable_endpoints = [
            n for n in placement.record.endpoints if self.catalog.usable(n)
        ]
        if len(set(usable_endpoints) - down) < model.max_replicas:
            record = await self.placer.add_replica(
                model, base, base_endpoints, placement.record
            )
            if record is not None:
                active = (record.endpoints[-1], *active)
                now = trio.current_time()
                self.placements[request.model] = ModelPlacement(
                    record, active, now
                )
                return active
        if active:
            return active
        if not usable_endpoints and not self.catalog.fits_any_endpoint(model):
            return _refusal(
                "no_memory",
                f"no endpoint in use is large enough for {model.name}; "
                f"add one, or take a zone in",
                retry_after_s=RETRY_AFTER_S,
            )
        return None

    async def _ensure_base(self, request, base):
        decider = self.fleet.view.decider_of(base)
        msg = messages.Ensure(0, base, request.deadline_s, request.avoid)
        try:
            return await self.fleet.call(decider, msg, 2 * ANSWER_TIMEOUT_S)
        except exceptions.PeerError:
            return _refusal(
                "endpoint_unavailable",
                f"the decider of {base} does not answer; try again",
                retry_after_s=RETRY_AFTER_S,
            )

    def _refuse_without_platform(self, model):
        return _refusal(
            "platform_unavailable",
            f"{model} is not loaded, and its load cannot be recorded "
            f"while the platform is out; try again later",
            retry_after_s=RETRY_AFTER_S,
        )


def _refusal(code, message, status=503, retry_after_s=0.0):
    return messages.Refusal(
        id=0,
        code=code,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
    )
