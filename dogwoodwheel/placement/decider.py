"""Decides where the replicas of models are."""

import dataclasses
import math
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.placement import catalog
from dogwoodwheel.placement import idle
from dogwoodwheel.placement import placer
from dogwoodwheel.placement import records
from dogwoodwheel.placement import upkeep
from dogwoodwheel.wire import messages

__all__ = ["Decider"]

FRESH_S = 1.0
ANSWER_S = 2.0
DECIDE_S = 30.0
PATIENCE_S = 1.5
OUT_S = 1.0
JITTER_S = 0.05
WAIT_S = 0.1
RETRY_AFTER_S = 2.0
SPARE_PART = 0.1


@dataclasses.dataclass(frozen=True)
class Known:
    """What was read last of a model.

    Parameters
    ----------
    record : dogwoodwheel.placement.records.ModelRecord
    good : tuple of str
        Endpoints where it is decided and is not to be unloaded.
    read_at : float
        Seconds, trio's clock.
    """

    record: records.ModelRecord
    good: tuple
    read_at: float


class Flight:
    """One decision that several requests wait for.

    Attributes
    ----------
    result : tuple of str, messages.Refusal or None
        Endpoints, best first.
    """

    def __init__(self):
        self.result = None
        self.ended = trio.Event()


class Decider:
    """Decider of the models that hash to this entry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    rng : random.Random, optional

    Notes
    -----
    Requests for one model that come together share one decision, which
    goes on when those that asked have given up.  The versions of both
    rows keep two entries that both take themselves for the decider from
    deciding twice.

    What is known of a model is answered at once and read anew behind
    the answer, so neither a slow platform nor an outage holds up a
    model that is decided; an owner refuses what is no longer so.
    """

    def __init__(self, fleet, table, rng=None):
        self.fleet = fleet
        self.table = table
        self.rng = rng or random.Random()
        self.catalog = catalog.Catalog(fleet)
        self.usages = idle.Usages()
        self.placer = placer.Placer(fleet, table)
        self.known = {}
        self._flights = {}
        self._out_until = -math.inf
        self._nursery = None
        self._started = trio.Event()

    async def run(self):
        """Decide, and look after what is decided, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._started.set()
            nursery.start_soon(upkeep.Upkeep(self).run)

    async def ensure(self, ask):
        """Return endpoints that hold or load a model.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ensure

        Returns
        -------
        messages.Ensured or messages.Refusal
            Within `ANSWER_S`; a refusal as ``endpoint_unavailable`` may
            be asked again at once.
        """
        if self.catalog.model(ask.model) is None:
            return _refusal(
                "unknown_model",
                f"{ask.model} is not declared; see GET /v1/models",
                status=404,
            )
        good = self._known_good(ask)
        if good:
            self._refresh(ask)
            return self._ensured(ask, good)
        left_s = ask.deadline_s * (1 - SPARE_PART)
        result = None
        with trio.move_on_after(max(0.0, min(left_s, ANSWER_S))):
            await self._started.wait()
            flight = self._flight(ask)
            await flight.ended.wait()
            result = flight.result
        if isinstance(result, messages.Refusal):
            return result
        if result:
            return self._ensured(ask, result)
        return self._undecided(ask)

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

    async def read(self, name):
        """Read a model's rows.

        Returns
        -------
        known : Known
        down : set of str
            Endpoints of the model that do not answer.

        Raises
        ------
        PlatformError
        """
        model = self.catalog.model(name)
        read_at = trio.current_time()
        record = await records.read_model(self.table, name)
        good = []
        down = set()
        for endpoint in filter(self.catalog.usable, record.endpoints):
            row = await records.read_endpoint(self.table, endpoint)
            if row.down:
                down.add(endpoint)
            replica = row.replicas.get(name)
            if replica is None or replica.state == records.UNLOAD:
                continue
            if model is None or replica.version == model.version:
                good.append(endpoint)
        good.sort(key=lambda endpoint: endpoint in down)
        self.known[name] = Known(record, tuple(good), read_at)
        return self.known[name], down

    def _known_good(self, ask):
        known = self.known.get(ask.model)
        if known is None:
            return ()
        good = tuple(filter(self.catalog.usable, known.good))
        return good if set(good) - set(ask.avoid) else ()

    def _refresh(self, ask):
        known = self.known[ask.model]
        now = trio.current_time()
        old = now - known.read_at > FRESH_S
        if old and now > self._out_until and self._nursery is not None:
            self._flight(ask)

    def _ensured(self, ask, names):
        ordered = sorted(
            names,
            key=lambda name: (
                name in ask.avoid,
                self.usages.waiting(ask.model, name),
            ),
        )
        return messages.Ensured(0, tuple(ordered))

    def _undecided(self, ask):
        if trio.current_time() < self._out_until:
            return self._without_platform(ask.model)
        return _refusal(
            "endpoint_unavailable",
            f"no place for {ask.model} yet; try again",
            retry_after_s=RETRY_AFTER_S,
        )

    def _flight(self, ask):
        flight = self._flights.get(ask.model)
        if flight is None:
            flight = self._flights[ask.model] = Flight()
            self._nursery.start_soon(self._fly, flight, ask)
        return flight

    async def _fly(self, flight, ask):
        try:
            with trio.move_on_after(DECIDE_S):
                flight.result = await self._decide(ask)
        finally:
            del self._flights[ask.model]
            flight.ended.set()

    async def _decide(self, ask):
        """Return endpoints or a refusal, however long that takes.

        Notes
        -----
        A platform that was just found to be out is not tried again and
        again: the refusal is then prompt.
        """
        now = trio.current_time()
        until = now + (0.0 if now < self._out_until else PATIENCE_S)
        pause_s = JITTER_S
        while True:
            try:
                with trio.fail_after(ANSWER_S * 3):
                    result = await self._attempt(ask)
                if result is not None:
                    return result
                await trio.sleep(WAIT_S * self.rng.uniform(0.5, 1.5))
            except exceptions.ConflictError:
                self.fleet.metrics.count_conflict()
                await trio.sleep(self.rng.uniform(0, JITTER_S))
            except (exceptions.PlatformError, trio.TooSlowError) as exc:
                logger.warning("placement: platform is out: {}", exc)
                good = self._known_good(ask)
                if good:
                    return good
                if trio.current_time() + pause_s > until:
                    self._out_until = trio.current_time() + OUT_S
                    return self._without_platform(ask.model)
                await trio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
                pause_s *= 2

    async def _attempt(self, ask):
        """Return endpoints or a refusal; None to try again later."""
        model = self.catalog.model(ask.model)
        if model is None:
            return _refusal("unknown_model", f"{ask.model} was removed")
        base = self.catalog.base(ask.model)
        hosts = None
        if base:
            reply = await self._ensure_base(ask, base)
            if isinstance(reply, messages.Refusal):
                return reply
            hosts = reply.endpoints
        known, down = await self.read(ask.model)
        good = known.good
        if set(good) - set(ask.avoid) - down:
            return good
        open_ = [n for n in known.record.endpoints if self.catalog.usable(n)]
        if len(set(open_) - down) < model.max_replicas:
            record = await self.placer.add(model, base, hosts, known.record)
            if record is not None:
                good = (record.endpoints[-1], *good)
                now = trio.current_time()
                self.known[ask.model] = Known(record, good, now)
                return good
        if good:
            return good
        if not open_ and not self.catalog.possible(model):
            return _refusal(
                "no_memory",
                f"no endpoint in use is large enough for {model.name}; "
                f"add one, or take a zone in",
                retry_after_s=RETRY_AFTER_S,
            )
        return None

    async def _ensure_base(self, ask, base):
        decider = self.fleet.view.decider_of(base)
        msg = messages.Ensure(0, base, ask.deadline_s, ask.avoid)
        try:
            return await self.fleet.call(decider, msg, 2 * ANSWER_S)
        except exceptions.PeerError:
            return _refusal(
                "endpoint_unavailable",
                f"the decider of {base} does not answer; try again",
                retry_after_s=RETRY_AFTER_S,
            )

    def _without_platform(self, model):
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
