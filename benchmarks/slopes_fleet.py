"""Slopes of an idle fleet: entries, endpoints, customers."""

import time

from benchmarks import countedfleet
from benchmarks import figures
from features.standins import machines

__all__ = ["customers", "endpoints", "entries", "measure"]

BENCH = "slopes"
WINDOW_S = 4.0
WINDOWS = 3
ENTRIES = (2, 4, 8, 16, 24)
ENDPOINTS = (0, 20, 80, 160)
CUSTOMERS = (5, 100, 1000)
HOST = "127.0.0.2"


def entries():
    """Measure coordinators without gateways, against their number."""
    for count in ENTRIES:
        with _fleet(count) as fleet:
            countedfleet.start(fleet, countedfleet.text_of())
            emit("entries", count, measure(fleet, list(fleet.entries)))


def endpoints():
    """Measure the owner of idle endpoints, against their number."""
    for count in ENDPOINTS:
        with _fleet(1) as fleet:
            text = countedfleet.text_of()
            _add_endpoints(fleet, text, count)
            countedfleet.start(fleet, text)
            emit("endpoints", count, measure(fleet, ["e0"]))


def customers():
    """Measure idle coordinators against the customers of the text."""
    for count in CUSTOMERS:
        with _fleet(2) as fleet:
            countedfleet.start(fleet, countedfleet.text_of(customers=count))
            emit("customers", count, measure(fleet, list(fleet.entries)))


def _fleet(count):
    """Return a fleet of coordinators without gateways."""
    fleet = countedfleet.CountedFleet()
    for index in range(count):
        zone = countedfleet.ZONES[index % len(countedfleet.ZONES)]
        fleet.add_entry(f"e{index}", zone, gateways=0)
    return fleet


def _add_endpoints(fleet, text, count):
    if not count:
        return
    addresses = set()
    while len(addresses) < count:
        addresses.add(machines.free_address(HOST))
    module = "benchmarks.manyendpoints"
    fleet.start_helper("endpoints", module, sorted(addresses))
    for index, address in enumerate(addresses):
        zone = countedfleet.ZONES[index % len(countedfleet.ZONES)]
        text.endpoint(f"w{index}", "lm", zone, address, memory_mb=1000)


def measure(fleet, names, windows=WINDOWS, window_s=WINDOW_S):
    """Return the `Use` of each process in each of some windows."""
    uses = []
    for _ in range(windows):
        first = fleet.samples(names)
        time.sleep(window_s)
        last = fleet.samples(names)
        uses += [
            countedfleet.Use.between(first[name], last[name]) for name in names
        ]
    return uses


def emit(part, size, uses):
    """Print the figures of an idle node at one size."""
    where = {"part": part, "size": size}
    figures.emit(BENCH, "cpu_core_share", _of(uses, _cpu), **where)
    figures.emit(BENCH, "rss_mb", [u.rss_mb for u in uses], **where)
    for name in ("sent", "received", "platform"):
        found = [use.rates(getattr(use, name)) for use in uses]
        messages = [rate for rate, _ in found]
        size_s = [rate for _, rate in found]
        figures.emit(BENCH, f"{name}_per_s", messages, **where)
        figures.emit(BENCH, f"{name}_bytes_per_s", size_s, **where)


def _of(uses, function):
    return [function(use) for use in uses]


def _cpu(use):
    return use.cpu_share()
