"""Looks after replicas that are decided: idle, busy, too many, old."""

from loguru import logger
import trio

from dogwoodwheel import exceptions

__all__ = ["Upkeep"]

TICK_S = 1.0


class Upkeep:
    """Background work of a decider.

    Parameters
    ----------
    decider : dogwoodwheel.placement.decider.Decider
    """

    def __init__(self, decider):
        self.decider = decider
        self.catalog = decider.catalog
        self.usages = decider.usages
        self.placer = decider.placer

    async def run(self):
        """Work until cancelled; the platform may be out."""
        rng = self.decider.rng
        while True:
            await trio.sleep(TICK_S * rng.uniform(0.8, 1.2))
            try:
                await self._unload_idle()
                await self._unload_excess()
                await self._add_busy()
            except exceptions.ConflictError:
                self.decider.fleet.metrics.count_conflict()
            except exceptions.PlatformError as exc:
                logger.warning("placement: not recorded: {}", exc)

    async def _unload_idle(self):
        now = trio.current_time()
        self.usages.expire(now)
        for model, endpoint in self.usages.idle(now, self._idle_s):
            await self._unload(model, endpoint, "idle")

    def _idle_s(self, name):
        model = self.catalog.model(name)
        return model.idle_s if model else None

    async def _unload_excess(self):
        """Unload what is above the limit, once a zone is back."""
        for name, known in list(self.decider.known.items()):
            model = self.catalog.model(name)
            good = list(filter(self.catalog.usable, known.good))
            if model is None or len(good) <= model.max_replicas:
                continue
            idlest = max(good, key=lambda e: self.usages.idle_for(name, e))
            if self.usages.idle_for(name, idlest) > 0:
                await self._unload(name, idlest, "excess")

    async def _unload(self, model, endpoint, cause):
        self.usages.forget(model, endpoint)
        if await self.placer.unload(model, endpoint):
            logger.info(
                "placement: unload cause={} model={} endpoint={}",
                cause,
                model,
                endpoint,
            )
            await self.decider.read(model)

    async def _add_busy(self):
        """Add a replica where more wait than its endpoints serve."""
        for name, known in list(self.decider.known.items()):
            model = self.catalog.model(name)
            if model is None or self.catalog.base(name):
                continue
            good = list(filter(self.catalog.usable, known.good))
            few = 0 < len(good) < model.max_replicas
            if not few or not all(self._busy(name, e) for e in good):
                continue
            newer, down = await self.decider.read(name)
            counted = set(newer.record.endpoints) - down
            counted = set(filter(self.catalog.usable, counted))
            if len(counted) < model.max_replicas:
                await self.placer.add(model, "", None, newer.record)
                await self.decider.read(name)

    def _busy(self, model, endpoint):
        declared = self.decider.fleet.view.declaration.endpoints[endpoint]
        waiting = self.usages.waiting(model, endpoint)
        return waiting > declared.concurrency
