"""What the entry that holds the lease follows, and what it orders."""

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

# Pause between two rounds of planning, and between two reports of an
# engine that has nothing to do; seconds.
ROUND_S = 0.25
REPORT_S = 0.6
BUSY_REPORT_S = 0.15
# Time for which a report that shows fewer orders than were taken is
# thought to lag; after it the engine is thought to have started anew.
RESTARTED_S = 2.0
# Time for which reports may say that nothing goes on and lack the model
# that was loaded, before the load counts as failed, seconds.
LOAD_LAG_S = 0.8
# Loads from the weight store that may begin at once.
STORE_BURST = 2.0
# Rate that each replica of a model stands for which was there before the
# first request, requests a second: the platform places busy models on
# several engines.
PLACED_RATE = 0.3
# Part of the weight store's rate that is used.
STORE_PART = 0.9


class Leader:
    """Gives orders while the lease is held.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    engines : dogwoodwheel.platform.engine_client.EngineClient
    """

    def __init__(self, components, lease, engines):
        self.components = components
        self.lease = lease
        self.client = engines
        self.orders = order_sender.OrderSender(
            components, lease, engines, self._publish_holdings
        )
        self.rates = rates.Rates()
        self._engines = {}
        self._tokens = 0.0
        self._refilled_at = None
        self._used = {}
        self._asking = set()
        self._changed = set()

    def holdings(self, changed_only):
        """Return what engines hold, for this entry's beat.

        Parameters
        ----------
        changed_only : bool
            Whether engines are left out that hold what the last beat
            said.
        """
        if not self.lease.is_held:
            return {}
        now = trio.current_time()
        names, self._changed = self._changed, set()
        if not changed_only:
            names = self._engines
        return {
            name: (
                now - engine.at,
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
        """Follow the demand, and give orders while the lease is held."""
        async with trio.open_nursery() as nursery:
            while True:
                self._follow_demand()
                if self.lease.is_held:
                    self._follow_engines()
                    self._ask(nursery)
                    if self.lease.may_order:
                        self._order(nursery)
                else:
                    self._engines.clear()
                    self._refilled_at = None
                with trio.move_on_after(ROUND_S):
                    await self.components.fleet_state.wait_for_change()
                # Several changes at a time make one round.
                await trio.sleep(0.01)

    def _follow_demand(self):
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

    def _follow_engines(self):
        known = self.components.fleet_state
        config = known.config
        for name, tracked_endpoint in known.endpoints.items():
            endpoint = tracked_endpoint.endpoint
            service = config.services.get(endpoint.service)
            if service is None or service.engine is None:
                continue
            had = self._engines.get(name)
            if had is None or had.endpoint.started_ms != endpoint.started_ms:
                self._engines[name] = engine_state.EngineState(endpoint)
            else:
                had.endpoint = endpoint
        for name in set(self._engines) - set(known.endpoints):
            del self._engines[name]

    def _ask(self, nursery):
        """Ask for the reports that are due."""
        now = trio.current_time()
        for name, engine in self._engines.items():
            moving = engine.loading_model or engine.report is None
            moving = moving or engine.at < engine.fresh_from
            pause_s = BUSY_REPORT_S if moving else REPORT_S
            if name in self._asking or now - engine.at < pause_s:
                continue
            self._asking.add(name)
            nursery.start_soon(self._report, name, engine)

    async def _report(self, name, engine):
        try:
            began = trio.current_time()
            report = await self.client.fetch_report(engine.endpoint)
            self._apply_report(name, engine, report, began)
        except exceptions.EndpointError as exc:
            logger.debug("leader: no report", endpoint=name, why=str(exc))
            engine.at = trio.current_time()
            engine.rest(engine.at)
        finally:
            self._asking.discard(name)

    def _apply_report(self, name, engine, report, at):
        engine.at = at
        if engine.sending or at < engine.fresh_from:
            return
        if report.orders_accepted < engine.orders_accepted and (
            at - engine.ordered_at < RESTARTED_S
        ):
            return
        engine.orders_accepted = report.orders_accepted
        engine.report = report
        if not report.busy and self._is_over(engine, report, at):
            engine.loading_model = ""
            engine.from_store = False
        self._publish_holdings(name, engine, at)

    def _is_over(self, engine, report, at):
        """Tell whether the load of an engine's coming model has ended.

        Notes
        -----
        Parts of a report lag differently: one that says that nothing
        goes on may lack the model that has just come.  Its memory is
        taken all the same.
        """
        if not engine.loading_model or engine.loading_model in report.models:
            return True
        engine.idle_at = min(engine.idle_at, at)
        return at - engine.idle_at > LOAD_LAG_S

    def _publish_holdings(self, name, engine, at):
        """Tell requests here and at the peers what an engine holds."""
        models = engine.report.models
        before = self.components.fleet_state.holdings.get(name)
        self.components.fleet_state.update_holdings(
            name, models, at, engine.loading_model
        )
        if before is None or before[1:] != (models, engine.loading_model):
            self._changed.add(name)
            self.components.heartbeats.send_soon()

    def _order(self, nursery):
        known = self.components.fleet_state
        for service in known.config.services.values():
            if service.engine is None:
                continue
            engines = self._usable(service)
            if not engines:
                continue
            flying = self._in_flight()
            views = [
                self._view(name, engine, flying[name])
                for name, engine in engines.items()
            ]
            if self.lease.is_first and not self.rates.is_known:
                self._seed(views)
            demand = planner.Demand(
                self.rates.rates(),
                self._waiting(),
                self.rates.is_known,
                self.rates.slow(),
            )
            self._order_adapters(
                nursery, service.engine, engines, views, demand
            )
            steps = planner.plan(
                service.engine, views, demand, int(self._store(service))
            )
            for step in steps:
                self._give(nursery, engines[step.endpoint], step, demand)

    def _seed(self, views):
        """Take the first placement for what the demand will be."""
        replicas = collections.Counter(m for v in views for m in v.models)
        self.rates.seed(
            {
                name: count * PLACED_RATE
                for name, count in replicas.items()
                if count > 1
            }
        )

    def _usable(self, service):
        known = self.components.fleet_state
        now = trio.current_time()
        return {
            s.endpoint.id: self._engines[s.endpoint.id]
            for s in known.usable(service.name)
            if s.endpoint.id in self._engines
            and self._engines[s.endpoint.id].report is not None
            and not self.components.outlier_detector.is_down(
                s.endpoint.id, now
            )
        }

    def _store(self, service):
        """Return how many loads from the weight store may begin now."""
        now = trio.current_time()
        if self._refilled_at is None:
            # What a leader before began is not known here.
            self._tokens = STORE_BURST if self.lease.is_first else 0.0
            self._refilled_at = now
        rate = service.engine.loads_per_s * STORE_PART
        self._tokens = min(
            STORE_BURST, self._tokens + rate * (now - self._refilled_at)
        )
        self._refilled_at = now
        return self._tokens

    def _in_flight(self):
        """Return requests by model at each endpoint, from all entries."""
        flying = collections.defaultdict(collections.Counter)
        beats = [
            p.heartbeat.load
            for p in self.components.heartbeats.live_peers().values()
        ]
        for loads in [self.components.request_counts.loads(), *beats]:
            for name, (_, _, models) in loads.items():
                flying[name].update(models)
        return flying

    def _view(self, name, engine, flying):
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
            in_flight=dict(flying),
            ahead=frozenset(engine.ahead),
        )

    def _waiting(self):
        waiting = collections.Counter(self.components.request_counts.waiting)
        for peer in self.components.heartbeats.live_peers().values():
            waiting.update(peer.heartbeat.waiting)
        return dict(waiting)

    def _order_adapters(self, nursery, spec, engines, views, demand):
        reports = {name: engine.report for name, engine in engines.items()}
        for order in adapter_planner.plan(
            spec, views, demand, reports, self._used
        ):
            engine = engines[order.endpoint]
            if not engine.can_take_order(trio.current_time()):
                continue
            key = (order.endpoint, order.model, order.adapter)
            self._used[key] = trio.current_time()
            engine.sending = True
            nursery.start_soon(self.orders.give, engine, (order,), "asked for")

    def _give(self, nursery, engine, step, demand):
        if not engine.can_take_order(trio.current_time()):
            return
        engine.sending = True
        if step.from_store:
            self._tokens -= 1
        engine.idle_at = math.inf
        engine.from_store = step.from_store
        engine.loading_model = step.model
        if step.why == planner.AHEAD:
            engine.ahead.add(step.model)
        why = (
            f"{step.why!r} for={step.model} "
            f"rate={demand.rate(step.model):.2f} store={step.from_store}"
        )
        nursery.start_soon(self.orders.give, engine, step.orders, why)
