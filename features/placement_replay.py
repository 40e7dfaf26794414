"""Replays the demand of a day against the leader's decisions.

Engines, the weight store and callers are simulated in steps of `STEP_S`; all
decisions are those of `planner`, `rates` and `load_waits`.
"""

import collections
import dataclasses
import random

from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import load_waits
from dogwoodwheel.entry import planner
from dogwoodwheel.entry import rates

__all__ = [
    "Arrival",
    "Replay",
    "large_fleet",
    "rare_and_shifting",
    "small_fleet",
]

STEP_S = 0.1
# Time between an arrival at an entry and its effect at an engine, through a
# heartbeat to the leader, a plan and an order.
ORDER_DELAY_S = 0.2
# Part of the time left that a caller spends on Retry-After at most.
RETRY_AFTER_PART = 1 / 3
# A model counts as asked for throughout if it was asked for this often, over
# at least this time.
STARVED_REQUESTS = 4
STARVED_SPAN_S = 8.0
# Time for which a request runs at an engine, seconds.
RUN_S = 0.6


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request as its caller sends it first."""

    at: float
    model: str
    kind: str
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    work_s: float


class _Engine:
    def __init__(self, name, held, disk):
        self.name = name
        self.held = list(held)
        # Least recently used copies come first.
        self.disk = list(disk)
        self.loading = ""
        self.from_store = False
        self.work_left_s = 0.0
        self.running = []
        # When the engine has read the prompts of all requests that it has.
        self.free_at = -1e9
        self.preloaded = set()

    def begin(self, step, spec):
        for order in step.orders:
            if not order.load:
                assert order.model not in [m for _, m in self.running]
                self.held.remove(order.model)
        self.loading = step.model
        self.from_store = step.uses_weight_store
        model = spec.models[step.model]
        self.work_left_s = (
            model.store_load_s if self.from_store else model.disk_load_s
        )
        if step.reason == planner.PRELOAD:
            self.preloaded.add(step.model)

    def end(self, spec):
        name, self.loading, self.from_store = self.loading, "", False
        self.held.append(name)
        size = sum(spec.models[m].size_mb for m in self.held)
        assert size <= spec.memory_mb, (self.name, self.held)
        if name in self.disk:
            self.disk.remove(name)
        self.disk.append(name)
        while sum(spec.models[m].size_mb for m in self.disk) > spec.disk_mb:
            self.disk.pop(0)
        return name


class Replay:
    """One day: engines, a weight store and the arrivals of requests.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : dict of str to (list of str, list of str)
        Models that each engine holds, and copies on its disk.
    arrivals : list of Arrival
    at_once : int
        Concurrent loads that the weight store serves at full speed.
    lead_s : float
        Time before the first request.
    away : dict of str to (float, float)
        Engines that receive neither requests nor orders from one moment to
        another, as their availability zone is evacuated.
    """

    def __init__(
        self, spec, engines, arrivals, at_once=4, lead_s=12.0, away=None
    ):
        self.away = away or {}
        self.spec = spec
        self.engines = {
            name: _Engine(name, held, disk)
            for name, (held, disk) in engines.items()
        }
        self.at_once = at_once
        self.now = -lead_s
        self.request_rates = rates.RequestRates()
        self.totals = collections.Counter()
        self.queue = collections.deque(sorted(arrivals, key=lambda a: a.at))
        self.returns = []
        self.waiting = []
        self.outcomes = {}
        self.store_loads = 0
        self.begun_at = {}

    def run(self, until_s):
        """Play until a moment, in seconds from the first request."""
        rounds = 0
        while self.now < until_s:
            self._end_loads()
            self._admit()
            self._serve()
            self._refuse()
            if rounds % round(ORDER_DELAY_S / STEP_S) == 0:
                self._plan()
            rounds += 1
            self.now += STEP_S
        return self

    def _end_loads(self):
        running = sum(e.from_store for e in self.engines.values())
        speed = min(1.0, self.at_once / running) if running else 1.0
        for engine in self.engines.values():
            engine.running = [r for r in engine.running if r[0] > self.now]
            if engine.loading:
                engine.work_left_s -= STEP_S * (
                    speed if engine.from_store else 1.0
                )
                if engine.work_left_s <= 0:
                    self.begun_at.pop(engine.end(self.spec), None)

    def _admit(self):
        while self.queue and self.queue[0].at <= self.now:
            arrival = self.queue.popleft()
            self.totals["", arrival.model] += 1
            self.waiting.append((arrival, self.now, True))
        for item in [r for r in self.returns if r[0] <= self.now]:
            self.returns.remove(item)
            self.totals["", item[1].model] += 1
            self.waiting.append((item[1], self.now, False))

    def _usable(self):
        return [
            engine
            for engine in self.engines.values()
            if not self._is_away(engine.name)
        ]

    def _is_away(self, name):
        began_s, ended_s = self.away.get(name, (0.0, 0.0))
        return began_s <= self.now < ended_s

    def _holders(self, name):
        return [e for e in self._usable() if name in e.held]

    def _serve(self):
        still = []
        for arrival, since, may_return in self.waiting:
            holders = self._holders(arrival.model)
            if not holders:
                still.append((arrival, since, may_return))
                continue
            engine = min(holders, key=lambda e: (e.free_at, len(e.running)))
            answer_at = max(engine.free_at, self.now) + arrival.work_s
            if answer_at > arrival.at + arrival.deadline_s:
                self.outcomes[arrival] = "refused"
                continue
            engine.free_at = answer_at
            engine.running.append((answer_at + RUN_S, arrival.model))
            in_aim = answer_at - arrival.at <= arrival.aim_s
            self.outcomes[arrival] = "in aim" if in_aim else "late"
        self.waiting = still

    def _refuse(self):
        still = []
        for arrival, since, may_return in self.waiting:
            left_s = arrival.at + arrival.deadline_s - self.now
            waited_s = self.now - since
            load = load_waits.ModelLoad(
                self._load_s(arrival.model), self._elapsed_s(arrival.model)
            )
            needed_s = load_waits.time_needed_s(
                load_waits.expected_load_s(load, waited_s), waited_s
            )
            if needed_s <= left_s:
                still.append((arrival, since, may_return))
                continue
            self.outcomes[arrival] = "refused"
            back_s = load_waits.retry_after_s(needed_s)
            if may_return and back_s < RETRY_AFTER_PART * left_s:
                self.returns.append((self.now + back_s, arrival))
        self.waiting = still

    def _load_s(self, name):
        model = self.spec.models[name]
        if any(name in e.disk for e in self._usable()):
            return model.disk_load_s
        return model.store_load_s

    def _elapsed_s(self, name):
        began_at = self.begun_at.get(name)
        return None if began_at is None else self.now - began_at

    def _plan(self):
        self.request_rates.update(dict(self.totals), self.now)
        waiting = collections.Counter(a.model for a, _, _ in self.waiting)
        demand = planner.Demand(
            self.request_rates.short_term_rates(),
            dict(waiting),
            bool(self.totals),
            self.request_rates.long_term_rates(),
        )
        views = [
            planner.EngineView(
                id=e.name,
                models={m: datatypes.LoadedModel(m) for m in e.held},
                disk_weights=frozenset(e.disk),
                busy=bool(e.loading),
                loading_model=e.loading,
                loading_from_weight_store=e.from_store,
                in_flight=dict(collections.Counter(m for _, m in e.running)),
                preloaded_models=frozenset(e.preloaded),
            )
            for e in self._usable()
        ]
        for step in planner.plan(self.spec, views, demand, 2):
            self.engines[step.endpoint].begin(step, self.spec)
            self.begun_at.setdefault(step.model, self.now)
            self.store_loads += step.uses_weight_store

    def share_of_worth(self, kind=None):
        """Return the worth earned divided by the worth asked for."""
        asked = earned = 0.0
        for arrival, outcome in self.outcomes.items():
            if kind is not None and arrival.kind != kind:
                continue
            asked += arrival.worth
            if outcome == "in aim":
                earned += arrival.worth
            elif outcome == "late":
                earned += arrival.late_worth
        return earned / max(asked, 1e-9)

    def starved(self):
        """Return the models asked for throughout that never served.

        Returns
        -------
        starved, asked : list of str
        """
        by_model = collections.defaultdict(list)
        for arrival in self.outcomes:
            by_model[arrival.model].append(arrival)
        asked, starved = [], []
        for name, arrivals in by_model.items():
            times = [a.at for a in arrivals]
            if (
                len(times) < STARVED_REQUESTS
                or max(times) - min(times) < STARVED_SPAN_S
            ):
                continue
            asked.append(name)
            if all(self.outcomes[a] == "refused" for a in arrivals):
                starved.append(name)
        return starved, asked


def rare_and_shifting(
    *,
    engines,
    hot,
    hot_now,
    rare,
    hot_per_s,
    rare_per_s,
    load_s,
    copies,
    seed,
    hot_kind=(0.8, 5.0, 2.0, 0.6, 0.15),
    rare_kind=(3.0, 17.0, 10.5, 1.54, 0.15),
    burst=(9.0, 15.0, 1.0),
    skew=0.4,
    lost=(),
    length_s=34.0,
    shifts=(1.0, 13.0, 24.0),
    resident=2,
    disk_mb=460000.0,
    at_once=4,
    lead_s=12.0,
    away=None,
):
    """Return a `Replay`: few busy models that change, and many rare ones.

    Parameters
    ----------
    engines, hot, hot_now, rare : int
        Number of engines, of models that may become busy, of those that
        are busy at a time, and of models that are rarely asked for.
    hot_per_s, rare_per_s, load_s : float
    copies : float
        Fraction of models of which some engine has a copy at first.
    seed : int
    hot_kind, rare_kind : tuple of float
        Aim and deadline in seconds, worth in aim and late, and time that an
        engine needs for the prompt, seconds.
    burst : (float, float, float)
        Beginning and end, seconds, and factor of more requests for the
        models that are busy then.
    skew : float
        Exponent of the popularity of the busy models.
    lost : sequence of (str, float)
        Engines that are lost, and when.
    """
    rng = random.Random(seed)
    sizes = [34300.0, 65500.0, 72700.0]
    specs = {}
    for n in range(hot + rare):
        size = sizes[n % 3]
        specs[f"m{n}"] = datatypes.ModelSpec(
            f"m{n}", size, load_s, 0.52 if size < 40000 else 1.1, 0.4, 40.0
        )
    spec = datatypes.EngineSpec(
        specs, 200000.0, 8, 10.0, 32, 232000, disk_mb=disk_mb
    )
    names = list(specs)
    hot_names, rare_names = names[:hot], names[hot:]
    first = rng.sample(hot_names, hot_now)
    placed = {f"e{n:02}": [] for n in range(engines)}
    with_copy = first + rng.sample(
        [n for n in names if n not in first],
        max(0, round(copies * len(names)) - len(first)),
    )
    disks = {name: [] for name in placed}

    def try_copy(name, engine):
        used = sum(specs[m].size_mb for m in disks[engine])
        if name in disks[engine] or used + specs[name].size_mb > disk_mb:
            return False
        disks[engine].append(name)
        if len(placed[engine]) < resident:
            placed[engine].append(name)
        return True

    # Each model once, then copies until the disks are nearly full.
    for name in with_copy:
        any(try_copy(name, e) for e in rng.sample(sorted(placed), engines))
    for _ in range(12 * engines):
        try_copy(rng.choice(with_copy), rng.choice(sorted(placed)))
    arrivals = []
    now, active = 0.0, first
    changes = list(shifts)
    while now < length_s:
        factor = burst[2] if burst[0] <= now < burst[1] else 1.0
        hot_now_per_s = factor * hot_per_s
        now += rng.expovariate(hot_now_per_s + rare_per_s)
        if changes and now >= changes[0]:
            changes.pop(0)
            active = rng.sample(hot_names, hot_now)
        if rng.random() < hot_now_per_s / (hot_now_per_s + rare_per_s):
            weights = [(n + 1) ** -skew for n in range(len(active))]
            name = rng.choices(active, weights)[0]
            arrivals.append(Arrival(now, name, "hot", *hot_kind))
        else:
            arrivals.append(
                Arrival(now, rng.choice(rare_names), "rare", *rare_kind)
            )
    return Replay(
        spec,
        {name: (placed[name], disks[name]) for name in placed},
        arrivals,
        at_once,
        lead_s,
        {**{n: (at, 1e9) for n, at in lost}, **(away or {})},
    )


def small_fleet(seed):
    """Return a day of 9 engines with large disks; two zones are evacuated."""
    early, late = (1.0, 13.0), (23.7, 50.0)
    return rare_and_shifting(
        engines=9,
        hot=15,
        hot_now=6,
        rare=51,
        hot_per_s=35,
        rare_per_s=7,
        load_s=6.0,
        copies=0.91,
        disk_mb=840000.0,
        seed=seed,
        hot_kind=(0.25, 12.0, 2.0, 0.6, 0.04),
        rare_kind=(3.0, 25.0, 8.7, 1.3, 0.04),
        away={"e00": early, "e01": early, "e07": late, "e08": late},
    )


def large_fleet(seed, **fields):
    """Return a day of 78 engines; `fields` as for `rare_and_shifting`."""
    return rare_and_shifting(
        engines=78,
        hot=50,
        hot_now=20,
        rare=243,
        hot_per_s=91,
        rare_per_s=21.7,
        load_s=7.8,
        copies=0.89,
        lead_s=16.0,
        seed=seed,
        **fields,
    )
