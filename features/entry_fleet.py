"""Entries, their store and endpoints as real processes, for tests."""

import http.client
import json
import sys
import threading
import uuid

from features import entry_builders
from features import processes
from features.standins import machines
from features.standins import process

__all__ = ["Answer", "EntryFleet", "KeptConnections"]

TIMEOUT_S = 10.0
# Size at which the platform kills a process.
MEMORY_MB = 300
KEY = "key-husk"


class Answer:
    """A reply as a caller sees it.

    Parameters
    ----------
    status : int
        0 where none came.
    headers : dict
        Names in lower case.
    body : bytes
    whole : bool
        Whether the reply ended as its framing says.
    """

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def __repr__(self):
        return f"Answer({self.status}, {self.body!r}, whole={self.whole})"


class EntryFleet(processes.Processes):
    """A store, workers and entries, all ended by `stop`.

    Parameters
    ----------
    proxied : bool
        Whether entries reach store and workers through a proxy.
    keeps_connections : bool
        Whether callers keep their connections to entries open.
    """

    def __init__(self, proxied=False, keeps_connections=False):
        super().__init__("entries-")
        self.kept = KeptConnections() if keeps_connections else None
        self.workers = {}
        self.entries = {}
        self.registered = {}
        self.store_address, self.store = self._stand_in("platform", "store")
        self.proxy = self._start_proxy() if proxied else None

    def add_worker(
        self, name, service, models="", load_s=0.2, direct=False, **fields
    ):
        """Start a worker and register it.

        One that is reached directly, without the proxy, refuses connections
        while it is down; the proxy would accept them.
        """
        args = ["--name", name, "--models", models, "--load-s", load_s]
        address, ctl = self._stand_in("worker", name, args)
        self.workers[name] = ctl
        if not direct:
            address = self.link(f"entries->{name}", address)
        held = [
            {"name": model, "version": 1, "adapters": []}
            for model in models.split(",")
            if model
        ]
        self.registered[name] = {
            "service": service,
            "address": address,
            "models": held,
            **fields,
        }
        self.register(name)

    def register(self, name, **fields):
        """Write a worker's registration."""
        self.registered[name].update(fields)
        body = entry_builders.registration_body(**self.registered[name])
        self.store.call("put", table="servers", key=name, value=body.decode())

    def unregister(self, name):
        """Take a worker's registration away."""
        self.store.call("delete", table="servers", key=name)

    def configure(self, version=1, **fields):
        """Write a configuration as the operator does."""
        body = entry_builders.config_body(version, **fields)
        self.store.call("put", table="op", key="config", value=body.decode())

    def start_entry(self, name, zone="zone-a"):
        """Start an entry and wait until it is ready."""
        host = self._host()
        ports = machines.free_address(host).rpartition(":")[2]
        fields = {
            "node": name,
            "ip": host,
            "zone": zone,
            "region": "region",
            "listen.front": machines.free_address(host),
            "listen.readiness": machines.free_address(host),
            "listen.directory": machines.free_address(host),
            "portRange": f"{ports},{int(ports) + 10}",
            "platform.address": self.link(
                f"{name}->store", self.store_address
            ),
            "bootstrap": "true",
            "bounds.graceS": "5",
            "limits.memoryMb": str(MEMORY_MB),
        }
        path = self.dir / f"{name}.conf"
        text = "".join(f"{key}={value}\n" for key, value in fields.items())
        path.write_text(text)
        argv = [
            sys.executable,
            "-m",
            "dogwoodwheel.programs.entry",
            "--settings",
            path,
        ]
        proc = self._process(name, argv)
        self.entries[name] = (proc, fields)
        proc.start()
        process.wait_for(
            lambda: self.ready(name), processes.READY_S, f"{name} to be ready"
        )

    def link(self, name, address):
        """Return the address at which a link of the proxy leads to one."""
        if self.proxy is None:
            return address
        listen = machines.free_address(self._host())
        self.proxy.call("add", name=name, listen=listen, target=address)
        return listen

    def proc(self, name):
        """Return an entry's process."""
        return self.entries[name][0]

    def ready(self, name):
        """Tell whether an entry says that it is ready."""
        address = self.entries[name][1]["listen.readiness"]
        return ask(address, "GET", "/api/ready").status == 200

    def directory(self, name):
        """Return the addresses that an entry's directory names."""
        address = self.entries[name][1]["listen.directory"]
        answer = ask(address, "GET", "/api/resolve?name=a&region=b&zone=c")
        return json.loads(answer.body)["addresses"]

    def metrics(self, name):
        """Return the metrics of an entry, as text."""
        fields = self.entries[name][1]
        port = int(fields["portRange"].partition(",")[0]) + 1
        return ask(f"{fields['ip']}:{port}", "GET", "/metrics").body.decode()

    def front(self, name):
        """Return the address at which an entry meets callers."""
        return self.entries[name][1]["listen.front"]

    def ask(self, name, path, method="GET", body=None, key=KEY, **headers):
        """Send a request to an entry; return its `Answer`.

        Notes
        -----
        Names of headers are written with underscores.
        """
        fields = {
            "Host": entry_builders.HOST,
            "X-Request-Id": uuid.uuid4().hex[:16],
            "X-Request-Deadline": "4000",
        }
        if key:
            fields["Authorization"] = f"Token {key}"
        for header, value in headers.items():
            fields[header.replace("_", "-")] = str(value)
        if self.kept is not None:
            return self.kept.ask(self.front(name), method, path, body, fields)
        return ask(self.front(name), method, path, body, fields)

    def stream(self, name, path="/chat/a", model="m0", **headers):
        """Send a request for a model to an entry."""
        fields = {"X_Token_Count": "100,10", "X_Prompt_Prefix": "ab:100"}
        return self.ask(
            name, path, "POST", b"prompt", X_Model=model, **fields, **headers
        )

    def history(self, worker, kind="request"):
        """Return what happened at a worker."""
        return self.workers[worker].call("history", kind=kind)["events"]

    def log(self, name, message):
        """Return the log lines of an entry with a message."""
        lines = self.proc(name).log.read_text().splitlines()
        found = [json.loads(li) for li in lines if li.startswith("{")]
        return [line for line in found if line["message"] == message]

    def _start_proxy(self):
        proc, proxy = self._controlled(
            "proxy", "features.faultproxy", [], self._host()
        )
        proc.start()
        self._await(proc, lambda: proxy.call("links"))
        return proxy

    def _stand_in(self, kind, name, args=()):
        host = self._host()
        address = machines.free_address(host)
        module = f"features.standins.{kind}"
        args = ["--address", address, *args]
        proc, ctl = self._controlled(name, module, args, host)
        proc.start()
        probe = "counters" if kind == "platform" else "history"
        self._await(proc, lambda: ctl.call(probe))
        return address, ctl


