"""Service while an availability zone leaves and returns.

Notes
-----
The same drawn load goes to a fresh fleet of the user's size three times:
``steady`` changes nothing and is the baseline; ``planned`` takes one
zone out by the declaration and brings it back; ``killed`` kills all of
the zone's VMs unannounced and starts them again.  Callers ask for the
list of entries and keep it for its lifetime.
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
from features.standins import caller

__all__ = ["main"]

SEED = 1
SECONDS = 28.0
OUT_AT_S, IN_AT_S = 6.0, 18.0
DEADLINE_MS = 15_000
GRACE_S = 5.0
POPULAR = 10
ENTRIES_S = 5.0
TRY_S = 1.0
POLICIES = ("steady", "planned", "killed")
PHASES = (
    ("before", 0.0, OUT_AT_S),
    ("out", OUT_AT_S, IN_AT_S),
    ("back", IN_AT_S, SECONDS),
)


class Directory:
    """Addresses that callers use, read anew when their lifetime ends.

    Parameters
    ----------
    addresses : sequence of str
        All entries, asked in turn for the list.
    """

    def __init__(self, addresses):
        self.all = list(addresses)
        self.listed = list(addresses)

    async def run(self):
        """Read the list for ever."""
        while True:
            listed = await trio.to_thread.run_sync(self._read)
            self.listed = listed or self.listed
            await trio.sleep(ENTRIES_S)

    def choose(self, index):
        """Return the address for a request."""
        return self.listed[index % len(self.listed)]

    def _read(self):
        for address in self.listed + self.all:
            reply = caller.Caller(address, timeout_s=TRY_S).get("/v1/entries")
            if reply.status == load.OK:
                return reply.json["entries"]
        return []


class Zone:
    """One zone of a fleet, taken out and brought back.

    Parameters
    ----------
    fleet : features.fleet.Fleet
    text : features.builders.TextBuilder
    name : str
    """

    def __init__(self, fleet, text, name):
        self.fleet = fleet
        self.text = text
        self.name = name
        self.entries = [
            entry for entry in fleet.entries.values() if entry.zone == name
        ]
        self.endpoints = [
            fleet.endpoints[endpoint]
            for endpoint, fields in text.maps["endpoints"].items()
            if fields["zone"] == name
        ]

    def declare(self, state):
        """Publish the zone as ``in`` or ``out``."""
        self.text.change("zones", self.name, state=state)
        self.fleet.publish(self.text.text())

    def kill(self):
        """Kill all of its VMs; the platform's list drops them."""
        names = [entry.name for entry in self.entries]
        names += [endpoint.name for endpoint in self.endpoints]
        for entry in self.entries:
            entry.kill()
        for endpoint in self.endpoints:
            endpoint.kill()
        self.fleet.set_vms(gone=names)

    def restart(self):
        """Start all of its VMs again."""
        for endpoint in self.endpoints:
            endpoint.start()
        for entry in self.entries:
            entry.start()
        self.fleet.set_vms()


ACTS = {
    "steady": (lambda zone: None, lambda zone: None),
    "planned": (
        lambda zone: zone.declare("out"),
        lambda zone: zone.declare("in"),
    ),
    "killed": (Zone.kill, Zone.restart),
}


def main():
    """Measure the three runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=profiles.NAMES, default=profiles.NAMES[0]
    )
    parser.add_argument("--seed", type=int, default=SEED)
    args = parser.parse_args()
    profile = profiles.Profile.from_name(args.profile)
    rep = report.Report(f"zones {profile.name}")
    for policy in POLICIES:
        with countedfleet.CountedFleet() as fleet:
            text = profiles.fill(fleet, profile)
            countedfleet.start(fleet, text)
            zone = Zone(fleet, text, list(profile.body["zones"])[1])
            trio.run(_measure, rep, policy, zone, profile, args.seed)
    rep.summary()


async def _measure(rep, policy, zone, profile, seed):
    rng = random.Random(seed)
    # Few enough models that all of them stay loaded.
    models = load.models_of(profile, rng)[:POPULAR]
    arrivals = [
        dataclasses.replace(arrival, deadline_ms=DEADLINE_MS)
        for arrival in load.draw(
            load.MIXES[profile.name], models, SECONDS, rng
        )
    ]
    addresses = [e.gateways[0] for e in zone.fleet.entries.values()]
    directory = Directory(addresses)
    await _warm(models, directory, profile)
    began = time.monotonic()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(directory.run)
        nursery.start_soon(_act, policy, zone)
        found = await load.drive(arrivals, directory.choose, profile.key_of)
        nursery.cancel_scope.cancel()
    for phase, first_s, last_s in PHASES:
        chosen = [one for one in found if first_s <= one[0].at_s < last_s]
        load.emit_all(rep, f"{policy} {phase}", chosen, seed)
    late = _late_work(zone, began)
    rep.figure(policy, "work_in_zone_after_5_s", late, "requests", seed)


async def _warm(models, directory, profile):
    """Load every model before the run."""
    customers = list(profile.customers)
    arrivals = [
        load.Arrival(0.0, customers[index % len(customers)], "normal", model)
        for index, model in enumerate(models)
    ]
    await load.drive(arrivals, directory.choose, profile.key_of)


async def _act(policy, zone):
    leave, come_back = ACTS[policy]
    await trio.sleep(OUT_AT_S)
    await trio.to_thread.run_sync(leave, zone)
    await trio.sleep(IN_AT_S - OUT_AT_S)
    await trio.to_thread.run_sync(come_back, zone)


def _late_work(zone, began):
    """Return the requests that began in the zone while it was out."""
    first = began + OUT_AT_S + GRACE_S
    last = began + IN_AT_S
    return sum(
        first <= event["time"] < last
        for endpoint in zone.endpoints
        for event in endpoint.events("request")
    )


if __name__ == "__main__":
    main()
