"""Plans which models engines load and unload next.

Notes
-----
Workload: demand moves from the busiest models to others in an
unpredictable order; requests for rarely used models arrive together;
engines are lost, return empty, or leave at short notice.

Loading a model takes seconds from the weight store, but tenths of a second
from a copy of its weights on the engine's disk.  A model without a copy is
therefore preloaded, and engines load models from copies as demand moves.
"""

import collections
import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["PRELOAD", "EngineView", "Demand", "PlanStep", "plan"]

# Reasons for a model load: the model has no replica, its replicas are busy, or
# no engine has a copy of its weights.
ABSENT = "absent"
BUSY = "busy"
PRELOAD = "no copy"
# Request rate (per second) that one replica should serve.
RATE_PER_REPLICA = 3.0
# Request rate (per second) above which a model gets at least two replicas, so
# that the model stays available if an engine is lost.
MIN_SPARE_REPLICA_RATE = 0.5
# Request rate (per second) up to which any other model may displace a model.
MAX_IDLE_RATE = 0.04
# Number of expected requests above which a model without replicas is loaded
# even if no request waits for it, because requests with short deadlines are
# refused at once.
MIN_EXPECTED_REQUESTS = 2.0
# A model that needs all of its replicas may be evicted only for a busy model
# whose request rate per replica is at least this many times as high.  The
# replicas of both models are counted as they will be after the load.
MIN_DISPLACE_RATIO = 2.0
# An additional replica is loaded from the weight store only if the model's
# rate exceeds its replicas' capacity by at least this, per second.
MIN_EXCESS_RATE = 2.0
# Cost of evicting the last copy of a model's weights from a disk, seconds.
LAST_COPY_COST_S = 3.0
# A model is preloaded only if the probability that its load evicts the last
# copy of another model's weights is at most this.
MAX_LAST_COPY_PROBABILITY = 0.2
# Cost of a load from the weight store, seconds per unit of the request rate
# (per second) of the engine's models, whose adapters cannot load meanwhile.
BLOCKED_COST_S = 1.5
# Maximum number of concurrent loads from the weight store if the next load is
# a preload, and if it is urgent (reason ABSENT or BUSY).  Before the first
# request, the limit for urgent loads also applies to preloads.
MAX_WEIGHT_STORE_PRELOADS = 1
MAX_WEIGHT_STORE_LOADS = 4
# Maximum fraction of engines that load from the weight store at a time.  An
# engine carries out one order at a time; the rest stay free for other loads.
MAX_WEIGHT_STORE_FRACTION = 0.27
# Time over which the requests are counted that a model load may serve, s.
VALUE_HORIZON_S = 10.0
# Value of a request that was not served since a model lost its last replica,
# and the maximum number of such requests that count.
UNSERVED_VALUE = 1.0
MAX_UNSERVED = 12
# Value of a request beyond the capacity of a model's replicas, which is served
# late, relative to a request for a model without replicas.
BUSY_VALUE = 0.1
# Cost of each request in flight at the engine that loads a model, seconds.
IN_FLIGHT_COST_S = 0.05


