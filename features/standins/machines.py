"""The VMs of a test's fleet: entries and endpoints."""

import socket
import time

from features.standins import caller
from features.standins import process

__all__ = ["Endpoint", "Entry", "free_address"]

OK = 200
START_S = 30.0
STOP_S = 30.0
TIMEOUT_S = 5.0
GIVEN = set()


def free_address(host):
    """Return ``IP:PORT`` of a port that is free, never the same twice.

    Notes
    -----
    A port stays free until its process starts, so the kernel may name
    it again to the next one who asks.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            address = f"{host}:{sock.getsockname()[1]}"
        if address not in GIVEN:
            GIVEN.add(address)
            return address


class Endpoint:
    """A stand-in endpoint: a model engine or a plain service.

    Parameters
    ----------
    name, address : str
    proc : features.standins.process.Process
    ctl : features.standins.control.Control
    """

    def __init__(self, name, address, proc, ctl):
        self.name = name
        self.address = address
        self.proc = proc
        self.ctl = ctl
        self.kept_events = []
        self.kept_violations = []

    def start(self):
        """Start its process and wait until it answers."""
        self.proc.start()
        process.wait_for(self.status, START_S, f"{self.name} to answer")

    def kill(self):
        """Kill its process; what it recorded is kept for `events`."""
        self.proc.resume()
        held = self.status().get("models", ())
        self.kept_events = self.events()
        self.kept_violations = self.violations()
        self.proc.kill()
        for item in held:
            event = {"kind": "dropped", "model": item["name"]}
            self.kept_events.append({"time": time.monotonic(), **event})

    def status(self):
        """Return its status as it reports it; empty without an answer."""
        return (
            caller.Caller(self.address, timeout_s=TIMEOUT_S)
            .get("/status")
            .json
        )

    def events(self, kind=None):
        """Return its history, of one kind or all, over its kills."""
        events = list(self.kept_events)
        if self.proc.running():
            events += self.ctl.call("history")["events"]
        return [e for e in events if kind in (None, e["kind"])]

    def violations(self):
        """Return what was asked of it beyond what it bears."""
        violations = list(self.kept_violations)
        if self.proc.running():
            violations += self.ctl.call("violations")["violations"]
        return violations


class Entry:
    """An entry VM: a coordinator and its gateways.

    Parameters
    ----------
    name, zone, peer, admin : str
    gateways : list of str
        Their public addresses.
    """

    def __init__(self, name, zone, host, gateways):
        self.name = name
        self.zone = zone
        self.peer = free_address(host)
        self.admin = free_address(host)
        self.gateways = [free_address(host) for _ in range(gateways)]
        self.admins = [free_address(host) for _ in range(gateways)]
        self.procs = []
        self.extra = {}

    @property
    def coordinator(self):
        """The process of its coordinator."""
        return self.procs[0]

    def caller(self, key=None, gateway=0, **options):
        """Return a `Caller` of one of its gateways."""
        return caller.Caller(self.gateways[gateway], key, **options)

    def metrics(self, gateway=None):
        """Return the metrics of its coordinator, or of a gateway."""
        address = self.admin if gateway is None else self.admins[gateway]
        return caller.Caller(address).get("/metrics").body.decode()

    def start(self):
        """Start all of its processes."""
        for proc in self.procs:
            proc.start()

    def ready(self):
        """Tell whether each of its processes says that it is ready."""
        return all(
            caller.Caller(address, timeout_s=TIMEOUT_S).get("/readyz").status
            == OK
            for address in [self.admin, *self.admins]
        )

    def stop(self):
        """Stop all at once by SIGTERM; return the exit codes."""
        for proc in self.procs:
            proc.resume()
            proc.terminate()
        return [proc.finish(STOP_S) for proc in self.procs]

    def kill(self):
        """Kill all of its processes."""
        for proc in self.procs:
            proc.kill()

    def freeze(self):
        """Pause all of its processes."""
        for proc in self.procs:
            proc.freeze()

    def resume(self):
        """Let all of its processes go on."""
        for proc in self.procs:
            proc.resume()

    def running(self):
        """Tell whether any of its processes runs."""
        return any(proc.running() for proc in self.procs)
