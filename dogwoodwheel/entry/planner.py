"""Plans which models engines should load and unload next.

Notes
-----
Workload: demand moves from the busiest models to others in an
unpredictable order; requests for rarely used models arrive together;
engines are lost, return empty, or leave at short notice.

A copy of a model's weights on an engine's disk reduces the time of a
load from seconds to tenths of a second.  Models that no engine has a copy
of are therefore preloaded once, and engines swap models from these copies
as demand moves.
"""

import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["PRELOAD", "EngineView", "Demand", "PlanStep", "plan"]

# Reasons for a load: no replica, overloaded replicas, no copy of the weights.
ABSENT = "absent"
BUSY = "busy"
PRELOAD = "no copy"
# Requests a second that one replica should serve.
RATE_PER_REPLICA = 3.0
# Requests a second above which a model has a spare replica, in case one is
# lost.
SPARE_REPLICA_RATE = 0.5
# Requests a second up to which a model may be evicted freely.
IDLE_RATE = 0.04
# Requests a second above which an absent model is loaded even if no request
# waits.
ABSENT_RATE = 0.3
# A busy model may displace one that needs its replicas only if its rate per
# replica after the load is at least this many times the other's.
DISPLACE_FACTOR = 2.0
# Requests a second above the capacity of a model's replicas from which
# another replica may be loaded from the weight store.
STORE_EXCESS_RATE = 2.0
# Cost of evicting the only copy of a model from a disk, seconds.
LAST_COPY_COST_S = 3.0
# Maximum probability of that eviction at which a model is preloaded.
MAX_LAST_COPY_PROBABILITY = 0.2
# Cost of a load from the weight store, seconds for each request a second
# to the models that the engine holds: their adapters cannot be loaded
# meanwhile.
BLOCKED_COST_S = 1.5
# Maximum number of concurrent loads from the weight store: if the next one
# is a preload, and if it is urgent.  Before the first request, preloads
# have the higher limit.
MAX_STORE_LOADS_FOR_PRELOAD = 1
MAX_STORE_LOADS = 4
# Fraction of the engines that may load from the weight store at a time: an
# engine carries out one order at a time and cannot swap models meanwhile.
STORE_ENGINE_FRACTION = 0.34
# Cost of each request in flight at the engine that is to load, seconds.
IN_FLIGHT_COST_S = 0.05