@dataclasses.dataclass(frozen=True)
class EngineView:
    """The leader's view of one engine in a round of planning.

    Parameters
    ----------
    id : str
    models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
    memory_weights, disk_weights : frozenset of str
        Models whose weights the engine keeps in host memory or on disk.
    busy : bool
        Whether the engine carries out an order or cannot accept an order.
    loading_model : str
        Model that is being loaded; empty for none.
    loading_from_weight_store : bool
        Whether `loading_model` is loaded from the weight store.
    failing : bool
        Whether most requests to the engine fail.
    in_flight : dict of str to int
        Requests in flight by ``MODEL`` or ``MODEL/ADAPTER``.
    preloaded_models : frozenset of str
        Models that were loaded before any request needed them.
    """

    id: str
    models: dict
    memory_weights: frozenset = frozenset()
    disk_weights: frozenset = frozenset()
    busy: bool = False
    loading_model: str = ""
    loading_from_weight_store: bool = False
    failing: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)
    preloaded_models: frozenset = frozenset()

    def copied_models(self):
        """Return the models whose weights the engine has or is loading."""
        return {
            *self.models,
            self.loading_model,
            *self.disk_weights,
            *self.memory_weights,
        }

    def has_requests(self, name):
        """Return whether a model or its adapters have requests in flight."""
        return any(n.partition("/")[0] == name for n in self.in_flight)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for the models of a service.

    Parameters
    ----------
    request_rates : dict of str to float
        Requests a second by model, over all entries.
    waiting : dict of str to int
        Number of waiting requests by ``MODEL`` or ``MODEL/ADAPTER``.
    unserved : dict of str to int
        Number of requests for each model without replicas since the model
        was last seen at an engine.
    has_seen_requests : bool
        Whether any entry has received a request.
    long_term_rates : dict of str to float
        Like `request_rates`, but averaged over a longer time, so that the
        rates of rarely requested models do not all decay to about zero.
    """

    request_rates: dict
    waiting: dict
    has_seen_requests: bool = True
    long_term_rates: dict = dataclasses.field(default_factory=dict)
    unserved: dict = dataclasses.field(default_factory=dict)

    def level(self, name):
        """Return a model's request rate (per second) plus waiting requests."""
        return self.request_rates.get(name, 0.0) + self.waiting.get(name, 0)


@dataclasses.dataclass(frozen=True)
class PlanStep:
    """A model load at one engine, and the evictions that precede it.

    Parameters
    ----------
    endpoint : str
    orders : tuple of dogwoodwheel.entry.datatypes.Order
        Unloads that free memory, then the load, sent one after another.
    reason : str
        One of `ABSENT`, `BUSY` and `PRELOAD`.
    uses_weight_store : bool
        Whether the model is loaded from the weight store.
    """

    endpoint: str
    orders: tuple
    reason: str
    uses_weight_store: bool = False

    @property
    def model(self):
        """Name of the model to load."""
        return self.orders[-1].model


def plan(spec, engines, demand, weight_store_loads):
    """Return the next model loads, at most one for each engine.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : sequence of EngineView
        Engines that may receive requests.
    demand : Demand
    weight_store_loads : int
        Number of loads from the weight store that may begin now.

    Returns
    -------
    list of PlanStep
    """
    planner = _Planner(spec, engines, demand, weight_store_loads)
    for name, reason in planner.models_to_load():
        planner.plan_model_load(name, reason)
    return planner.steps


def _sound_engines(engines):
    """Return the engines that do not fail most of their requests.

    Notes
    -----
    Workload: some engines reset each connection although their health check
    is good.  Their models are loaded elsewhere.  If most engines seem to
    fail, the fault is not theirs, and other engines would not help.
    """
    sound_engines = [e for e in engines if not e.failing]
    if 2 * len(sound_engines) < len(engines):
        return list(engines)
    return sound_engines


