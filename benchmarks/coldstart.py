"""A burst of first requests at all entries at once.

Notes
-----
Some cold models are drawn, and each entry gets a first request for each
of them within a moment.  ``--profile`` names the user whose endpoints,
models and weight store are stood in for.  The floor is what the weight
store allows at best: every model pulled once, in order of size, from
whichever end is better, with no other delay.  Baseline: every entry
decides for itself.
"""

import argparse
import random

import trio

from benchmarks import alonefleet
from benchmarks import countedfleet
from benchmarks import load
from benchmarks import profiles
from benchmarks import report

__all__ = ["floors", "main"]

SEEDS = (1, 2, 3)
MODELS = 6
WITHIN_S = 0.1
TOKENS = 4
DEADLINE_MS = 60_000
STEP_S = 0.001
POLICIES = {
    "shared": countedfleet.CountedFleet,
    "alone": alonefleet.AloneFleet,
}


def floors(sizes_mb, mb_per_s, loads_per_s, parallel):
    """Return the seconds at which pulls end at best, in order.

    Parameters
    ----------
    sizes_mb : sequence of int
    mb_per_s : float
        Rate of one pull at full speed.
    loads_per_s : float
        Pulls that may start a second.
    parallel : int
        Pulls at once at full speed; more of them slow down all.

    Examples
    --------
    >>> [round(one, 2) for one in floors([100, 100], 100, 2, 4)]
    [1.0, 1.5]
    """
    waiting = [
        (index / loads_per_s, size_mb / mb_per_s)
        for index, size_mb in enumerate(sizes_mb)
    ]
    running = []
    ended = []
    now = 0.0
    while waiting or running:
        while waiting and waiting[0][0] <= now:
            running.append(waiting.pop(0)[1])
        now += STEP_S
        slowness = max(1.0, len(running) / parallel)
        running = [left_s - STEP_S / slowness for left_s in running]
        ended += [now for left_s in running if left_s <= 0]
        running = [left_s for left_s in running if left_s > 0]
    return ended


def main():
    """Measure both policies with several seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=profiles.NAMES, default=profiles.NAMES[0]
    )
    profile = profiles.Profile.from_name(parser.parse_args().profile)
    rep = report.Report(f"coldstart {profile.name}")
    for seed in SEEDS:
        models = random.Random(seed).sample(profile.models, MODELS)
        _floor(rep, profile, models, seed)
        for policy, kind in POLICIES.items():
            with kind() as fleet:
                _measure(rep, policy, fleet, profile, models, seed)
    rep.summary()


def _floor(rep, profile, models, seed):
    sizes_mb = [profile.body["models"][name]["size_mb"] for name in models]
    limits = (profile.mb_per_s, profile.loads_per_s, profiles.PARALLEL)
    ways = [
        floors(sorted(sizes_mb, reverse=large), *limits)
        for large in (False, True)
    ]
    for percent in (50, 99):
        value = min(report.percentile(ended, percent) for ended in ways)
        rep.figure("floor", f"cold_start_p{percent}", value, "s", seed)


def _measure(rep, policy, fleet, profile, models, seed):
    text = profiles.fill(fleet, profile)
    countedfleet.start(fleet, text)
    addresses = [entry.gateways[0] for entry in fleet.entries.values()]
    arrivals = _burst(profile, models, len(addresses), random.Random(seed))
    found = trio.run(
        load.drive, arrivals, load.in_turn(addresses), profile.key_of
    )
    _emit(rep, policy, fleet, found, seed)


def _burst(profile, models, entries, rng):
    """Return a request for each model at each entry, entry by entry."""
    arrivals = [
        load.Arrival(
            at_s=0.0,
            customer=rng.choice(list(profile.customers)),
            priority="normal",
            model=model,
            tokens=TOKENS,
            deadline_ms=DEADLINE_MS,
        )
        for model in models
        for _ in range(entries)
    ]
    return load.spread(arrivals, WITHIN_S)


def _emit(rep, policy, fleet, found, seed):
    good = [outcome.first_s for _, outcome in found if load.served(outcome)]
    for percent in (50, 99):
        value = report.percentile(good, percent)
        rep.figure(policy, f"cold_start_p{percent}", value, "s", seed)
    rep.figure(policy, "served", 100 * len(good) / len(found), "percent", seed)
    engines = fleet.endpoints.values()
    loads = sum(len(engine.events("load")) for engine in engines)
    rep.figure(policy, "loads", loads, "loads", seed)
    pulls = fleet.platform.call("counters")["weights"]["pulls"]
    rep.figure(policy, "pulls", sum(pulls.values()), "pulls", seed)
    wrong = sum(len(engine.violations()) for engine in engines)
    rep.figure(policy, "violations", wrong, "events", seed)


if __name__ == "__main__":
    main()
