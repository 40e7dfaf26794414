"""Fleets whose coordinators and gateways count what they send."""

import dataclasses
import json
import os
import signal
import sys
import time

import yaml

from features import builders
from features import fleet as fleets
from features.standins import machines
from features.standins import process

__all__ = [
    "CountedFleet",
    "Sample",
    "Use",
    "ZONES",
    "rss_mb",
    "start",
    "text_of",
]

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
QUIET = {"log": {"format": "text", "level": "warning"}}
ANSWER_S = 10.0
SETTLE_S = 3.0
PLACEHOLDER = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a process has used and sent until now.

    Parameters
    ----------
    at_s, cpu_s : float
    rss_mb : float
    sent, received, platform : dict of str to (int, int)
        Number and bytes by kind of message, or path of the platform.
    """

    at_s: float
    cpu_s: float
    rss_mb: float
    sent: dict
    received: dict
    platform: dict


@dataclasses.dataclass(frozen=True)
class Use:
    """What a process used and sent between two samples.

    Parameters
    ----------
    seconds, cpu_s, rss_mb : float
    sent, received, platform : dict of str to (int, int)
    """

    seconds: float
    cpu_s: float
    rss_mb: float
    sent: dict
    received: dict
    platform: dict

    @classmethod
    def between(cls, first, last):
        """Return the use between two samples of one process."""
        return cls(
            last.at_s - first.at_s,
            last.cpu_s - first.cpu_s,
            last.rss_mb,
            _less(last.sent, first.sent),
            _less(last.received, first.received),
            _less(last.platform, first.platform),
        )

    def cpu_share(self):
        """Return the part of one core, 0 to 1."""
        return self.cpu_s / self.seconds

    def rates(self, counts):
        """Return messages a second and bytes a second."""
        number = sum(count for count, _ in counts.values())
        size = sum(size for _, size in counts.values())
        return number / self.seconds, size / self.seconds


def _less(last, first):
    return {
        kind: (count - first.get(kind, (0, 0))[0], size - _size(first, kind))
        for kind, (count, size) in last.items()
    }


def _size(counts, kind):
    return counts.get(kind, (0, 0))[1]


class CountedFleet(fleets.Fleet):
    """A `Fleet` whose programs count their messages.

    Examples
    --------
    A fleet, once started and ready, is measured by two samples::

        first = fleet.sample("e0")
        ...
        use = Use.between(first, fleet.sample("e0"))
    """

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.stop()

    def add_entry(self, name, zone=ZONES[0], gateways=1):
        entry = super().add_entry(name, zone, gateways)
        entry.extra = dict(QUIET)
        if not gateways:
            # Settings need an address, though nobody listens there.
            entry.extra["public"] = [machines.free_address(PLACEHOLDER)]
        return entry

    def start_helper(self, name, module, args):
        """Start another module of the bench, ended with the fleet."""
        proc = self._counted(name, module, args)
        proc.start()
        return proc

    def sample(self, name):
        """Return the `Sample` of a process, by the name of its log."""
        proc = next(p for p in self.procs if p.name == name)
        path = self._counts(name)
        before = _number(path)
        os.kill(proc.popen.pid, signal.SIGUSR1)
        process.wait_for(
            lambda: _number(path) > before, ANSWER_S, f"counts of {name}"
        )
        body = json.loads(path.read_text())
        return Sample(
            body["at_s"],
            body["cpu_s"],
            rss_mb(proc.popen.pid),
            body["sent"],
            body["received"],
            body["platform"],
        )

    def samples(self, names):
        """Return the samples of several processes, by name."""
        return {name: self.sample(name) for name in names}

    def _counts(self, name):
        return self.dir / f"{name}.counts"

    def _program(self, name, program, settings):
        path = self.dir / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        module = f"dogwoodwheel.programs.{program}"
        return self._counted(name, module, ["--settings", path])

    def _counted(self, name, module, args):
        argv = [sys.executable, "-m", "benchmarks.counted", module]
        return self._process(name, [*argv, self._counts(name), *args])


def start(fleet, text):
    """Publish a text, start the fleet and let it come to rest."""
    fleet.set_vms()
    fleet.publish(text.text())
    fleet.start()
    fleet.wait_ready()
    time.sleep(SETTLE_S)


def _number(path):
    if not path.exists():
        return 0
    return json.loads(path.read_text())["number"]


def rss_mb(pid):
    """Return the resident memory of a process, megabytes."""
    with open(f"/proc/{pid}/status") as lines:
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Text(builders.TextBuilder):
    """A `TextBuilder` for long texts and for fleets without endpoints."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def text(self):
        """Return the text."""
        parts = [super().text()]
        if not self.maps["endpoints"]:
            parts.append("endpoints: {}\n")
        if self.lines:
            # Dumping thousands of items takes as long as parsing them.
            parts += ["adapters:\n", *self.lines]
        return "".join(parts)


def text_of(models=2, adapters=0, customers=5, partitions=64):
    """Return a `Text` with zones, models, adapters and customers.

    Parameters
    ----------
    models, adapters, customers, partitions : int

    Returns
    -------
    Text
    """
    text = Text()
    text.rest["vm_list_lag_s"] = 3.0
    text.partitions(partitions)
    for zone in ZONES:
        text.zone(zone)
    text.models("lm")
    for index in range(models):
        text.model(f"model-{index}", "lm", max_replicas=2)
    for index in range(adapters):
        base = f"model-{index % models}"
        text.lines.append(
            f"  adapter-{index}: {{base: {base}, version: '1', size_mb: 1}}\n"
        )
    for index in range(customers):
        text.customer(f"customer{index}")
    return text
