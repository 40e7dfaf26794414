"""Slopes of configuration changes: work a change, and its delay."""

import time

from benchmarks import countedfleet
from features.standins import caller
from features.standins import process

__all__ = ["run"]

ADAPTERS = (0, 1000, 4000)
ENTRIES = 4
CHANGES = 5
EVERY_S = 2.0
IN_FORCE_S = 30.0


def run(rep):
    """Measure a fleet with a change every two seconds against an idle one."""
    for adapters in ADAPTERS:
        with countedfleet.CountedFleet() as fleet:
            for index in range(ENTRIES):
                fleet.add_entry(f"e{index}", countedfleet.ZONES[index])
            text = countedfleet.text_of(models=20, adapters=adapters)
            countedfleet.start(fleet, text)
            _measure(rep, fleet, text, adapters)


def _measure(rep, fleet, text, adapters):
    names = list(fleet.entries)
    names += [f"{name}-gateway-0" for name in fleet.entries]
    seconds = CHANGES * EVERY_S
    idle = _uses(fleet, names, lambda: time.sleep(seconds))
    delays = []
    busy = _uses(fleet, names, lambda: delays.extend(_change(fleet, text)))
    policy = f"adapters={adapters}"
    rep.figure(policy, "text", len(text.text().encode()), "bytes", 1)
    for number, delay_s in enumerate(delays, 1):
        rep.figure(policy, "in_force_everywhere", delay_s, "s", number)
    for number, name in enumerate(names, 1):
        role = "gateway" if "gateway" in name else "coordinator"
        cost_s = _cpu(busy[name], idle[name])
        rep.figure(policy, f"{role}_a_change", cost_s, "cpu_s", number)
        size = _received(busy[name], idle[name])
        rep.figure(policy, f"{role}_a_change", size, "bytes", number)
        memory_mb = busy[name].rss_mb
        rep.figure(policy, f"{role}_memory", memory_mb, "MB", number)


def _uses(fleet, names, act):
    first = fleet.samples(names)
    act()
    last = fleet.samples(names)
    between = countedfleet.Use.between
    return {name: between(first[name], last[name]) for name in names}


def _change(fleet, text):
    """Publish changes at an even pace; return how long each took."""
    delays = []
    began_s = time.monotonic()
    for number in range(1, CHANGES + 1):
        text.change("customers", "customer0", rate=1000 + number)
        data = text.text()
        published_s = time.monotonic()
        version = fleet.publish(data)
        process.wait_for(
            lambda: _in_force(fleet, version), IN_FORCE_S, "the version"
        )
        delays.append(time.monotonic() - published_s)
        time.sleep(max(0, began_s + number * EVERY_S - time.monotonic()))
    return delays


def _in_force(fleet, version):
    """Tell whether every gateway and coordinator has a version."""
    return all(
        caller.Caller(address).get("/status").json.get("version") == version
        for entry in fleet.entries.values()
        for address in (entry.admin, *entry.admins)
    )


def _cpu(busy, idle):
    return (busy.cpu_s - idle.cpu_share() * busy.seconds) / CHANGES


def _received(busy, idle):
    received = _bytes(busy) - _bytes(idle) * busy.seconds / idle.seconds
    return received / CHANGES


def _bytes(use):
    parts = (use.received, use.platform)
    return sum(size for part in parts for _, size in part.values())
