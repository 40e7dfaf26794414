"""Idle replica time against cold starts, under skewed and idle demand.

Notes
-----
One fleet for each policy takes one drawn load after another.  Times are
short: a replica counts as idle after `IDLE_S`, which stands for the
minutes of a real declaration.  Baseline: never unload, but where memory
is wanted.
"""

import argparse
import dataclasses
import random
import time

import trio

from benchmarks import countedfleet
from benchmarks import load
from benchmarks import profiles
from benchmarks import report

__all__ = ["idle_seconds", "main"]

SEEDS = (1, 2, 3)
SECONDS = 20.0
IDLE_S = 5.0
NEVER_S = 1e6
SLOWER = 0.25
COLD_S = 0.5
POLICIES = {"unload": IDLE_S, "never unload": NEVER_S}
BEGIN = "loaded"
END = ("unload", "dropped")


def idle_seconds(events, base_of, begin, end):
    """Return the time that replicas were loaded, and idle of that.

    Parameters
    ----------
    events : list of dict
        History of one engine.
    base_of : dict of str to str
        Base models of the adapters.
    begin, end : float
        Monotonic seconds.

    Returns
    -------
    loaded_s, idle_s : float

    Examples
    --------
    >>> events = [
    ...     {"kind": "loaded", "model": "m", "time": 1.0},
    ...     {"kind": "request", "model": "m", "time": 2.0, "ended": 3.0},
    ...     {"kind": "unload", "model": "m", "time": 5.0},
    ... ]
    >>> idle_seconds(events, {}, 0.0, 9.0)
    (4.0, 3.0)
    """
    loaded_s = busy_s = 0.0
    for model in {e["model"] for e in events if e["kind"] == BEGIN}:
        if model in base_of:
            continue
        spans = _loaded(events, model, begin, end)
        loaded_s += sum(last - first for first, last in spans)
        busy_s += _busy(events, model, base_of, begin, end)
    return loaded_s, max(0.0, loaded_s - busy_s)


def _loaded(events, model, begin, end):
    spans = []
    since = None
    for event in events:
        if event.get("model") != model:
            continue
        if event["kind"] == BEGIN:
            since = event["time"]
        elif event["kind"] in END and since is not None:
            spans.append((since, event["time"]))
            since = None
    if since is not None:
        spans.append((since, end))
    return _within(spans, begin, end)


def _busy(events, model, base_of, begin, end):
    spans = sorted(
        (event["time"], event["ended"] or end)
        for event in events
        if event["kind"] == "request"
        and base_of.get(event["model"], event["model"]) == model
    )
    busy_s = 0.0
    covered = begin
    for first, last in _within(spans, begin, end):
        busy_s += max(0.0, last - max(first, covered))
        covered = max(covered, last)
    return busy_s


def _within(spans, begin, end):
    cut = [(max(first, begin), min(last, end)) for first, last in spans]
    return [(first, last) for first, last in cut if first < last]


def main():
    """Measure both policies with several seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=profiles.NAMES, default=profiles.NAMES[0]
    )
    profile = profiles.Profile.from_name(parser.parse_args().profile)
    rep = report.Report(f"idle {profile.name}")
    for policy, idle_s in POLICIES.items():
        with countedfleet.CountedFleet() as fleet:
            text = profiles.fill(fleet, profile, idle_s=idle_s)
            countedfleet.start(fleet, text)
            for seed in SEEDS:
                _measure(rep, policy, fleet, profile, seed)
    rep.summary()


def _measure(rep, policy, fleet, profile, seed):
    rng = random.Random(seed)
    mixes = [
        dataclasses.replace(mix, rate=mix.rate * SLOWER)
        for mix in load.MIXES[profile.name]
    ]
    models = load.models_of(profile, rng)
    arrivals = load.draw(mixes, models, SECONDS, rng)
    addresses = [entry.gateways[0] for entry in fleet.entries.values()]
    begin = time.monotonic()
    found = trio.run(
        load.drive, arrivals, load.in_turn(addresses), profile.key_of
    )
    end = time.monotonic()
    load.emit_all(rep, policy, found, seed)
    cold = sum(outcome.first_s > COLD_S for _, outcome in found)
    rep.figure(policy, "slow_starts", cold, "requests", seed)
    _emit_idle(rep, policy, fleet, profile, begin, end, seed)


def _emit_idle(rep, policy, fleet, profile, begin, end, seed):
    base_of = {
        name: adapter["base"]
        for name, adapter in profile.body["adapters"].items()
    }
    loaded_s = idle_s = 0.0
    for endpoint in fleet.endpoints.values():
        one, other = idle_seconds(endpoint.events(), base_of, begin, end)
        loaded_s += one
        idle_s += other
    seconds = end - begin
    rep.figure(policy, "replicas_loaded", loaded_s / seconds, "mean", seed)
    rep.figure(policy, "replicas_idle", idle_s / seconds, "mean", seed)


if __name__ == "__main__":
    main()