@dataclasses.dataclass(frozen=True)
class EngineView:
    """The leader's view of one engine in a round of planning.

    Parameters
    ----------
    id : str
    models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
    in_memory, on_disk : frozenset of str
        Models whose weights the engine keeps in host memory or on disk.
    busy : bool
        Whether the engine carries out an order or cannot accept one.
    loading_model : str
        Model that is being loaded; empty for none.
    from_store : bool
        Whether that model is loaded from the weight store.
    in_flight : dict of str to int
        Requests by ``MODEL`` or ``MODEL/ADAPTER``.
    preloaded : frozenset of str
        Models that were loaded before any request needed them.
    """

    id: str
    models: dict
    in_memory: frozenset = frozenset()
    on_disk: frozenset = frozenset()
    busy: bool = False
    loading_model: str = ""
    from_store: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)
    preloaded: frozenset = frozenset()

    def has_requests(self, name):
        """Return whether a model or its adapters have requests in flight."""
        return any(n.partition("/")[0] == name for n in self.in_flight)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for the models of a service.

    Parameters
    ----------
    rates : dict of str to float
        Requests a second by model, over all entries.
    waiting : dict of str to int
        Waiting requests by ``MODEL`` or ``MODEL/ADAPTER``.
    has_begun : bool
        Whether any request was seen; until then no load is urgent.
    long_term_rates : dict of str to float
        Requests a second by model, averaged over a longer time, which
        tells rarely requested models apart.
    """

    rates: dict
    waiting: dict
    has_begun: bool = True
    long_term_rates: dict = dataclasses.field(default_factory=dict)

    def rate(self, name):
        """Return the rate of a model plus its number of waiting requests."""
        return self.rates.get(name, 0.0) + self.waiting.get(name, 0)


@dataclasses.dataclass(frozen=True)
class PlanStep:
    """The load of a model at one engine, with the evictions before it.

    Parameters
    ----------
    endpoint : str
    orders : tuple of dogwoodwheel.entry.datatypes.Order
        Unloads that free memory, then the load; each order waits for the
        previous one.
    reason : str
        One of `ABSENT`, `BUSY` and `PRELOAD`.
    from_store : bool
        Whether the model is loaded from the weight store.
    """

    endpoint: str
    orders: tuple
    reason: str
    from_store: bool = False

    @property
    def model(self):
        """Model that is loaded."""
        return self.orders[-1].model


def plan(spec, engines, demand, store_loads):
    """Return the next steps, at most one for each engine.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : sequence of EngineView
        Engines that may receive requests.
    demand : Demand
    store_loads : int
        Number of loads from the weight store that may begin now.

    Returns
    -------
    list of PlanStep
    """
    planner = _Planner(spec, engines, demand, store_loads)
    for name, reason in planner.models_to_load():
        planner.add_load(name, reason)
    return planner.steps


class _Planner:
    """One round of planning."""

    def __init__(self, spec, engines, demand, store_loads):
        self.spec = spec
        self.engines = {engine.id: engine for engine in engines}
        self.demand = demand
        self.store_loads_left = store_loads
        self.store_loads_running = sum(e.from_store for e in engines)
        self.steps = []
        self.occupied = {e.id for e in engines if e.busy or e.loading_model}
        self.replicas = {
            name: sum(
                name in e.models or e.loading_model == name for e in engines
            )
            for name in spec.models
        }
        self.copies = {
            name: sum(
                name in e.models
                or e.loading_model == name
                or name in e.on_disk
                or name in e.in_memory
                for e in engines
            )
            for name in spec.models
        }
        self.adapter_reserve_mb = spec.adapter_slots * max(
            (m.adapter_mb for m in spec.models.values()), default=0.0
        )

    def models_to_load(self):
        """Yield models to load, each with its reason, most urgent first."""
        urgent = []
        for name in self.spec.models:
            if not self.replicas[name]:
                waiting = self.demand.waiting.get(name, 0)
                if waiting or self.demand.rate(name) > ABSENT_RATE:
                    urgent.append((self.demand.rate(name), name, ABSENT))
            elif self.replicas_needed(name) > self.replicas[name]:
                urgent.append((self.excess_rate(name), name, BUSY))
        for _, name, reason in sorted(urgent, reverse=True):
            yield name, reason
        for name in sorted(self.spec.models):
            if not self.copies[name]:
                yield name, PRELOAD

    def excess_rate(self, name):
        """Return a model's request rate minus its replicas' capacity."""
        capacity = RATE_PER_REPLICA * self.replicas[name]
        return self.demand.rates.get(name, 0.0) - capacity

    def replicas_needed(self, name):
        """Return the number of replicas that a model's demand requires."""
        rate = self.demand.rates.get(name, 0.0)
        count = math.ceil(rate / RATE_PER_REPLICA)
        if rate > SPARE_REPLICA_RATE:
            count = max(2, count)
        return min(count, len(self.engines))

    def add_load(self, name, reason):
        """Plan the load of a model at the cheapest engine, if any."""
        if reason == ABSENT and self.copy_is_available_soon(name):
            return
        best = None
        for engine in self.engines.values():
            if engine.id in self.occupied or name in engine.models:
                continue
            option = self.load_cost(engine, name, reason)
            if option is not None and (best is None or option[0] < best[0]):
                best = (*option, engine)
        if best is None:
            return
        _, victims, from_store, engine = best
        self.occupied.add(engine.id)
        if from_store:
            self.store_loads_left -= 1
            self.store_loads_running += 1
        for victim in victims:
            self.replicas[victim] -= 1
        self.replicas[name] += 1
        orders = [datatypes.Order(engine.id, False, v) for v in victims]
        orders.append(datatypes.Order(engine.id, True, name))
        self.steps.append(
            PlanStep(engine.id, tuple(orders), reason, from_store)
        )

    def copy_is_available_soon(self, name):
        """Return whether to wait for an occupied engine with a copy.

        Notes
        -----
        Waiting takes less time than a load from the weight store, unless a
        free engine has a copy too or the engine loads from the store.
        """
        free = soon = False
        for engine in self.engines.values():
            if name in engine.on_disk or name in engine.in_memory:
                if engine.id not in self.occupied:
                    free = True
                elif not engine.from_store:
                    soon = True
        return soon and not free

    def load_cost(self, engine, name, reason):
        """Return cost in seconds, models to evict and store use, or None."""
        size_mb = self.spec.models[name].size_mb
        load_s, from_store = self.load_source(engine, name)
        if from_store and not self.may_use_store(name, reason):
            return None
        if from_store:
            probability = self.last_copy_probability(engine, name)
            if reason == PRELOAD and probability > MAX_LAST_COPY_PROBABILITY:
                return None
            load_s += LAST_COPY_COST_S * probability
            load_s += BLOCKED_COST_S * sum(
                self.demand.rates.get(m, 0.0) for m in engine.models
            )
        free_mb = (
            self.spec.memory_mb
            - self.adapter_reserve_mb
            - sum(
                self.spec.models[held].size_mb
                for held in engine.models
                if held in self.spec.models
            )
        )
        victims = []
        eviction_cost = 0.0
        for cost, victim in self.eviction_candidates(engine, name, reason):
            if free_mb >= size_mb:
                break
            victims.append(victim)
            eviction_cost += cost
            free_mb += self.spec.models[victim].size_mb
        if free_mb < size_mb:
            return None
        in_flight = sum(engine.in_flight.values())
        total = load_s + eviction_cost + IN_FLIGHT_COST_S * in_flight
        return total, victims, from_store

    def load_source(self, engine, name):
        """Return the time of a load, seconds, and if it uses the store."""
        spec = self.spec.models[name]
        if name in engine.in_memory:
            return spec.memory_load_s, False
        if name in engine.on_disk:
            return spec.disk_load_s, False
        return spec.store_load_s, True

    def may_use_store(self, name, reason):
        """Return whether a load from the weight store may begin."""
        if reason == BUSY and self.excess_rate(name) < STORE_EXCESS_RATE:
            return False
        limit = MAX_STORE_LOADS_FOR_PRELOAD
        if not self.demand.has_begun:
            limit = MAX_STORE_LOADS
        elif reason in (ABSENT, BUSY):
            engines = round(len(self.engines) * STORE_ENGINE_FRACTION)
            limit = max(1, min(MAX_STORE_LOADS, engines))
        return self.store_loads_left > 0 and self.store_loads_running < limit

    def last_copy_probability(self, engine, name):
        """Return the probability that a load evicts a last copy, 0 to 1.

        Notes
        -----
        Only the engine knows which of its copies is the least recently
        used one and will be evicted, so all are equally likely.
        """
        specs = self.spec.models
        held = [m for m in engine.on_disk if m in specs]
        used_mb = sum(specs[m].size_mb for m in held)
        if used_mb + specs[name].size_mb <= self.spec.disk_mb:
            return 0.0
        last_copies = sum(self.copies[m] <= 1 for m in held)
        return last_copies / max(1, len(held))

    def eviction_candidates(self, engine, name, reason):
        """Return cost and name of models that may be evicted, sorted."""
        candidates = []
        for held in engine.models:
            if held not in self.spec.models or engine.has_requests(held):
                continue
            if self.demand.waiting.get(held):
                continue
            if reason == PRELOAD and held not in engine.preloaded:
                continue
            left = self.replicas[held] - 1
            rate = self.demand.rate(held)
            gain = self.demand.rate(name) / (self.replicas[name] + 1)
            if rate > IDLE_RATE:
                if reason == PRELOAD:
                    continue
                if self.replicas_needed(held) > left and reason == BUSY:
                    if rate / max(left, 0.5) * DISPLACE_FACTOR > gain:
                        continue
                if not left and rate > gain:
                    continue
            peak_rate = max(rate, self.demand.long_term_rates.get(held, 0.0))
            cost = peak_rate / (left + 0.2)
            # Without the last replica, the next load may need the store.
            cost += 0.3 if not left else 0.0
            candidates.append((cost, held))
        return sorted(candidates)
