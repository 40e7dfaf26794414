"""A small deployment of real processes on loopback addresses.

Notes
-----
Entries are started with the command of the deploy file, from the folder that
its build makes.  The store is the project's own stand-in of the platform.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_S = 30.0
HEARTBEAT_S = 1.2
# An entry of the list of workers goes after three silent intervals.
LAPSE_S = 3 * HEARTBEAT_S
HOST = "frames.example"
KEY = "key-frames-0001"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
ENTRIES = {f"entry-{zone[-1]}": zone for zone in ZONES}
CALL_TIMEOUT_S = 5.0
CANNOT_RUN = 2


class Answer:
    """What a client has received.

    Parameters
    ----------
    request_id, path : str
    sent_at : float
        Unix time.
    took_s : float
        Time until the answer had ended, or the client gave up, seconds.
    status : int
        0 if no answer came.
    headers : dict
    body : bytes
    is_whole : bool
        Whether the answer ended as its framing says.
    """

    def __init__(
        self,
        request_id,
        path,
        sent_at,
        took_s,
        status,
        headers,
        body,
        is_whole,
    ):
        self.path = path
        self.took_s = took_s
        self.request_id = request_id
        self.sent_at = sent_at
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def as_record(self):
        """Return the answer as a line of the record."""
        return {
            "what": "answer",
            "id": self.request_id,
            "sent_at": self.sent_at,
            "took_s": round(self.took_s, 3),
            "status": self.status,
            "bytes": len(self.body),
            "end": self.body[-40:].decode("latin-1"),
            "whole": self.is_whole,
            "retry_after": self.headers.get("retry-after", ""),
        }


class Fleet:
    """Processes of one case; all are ended by `stop`.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, which gets ``record.txt``.
    """

    def __init__(self, folder):
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.dir = pathlib.Path(self.scratch.name)
        self.record_file = open(folder / "record.txt", "w", buffering=1)
        self.workers_file = self.dir / "workers.txt"
        self.workers_file.touch()
        self.workers = {}
        self.proxies = {}
        self.rows = {}
        self.entries = {}
        self.answers = []
        self.errors = []
        self._procs = []
        self._host_count = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = []
        self._start_store()
        self._beats = threading.Thread(target=self._beat, daemon=True)
        self._beats.start()

    def note(self, what, **fields):
        """Write a line into the record."""
        line = json.dumps({"at": time.time(), "what": what, **fields})
        with self._lock:
            self.record_file.write(line + "\n")

    def stop(self):
        """End all processes; add what the workers ran to the record."""
        self._stopped.set()
        for proc in reversed(self._procs):
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        for line in self.workers_file.read_text().splitlines():
            self.record_file.write(line + "\n")
        self.record_file.close()
        self.scratch.cleanup()

    def free_address(self, host):
        """Return ``IP:PORT`` of a port that is free."""
        with socket.socket() as sock:
            sock.bind((host, 0))
            return f"{host}:{sock.getsockname()[1]}"

    def new_host(self):
        """Return a loopback address for one more machine."""
        self._host_count += 1
        pid = os.getpid()
        return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{self._host_count}"

    def start(self, name, argv, **variables):
        """Start a process from the root of the repository."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **variables,
        }
        with open(self.dir / f"{name}.log", "ab") as log:
            proc = subprocess.Popen(
                [str(arg) for arg in argv],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._procs.append(proc)
        return proc

    def log(self, name):
        """Return what a process has printed."""
        return (self.dir / f"{name}.log").read_text(errors="replace")

    def _start_store(self):
        host = self.new_host()
        self.store = self.free_address(host)
        self.control = self.free_address(host)
        self.start(
            "store",
            [sys.executable, "-m", "features.standins.platform"]
            + ["--address", self.store, "--control", self.control],
        )
        wait_for(lambda: self.command("counters"), "the store")

    def command(self, name, **body):
        """Do what the operator, a worker or the platform does at the store."""
        status, data = call(self.control, "POST", f"/{name}", body)
        if status != http.client.OK:
            raise ValueError(f"{name}: {data!r}")
        return json.loads(data)

    def configure(self, version=1, **fields):
        """Write a configuration as the operator does."""
        text = json.dumps({**configuration(), **fields, "version": version})
        self.command("put", table="op", key="config", value=text)
        self.note("configuration", version=version)

    def add_worker(
        self,
        name,
        service,
        zone,
        models="",
        options=(),
        has_proxy=False,
        address="",
        **row,
    ):
        """Start a worker and register it, or a proxy before it."""
        address = address or self.free_address(self.new_host())
        proc = self.start(
            name,
            [sys.executable, ROOT / "review" / "worker.py"]
            + ["--name", name, "--address", address]
            + ["--record", self.workers_file, "--models", models, *options],
        )
        host, _, port = address.rpartition(":")

        def answers():
            with socket.create_connection((host, int(port)), CALL_TIMEOUT_S):
                return True

        wait_for(answers, name)
        if has_proxy:
            target, address = address, self.free_address(self.new_host())
            self.proxies[name] = self.start(
                f"{name}-proxy",
                [sys.executable, ROOT / "review" / "proxy.py"]
                + ["--address", address, "--target", target],
            )
        self.workers[name] = proc
        self.rows[name] = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "colocated",
            "born": int(time.time() * 1000),
            "models": [
                {"name": model, "version": 1, "adapters": []}
                for model in models.split(",")
                if model
            ],
            "sequence": 1,
            **row,
        }
        self.register(name)
        self.note("worker started", worker=name, service=service)

    def register(self, name, **fields):
        """Write the row of a worker as the worker does."""
        row = self.rows[name]
        row.update(fields)
        row["sequence"] += 1
        self.command("put", table="servers", key=name, value=json.dumps(row))

    def kill_worker(self, name):
        """End a worker at once; its row goes as the page says."""
        self.note("worker killed", worker=name)
        self.workers[name].kill()
        del self.rows[name]

        def lapse():
            if not self._stopped.wait(LAPSE_S):
                self.command("delete", table="servers", key=name)

        threading.Thread(target=lapse, daemon=True).start()

    def _beat(self):
        while not self._stopped.wait(HEARTBEAT_S):
            for name in list(self.rows):
                try:
                    self.register(name)
                except (KeyError, OSError, ValueError):
                    pass

    def start_entry(self, name, zone, is_first=True, **fields):
        """Start an entry with the command of the deploy file."""
        host = self.new_host()
        ports = [self.free_address(host) for _ in range(4)]
        # A machine has sixteen ports of its own for its processes.
        first_port = int(ports[0].rpartition(":")[2]) % 10000 + 10000
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": "front,directory",
            "ip": host,
            "zone": zone,
            "region": "region",
            "listen.front": ports[1],
            "listen.readiness": ports[2],
            "listen.directory": ports[3],
            "portRange": f"{first_port},{first_port + 15}",
            "bootstrap": "true" if is_first else "false",
            "limits.memoryMb": "300",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "56",
            "bounds.quotaWindowS": "8",
            "bounds.quotaOverage": "0.1",
            "bounds.quotaSlack": "110000",
            "bounds.coldOverage": "1.5",
            "bounds.coldSlack": "5",
            "bounds.fencingRequired": "true",
            "bounds.leaseMs": "3000",
            "bounds.thawMs": "300",
            "bounds.ttl_max_s": "5",
            "platform.address": self.store,
            "platform.form": "table",
            **fields,
        }
        path = self.dir / f"{name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        self.entries[name] = settings
        return self.launch_entry(name)

    def launch_entry(self, name):
        """Start the process of an entry whose settings are written."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        proc = self.start(
            name,
            deploy["roles"]["entry"]["run"].split(),
            DOGWOODWHEEL_BOOT=str(self.dir / f"{name}.conf"),
        )
        self.note("entry started", entry=name)
        return proc

    def is_ready(self, name):
        """Return whether an entry says that it is ready."""
        address = self.entries[name]["listen.readiness"]
        return call(address, "GET", "/api/ready")[0] == http.client.OK

    def wait_ready(self, *names):
        """Wait until entries are ready."""
        for name in names:
            wait_for(lambda: self.is_ready(name), name)

    def send(self, entry, method, path, body=b"", deadline_ms=4000, **headers):
        """Send a request as a client does, and record its `Answer`."""
        request_id = uuid.uuid4().hex[:16]
        sent_at, began_at = time.time(), time.monotonic()
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = str(value)
        address = self.entries[entry]["listen.front"]
        self.note("sent", id=request_id, entry=entry, path=path)
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(
            host, int(port), timeout=deadline_ms / 1000
        )
        status, reply_headers, data, is_whole = 0, {}, b"", False
        try:
            conn.request(method, path, body, fields)
            reply = conn.getresponse()
            status = reply.status
            reply_headers = {k.lower(): v for k, v in reply.getheaders()}
            data, is_whole = read_all(reply)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()
        answer = Answer(
            request_id,
            path,
            sent_at,
            time.monotonic() - began_at,
            status,
            reply_headers,
            data,
            is_whole,
        )
        self.note(**answer.as_record())
        with self._lock:
            self.answers.append(answer)
        return answer

    def send_soon(self, *args, **kwargs):
        """Send a request from a client of its own."""
        thread = threading.Thread(
            target=self.send, args=args, kwargs=kwargs, daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def after(self, delay_s, func, *args):
        """Call a function after a time, beside all else."""

        def run():
            if self._stopped.wait(delay_s):
                return
            try:
                func(*args)
            except Exception as exc:
                self.errors.append(exc)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._threads.append(thread)

    def set_odd(self, name, for_s):
        """Begin the odd time of a worker; it ends by itself."""
        self.note("odd answers", worker=name, for_s=for_s)
        self.workers[name].send_signal(signal.SIGUSR2)
        self.after(for_s, self.workers[name].send_signal, signal.SIGHUP)

    def leave(self, name, notice_s):
        """Let a worker say that it leaves, and end when its time is out."""
        self.note("leaves", worker=name, notice_s=notice_s)
        self.workers[name].send_signal(signal.SIGUSR1)
        self.after(notice_s, self.kill_worker, name)
        self.register(name, state="draining", remainingMs=int(notice_s * 1000))

    def start_entries(self):
        """Start an entry in each zone; return the processes by name."""
        procs = {
            name: self.start_entry(name, zone)
            for name, zone in ENTRIES.items()
        }
        self.wait_ready(*ENTRIES)
        # The entries get to know each other, and one takes the lease.
        time.sleep(2.0)
        return procs

    def join(self, timeout_s):
        """Wait until all clients have their answers."""
        until = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def events(self, **wanted):
        """Return what the workers have written, as far as it fits."""
        lines = self.workers_file.read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return [
            event
            for event in events
            if all(event.get(key) == value for key, value in wanted.items())
        ]


def read_all(reply):
    """Return a reply's body, and whether it ended as its framing says."""
    chunks = []
    try:
        while chunk := reply.read1(65536):
            chunks.append(chunk)
    except http.client.IncompleteRead as exc:
        chunks.append(exc.partial)
        return b"".join(chunks), False
    except (OSError, http.client.HTTPException):
        return b"".join(chunks), False
    data = b"".join(chunks)
    length = reply.getheader("content-length")
    return data, length is None or int(length) == len(data)


