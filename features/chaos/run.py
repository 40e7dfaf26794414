"""Runs the random failures: ``python -m features.chaos.run``."""

import argparse
import collections
import sys
import time

from features.chaos import checks
from features.chaos import failures
from features.chaos import traffic
from features import scenes
from features import watch

__all__ = ["Run", "main"]

RATE = 25.0
MODELS = ("frames-0", "frames-1", "frames-2", "frames-3")
KEYS = ("k1", "k2", "k3", "small")


class Run:
    """One run over a whole fleet; call `go`, then `stop`.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed):
        self.scene = scenes.Scene(entries=4, engines=3, proxied=True)
        text = self.scene.text
        text.customer(
            "frost", {"k1": "secret", "k2": "secret", "k3": "secret"}
        )
        text.customer("small", rate=3, burst=6)
        for index, model in enumerate(MODELS):
            text.model(model, scenes.MODELS, size_mb=400 + 50 * index)
            text.change("models", model, max_replicas=1, idle_s=5)
        entries = list(self.scene.fleet.entries.values())
        self.traffic = traffic.Traffic(entries, MODELS, KEYS, seed)
        self.failures = failures.Failures(self.scene, seed)
        self.watch = watch.VersionWatch(
            {name: e.admin for name, e in self.scene.fleet.entries.items()}
        )
        self.sent = []

    def go(self, seconds):
        """Run, heal all, and return the breaches found."""
        self.scene.start()
        self.watch.start()
        load = scenes.Load(self.traffic.send, RATE).start()
        try:
            self.failures.run(seconds)
            self.scene.fleet.wait_ready()
        finally:
            self.sent = load.stop()
            self.watch.stop()
        return checks.check(self)

    def paused_s(self, reply):
        """Return how long a pause may have held a request up.

        Notes
        -----
        A process that is paused can say nothing; its callers wait for
        it as they would for any that is cut off.
        """
        return sum(
            failures.HEAL_S[1]
            for at, text in self.failures.log
            if text == "pause_entry"
            and reply.begun - failures.HEAL_S[1] <= at <= reply.ended
        )

    def stop(self):
        """End every process."""
        self.scene.fleet.stop()

    def summary(self):
        """Return counts of replies by kind and status."""
        return collections.Counter(
            (sent.kind, sent.reply.status) for sent in self.sent
        )


def main():
    """Run as the command line says; exit 1 where a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--logs", action="store_true")
    args = parser.parse_args()
    run = Run(args.seed)
    began = time.monotonic()
    try:
        found = run.go(args.seconds)
        for at, text in run.failures.log:
            print(f"{at - began:7.1f} s  {text}")
        for (kind, status), count in sorted(run.summary().items()):
            print(f"{kind:7} {status:4} {count:6}")
        for text in found[:40]:
            print(f"BROKEN {text}")
        if args.logs and found:
            print(run.scene.fleet.tails())
        print(f"seed {args.seed}: {len(found)} broken")
    finally:
        run.stop()
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
