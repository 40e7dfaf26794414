"""Decides the replicas of models."""

import dataclasses
import math
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.placement import choice
from dogwoodwheel.placement import idle
from dogwoodwheel.placement import records
from dogwoodwheel.wire import messages

__all__ = ["Decider"]

FRESH_S = 1.0
DECIDE_S = 5.0
JITTER_S = 0.05
TRIES = 6
TICK_S = 1.0
WAIT_S = 0.1
RETRY_AFTER_S = 2.0
SPARE_PART = 0.1


@dataclasses.dataclass(frozen=True)
class Known:
    """A model's row as read last."""

    record: records.ModelRecord
    read_at: float


class Flight:
    """One decision that several requests wait for."""

    def __init__(self):
        self.result = None
        self.ended = trio.Event()


class Decider:
    """Decider of the models that hash to this entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.platform.table.Table
    rng : random.Random, optional

    Notes
    -----
    Requests for one model that come together share one decision.  The
    versions of both rows keep two entries that both take themselves for
    the decider from deciding twice.  A row that was read within
    `FRESH_S` is used again; in an outage of the platform any row read
    before is, so that what was decided goes on.
    """

    def __init__(self, fleet, table, rng=None):
        self.fleet = fleet
        self.table = table
        self.rng = rng or random.Random()
        self.usages = idle.Usages()
        self._known = {}
        self._flights = {}

    async def run(self):
        """Unload idle replicas and add busy ones, until cancelled."""
        while True:
            await trio.sleep(TICK_S * self.rng.uniform(0.8, 1.2))
            try:
                await self._unload_idle()
                await self._add_busy()
            except exceptions.PlatformError as exc:
                logger.warning("placement: not recorded: {}", exc)

    async def ensure(self, ask):
        """Return endpoints that hold or load a model.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ensure

        Returns
        -------
        messages.Ensured or messages.Refusal
        """
        model = self._model(ask.model)
        if model is None:
            return _refusal(
                "unknown_model",
                f"{ask.model} is not declared; see GET /v1/models",
                status=404,
            )
        known = self._fresh(ask)
        if known is not None:
            return known
        left_s = ask.deadline_s * (1 - SPARE_PART)
        with trio.move_on_after(max(left_s, 0)):
            return await self._shared(ask, model)
        return _refusal(
            "deadline",
            f"no place for {ask.model} within the deadline; try again",
            status=504,
            retry_after_s=RETRY_AFTER_S,
        )

    async def touch(self, msg):
        """Learn how much a replica is used."""
        self.usages.touch(msg, trio.current_time())

    async def decided(self, model):
        """Return the names of the endpoints decided for a model.

        Raises
        ------
        PlatformError
        """
        record = await records.read_model(self.table, model)
        return record.endpoints

    def _model(self, name):
        """Return what to place: an adapter looks like a small model."""
        declaration = self.fleet.view.declaration
        if declaration is None:
            return None
        adapter = declaration.adapters.get(name)
        if adapter is None:
            return declaration.models.get(name)
        base = declaration.models[adapter.base]
        return dataclasses.replace(
            base,
            name=name,
            version=adapter.version,
            size_mb=adapter.size_mb,
        )

    def _base(self, name):
        adapter = self.fleet.view.declaration.adapters.get(name)
        return adapter.base if adapter else ""

    def _fresh(self, ask):
        known = self._known.get(ask.model)
        if known is None or ask.avoid:
            return None
        if trio.current_time() - known.read_at > FRESH_S:
            return None
        return self._ensured(ask, known.record)

    def _ensured(self, ask, record):
        """Return the usable endpoints of a row, or None without one."""
        names = [name for name in record.endpoints if self._usable(name)]
        if not names:
            return None
        names.sort(
            key=lambda name: (
                name in ask.avoid,
                self.usages.waiting(ask.model, name),
            )
        )
        return messages.Ensured(0, tuple(names))

    def _usable(self, name):
        view = self.fleet.view
        endpoint = view.declaration.endpoints.get(name)
        return endpoint is not None and view.usable(endpoint)

    async def _shared(self, ask, model):
        while True:
            flight = self._flights.get(ask.model)
            if flight is None:
                return await self._lead(ask, model)
            await flight.ended.wait()
            if flight.result is not None:
                return flight.result

    async def _lead(self, ask, model):
        flight = self._flights[ask.model] = Flight()
        try:
            flight.result = await self._decide(ask, model)
            return flight.result
        finally:
            del self._flights[ask.model]
            flight.ended.set()

    async def _decide(self, ask, model):
        base = self._base(ask.model)
        hosts = None
        if base:
            reply = await self._ensure_base(ask, base)
            if isinstance(reply, messages.Refusal):
                return reply
            hosts = reply.endpoints
        for _ in range(TRIES):
            try:
                result = await self._attempt(ask, model, base, hosts)
                if result is not None:
                    return result
            except exceptions.ConflictError:
                self.fleet.metrics.conflicted()
                await trio.sleep(self.rng.uniform(0, JITTER_S))
            except exceptions.PlatformError:
                return self._without_platform(ask)
        return _refusal(
            "busy",
            f"the place of {ask.model} changes too often; try again",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _ensure_base(self, ask, base):
        decider = self.fleet.view.decider_of(base)
        msg = messages.Ensure(0, base, ask.deadline_s, ask.avoid)
        try:
            return await self.fleet.call(decider, msg, ask.deadline_s)
        except exceptions.PeerError:
            return _refusal(
                "busy",
                f"the decider of {base} does not answer; try again",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _attempt(self, ask, model, base, hosts):
        """Read the rows and answer; None to read them anew."""
        record = await self._read(ask.model)
        open_ = [name for name in record.endpoints if self._usable(name)]
        found = await self._records(record)
        good = [n for n in open_ if self._decided_at(found, n, model)]
        eager = [name for name in good if name not in ask.avoid]
        if eager:
            return self._ensured(
                ask, dataclasses.replace(record, endpoints=tuple(good))
            )
        counted = [n for n in open_ if not found[n].down]
        if len(counted) < model.max_replicas:
            added = await self._add(model, base, hosts, record)
            if added is not None:
                return added
        if good:
            return self._ensured(
                ask, dataclasses.replace(record, endpoints=tuple(good))
            )
        if counted:
            # Being unloaded; decide again once that is confirmed.
            await trio.sleep(WAIT_S)
            return await self._attempt(ask, model, base, hosts)
        return _refusal(
            "no_memory",
            f"no endpoint has memory for {model.name}; try again later",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _records(self, record):
        found = {}
        for name in record.endpoints:
            found[name] = await records.read_endpoint(self.table, name)
        return found

    def _decided_at(self, found, name, model):
        replica = found[name].replicas.get(model.name)
        return replica is not None and replica.state != records.UNLOAD

    async def _add(self, model, base, hosts, record):
        """Decide one more replica; None where no endpoint takes it."""
        view = self.fleet.view
        found = await records.scan_endpoints(self.table)
        endpoints = view.declaration.endpoints
        if hosts is not None:
            endpoints = {n: endpoints[n] for n in hosts if n in endpoints}
        candidates = choice.endpoints_for(
            model, endpoints, found, self._orderable, record.endpoints
        )
        for candidate in candidates:
            row = found.get(candidate.name)
            row = row or records.EndpointRecord(candidate.name)
            endpoint = endpoints[candidate.name]
            memory_mb = endpoint.memory_mb
            fits = row.reserved_mb + model.size_mb <= memory_mb
            replica = records.Replica(
                name=model.name,
                version=model.version,
                memory_mb=model.size_mb,
                state=records.LOAD if fits else records.WANT,
                base=base,
            )
            if base and base not in row.replicas:
                continue
            record, _ = await records.add(
                self.table, record, row, replica, memory_mb
            )
            logger.info(
                "placement: decided model={} endpoint={}",
                model.name,
                candidate.name,
            )
            self.fleet.metrics.decided()
            self._remember(record)
            await self._nudge(candidate.name)
            return messages.Ensured(0, (candidate.name,))
        return None

    def _orderable(self, endpoint):
        """Tell whether an endpoint may get work, and soon orders too."""
        view = self.fleet.view
        if not self._usable(endpoint.name):
            return False
        entry, holding = view.owner_of(endpoint.name)
        if entry is None:
            return False
        return endpoint.fencing or not holding.prior

    async def _nudge(self, endpoint):
        """Tell the owner that its record changed."""
        entry, _ = self.fleet.view.owner_of(endpoint)
        if entry is not None:
            await self.fleet.tell(entry.name, messages.Nudge(0, endpoint))

    async def _read(self, model):
        record = await records.read_model(self.table, model)
        self._remember(record)
        return record

    def _remember(self, record):
        self._known[record.name] = Known(record, trio.current_time())

    def _without_platform(self, ask):
        known = self._known.get(ask.model)
        if known is not None:
            result = self._ensured(ask, known.record)
            if result is not None:
                return result
        return _refusal(
            "platform_unavailable",
            f"{ask.model} is not loaded and its load cannot be recorded "
            f"while the platform is out; try again later",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _unload_idle(self):
        now = trio.current_time()
        self.usages.expire(now)
        for model, endpoint in self.usages.idle(now, self._idle_s):
            await self._unload(model, endpoint)

    def _idle_s(self, name):
        model = self._model(name)
        return model.idle_s if model else None

    async def _unload(self, model, endpoint):
        record = await records.read_endpoint(self.table, endpoint)
        replica = record.replicas.get(model)
        self.usages.forget(model, endpoint)
        if replica is None or replica.state == records.UNLOAD:
            return
        declared = self.fleet.view.declaration.endpoints.get(endpoint)
        memory_mb = declared.memory_mb if declared else math.inf
        marked = record.marked(model, records.UNLOAD)
        try:
            await records.save(self.table, marked, memory_mb)
        except exceptions.ConflictError:
            return
        self._known.pop(model, None)
        logger.info("placement: idle model={} endpoint={}", model, endpoint)
        await self._nudge(endpoint)

    async def _add_busy(self):
        view = self.fleet.view
        for name, known in list(self._known.items()):
            model = self._model(name)
            endpoints = known.record.endpoints
            if model is None or not endpoints or self._base(name):
                continue
            if len(endpoints) >= model.max_replicas:
                continue
            busy = all(
                self.usages.waiting(name, endpoint)
                > view.declaration.endpoints[endpoint].concurrency
                for endpoint in endpoints
                if endpoint in view.declaration.endpoints
            )
            if busy and name not in self._flights:
                record = await self._read(name)
                if len(record.endpoints) < model.max_replicas:
                    await self._add(model, "", None, record)


def _refusal(code, message, status=503, retry_after_s=0.0):
    return messages.Refusal(
        id=0,
        code=code,
        message=message,
        status=status,
        retry_after_s=retry_after_s,
    )
