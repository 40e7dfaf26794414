"""Failures of a random run, drawn by a seed, each healed again."""

import random
import time

from features.standins import process

__all__ = ["Failures"]

OUTAGES = ("refuse", "hang", "lose")
REPLIES = ("late", "crossed", "short", "broken", "no_done", "close_before")
LOSSES = ("close_before", "close_after")
HEAL_S = (0.3, 4.0)
PAUSE_S = (0.1, 1.5)
READY_S = 30.0


class Failures:
    """Draws failures and brings them about, one after another.

    Parameters
    ----------
    scene : features.scenes.Scene
    seed : int

    Attributes
    ----------
    log : list of (float, str)
        What was done, with its monotonic time.
    zones_out : list of (float, float, str)
        From when to when a zone was out.
    withdrawn : list of (float, str)
        When a key was withdrawn.
    """

    def __init__(self, scene, seed):
        self.scene = scene
        self.fleet = scene.fleet
        self.rng = random.Random(seed)
        self.log = []
        self.zones_out = []
        self.withdrawn = []
        self.kinds = (
            self.kill_entry,
            self.pause_entry,
            self.kill_coordinator,
            self.stop_entry,
            self.cut_link,
            self.outage,
            self.restart_engine,
            self.bad_replies,
            self.lost_effects,
            self.zone_out,
            self.new_version,
            self.withdraw_key,
        )

    def run(self, seconds):
        """Bring failures about for some time; then all are healed."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            kind = self.rng.choice(self.kinds)
            self.note(kind.__name__)
            kind()
            time.sleep(self.rng.uniform(*PAUSE_S))

    def note(self, text):
        """Keep what was done and when."""
        self.log.append((time.monotonic(), text))

    def entry(self):
        """Return an entry, but never the first: callers may wait there."""
        return self.rng.choice(list(self.fleet.entries.values())[1:])

    def wait(self):
        """Let a failure last."""
        time.sleep(self.rng.uniform(*HEAL_S))

    def kill_entry(self):
        """Kill an entry and start it again."""
        entry = self.entry()
        entry.kill()
        self.wait()
        entry.start()

    def kill_coordinator(self):
        """Kill a coordinator under its gateway, and start it again."""
        coordinator = self.entry().coordinator
        coordinator.kill()
        self.wait()
        coordinator.start()

    def pause_entry(self):
        """Pause an entry."""
        entry = self.entry()
        entry.freeze()
        self.wait()
        entry.resume()

    def stop_entry(self):
        """Stop an entry gracefully and start it again."""
        entry = self.entry()
        # One that has only just been started knows no signal yet.
        process.wait_for(entry.ready, READY_S, f"{entry.name} to be ready")
        codes = entry.stop()
        self.note(f"stopped {codes}")
        entry.start()

    def cut_link(self):
        """Cut one link or swallow what passes."""
        name = self.rng.choice(sorted(self.fleet.links))
        source, _, target = name.partition("->")
        mode = self.rng.choice(("cut", "blackhole", "half_open"))
        self.fleet.fault(source, target, mode=mode)
        self.wait()
        self.fleet.fault(source, target, mode="pass")

    def outage(self):
        """Take the platform away."""
        mode = self.rng.choice(OUTAGES)
        self.fleet.platform.call("outage", mode=mode)
        self.wait()
        self.fleet.platform.call("outage", mode="off")

    def engines(self):
        """Return the engines."""
        return [e for n, e in self.fleet.endpoints.items() if n[0] == "w"]

    def restart_engine(self):
        """Restart an engine without warning."""
        self.rng.choice(self.engines()).ctl.call("restart")

    def bad_replies(self):
        """Let an engine's next replies fail."""
        faults = [
            {"kind": self.rng.choice(REPLIES), "delay_s": 1.0}
            for _ in range(3)
        ]
        self.rng.choice(self.engines()).ctl.call("faults", faults=faults)

    def lost_effects(self):
        """Let the plain service lose calls before or after the effect."""
        kinds = [self.rng.choice(LOSSES) for _ in range(3)]
        self.fleet.endpoints["s0"].ctl.call("faults", kinds=kinds)

    def zone_out(self):
        """Take a zone out and in again."""
        zone = self.rng.choice(("zone-b", "zone-c"))
        self.scene.text.change("zones", zone, state="out")
        self.scene.publish()
        begun = time.monotonic()
        time.sleep(6.0)
        self.zones_out.append((begun, time.monotonic(), zone))
        self.scene.text.change("zones", zone, state="in")
        self.scene.publish()

    def new_version(self):
        """Accept a harmless new version."""
        self.scene.text.model(f"idle-{self.fleet.version}", "lm")
        self.scene.publish()

    def withdraw_key(self):
        """Withdraw a key for good, while more than one is left."""
        customer = self.scene.text.maps["customers"]["frost"]
        if len(customer["keys"]) < 2:
            return
        key = customer["keys"].pop()
        self.scene.publish()
        self.withdrawn.append((time.monotonic(), key["name"]))
