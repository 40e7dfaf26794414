"""Slopes of an idle fleet: entries, endpoints, customers."""

import statistics
import time

from benchmarks import countedfleet
from features.standins import machines

__all__ = ["customers", "endpoints", "entries", "measure"]

WINDOW_S = 4.0
WINDOWS = 3
ENTRIES = (2, 4, 8, 16, 24)
ENDPOINTS = (0, 20, 80, 160)
CUSTOMERS = (5, 100, 1000)
HOST = "127.0.0.2"


def entries(rep):
    """Measure coordinators without gateways, against their number."""
    for count in ENTRIES:
        with _fleet(count) as fleet:
            countedfleet.start(fleet, countedfleet.text_of())
            emit(rep, f"entries={count}", measure(fleet, list(fleet.entries)))


def endpoints(rep):
    """Measure the owner of idle endpoints, against their number."""
    for count in ENDPOINTS:
        with _fleet(1) as fleet:
            text = countedfleet.text_of()
            _add_endpoints(fleet, text, count)
            countedfleet.start(fleet, text)
            emit(rep, f"endpoints={count}", measure(fleet, ["e0"]))


def customers(rep):
    """Measure idle coordinators against the customers of the text."""
    for count in CUSTOMERS:
        with _fleet(2) as fleet:
            countedfleet.start(fleet, countedfleet.text_of(customers=count))
            emit(
                rep, f"customers={count}", measure(fleet, list(fleet.entries))
            )


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
    """Return, for each of some windows, the `Use` of each process."""
    found = []
    for _ in range(windows):
        first = fleet.samples(names)
        time.sleep(window_s)
        last = fleet.samples(names)
        found.append(
            [
                countedfleet.Use.between(first[name], last[name])
                for name in names
            ]
        )
    return found


def emit(rep, policy, windows):
    """Print the figures of the median node, window by window."""
    for number, uses in enumerate(windows, 1):
        for measure_name, unit, function in MEASURES:
            value = statistics.median(map(function, uses))
            rep.figure(policy, measure_name, value, unit, number)


def _rate(name, index):
    return lambda use: use.rates(getattr(use, name))[index]


MEASURES = (
    ("processor", "percent_of_core", lambda use: 100 * use.cpu_share()),
    ("memory", "MB", lambda use: use.rss_mb),
    ("messages_sent", "per_s", _rate("sent", 0)),
    ("sent", "bytes_per_s", _rate("sent", 1)),
    ("messages_received", "per_s", _rate("received", 0)),
    ("received", "bytes_per_s", _rate("received", 1)),
    ("platform_calls", "per_s", _rate("platform", 0)),
    ("platform", "bytes_per_s", _rate("platform", 1)),
)
