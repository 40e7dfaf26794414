"""Plans and orders model loads and unloads while the entry holds the lease."""

import collections
import math

from loguru import logger
import trio

from dogwoodwheel.entry import adapter_planner
from dogwoodwheel.entry import engine_state
from dogwoodwheel.entry import order_sender
from dogwoodwheel.entry import planner
from dogwoodwheel.entry import rates
from dogwoodwheel import exceptions

__all__ = ["Leader"]

# Longest pause between two rounds of planning, seconds.
PLANNING_INTERVAL_S = 0.25
# Pause between two reports of an idle engine, and of one that loads a
# model or whose last report is outdated, seconds.
IDLE_REPORT_PAUSE_S = 0.6
BUSY_REPORT_PAUSE_S = 0.15
# A report that counts fewer orders than the engine accepted is ignored as
# outdated for this time after the last order, seconds; a later one means
# that the engine has restarted.
REPORT_LAG_S = 2.0
# Time for which reports may say that the engine is idle and still lack the
# model that was loaded, before the load counts as failed, seconds.
LOADED_MODEL_LAG_S = 0.8
# Loads from the weight store that may begin at once.
STORE_BURST = 2.0
# Request rate assumed for each replica of a model that the platform placed
# before the first request, requests a second: the platform places busy
# models on several engines.
PLACED_REPLICA_RATE = 0.3
# Fraction of the weight store's permitted rate of loads that is used.
STORE_RATE_FRACTION = 0.9