def call(address, method, path, body=None):
    """Make one call; return the status and the body of its reply."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data)
        reply = conn.getresponse()
        return reply.status, reply.read()
    finally:
        conn.close()


def wait_for(condition, what):
    """Poll until a condition holds."""
    until = time.monotonic() + START_S
    while time.monotonic() < until:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"no answer of {what} within {START_S} s")


def configuration():
    """Return a configuration as the operator writes it."""
    return {
        "version": 1,
        "routes": [
            route("chat", resumable=True),
            route("draft", maxAttempts=1),
            route("orders", kind="unsafe", service="app", maxAttempts=1),
            route("stock", kind="safe", service="app"),
        ],
        "services": [
            {
                "name": "models",
                "healthPath": "/health",
                "maxConnections": 370,
                "coldStartS": 3.0,
                "coldPerS": 8.0,
                "engine": {
                    "slots": 64,
                    "kvCacheTokens": 232000,
                    "weightsMb": 200000.0,
                    "adapterSlots": 8,
                    "loadsPerS": 2.8,
                    "models": [
                        {
                            "name": f"m{number}",
                            "weightsMb": 60000.0,
                            "loadS": 6.0,
                            "adapters": 0,
                            "adapterMb": 12.0,
                            "warmS": 0.32,
                            "diskS": 0.42,
                        }
                        for number in range(8)
                    ],
                },
            },
            {
                "name": "app",
                "healthPath": "/health",
                "maxConnections": 110,
                "coldPerS": 0.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "growers",
                "apiKeys": [KEY],
                "priority": 0,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }


def route(name, **fields):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "priority": 0,
        "service": "models",
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 400,
        **fields,
    }


def run_case(case, file):
    """Run a case; exit with 1 if the rule broke, 0 if it held, else 2.

    Parameters
    ----------
    case : callable
        ``case(fleet, has_trouble)`` returns a list of what broke the rule.
    file : str
        Path of the script of the case.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    try:
        fleet = Fleet(pathlib.Path(file).resolve().parent)
        broken = case(fleet, has_trouble)
        if fleet.errors:
            raise fleet.errors[0]
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        if fleet is not None:
            fleet.note("could not run", why=repr(exc))
        sys.exit(CANNOT_RUN)
    finally:
        if fleet is not None:
            fleet.stop()
    for line in broken:
        print(line)
    print(f"{len(broken)} broken, trouble {'on' if has_trouble else 'off'}")
    sys.exit(1 if broken else 0)
