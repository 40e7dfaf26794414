"""Plans which models engines load and unload, while the lease is held."""

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
MAX_PLANNING_INTERVAL_S = 0.25
# Pause between two report calls to an engine, seconds: the shorter pause
# applies while the engine loads a model or its newest report is outdated.
IDLE_REPORT_PAUSE_S = 0.6
BUSY_REPORT_PAUSE_S = 0.15
# Time after an order, seconds, for which a report that counts fewer orders
# than the engine has accepted is ignored as outdated.  After this time, a
# report with fewer orders means that the engine has restarted.
REPORT_LAG_S = 2.0
# Time, seconds, for which reports may call an engine idle without listing the
# model that it loaded.  After this time the model load counts as failed.
LOADED_MODEL_LAG_S = 0.8
# Maximum number of loads from the weight store that begin at the same moment.
LOAD_BURST = 2.0
# Request rate (per second) assumed for each replica of a model that the
# platform loaded on several engines before the first request.  The platform
# loads only busy models on several engines.
PLACED_REPLICA_REQUESTS_PER_S = 0.3
# Fraction of failures among an engine's recent requests above which its
# models are loaded at other engines.
FAILING_RATIO = 0.7
# Fraction of the weight store's permitted load rate that the leader uses.
RATE_FRACTION = 0.9


