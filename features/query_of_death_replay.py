"""Replays queries of death on the decisions of a fleet, without sockets."""

import collections
import random

from dogwoodwheel.entry import query_of_death

__all__ = ["Fleet", "LookUpPlay", "Play"]

# Time from a crash to its first report, and from a datagram to its arrival.
DELAY_S = 0.05
# Time for which a crashed engine is down.
DOWN_S = 3.0
POISON = "poison"
STEP_S = 0.05


class Fleet:
    """The detectors of entries, and the heartbeats between them.

    Parameters
    ----------
    count : int
    beat_s : float
        Interval of full heartbeats, seconds.
    loss : float
        Share of the datagrams that are lost.
    """

    def __init__(self, count, beat_s, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.detectors = [self._detector() for _ in range(count)]
        self.beat_s = beat_s
        self.loss = loss
        self.frozen = set()
        self._beat_at = [self.rng.random() * beat_s for _ in range(count)]
        self._arrivals = collections.deque()

    def _detector(self):
        return query_of_death.QueryOfDeathDetector()

    def restart(self, index):
        """Replace an entry's detector by one that knows nothing."""
        self.detectors[index] = self._detector()

    def send(self, index, now):
        """Send an entry's report to all others."""
        report = self.detectors[index].report(now)
        self._arrivals.append((now + DELAY_S, index, report))

    def step(self, now):
        """Deliver what has arrived, and send the heartbeats that are due."""
        while self._arrivals and self._arrivals[0][0] <= now:
            _, sender, report = self._arrivals.popleft()
            for index, detector in enumerate(self.detectors):
                if index not in {sender, *self.frozen} and (
                    self.rng.random() >= self.loss
                ):
                    detector.record_peer_report(*report, now)
        for index, due in enumerate(self._beat_at):
            if now >= due and index not in self.frozen:
                self._beat_at[index] = now + self.beat_s
                self.detectors[index].expire(now)
                self.send(index, now)


class Play:
    """Requests at a fleet, and the engines that they crash.

    Parameters
    ----------
    fleet : Fleet
    engines : int
    sound_rate, poison_rate : float
        Requests per second over all entries.
    sections : int
        Number of different second sections of sound prompts.

    Attributes
    ----------
    crashes, poison_sent : list of float
        Times.
    refused_sound, sound : int
        Number of sound requests refused, and of all.
    """

    # Whether an answer begins before its engine crashes, and the number of
    # engines that an entry sends a request to.
    has_begun = True
    max_attempts = 1

    def __init__(self, fleet, engines, sound_rate, poison_rate, sections=46):
        self.fleet = fleet
        self.rates = {"sound": sound_rate, POISON: poison_rate}
        self.sections = sections
        self.poison_stops_at = float("inf")
        self.crashes = []
        self.poison_sent = []
        self.refused_sound = 0
        self.sound = 0
        self._up_at = {f"engine-{n}": 0.0 for n in range(engines)}
        self._waiting = []
        self._number = 0

    def run(self, begin_s, end_s):
        """Play the requests of a span of time."""
        rng = self.fleet.rng
        now = begin_s
        while now < end_s:
            self.fleet.step(now)
            for kind, rate in self.rates.items():
                if kind == POISON and now >= self.poison_stops_at:
                    continue
                if rng.random() < rate * STEP_S:
                    self._send(kind, now)
            now += STEP_S

    def _send(self, kind, now):
        rng = self.fleet.rng
        live = sorted(
            set(range(len(self.fleet.detectors))) - self.fleet.frozen
        )
        entry = rng.choice(live)
        detector = self.fleet.detectors[entry]
        sections = self.parts_of(kind)
        refused = detector.find_quarantine(sections, now) is not None
        if kind == "sound":
            self.sound += 1
            self.refused_sound += refused
        engines = sorted(e for e, up in self._up_at.items() if up <= now)
        if refused or not engines:
            return
        if kind == "sound":
            # Answered by the time of the next step, unless its engine crashes.
            engine = rng.choice(engines)
            self._waiting = [w for w in self._waiting if w[0] > now - STEP_S]
            self._waiting.append((now, engine, entry, sections))
            detector.record_sound(sections, now)
            return
        for engine in rng.sample(
            engines, min(self.max_attempts, len(engines))
        ):
            if detector.find_quarantine(sections, now) is None:
                self.poison_sent.append(now)
                self._crash(engine, entry, sections, now)

    def parts_of(self, kind):
        """Return the parts of a new request."""
        second = f"second-{self.fleet.rng.randrange(self.sections)}"
        shared = ("first", second, f"request:{self.fleet.rng.random()}")
        return shared if kind == "sound" else (*shared[:2], POISON, shared[2])

    def _crash(self, engine, entry, sections, now):
        self.crashes.append(now)
        self._up_at[engine] = now + DOWN_S
        self._number += 1
        name = f"{engine}-{self._number}"
        for at, other, other_entry, prompt in self._waiting:
            if other == engine and at > now - STEP_S:
                self.fleet.detectors[other_entry].record_crash(
                    name, prompt, False, now
                )
        self.fleet.detectors[entry].record_crash(
            name, sections, self.has_begun, now
        )
        self.fleet.send(entry, now)


class LookUpPlay(Play):
    """Look-ups without a prompt, and one of them that crashes endpoints."""

    has_begun = False
    max_attempts = 2

    def parts_of(self, kind):
        """Return the parts of a new request; callers repeat some."""
        if kind == POISON:
            return (f"request:{POISON}",)
        return (f"request:{self.fleet.rng.randrange(self.sections)}",)
