"""Random failures of entries that decide alone, and what must hold.

``python -m features.chaos.entries --seed N --seconds S`` runs one seed;
``--entries N`` starts more entries than three.
"""

import argparse
import collections
import json
import math
import random
import shutil
import sys
import threading
import time
import uuid

from features.chaos import entry_checks
from features import entry_builders
from features import entry_fleet
from features import scenes
from features.standins import process

__all__ = ["Run", "Sent", "main"]

ENTRIES = {"one": "zone-a", "two": "zone-a", "three": "zone-b"}
ZONES = ("zone-a", "zone-b")
ENGINES = {"w0": ("zone-a", "m0,m1"), "w1": ("zone-b", "m0,m2")}
PLAIN = {"p0": "zone-a", "p1": "zone-b"}
# Engines that a section of prompts may crash, and their service.
FRAGILE = {"f0": "zone-a", "f1": "zone-b"}
FRAGILE_SERVICE = "fragile"
# Plain workers that one request may crash, and their service.  The first body
# of each path is that of the deadly request.
BRITTLE = {"b0": "zone-a", "b1": "zone-b", "b2": "zone-a"}
BRITTLE_SERVICE = "brittle"
BRITTLE_BODIES = {
    "/brittle/a": ("", ""),
    "/brittle/b": ("", ""),
    "/brittle-orders/a": ("order 0", "order 1", "order 2"),
}
DEADLY_RATIO = 0.2
# Time after which a request becomes deadly, so that sound ones can be compared
# with those before.
DEADLY_AFTER_S = 5.0
POISON = "dead"
POISON_RATIO = 0.3
DOWN_S = 0.7
# Time for which a worker says that it leaves, before it starts again.
LEAVING_SPAN_S = (4.0, 7.0)
# Seconds after which requests that a worker turns away may come back, and how
# many it turns away.
TURN_AWAY_S = (1.0, 4.0)
TURN_AWAY_COUNT = (1, 3)
# Requests per second that a worker in need names as its limit.
LIMIT = 1.5
LIMIT_SPAN_S = (6.0, 9.0)
RATE = 20.0
DEADLINE_S = 4.0
READY_S = 30.0
SPAN_S = (0.2, 3.0)
PAUSE_S = (0.1, 1.0)
# Failures that overlap, and how often each is repeated in series.
AT_ONCE = 2
SERIES = (1, 1, 1, 3)
STORE_FAULTS = ("refuse", "hang", "mute", "lose")
# Age of the copy from which the store is restored, and time until what was
# lost is written again.
COPY_AGE_S = (0.5, 9.0)
REWRITE_S = (0.1, 1.0)
LINK_FAULTS = ("cut", "blackhole", "half_open", "freeze")
WORKER_FAULTS = (
    "reset",
    "lose",
    "full",
    "error",
    "short",
    "other_id",
    "unsigned",
    "surplus",
    "break",
    "endless_body",
    "endless_comments",
    "endless_event",
    "endless_tiny",
    "held_body",
)
# What callers send: path, method, what may be repeated.
KINDS = (
    ("/chat/a", "POST", "stream"),
    ("/draft/a", "POST", "once"),
    ("/orders/a", "POST", "once"),
    ("/stock/a", "GET", "safe"),
    ("/open/a", "GET", "safe"),
    ("/fragile/a", "POST", "stream"),
    ("/brittle/a", "GET", "safe"),
    ("/brittle/b", "GET", "safe"),
    ("/brittle-orders/a", "POST", "once"),
)
MODELS = ("m0", "m1", "m2", "m3")
# Keys of callers with the customer of each; the second one is withdrawn.
KEYS = {entry_fleet.KEY: "husk", "key-frost": "frost"}
WITHDRAWN = "key-frost"
EVACUATED = "zone-b"


class Sent:
    """A request that a caller sent, and its answer.

    Parameters
    ----------
    id, path, method, kind, entry : str
    body : str
    key : str or None
    begun : float
        Unix time.
    """

    def __init__(self, path, method, kind, entry, body, key):
        self.id = uuid.uuid4().hex[:16]
        self.path = path
        self.method = method
        self.kind = kind
        self.entry = entry
        self.body = body
        self.key = key
        self.customer = KEYS.get(key, "")
        self.begun = time.time()
        self.ended = None
        self.answer = None
        self.poisoned = False
        self.deadly = False


