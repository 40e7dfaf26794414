"""Which models engines should load and unload next.

Notes
-----
Load patterns: demand moves from the busiest models to others, in no
known order; rare models are asked for at once; engines are lost, come
back empty, or leave at short notice.

A copy of weights on a worker's disk turns a load of seconds into one of
tenths, so models that are nowhere are loaded once ahead of need, and
engines swap from these copies as the demand moves.
"""

import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["AHEAD", "EngineView", "Demand", "Plan", "plan"]

# Why a model is loaded.
ABSENT = "absent"
BUSY = "busy"
AHEAD = "no copy"
# Requests a second that one replica is to bear.
RATE_PER_REPLICA = 3.0
# Above this rate a model has a second replica in case one is lost.
SPARE_RATE = 0.5
# Below this rate, requests a second, a model's replica may make way.
IDLE_RATE = 0.04
# Above this rate an absent model is loaded though no request waits.
ABSENT_RATE = 0.3
# Gain in rate per replica by which one may displace another.
DISPLACE_FACTOR = 2.0
# A model with a replica is loaded from the store only where the rate is so
# much above what its replicas are to bear, requests a second.
STORE_EXCESS = 2.0
# What it costs to drop the only copy of a model from a disk, seconds.
LAST_COPY_S = 3.0
# Chance of that up to which a copy is loaded ahead of need.
LAST_COPY_CHANCE = 0.2
# What a load from the store costs the requests for the models that an
# engine holds, whose adapters cannot be loaded meanwhile; seconds for each
# request a second.
BLOCKED_S = 1.5
# Loads from the store that may go on while none is urgent, and at all; and
# the part of the engines that may be taken up by them, since an engine
# carries out one order at a time and cannot swap meanwhile.
CALM_STORE_LOADS = 1
MAX_STORE_LOADS = 4
STORE_PART = 0.34
# What one request in flight adds to the cost of a place, seconds.
IN_FLIGHT_COST_S = 0.05