class Leader:
    """Plans model loads and sends orders while this entry holds the lease.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    engine_client : dogwoodwheel.platform.engine_client.EngineClient
    """

    def __init__(self, components, lease, engine_client):
        self.components = components
        self.lease = lease
        self.engine_client = engine_client
        self.sender = order_sender.OrderSender(
            components, lease, engine_client, self._publish_holdings
        )
        self.request_rates = rates.RequestRates()
        self._engines = {}
        self._load_permits = 0.0
        self._refilled_at = None
        self._adapter_ordered_at = {}
        # Request totals at which each model was last seen at an engine.
        self._served_totals = {}
        self._engines_awaiting_report = set()
        self._changed_engines = set()

    def loaded_models_by_engine(self, changed_only):
        """Return the models loaded at each engine, for the next heartbeat.

        Parameters
        ----------
        changed_only : bool
            Whether to leave out engines whose models have not changed
            since the last heartbeat.
        """
        if not self.lease.is_held:
            return {}
        now = trio.current_time()
        included_engines = self._engines
        if changed_only:
            # Only a brief heartbeat goes to all peers at once.
            included_engines = self._changed_engines
            self._changed_engines = set()
        return {
            name: (
                now - engine.reported_at,
                {
                    model_name: sorted(model.adapters)
                    for model_name, model in engine.report.models.items()
                },
                engine.loading_model,
            )
            for name, engine in self._engines.items()
            if name in included_engines and engine.report is not None
        }

    async def run(self):
        """Measure request rates; plan loads while the lease is held."""
        async with trio.open_nursery() as nursery:
            while True:
                self._update_request_rates()
                if self.lease.is_held:
                    self._update_engines()
                    self._start_reports(nursery)
                    if self.lease.may_order:
                        self._plan_loads(nursery)
                else:
                    self._engines.clear()
                    self._refilled_at = None
                    await trio.sleep(MAX_PLANNING_INTERVAL_S)
                    continue
                with trio.move_on_after(MAX_PLANNING_INTERVAL_S):
                    await self.components.fleet_state.wait_for_change()
                # Handles changes that arrive together in one round.
                await trio.sleep(0.01)

    def _update_request_rates(self):
        totals = {
            ("", model_name): count
            for model_name, count in (
                self.components.request_counts.request_totals.items()
            )
        }
        for peer in self.components.heartbeats.peers.values():
            for model_name, count in peer.heartbeat.asked.items():
                totals[peer.heartbeat.incarnation, model_name] = count
        self.request_rates.update(totals, trio.current_time())

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
        """Request a report from each engine whose report pause is over."""
        now = trio.current_time()
        leaving = self.components.fleet_state.leaving
        for name, engine in self._engines.items():
            if leaving.is_leaving(engine.endpoint) or self._wants_nothing(
                engine
            ):
                continue
            is_busy = engine.loading_model or engine.report is None
            is_busy = is_busy or engine.reported_at < engine.min_reported_at
            pause_s = BUSY_REPORT_PAUSE_S if is_busy else IDLE_REPORT_PAUSE_S
            if (
                name in self._engines_awaiting_report
                or now - engine.reported_at < pause_s
            ):
                continue
            self._engines_awaiting_report.add(name)
            nursery.start_soon(self._fetch_report, name, engine)

    def _wants_nothing(self, engine):
        """Return whether an engine has named a wait that has not ended."""
        return bool(
            self.components.endpoint_waits.wait_s(
                engine.endpoint, trio.current_time()
            )
        )

    async def _fetch_report(self, name, engine):
        try:
            requested_at = trio.current_time()
            report = await self.engine_client.fetch_report(engine.endpoint)
            self._apply_report(name, engine, report, requested_at)
        except exceptions.EndpointError as exc:
            logger.debug("leader: no report", endpoint=name, why=str(exc))
            engine.reported_at = trio.current_time()
            engine.pause_orders(engine.reported_at)
        finally:
            self._engines_awaiting_report.discard(name)

    def _apply_report(self, name, engine, report, reported_at):
        engine.reported_at = reported_at
        if engine.is_sending_order or reported_at < engine.min_reported_at:
            return
        if report.orders_accepted < engine.orders_accepted and (
            reported_at - engine.last_order_at < REPORT_LAG_S
        ):
            return
        engine.orders_accepted = report.orders_accepted
        engine.report = report
        if not report.busy and self._model_load_has_ended(
            engine, report, reported_at
        ):
            engine.loading_model = ""
            engine.loading_from_weight_store = False
        self._publish_holdings(name, engine, reported_at)

    def _model_load_has_ended(self, engine, report, reported_at):
        """Return whether the load of `loading_model` is over or has failed.

        Notes
        -----
        The fields of one report lag by different times: a report may
        say that the engine is idle, but not yet list the model that has
        just been loaded and already occupies memory.
        """
        if not engine.loading_model or engine.loading_model in report.models:
            return True
        engine.first_idle_at = min(engine.first_idle_at, reported_at)
        return reported_at - engine.first_idle_at > LOADED_MODEL_LAG_S

    def _publish_holdings(self, name, engine, observed_at):
        """Record an engine's models here, and send changes to the peers."""
        models = engine.report.models
        previous = self.components.fleet_state.holdings.get(name)
        self.components.fleet_state.update_holdings(
            name, models, observed_at, engine.loading_model
        )
        if previous is None or previous[1:] != (models, engine.loading_model):
            self._changed_engines.add(name)
            self.components.heartbeats.send_soon()

    def _plan_loads(self, nursery):
        """Plan the next model loads of each service and start them."""
        fleet_state = self.components.fleet_state
        for service in fleet_state.config.services.values():
            if service.engine is None:
                continue
            engines = self._usable_engines(service)
            if not engines:
                continue
            requests_in_flight = self._requests_in_flight()
            engine_views = [
                self._engine_view(name, engine, requests_in_flight[name])
                for name, engine in engines.items()
            ]
            if self.lease.is_first and not self.request_rates.has_requests:
                self._set_initial_rates(engine_views)
            demand = planner.Demand(
                self.request_rates.short_term_rates(),
                self._waiting_requests(),
                self.request_rates.has_requests,
                self.request_rates.long_term_rates(),
                self._unserved_requests(service.engine, engine_views),
            )
            self._order_adapters(
                nursery, service.engine, engines, engine_views, demand
            )
            plan_steps = planner.plan(
                service.engine,
                engine_views,
                demand,
                int(self._available_weight_store_loads(service)),
            )
            for step in plan_steps:
                self._start_step(nursery, engines[step.endpoint], step, demand)

    def _set_initial_rates(self, views):
        """Set initial request rates of models that several engines hold."""
        replicas = collections.Counter(m for v in views for m in v.models)
        self.request_rates.set_initial(
            {
                model_name: count * PLACED_REPLICA_REQUESTS_PER_S
                for model_name, count in replicas.items()
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

    def _available_weight_store_loads(self, service):
        """Return how many loads from the weight store may begin now."""
        now = trio.current_time()
        if self._refilled_at is None:
            # After a take-over, the loads that the previous leader began
            # are unknown, so the new leader starts without permits.
            self._load_permits = LOAD_BURST if self.lease.is_first else 0.0
            self._refilled_at = now
        loads_per_s = service.engine.weight_store_loads_per_s * RATE_FRACTION
        self._load_permits = min(
            LOAD_BURST,
            self._load_permits + loads_per_s * (now - self._refilled_at),
        )
        self._refilled_at = now
        return self._load_permits

    def _requests_in_flight(self):
        """Return all entries' requests in flight, by endpoint and model."""
        in_flight = collections.defaultdict(collections.Counter)
        peer_loads = [
            peer.heartbeat.load
            for peer in self.components.heartbeats.live_peers().values()
        ]
        for endpoint_loads in [
            self.components.request_counts.endpoint_loads(),
            *peer_loads,
        ]:
            for name, (_, _, requests_by_model) in endpoint_loads.items():
                in_flight[name].update(requests_by_model)
        return in_flight

    def _engine_view(self, name, engine, in_flight):
        now = trio.current_time()
        report = engine.report
        return planner.EngineView(
            id=name,
            models=report.models,
            memory_weights=report.memory_weights,
            disk_weights=report.disk_weights,
            busy=report.busy
            or bool(engine.loading_model)
            or not engine.can_accept_order(now)
            or self._wants_nothing(engine),
            loading_model=engine.loading_model,
            loading_from_weight_store=engine.loading_from_weight_store,
            failing=self.components.outlier_detector.failure_ratio(name, now)
            > FAILING_RATIO,
            in_flight=dict(in_flight),
            preloaded_models=frozenset(engine.preloaded_models),
        )

    def _unserved_requests(self, spec, engine_views):
        """Return the requests since each absent model was last held."""
        totals = self.request_rates.request_totals
        for view in engine_views:
            for name in view.models:
                self._served_totals[name] = totals[name]
        return {
            name: totals[name] - self._served_totals.setdefault(name, 0)
            for name in spec.models
            if totals[name] != self._served_totals.get(name, 0)
        }

    def _waiting_requests(self):
        counts = collections.Counter(self.components.request_counts.waiting)
        for peer in self.components.heartbeats.live_peers().values():
            counts.update(peer.heartbeat.waiting)
        return dict(counts)

    def _order_adapters(self, nursery, spec, engines, views, demand):
        reports = {name: engine.report for name, engine in engines.items()}
        for order in adapter_planner.plan(
            spec, views, demand, reports, self._adapter_ordered_at
        ):
            engine = engines[order.endpoint]
            if not engine.can_accept_order(
                trio.current_time()
            ) or self._wants_nothing(engine):
                continue
            key = (order.endpoint, order.model, order.adapter)
            self._adapter_ordered_at[key] = trio.current_time()
            engine.is_sending_order = True
            nursery.start_soon(self.sender.send, engine, (order,), "asked for")

    def _start_step(self, nursery, engine, step, demand):
        if not engine.can_accept_order(trio.current_time()):
            return
        engine.is_sending_order = True
        if step.uses_weight_store:
            self._load_permits -= 1
        engine.first_idle_at = math.inf
        engine.loading_from_weight_store = step.uses_weight_store
        engine.loading_model = step.model
        if step.reason == planner.PRELOAD:
            engine.preloaded_models.add(step.model)
        reason = (
            f"{step.reason!r} for={step.model} "
            f"rate={demand.level(step.model):.2f} "
            f"store={step.uses_weight_store}"
        )
        nursery.start_soon(self.sender.send, engine, step.orders, reason)