class Run:
    """One run over a fleet of entries; call `go`, then `stop`.

    Parameters
    ----------
    seed : int
    entries : int
        Number of entries, at least 3.

    Attributes
    ----------
    entries : dict of str to str
        Zones of the entries.
    troubled : list of (float, float, str)
        From when to when something failed, by Unix time: an entry's
        name, or ``all``.
    planned : list of (float, float, str)
        Those of `troubled` that are stops and reloads by a signal.
    restarted : list of (float, float, str)
        Those of `troubled` in which an entry was ended or frozen.
    cut_off : list of (float, float, str)
        Those of `troubled` in which links of an entry or of all were harmed.
    poisoned_at : float
        Unix time at which a section of prompts first crashes engines.
    deadly : tuple of str or None
        Path, customer and body of the request that crashes plain workers.
    deadly_at : float
        Unix time from which it does.
    gone : list of (float, float, str)
        From when to when a worker was not registered.
    leaving : list of (float, float, str)
        From when to when a worker said in its answers that it leaves.
    evacuated : list of (float, float, str)
        From when to when a zone was evacuated.
    withdrawn : list of (float, str)
        When a key was withdrawn.
    named_limit : float
        Requests per second that a worker in need names.
    limited : list of (float, float, str)
        From when to when a worker named a limit.
    """

    def __init__(self, seed, entries=len(ENTRIES)):
        self.seed = seed
        self.rng = random.Random(seed)
        self.fleet = entry_fleet.EntryFleet(
            proxied=True, keeps_connections=True
        )
        self.entries = ENTRIES | {
            f"entry{number}": ZONES[number % len(ZONES)]
            for number in range(len(ENTRIES), entries)
        }
        self.sent = []
        self.log = []
        self.troubled = []
        self.planned = []
        self.restarted = []
        self.cut_off = []
        self.poisoned_at = math.inf
        self.deadly = None
        self.deadly_at = math.inf
        self.gone = []
        self.leaving = []
        self.evacuated = []
        self.withdrawn = []
        self.limited = []
        self.named_limit = LIMIT
        self.version = 1
        self._locks = collections.defaultdict(threading.Lock)
        self._left = set()
        self.kinds = (
            self.kill,
            self.pause,
            self.stop_entry,
            self.reload,
            self.cut_store,
            self.cut_worker,
            self.store_fault,
            self.worker_faults,
            self.leave,
            self.configure,
            self.compact,
            self.restore,
            self.poison,
            self.limit,
            self.say_leaving,
            self.turn_away,
        )

    def go(self, seconds):
        """Run, heal all, and return the breaches found."""
        self._start()
        load = scenes.Load(self._send, RATE).start()
        path = random.Random(self.seed).choice(tuple(BRITTLE_BODIES))
        deadly = threading.Timer(DEADLY_AFTER_S, self.make_deadly, (path,))
        deadly.start()
        try:
            until = time.monotonic() + seconds
            threads = [
                threading.Thread(target=self._fail, args=(until, seed))
                for seed in (self.rng.random() for _ in range(AT_ONCE))
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for name in self.entries:
                self._await_ready(name)
            # Bounds of time hold again once all has been well for a while.
            load.wait(2 * entry_checks.CONTACT_S)
            self.leave(self.rng)
            self._withdraw()
            self._evacuate()
        finally:
            deadly.cancel()
            self.sent = load.stop()
        return entry_checks.check(self)

    def stop(self):
        """End every process."""
        self.fleet.stop()

    def _start(self):
        fleet = self.fleet
        self._configure()
        for name, (zone, models) in ENGINES.items():
            fleet.add_worker(name, "models", models, zone=zone)
        for name, zone in PLAIN.items():
            fleet.add_worker(name, "plain", zone=zone)
        for name, zone in FRAGILE.items():
            fleet.add_worker(
                name, FRAGILE_SERVICE, "m0", direct=True, zone=zone
            )
        for name, zone in BRITTLE.items():
            fleet.add_worker(name, BRITTLE_SERVICE, direct=True, zone=zone)
        for name, zone in self.entries.items():
            fleet.start_entry(name, zone)

    def _configure(self, **fields):
        """Write the configuration, with the services that may crash."""
        body = json.loads(entry_builders.config_body())
        services = [
            dict(body["services"][0], name=FRAGILE_SERVICE),
            dict(body["services"][1], name=BRITTLE_SERVICE),
        ]
        routes = [
            entry_builders.route_body("fragile", service=FRAGILE_SERVICE),
            entry_builders.route_body(
                "brittle", kind="safe", service=BRITTLE_SERVICE
            ),
            entry_builders.route_body(
                "brittle-orders", kind="unsafe", service=BRITTLE_SERVICE
            ),
        ]
        self.fleet.configure(
            self.version,
            routes=[*body["routes"], *routes],
            services=[*body["services"], *services],
            **fields,
        )

    def _send(self, index):
        rng = random.Random(index)
        path, method, kind = rng.choice(KINDS)
        sent = Sent(
            path,
            method,
            kind,
            rng.choice(tuple(self.entries)),
            f"body {index}" if method == "POST" else "",
            None if path == "/open/a" else rng.choice(tuple(KEYS)),
        )
        fields = {
            "X_Request_Id": sent.id,
            "X_Request_Deadline": int(DEADLINE_S * 1000),
        }
        if path in BRITTLE_BODIES:
            self._choose_brittle(sent, rng)
        if path in ("/chat/a", "/draft/a"):
            fields["X_Model"] = rng.choice(MODELS)
            fields["X_Token_Count"] = "100,10"
            fields["X_Prompt_Prefix"] = "ab:60,cd:40"
        if path == "/fragile/a":
            fields["X_Model"] = "m0"
            fields["X_Token_Count"] = "100,10"
            sections = ["ab", f"b{rng.randrange(5)}"]
            if rng.random() < POISON_RATIO:
                sections.append(POISON)
            sent.poisoned = POISON in sections
            fields["X_Prompt_Prefix"] = ",".join(
                f"{section}:20" for section in [*sections, f"c{index}"]
            )
        body = sent.body.encode() if sent.body else None
        sent.answer = self.fleet.ask(
            sent.entry, path, method, body, sent.key, **fields
        )
        sent.ended = time.time()
        return sent

    def _choose_brittle(self, sent, rng):
        """Make a request the deadly one, or one that shares parts of it."""
        sent.body = rng.choice(BRITTLE_BODIES[sent.path])
        if self.deadly and rng.random() < DEADLY_RATIO:
            path, customer, body = self.deadly
            if sent.path == path:
                (sent.key,) = (k for k, c in KEYS.items() if c == customer)
                sent.customer, sent.body = customer, body
        sent.deadly = self.deadly is not None and self.deadly == (
            sent.path,
            sent.customer,
            sent.body,
        )

    def _withdraw(self):
        """Take a key away for good."""
        body = json.loads(entry_builders.config_body())
        for tenant in body["tenants"]:
            tenant["apiKeys"] = [
                key for key in tenant["apiKeys"] if key != WITHDRAWN
            ]
        self.version += 1
        self._configure(tenants=body["tenants"])
        self.withdrawn.append((time.time(), WITHDRAWN))

    def _evacuate(self):
        """Evacuate a zone for a while."""
        key = f"evacuate/{EVACUATED}"
        self.fleet.store.call("put", table="op", key=key, value="{}")
        began = time.time()
        time.sleep(entry_checks.EVACUATE_S + 1)
        self.evacuated.append((began, time.time(), EVACUATED))
        self.fleet.store.call("delete", table="op", key=key)

    def _fail(self, until, seed):
        rng = random.Random(seed)
        while time.monotonic() < until:
            kind = rng.choice(self.kinds)
            for _ in range(rng.choice(SERIES)):
                self._fail_once(kind, rng)
            time.sleep(rng.uniform(*PAUSE_S))

    def _fail_once(self, kind, rng):
        began = time.time()
        whom = kind(rng)
        if not whom:
            return
        span = (began, time.time(), whom)
        self.troubled.append(span)
        if kind in (self.stop_entry, self.reload):
            self.planned.append(span)
        if kind in (self.kill, self.pause, self.stop_entry):
            self.restarted.append(span)
        if kind in (self.cut_store, self.cut_worker):
            self.cut_off.append(span)
        self.log.append((began, f"{kind.__name__} {whom}"))

    def _last(self, rng):
        time.sleep(rng.uniform(*SPAN_S))

    def _await_ready(self, name):
        """Wait for an entry; one that has just started knows no signal yet."""
        process.wait_for(
            lambda: self.fleet.ready(name), READY_S, f"{name} to be ready"
        )

    def _entry(self, rng, func):
        """Run a failure of an entry unless another one goes on there."""
        name = rng.choice(tuple(self.entries))
        if not self._locks[name].acquire(blocking=False):
            return ""
        try:
            func(self.fleet.proc(name))
        finally:
            self._locks[name].release()
        return name

    def kill(self, rng):
        """Kill an entry and start it again."""

        def fail(proc):
            proc.kill()
            self._last(rng)
            proc.start()

        return self._entry(rng, fail)

    def pause(self, rng):
        """Pause an entry."""

        def fail(proc):
            proc.freeze()
            self._last(rng)
            proc.resume()

        return self._entry(rng, fail)

    def stop_entry(self, rng):
        """Stop an entry by its signal and start it again."""

        def fail(proc):
            self._await_ready(proc.name)
            code = proc.stop()
            if code != 0:
                self.log.append(
                    (time.time(), f"{proc.name} ended with {code}")
                )
            proc.start()

        return self._entry(rng, fail)

    def reload(self, rng):
        """Send an entry the signal to read its settings again."""

        def fail(proc):
            self._await_ready(proc.name)
            proc.reload()

        return self._entry(rng, fail)

    def cut_store(self, rng):
        """Cut an entry off from the store, one way or another."""
        name = rng.choice(tuple(self.entries))
        return self._link(rng, f"{name}->store", name)

    def cut_worker(self, rng):
        """Cut all entries off from a worker."""
        name = rng.choice((*ENGINES, *PLAIN))
        return self._link(rng, f"entries->{name}", "all")

    def _link(self, rng, link, whom):
        with self._locks[link]:
            mode = rng.choice(LINK_FAULTS)
            self.fleet.proxy.call("set", name=link, mode=mode)
            self._last(rng)
            self.fleet.proxy.call("set", name=link, mode="pass")
        return whom

    def store_fault(self, rng):
        """Take the store away."""
        with self._locks["store"]:
            mode = rng.choice(STORE_FAULTS)
            self.fleet.store.call("outage", mode=mode)
            self._last(rng)
            self.fleet.store.call("outage", mode="off")
        return "all"

    def compact(self, rng):
        """Let the store forget its history."""
        self.fleet.store.call("compact")
        return "all"

    def restore(self, rng):
        """Take the store away, and bring it back from a copy.

        What the operator and the workers wrote is written again.
        """
        with self._locks["store"], self._locks["config"]:
            self.fleet.store.call("outage", mode=rng.choice(STORE_FAULTS[:3]))
            self._last(rng)
            self.fleet.store.call("restore", age_s=rng.uniform(*COPY_AGE_S))
            self.fleet.store.call("outage", mode="off")
            time.sleep(rng.uniform(*REWRITE_S))
            self._configure()
            for name in self.fleet.registered:
                with self._locks["registrations"]:
                    if name in self._left:
                        self.fleet.unregister(name)
                    else:
                        self.fleet.register(name)
        return "all"

    def worker_faults(self, rng):
        """Let a worker's next answers fail."""
        name = rng.choice((*ENGINES, *PLAIN))
        kinds = [rng.choice(WORKER_FAULTS) for _ in range(3)]
        self.fleet.workers[name].call("faults", kinds=kinds)
        return "all"

    def leave(self, rng):
        """Take a plain worker's registration away for a while."""
        name = rng.choice(tuple(PLAIN))
        with self._locks["plain"]:
            with self._locks["registrations"]:
                self._left.add(name)
                self.fleet.unregister(name)
            began = time.time()
            time.sleep(entry_checks.DRAIN_S + rng.uniform(*SPAN_S))
            self.gone.append((began, time.time(), name))
            with self._locks["registrations"]:
                self._left.discard(name)
                self.fleet.register(name)
        return ""

    def say_leaving(self, rng):
        """Let a worker say that it leaves, and start again after a while."""
        group = rng.choice((PLAIN, ENGINES))
        name = rng.choice(tuple(group))
        with self._locks["plain" if group is PLAIN else "engines"]:
            began = time.time()
            worker = self.fleet.workers[name]
            worker.call("set", leaving="1")
            time.sleep(rng.uniform(*LEAVING_SPAN_S))
            self.leaving.append((began, time.time(), name))
            worker.call("set", leaving="")
            self.fleet.register(name, born=int(time.time() * 1000))
            self.log.append((began, f"say_leaving {name}"))
        return ""

    def turn_away(self, rng):
        """Let a worker turn requests away, and name the time to return."""
        name = rng.choice((*ENGINES, *PLAIN))
        seconds = round(rng.uniform(*TURN_AWAY_S), 1)
        self.fleet.workers[name].call(
            "set",
            turn_away=str(seconds),
            turn_away_count=rng.randint(*TURN_AWAY_COUNT),
        )
        self.log.append((time.time(), f"turn_away {name} {seconds} s"))
        return ""

    def configure(self, rng):
        """Bring a harmless new version into force."""
        with self._locks["config"]:
            self.version += rng.randrange(1, 4)
            self._configure()
        return ""

    def poison(self, rng):
        """Let a section of prompts crash the fragile engines from now on."""
        for name in FRAGILE:
            self.fleet.workers[name].call("set", poison=[POISON, DOWN_S])
        self.poisoned_at = min(self.poisoned_at, time.time())
        self.log.append((time.time(), "poison"))
        return ""

    def make_deadly(self, path):
        """Let one request crash the brittle workers from now on."""
        self.deadly = (path, "husk", BRITTLE_BODIES[path][0])
        for name in BRITTLE:
            self.fleet.workers[name].call("set", deadly=[*self.deadly, DOWN_S])
        self.deadly_at = time.time()
        self.log.append((time.time(), f"make_deadly {path}"))

    def limit(self, rng):
        """Let a plain worker name a limit for a while."""
        name = rng.choice(tuple(PLAIN))
        with self._locks[f"limit {name}"]:
            began = time.time()
            self.fleet.workers[name].call("set", limit=LIMIT)
            time.sleep(rng.uniform(*LIMIT_SPAN_S))
            self.fleet.workers[name].call("set", limit=0)
            self.limited.append((began, time.time(), name))
            self.log.append((began, f"limit {name}"))
        return ""


def main():
    """Run as the command line says; exit 1 where something broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=len(ENTRIES))
    parser.add_argument("--keep", help="folder for the logs of a breach")
    args = parser.parse_args()
    run = Run(args.seed, args.entries)
    began = time.time()
    try:
        found = run.go(args.seconds)
        for at, text in sorted(run.log):
            print(f"{at - began:7.1f} s  {text}")
        counts = collections.Counter(
            (sent.path, sent.answer.status) for sent in run.sent
        )
        for (path, status), count in sorted(counts.items()):
            print(f"{path:10} {status:4} {count:6}")
        for group in (FRAGILE, BRITTLE):
            crashes = sum(
                len(run.fleet.history(name, "crash")) for name in group
            )
            print(f"{crashes} crashes of {', '.join(group)}")
        for text in found[:40]:
            print(f"BROKEN {text}")
        if found:
            print(run.fleet.tails())
        if found and args.keep:
            shutil.copytree(run.fleet.dir, args.keep, dirs_exist_ok=True)
        print(f"seed {args.seed}: {len(found)} broken")
    except AssertionError:
        print(run.fleet.tails())
        raise
    finally:
        run.stop()
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