@dataclasses.dataclass(frozen=True)
class EngineView:
    """What the leader knows of one engine.

    Parameters
    ----------
    id : str
    models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
    in_memory, on_disk : frozenset of str
    busy : bool
        Whether an order goes on.
    coming : str
        Model that is being loaded; empty for none.
    from_store : bool
        Whether it comes from the weight store.
    in_flight : dict of str to int
        Requests by ``MODEL`` or ``MODEL/ADAPTER``.
    ahead : frozenset of str
        Models that were loaded ahead of need.
    """

    id: str
    models: dict
    in_memory: frozenset = frozenset()
    on_disk: frozenset = frozenset()
    busy: bool = False
    loading_model: str = ""
    from_store: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)
    ahead: frozenset = frozenset()

    def uses(self, name):
        """Tell whether requests for a model or its adapters are there."""
        return any(n.partition("/")[0] == name for n in self.in_flight)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for the models of a service.

    Parameters
    ----------
    rates : dict of str to float
        Requests a second, over all entries.
    waiting : dict of str to int
        Requests that wait for a model, or ``MODEL/ADAPTER``.
    begun : bool
        Whether any request was seen; before it nothing is urgent.
    slow : dict of str to float
        Requests a second over a longer time, by which models that are
        rarely asked for differ.
    """

    rates: dict
    waiting: dict
    begun: bool = True
    slow: dict = dataclasses.field(default_factory=dict)

    def rate(self, name):
        """Return the rate of a model, with those that wait for it."""
        return self.rates.get(name, 0.0) + self.waiting.get(name, 0)


@dataclasses.dataclass(frozen=True)
class Plan:
    """A step of placement at one engine.

    Parameters
    ----------
    endpoint : str
    orders : tuple of dogwoodwheel.entry.datatypes.Order
        Unloads that make room, then the load; each waits for the one
        before.
    why : str
    from_store : bool
        Whether it loads from the weight store.
    """

    endpoint: str
    orders: tuple
    why: str
    from_store: bool = False

    @property
    def model(self):
        """Model that is loaded."""
        return self.orders[-1].model


def plan(spec, engines, demand, store_loads):
    """Return the next steps, at most one an engine.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : sequence of EngineView
        Engines that may receive requests.
    demand : Demand
    store_loads : int
        Loads from the weight store that may begin now.

    Returns
    -------
    list of Plan
    """
    planner = _Planner(spec, engines, demand, store_loads)
    for name, why in planner.needs():
        planner.add(name, why)
    return planner.steps


class _Planner:
    """One round of planning."""

    def __init__(self, spec, engines, demand, store_loads):
        self.spec = spec
        self.engines = {engine.id: engine for engine in engines}
        self.demand = demand
        self.store_left = store_loads
        self.store_going = sum(e.from_store for e in engines)
        self.steps = []
        self.taken = {e.id for e in engines if e.busy or e.loading_model}
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
        self.reserve_mb = spec.adapter_slots * max(
            (m.adapter_mb for m in spec.models.values()), default=0.0
        )

    def needs(self):
        """Yield models to load with the reason, most urgent first."""
        found = []
        for name in self.spec.models:
            if not self.replicas[name]:
                waits = self.demand.waiting.get(name, 0)
                if waits or self.demand.rate(name) > ABSENT_RATE:
                    found.append((self.demand.rate(name), name, ABSENT))
            elif self.wanted(name) > self.replicas[name]:
                found.append((self.excess(name), name, BUSY))
        for _, name, why in sorted(found, reverse=True):
            yield name, why
        for name in sorted(self.spec.models):
            if not self.copies[name]:
                yield name, AHEAD

    def excess(self, name):
        """Return the rate above what a model's replicas are to bear."""
        bears = RATE_PER_REPLICA * self.replicas[name]
        return self.demand.rates.get(name, 0.0) - bears

    def wanted(self, name):
        """Return how many replicas a model's demand asks for."""
        rate = self.demand.rates.get(name, 0.0)
        count = math.ceil(rate / RATE_PER_REPLICA)
        if rate > SPARE_RATE:
            count = max(2, count)
        return min(count, len(self.engines))

    def add(self, name, why):
        """Plan the load of a model at the best engine, if there is one."""
        if why == ABSENT and self.copy_is_near(name):
            return
        best = None
        for engine in self.engines.values():
            if engine.id in self.taken or name in engine.models:
                continue
            found = self.cost(engine, name, why)
            if found is not None and (best is None or found[0] < best[0]):
                best = (*found, engine)
        if best is None:
            return
        _, victims, from_store, engine = best
        self.taken.add(engine.id)
        if from_store:
            self.store_left -= 1
            self.store_going += 1
        for victim in victims:
            self.replicas[victim] -= 1
        self.replicas[name] += 1
        orders = [datatypes.Order(engine.id, False, v) for v in victims]
        orders.append(datatypes.Order(engine.id, True, name))
        self.steps.append(Plan(engine.id, tuple(orders), why, from_store))

    def copy_is_near(self, name):
        """Tell whether an engine with a copy is just ending an order.

        Notes
        -----
        Waiting for it takes less than a load from the weight store.
        """
        free = near = False
        for engine in self.engines.values():
            if name in engine.on_disk or name in engine.in_memory:
                if engine.id not in self.taken:
                    free = True
                elif not engine.from_store:
                    near = True
        return near and not free

    def cost(self, engine, name, why):
        """Return cost, victims and source of a load, or None."""
        size_mb = self.spec.models[name].size_mb
        source_s, from_store = self.source(engine, name)
        if from_store and not self.may_use_store(name, why):
            return None
        if from_store:
            chance = self.drop_chance(engine, name)
            if why == AHEAD and chance > LAST_COPY_CHANCE:
                return None
            source_s += LAST_COPY_S * chance
            source_s += BLOCKED_S * sum(
                self.demand.rates.get(m, 0.0) for m in engine.models
            )
        free_mb = (
            self.spec.memory_mb
            - self.reserve_mb
            - sum(
                self.spec.models[held].size_mb
                for held in engine.models
                if held in self.spec.models
            )
        )
        victims = []
        lost = 0.0
        for value, victim in self.victims(engine, name, why):
            if free_mb >= size_mb:
                break
            victims.append(victim)
            lost += value
            free_mb += self.spec.models[victim].size_mb
        if free_mb < size_mb:
            return None
        flying = sum(engine.in_flight.values())
        cost = source_s + lost + IN_FLIGHT_COST_S * flying
        return cost, victims, from_store

    def source(self, engine, name):
        """Return the time of a load and whether it uses the store."""
        spec = self.spec.models[name]
        if name in engine.in_memory:
            return spec.memory_load_s, False
        if name in engine.on_disk:
            return spec.disk_load_s, False
        return spec.store_load_s, True

    def may_use_store(self, name, why):
        """Tell whether a load from the weight store may begin."""
        if why == BUSY and self.excess(name) < STORE_EXCESS:
            return False
        most = CALM_STORE_LOADS
        if not self.demand.begun:
            most = MAX_STORE_LOADS
        elif why in (ABSENT, BUSY):
            part = round(len(self.engines) * STORE_PART)
            most = max(1, min(MAX_STORE_LOADS, part))
        return self.store_left > 0 and self.store_going < most

    def drop_chance(self, engine, name):
        """Return the chance that a full disk drops a last copy.

        Notes
        -----
        Only the engine knows which copy was used longest ago.
        """
        specs = self.spec.models
        held = [m for m in engine.on_disk if m in specs]
        used_mb = sum(specs[m].size_mb for m in held)
        if used_mb + specs[name].size_mb <= self.spec.disk_mb:
            return 0.0
        last = sum(self.copies[m] <= 1 for m in held)
        return last / max(1, len(held))

    def victims(self, engine, name, why):
        """Return models that may make way, cheapest first, with costs."""
        found = []
        for held in engine.models:
            if held not in self.spec.models or engine.uses(held):
                continue
            if self.demand.waiting.get(held):
                continue
            if why == AHEAD and held not in engine.ahead:
                continue
            left = self.replicas[held] - 1
            rate = self.demand.rate(held)
            gain = self.demand.rate(name) / (self.replicas[name] + 1)
            if rate > IDLE_RATE:
                if why == AHEAD:
                    continue
                if self.wanted(held) > left and why == BUSY:
                    if rate / max(left, 0.5) * DISPLACE_FACTOR > gain:
                        continue
                if not left and rate > gain:
                    continue
            often = max(rate, self.demand.slow.get(held, 0.0))
            loss = often / (left + 0.2)
            # The last copy costs a load from the store to get back.
            loss += 0.3 if not left else 0.0
            found.append((loss, held))
        return sorted(found)