class Leader:
    """Plans placement and sends orders while the lease is held.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    client : dogwoodwheel.platform.engine_client.EngineClient
    """

    def __init__(self, components, lease, client):
        self.components = components
        self.lease = lease
        self.client = client
        self.orders = order_sender.OrderSender(
            components, lease, client, self._publish_holdings
        )
        self.rates = rates.Rates()
        self._engines = {}
        self._store_tokens = 0.0
        self._refilled_at = None
        self._adapter_used_at = {}
        self._reports_pending = set()
        self._changed_engines = set()

    def holdings(self, changed_only):
        """Return the models that engines hold, for this entry's heartbeat.

        Parameters
        ----------
        changed_only : bool
            Whether to leave out engines whose holdings have not changed
            since the last heartbeat.
        """
        if not self.lease.is_held:
            return {}
        now = trio.current_time()
        names, self._changed_engines = self._changed_engines, set()
        if not changed_only:
            names = self._engines
        return {
            name: (
                now - engine.reported_at,
                {
                    m: sorted(x.adapters)
                    for m, x in engine.report.models.items()
                },
                engine.loading_model,
            )
            for name, engine in self._engines.items()
            if name in names and engine.report is not None
        }

    async def run(self):
        """Measure demand, and order loads while the lease is held."""
        async with trio.open_nursery() as nursery:
            while True:
                self._update_rates()
                if self.lease.is_held:
                    self._update_engines()
                    self._start_reports(nursery)
                    if self.lease.may_order:
                        self._plan(nursery)
                else:
                    self._engines.clear()
                    self._refilled_at = None
                with trio.move_on_after(PLANNING_INTERVAL_S):
                    await self.components.fleet_state.wait_for_change()
                # Lets changes that arrive together share one round.
                await trio.sleep(0.01)

    def _update_rates(self):
        totals = {
            ("", name): count
            for name, count in (
                self.components.request_counts.request_totals.items()
            )
        }
        for peer in self.components.heartbeats.peers.values():
            for name, count in peer.heartbeat.asked.items():
                totals[peer.heartbeat.incarnation, name] = count
        self.rates.update(totals, trio.current_time())

    def _update_engines(self):
        fleet_state = self.components.fleet_state
        config = fleet_state.config
        for name, tracked_endpoint in fleet_state.endpoints.items():
            endpoint = tracked_endpoint.endpoint
            service = config.services.get(endpoint.service)
            if service is None or service.engine is None:
                continue
            old = self._engines.get(name)
            if old is None or old.endpoint.started_ms != endpoint.started_ms:
                self._engines[name] = engine_state.EngineState(endpoint)
            else:
                old.endpoint = endpoint
        for name in set(self._engines) - set(fleet_state.endpoints):
            del self._engines[name]

    def _start_reports(self, nursery):
        """Start a task for each engine whose next report is due."""
        now = trio.current_time()
        for name, engine in self._engines.items():
            changing = engine.loading_model or engine.report is None
            changing = changing or engine.reported_at < engine.reports_from
            pause_s = BUSY_REPORT_PAUSE_S if changing else IDLE_REPORT_PAUSE_S
            if (
                name in self._reports_pending
                or now - engine.reported_at < pause_s
            ):
                continue
            self._reports_pending.add(name)
            nursery.start_soon(self._fetch_report, name, engine)

    async def _fetch_report(self, name, engine):
        try:
            began = trio.current_time()
            report = await self.client.fetch_report(engine.endpoint)
            self._apply_report(name, engine, report, began)
        except exceptions.EndpointError as exc:
            logger.debug("leader: no report", endpoint=name, why=str(exc))
            engine.reported_at = trio.current_time()
            engine.pause_orders(engine.reported_at)
        finally:
            self._reports_pending.discard(name)

    def _apply_report(self, name, engine, report, reported_at):
        engine.reported_at = reported_at
        if engine.is_sending or reported_at < engine.reports_from:
            return
        if report.orders_accepted < engine.orders_accepted and (
            reported_at - engine.ordered_at < REPORT_LAG_S
        ):
            return
        engine.orders_accepted = report.orders_accepted
        engine.report = report
        if not report.busy and self._load_has_ended(
            engine, report, reported_at
        ):
            engine.loading_model = ""
            engine.from_store = False
        self._publish_holdings(name, engine, reported_at)

    def _load_has_ended(self, engine, report, reported_at):
        """Return whether an engine no longer loads its `loading_model`.

        Notes
        -----
        The fields of one report lag by different times: a report that
        says that the engine is idle may lack the model that has just
        been loaded, although the model already occupies memory.
        """
        if not engine.loading_model or engine.loading_model in report.models:
            return True
        engine.idle_at = min(engine.idle_at, reported_at)
        return reported_at - engine.idle_at > LOADED_MODEL_LAG_S

    def _publish_holdings(self, name, engine, at):
        """Update an engine's holdings at this entry and at its peers."""
        models = engine.report.models
        before = self.components.fleet_state.holdings.get(name)
        self.components.fleet_state.update_holdings(
            name, models, at, engine.loading_model
        )
        if before is None or before[1:] != (models, engine.loading_model):
            self._changed_engines.add(name)
            self.components.heartbeats.send_soon()

    def _plan(self, nursery):
        """Plan the next loads of each service and start their orders."""
        fleet_state = self.components.fleet_state
        for service in fleet_state.config.services.values():
            if service.engine is None:
                continue
            engines = self._usable_engines(service)
            if not engines:
                continue
            in_flight = self._requests_in_flight()
            views = [
                self._engine_view(name, engine, in_flight[name])
                for name, engine in engines.items()
            ]
            if self.lease.is_first and not self.rates.has_requests:
                self._seed_rates(views)
            demand = planner.Demand(
                self.rates.rates(),
                self._waiting_requests(),
                self.rates.has_requests,
                self.rates.long_term_rates(),
            )
            self._order_adapters(
                nursery, service.engine, engines, views, demand
            )
            steps = planner.plan(
                service.engine,
                views,
                demand,
                int(self._store_loads(service)),
            )
            for step in steps:
                self._start_step(nursery, engines[step.endpoint], step, demand)

    def _seed_rates(self, views):
        """Assume initial request rates from the platform's placement."""
        replicas = collections.Counter(m for v in views for m in v.models)
        self.rates.seed(
            {
                name: count * PLACED_REPLICA_RATE
                for name, count in replicas.items()
                if count > 1
            }
        )

    def _usable_engines(self, service):
        fleet_state = self.components.fleet_state
        now = trio.current_time()
        return {
            tracked.endpoint.id: self._engines[tracked.endpoint.id]
            for tracked in fleet_state.usable_endpoints(service.name)
            if tracked.endpoint.id in self._engines
            and self._engines[tracked.endpoint.id].report is not None
            and not self.components.outlier_detector.is_unreachable(
                tracked.endpoint.id, now
            )
        }

    def _store_loads(self, service):
        """Return how many loads from the weight store may begin now."""
        now = trio.current_time()
        if self._refilled_at is None:
            # Loads that the previous leader began are not known here, so
            # the bucket is empty after a take-over.
            self._store_tokens = STORE_BURST if self.lease.is_first else 0.0
            self._refilled_at = now
        rate = service.engine.loads_per_s * STORE_RATE_FRACTION
        self._store_tokens = min(
            STORE_BURST,
            self._store_tokens + rate * (now - self._refilled_at),
        )
        self._refilled_at = now
        return self._store_tokens

    def _requests_in_flight(self):
        """Return requests by model at each endpoint, from all entries."""
        in_flight = collections.defaultdict(collections.Counter)
        heartbeat_loads = [
            p.heartbeat.load
            for p in self.components.heartbeats.live_peers().values()
        ]
        for loads in [
            self.components.request_counts.endpoint_loads(),
            *heartbeat_loads,
        ]:
            for name, (_, _, models) in loads.items():
                in_flight[name].update(models)
        return in_flight

    def _engine_view(self, name, engine, in_flight):
        now = trio.current_time()
        report = engine.report
        return planner.EngineView(
            id=name,
            models=report.models,
            in_memory=report.in_memory,
            on_disk=report.on_disk,
            busy=report.busy
            or bool(engine.loading_model)
            or not engine.can_take_order(now),
            loading_model=engine.loading_model,
            from_store=engine.from_store,
            in_flight=dict(in_flight),
            preloaded=frozenset(engine.preloaded),
        )

    def _waiting_requests(self):
        waiting = collections.Counter(self.components.request_counts.waiting)
        for peer in self.components.heartbeats.live_peers().values():
            waiting.update(peer.heartbeat.waiting)
        return dict(waiting)

    def _order_adapters(self, nursery, spec, engines, views, demand):
        reports = {name: engine.report for name, engine in engines.items()}
        for order in adapter_planner.plan(
            spec, views, demand, reports, self._adapter_used_at
        ):
            engine = engines[order.endpoint]
            if not engine.can_take_order(trio.current_time()):
                continue
            key = (order.endpoint, order.model, order.adapter)
            self._adapter_used_at[key] = trio.current_time()
            engine.is_sending = True
            nursery.start_soon(self.orders.send, engine, (order,), "asked for")

    def _start_step(self, nursery, engine, step, demand):
        if not engine.can_take_order(trio.current_time()):
            return
        engine.is_sending = True
        if step.from_store:
            self._store_tokens -= 1
        engine.idle_at = math.inf
        engine.from_store = step.from_store
        engine.loading_model = step.model
        if step.reason == planner.PRELOAD:
            engine.preloaded.add(step.model)
        reason = (
            f"{step.reason!r} for={step.model} "
            f"rate={demand.rate(step.model):.2f} store={step.from_store}"
        )
        nursery.start_soon(self.orders.send, engine, step.orders, reason)