class _Planner:
    """State of one round of planning."""

    def __init__(self, spec, engines, demand, weight_store_loads):
        self.spec = spec
        self.engines = {engine.id: engine for engine in engines}
        self.demand = demand
        self.weight_store_loads_left = weight_store_loads
        self.weight_store_loads_running = sum(
            e.loading_from_weight_store for e in engines
        )
        self.steps = []
        sound_engines = _sound_engines(engines)
        self.busy_ids = {e.id for e in engines} - {
            e.id for e in sound_engines if not (e.busy or e.loading_model)
        }
        self.replica_counts = dict.fromkeys(spec.models, 0)
        for engine in sound_engines:
            for name in {*engine.models, engine.loading_model}:
                if name in self.replica_counts:
                    self.replica_counts[name] += 1
        self.copy_counts = dict.fromkeys(spec.models, 0)
        for engine in engines:
            for name in engine.copied_models():
                if name in self.copy_counts:
                    self.copy_counts[name] += 1
        self.free_copy_counts = collections.Counter(
            name
            for e in engines
            if e.id not in self.busy_ids
            for name in e.disk_weights | e.memory_weights
        )
        self.adapter_reserve_mb = spec.adapter_slots * max(
            (m.adapter_mb for m in spec.models.values()), default=0.0
        )

    def models_to_load(self):
        """Yield models to load, most urgent first, each with its reason."""
        urgent = []
        for name in self.spec.models:
            if not self.replica_counts[name]:
                value = self.expected_requests(name)
                if (
                    self.demand.waiting.get(name)
                    or value > MIN_EXPECTED_REQUESTS
                ):
                    urgent.append((value, name, ABSENT))
            elif self.replicas_needed(name) > self.replica_counts[name]:
                value = BUSY_VALUE * VALUE_HORIZON_S * self.excess_rate(name)
                urgent.append((value, name, BUSY))
        for _, name, reason in sorted(urgent, reverse=True):
            yield name, reason
        for name in sorted(self.spec.models):
            if not self.copy_counts[name]:
                yield name, PRELOAD

    def expected_requests(self, name):
        """Return how many requests a load of a model is expected to serve.

        Notes
        -----
        Workload: many rarely requested models without copies.  Each has one
        request at a time, so those that were refused before go first.
        """
        rates = self.demand.request_rates, self.demand.long_term_rates
        unserved = min(MAX_UNSERVED, self.demand.unserved.get(name, 0))
        return (
            self.demand.waiting.get(name, 0)
            + sum(VALUE_HORIZON_S / 2 * r.get(name, 0.0) for r in rates)
            + UNSERVED_VALUE * unserved
        )

    def excess_rate(self, name):
        """Return by how much a model's rate exceeds its replicas' capacity."""
        capacity = RATE_PER_REPLICA * self.replica_counts[name]
        return self.demand.request_rates.get(name, 0.0) - capacity

    def replicas_needed(self, name):
        """Return the number of replicas that a model's rate requires."""
        rate = self.demand.request_rates.get(name, 0.0)
        replica_count = math.ceil(rate / RATE_PER_REPLICA)
        if rate > MIN_SPARE_REPLICA_RATE:
            replica_count = max(2, replica_count)
        return min(replica_count, len(self.engines))

    def plan_model_load(self, name, reason):
        """Plan a model load at the engine where the load costs least."""
        if not self.free_copy_counts[name] and not self.may_use_weight_store(
            name, reason
        ):
            return
        if reason == ABSENT and self.copy_is_available_soon(name):
            return
        best = None
        for engine in self.engines.values():
            if engine.id in self.busy_ids or name in engine.models:
                continue
            option = self.load_cost(engine, name, reason)
            if option is not None and (best is None or option[0] < best[0]):
                best = (*option, engine)
        if best is None:
            return
        _, victims, uses_weight_store, engine = best
        self.busy_ids.add(engine.id)
        if uses_weight_store:
            self.weight_store_loads_left -= 1
            self.weight_store_loads_running += 1
        for victim in victims:
            self.replica_counts[victim] -= 1
        self.replica_counts[name] += 1
        orders = [datatypes.Order(engine.id, False, v) for v in victims]
        orders.append(datatypes.Order(engine.id, True, name))
        self.steps.append(
            PlanStep(engine.id, tuple(orders), reason, uses_weight_store)
        )

    def copy_is_available_soon(self, name):
        """Return whether only busy engines have a copy of the weights.

        Notes
        -----
        Waiting for a busy engine takes less time than a load from the
        weight store, unless that engine itself loads from the weight store.
        """
        free_engine_has_copy = busy_engine_has_copy = False
        for engine in self.engines.values():
            if name in engine.disk_weights or name in engine.memory_weights:
                if engine.id not in self.busy_ids:
                    free_engine_has_copy = True
                elif not engine.loading_from_weight_store:
                    busy_engine_has_copy = True
        return busy_engine_has_copy and not free_engine_has_copy

    def load_cost(self, engine, name, reason):
        """Return (cost in s, models to evict, uses_weight_store) or None."""
        size_mb = self.spec.models[name].size_mb
        load_s, uses_weight_store = self.load_source(engine, name)
        if uses_weight_store and not self.may_use_weight_store(name, reason):
            return None
        if uses_weight_store:
            probability = self.last_copy_probability(engine, name)
            if reason == PRELOAD and probability > MAX_LAST_COPY_PROBABILITY:
                return None
            load_s += LAST_COPY_COST_S * probability
            load_s += BLOCKED_COST_S * self.blocked_demand(engine, name)
        free_mb = (
            self.spec.memory_mb
            - self.adapter_reserve_mb
            - sum(
                self.spec.models[held_model].size_mb
                for held_model in engine.models
                if held_model in self.spec.models
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
        total_cost = load_s + eviction_cost + IN_FLIGHT_COST_S * in_flight
        return total_cost, victims, uses_weight_store

    def load_source(self, engine, name):
        """Return load time, seconds, and whether the weight store is used."""
        spec = self.spec.models[name]
        if name in engine.memory_weights:
            return spec.memory_load_s, False
        if name in engine.disk_weights:
            return spec.disk_load_s, False
        return spec.store_load_s, True

    def may_use_weight_store(self, name, reason):
        """Return whether another load from the weight store may begin."""
        if reason == BUSY and self.excess_rate(name) < MIN_EXCESS_RATE:
            return False
        max_loads = MAX_WEIGHT_STORE_PRELOADS
        if not self.demand.has_seen_requests:
            max_loads = MAX_WEIGHT_STORE_LOADS
        elif reason in (ABSENT, BUSY):
            max_engines = round(len(self.engines) * MAX_WEIGHT_STORE_FRACTION)
            max_loads = max(1, min(MAX_WEIGHT_STORE_LOADS, max_engines))
        return (
            self.weight_store_loads_left > 0
            and self.weight_store_loads_running < max_loads
        )

    def blocked_demand(self, engine, name):
        """Return the demand that waits while an engine loads a model.

        Notes
        -----
        Requests per second and waiting requests for the engine's models,
        whose adapters cannot load meanwhile, and for models without
        replicas that no other free engine has a copy of.
        """
        demand = sum(
            self.demand.request_rates.get(m, 0.0) for m in engine.models
        )
        for model_name in engine.disk_weights | engine.memory_weights:
            if model_name == name or self.replica_counts.get(model_name, 1):
                continue
            if self.free_copy_counts.get(model_name, 0) <= 1:
                demand += self.expected_requests(model_name)
        return demand

    def last_copy_probability(self, engine, name):
        """Return the probability, 0 to 1, that a load evicts a last copy.

        Notes
        -----
        The engine evicts the least recently used copy from its disk.  Only
        the engine knows the order of use: all copies count as equally likely.
        """
        model_specs = self.spec.models
        copied_models = [m for m in engine.disk_weights if m in model_specs]
        used_mb = sum(model_specs[m].size_mb for m in copied_models)
        if used_mb + model_specs[name].size_mb <= self.spec.disk_mb:
            return 0.0
        last_copies = sum(self.copy_counts[m] <= 1 for m in copied_models)
        return last_copies / max(1, len(copied_models))

    def eviction_candidates(self, engine, name, reason):
        """Return (cost, name) of each evictable model, lowest cost first."""
        candidates = []
        for victim in engine.models:
            if victim not in self.spec.models or engine.has_requests(victim):
                continue
            if self.demand.waiting.get(victim):
                continue
            if reason == PRELOAD and victim not in engine.preloaded_models:
                continue
            remaining = self.replica_counts[victim] - 1
            rate = self.demand.level(victim)
            gain = self.demand.level(name) / (self.replica_counts[name] + 1)
            if rate > MAX_IDLE_RATE:
                if reason == PRELOAD:
                    continue
                if self.replicas_needed(victim) > remaining and reason == BUSY:
                    if rate / max(remaining, 0.5) * MIN_DISPLACE_RATIO > gain:
                        continue
                if not remaining and rate > gain:
                    continue
            peak_rate = max(rate, self.demand.long_term_rates.get(victim, 0.0))
            cost = peak_rate / (remaining + 0.2)
            # A model without replicas may need a load from the weight store.
            cost += 0.3 if not remaining else 0.0
            candidates.append((cost, victim))
        return sorted(candidates)