class KeptConnections:
    """Connections that callers use again until the entry closes them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle = {}

    def ask(self, address, method, path, body=None, headers=None):
        """Send a request on an idle connection if there is one.

        Returns
        -------
        Answer
        """
        with self._lock:
            idle = self._idle.setdefault(address, [])
            conn = idle.pop() if idle else None
        conn = conn or _connection(address)
        answer = _exchange(conn, method, path, body, headers)
        # The client has closed a connection that the reply says will close.
        if answer.whole and conn.sock is not None:
            with self._lock:
                self._idle[address].append(conn)
        else:
            conn.close()
        return answer


def ask(address, method, path, body=None, headers=None):
    """Send one request on a new connection; return its `Answer`."""
    conn = _connection(address)
    try:
        return _exchange(conn, method, path, body, headers)
    finally:
        conn.close()


def _connection(address):
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


def _exchange(conn, method, path, body, headers):
    try:
        conn.request(method, path, body, headers or {})
        reply = conn.getresponse()
        fields = {k.lower(): v for k, v in reply.getheaders()}
        try:
            return Answer(reply.status, fields, reply.read(), True)
        except (http.client.IncompleteRead, OSError) as exc:
            part = getattr(exc, "partial", b"")
            return Answer(reply.status, fields, part, False)
    except (http.client.HTTPException, OSError):
        return Answer(0, {}, b"", False)
