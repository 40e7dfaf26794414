"""Unloads idle and excess replicas and adds replicas of busy models."""

from loguru import logger
import trio

from dogwoodwheel import exceptions

__all__ = ["ReplicaMaintenance"]

INTERVAL_S = 1.0


class ReplicaMaintenance:
    """Periodic maintenance of the replicas placed by one decider.

    Parameters
    ----------
    decider : dogwoodwheel.placement.decider.Decider
    """

    def __init__(self, decider):
        self.decider = decider
        self.catalog = decider.catalog
        self.usage_tracker = decider.usage_tracker
        self.placer = decider.placer

    async def run(self):
        """Maintain replicas until cancelled, also through outages."""
        rng = self.decider.rng
        while True:
            await trio.sleep(INTERVAL_S * rng.uniform(0.8, 1.2))
            try:
                await self._unload_idle()
                await self._unload_excess()
                await self._add_to_overloaded()
            except exceptions.ConflictError:
                self.decider.fleet.metrics.count_conflict()
            except exceptions.PlatformError as exc:
                logger.warning("placement: maintenance not recorded: {}", exc)

    async def _unload_idle(self):
        now = trio.current_time()
        self.usage_tracker.expire(now)
        for model, endpoint in self.usage_tracker.find_idle(now, self._idle_s):
            await self._unload(model, endpoint, "idle")

    def _idle_s(self, name):
        model = self.catalog.model(name)
        return model.idle_s if model else None

    async def _unload_excess(self):
        """Unload replicas above the maximum of a model.

        Notes
        -----
        A model has too many replicas after a zone is back in use, since
        others were added while the zone was out.
        """
        for name, placement in list(self.decider.placements.items()):
            model = self.catalog.model(name)
            active = list(filter(self.catalog.usable, placement.active))
            if model is None or len(active) <= model.max_replicas:
                continue
            most_idle = max(
                active, key=lambda e: self.usage_tracker.idle_time_s(name, e)
            )
            if self.usage_tracker.idle_time_s(name, most_idle) > 0:
                await self._unload(name, most_idle, "excess")

    async def _unload(self, model, endpoint, cause):
        self.usage_tracker.forget(model, endpoint)
        if await self.placer.mark_unload(model, endpoint):
            logger.info(
                "placement: unload cause={} model={} endpoint={}",
                cause,
                model,
                endpoint,
            )
            await self.decider.read(model)

    async def _add_to_overloaded(self):
        """Add a replica if more requests wait than the endpoints can run."""
        for name, placement in list(self.decider.placements.items()):
            model = self.catalog.model(name)
            if model is None or self.catalog.base(name):
                continue
            active = list(filter(self.catalog.usable, placement.active))
            below_limit = 0 < len(active) < model.max_replicas
            if not below_limit or not all(
                self._is_overloaded(name, e) for e in active
            ):
                continue
            current, down = await self.decider.read(name)
            reachable = set(current.record.endpoints) - down
            reachable = set(filter(self.catalog.usable, reachable))
            if len(reachable) < model.max_replicas:
                await self.placer.add_replica(model, "", None, current.record)
                await self.decider.read(name)

    def _is_overloaded(self, model, endpoint):
        declared_endpoint = self.decider.fleet.view.declaration.endpoints[
            endpoint
        ]
        waiting = self.usage_tracker.waiting(model, endpoint)
        return waiting > declared_endpoint.concurrency
