"""A fleet of real processes on loopback addresses, for tests."""

import hashlib
import json
import pathlib
import sys
import urllib.request

import yaml

from features import builders
from features import processes
from features.standins import history
from features.standins import machines
from features.standins import process

__all__ = ["Fleet"]

BIN = pathlib.Path(sys.executable).parent
TIMEOUT_S = 5.0
PLATFORM = "platform"
CALLER = "caller"


def _post(address, method, path, data):
    req = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method
    )
    with urllib.request.urlopen(req, timeout=TIMEOUT_S) as reply:
        return reply.read()


class Fleet(processes.Processes):
    """Stand-ins, a proxy and entries, all ended by `stop`.

    Add endpoints, entries and links, then `start`.
    """

    def __init__(self):
        super().__init__("fleet-")
        self.endpoints = {}
        self.entries = {}
        self.links = {}
        self.proxy = None
        self.proxy_host = self._host()
        self.version = 0
        self.platform_address, self.platform = self._stand_in(PLATFORM, [])

    def add_engine(
        self,
        name,
        memory_mb=1000,
        concurrency=8,
        fresh=1,
        fencing=True,
        fragile=False,
        pulls=True,
        load_s=0.02,
        pace_s=0.002,
        cached=(),
    ):
        """Add a model engine and return its `Endpoint`."""
        args = ["--name", name, "--memory", memory_mb]
        args += ["--concurrency", concurrency, "--fresh", fresh]
        args += ["--load-s", load_s, "--pace-s", pace_s]
        args += ["--cached", ",".join(cached)]
        args += ["--fencing"] if fencing else []
        args += ["--fragile"] if fragile else []
        args += ["--weights", self.platform_address] if pulls else []
        return self._endpoint(name, "engine", args)

    def add_service(self, name):
        """Add a plain service and return its `Endpoint`."""
        return self._endpoint(name, "service", ["--name", name])

    def add_entry(self, name, zone="zone-a", gateways=1):
        """Add an entry VM and return its `Entry`."""
        entry = machines.Entry(name, zone, self._host(), gateways)
        self.entries[name] = entry
        return entry

    def link(self, source, target):
        """Put a link of the proxy between two parties, before the start.

        Parameters
        ----------
        source : str
            An entry, or ``caller``.
        target : str
            ``platform``, an endpoint, an entry (its peer address; its
            first gateway for a caller), or the source itself (between
            its gateways and its coordinator).

        Returns
        -------
        str
            The link's name, ``SOURCE->TARGET``.
        """
        name = f"{source}->{target}"
        if self.proxy is None:
            proc, self.proxy = self._controlled(
                "proxy", "features.faultproxy", [], self.proxy_host
            )
            proc.start()
            self._await(proc, lambda: self.proxy.call("links"))
        if name not in self.links:
            listen = machines.free_address(self.proxy_host)
            goal = self._address(source, target)
            self.proxy.call("add", name=name, listen=listen, target=goal)
            self.links[name] = (listen, goal)
        return name

    def link_all(self):
        """Put a link between each entry and all that it dials."""
        for entry in self.entries:
            self.link(entry, PLATFORM)
            for target in [*self.entries, *self.endpoints]:
                self.link(entry, target)

    def fault(self, source, target, **setting):
        """Set a link: ``mode=...`` and the like; nothing restores it."""
        self.proxy.call("set", name=f"{source}->{target}", **setting)

    def start(self):
        """Start the stand-ins, then the entries; wait for the former."""
        for endpoint in self.endpoints.values():
            endpoint.proc.start()
        for entry in self.entries.values():
            self._settle(entry)
        for endpoint in self.endpoints.values():
            process.wait_for(
                endpoint.status,
                processes.READY_S,
                f"{endpoint.name} to answer",
            )
        for entry in self.entries.values():
            entry.start()

    def start_entry(self, entry):
        """Start an entry that was added after `start`."""
        self._settle(entry)
        entry.start()

    def wait_ready(self, entries=None, timeout_s=processes.READY_S):
        """Wait until entries, all by default, are ready."""
        for entry in entries or self.entries.values():
            process.wait_for(
                entry.ready, timeout_s, f"{entry.name} to be ready"
            )

    def publish(self, text, version=None):
        """Make a text the accepted configuration; return its version.

        Raises
        ------
        urllib.error.HTTPError
            With status 412, if another version was accepted meanwhile.
        """
        data = text.encode()
        digest = hashlib.sha256(data).hexdigest()
        address = self.platform_address
        _post(address, "PUT", f"/api/blob-put/{digest}", data)
        row = self.dump().get("config", {}).get("current")
        before = row["version"] if row else 0
        if version is None:
            version = (row["value"]["version"] if row else 0) + 1
        where = {"table": "config", "part": "", "key": "current"}
        value = {"version": version, "digest": digest}
        body = {
            "expected": [{**where, "ver": before}],
            "writes": [{**where, "value": builders.stored(value)}],
            "remove": [],
        }
        _post(address, "POST", "/api/rows-tx", json.dumps(body).encode())
        self.version = version
        return version

    def dump(self):
        """Return the store's tables: table, key, version and value."""
        tables = self.platform.call("dump")["tables"]
        return {
            table: {
                key: {**row, "value": builders.kept(row["value"])}
                for key, row in rows.items()
            }
            for table, rows in tables.items()
        }

    def set_vms(self, leaving=(), gone=()):
        """Set the platform's list of VMs: all live but those named."""
        vms = [
            {"name": name, "state": "leaving" if name in leaving else "live"}
            for name in [*self.entries, *self.endpoints]
            if name not in gone
        ]
        self.platform.call("vms", vms=vms)

    def cli(self, *args, timeout_s=60.0):
        """Run the operators' program; return the completed process."""
        return process.run(
            [BIN / "dogwoodwheel", *args], processes.ROOT, timeout_s
        )

    def most_loaded(self, model):
        """Return the most replicas that held memory at one moment."""
        return history.most_loaded(
            [e.events() for e in self.endpoints.values()], model
        )

    def _stand_in(self, kind, args):
        host = self._host()
        address = machines.free_address(host)
        name = args[1] if args else kind
        module = f"features.standins.{kind}"
        args = ["--address", address, *args]
        proc, ctl = self._controlled(name, module, args, host)
        if kind != PLATFORM:
            self.endpoints[name] = machines.Endpoint(name, address, proc, ctl)
            return address, ctl
        proc.start()
        self._await(proc, lambda: ctl.call("counters"))
        return address, ctl

    def _endpoint(self, name, kind, args):
        self._stand_in(kind, args)
        return self.endpoints[name]

    def _address(self, source, target):
        if target == PLATFORM:
            return self.platform_address
        if target in self.endpoints:
            return self.endpoints[target].address
        entry = self.entries[target]
        return entry.gateways[0] if source == CALLER else entry.peer

    def _dial(self, entry, gateway):
        dial = {}
        for name, (listen, goal) in self.links.items():
            source, _, target = name.partition("->")
            own = target == entry.name
            if source == entry.name and (gateway or not own):
                dial[goal] = listen
        return dial

    def _settle(self, entry):
        entry.procs = [self._coordinator(entry)]
        for index in range(len(entry.gateways)):
            entry.procs.append(self._gateway(entry, index))

    def _coordinator(self, entry):
        settings = builders.coordinator_settings(
            entry, self.platform_address, self._dial(entry, False)
        )
        return self._program(entry.name, "coordinator", settings)

    def _gateway(self, entry, index):
        settings = builders.gateway_settings(
            entry, index, self.platform_address, self._dial(entry, True)
        )
        name = f"{entry.name}-gateway-{index}"
        return self._program(name, "gateway", settings)

    def _program(self, name, program, settings):
        path = self.dir / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        argv = [BIN / f"dogwoodwheel-{program}", "--settings", path]
        return self._process(name, argv)
