"""Replays limits that endpoints name on the decisions of a fleet."""

import collections
import random

from dogwoodwheel.entry import rate_limits

__all__ = ["Fleet"]

ENDPOINT = "i-1"
# Time from a request to its answer's head, and from a datagram to its arrival.
ANSWER_S = 0.3
DELAY_S = 0.02
# Minimum pause between two heartbeats of an entry that are sent at once.
BRIEF_PAUSE_S = 0.1
STEP_S = 0.01


class Fleet:
    """Entries that send requests to one endpoint whenever they may.

    Parameters
    ----------
    count : int
    beat_s : float
        Interval of full heartbeats, seconds.
    loss : float
        Share of the datagrams that are lost.

    Attributes
    ----------
    arrivals : list of float
        Times at which the endpoint got requests of entries that it had told
        of its limit, half a second before or earlier.
    sent : list of float
        Times at which the endpoint got any requests.
    named_at : float
        Time at which the endpoint first named a limit.
    begun : collections.Counter
        By entry: how often it has begun to observe a limit.
    """

    def __init__(self, count, beat_s, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.beat_s = beat_s
        self.loss = loss
        self.arrivals = []
        self.sent = []
        self.named_at = None
        self.begun = collections.Counter()
        self.frozen = set()
        self.entries = [None] * count
        self._previous = {}
        self._told_at = {}
        self._beat_at = [self.rng.random() * beat_s for _ in range(count)]
        self._brief_at = [0.0] * count
        self._is_due = set()
        self._events = collections.deque()
        for index in range(count):
            self.restart(index)

    def restart(self, index):
        """Replace an entry by one that knows nothing."""
        self.entries[index] = rate_limits.EndpointLimits(
            lambda: self.begun.update([index])
        )
        self._told_at.pop(index, None)
        for pair in [p for p in self._previous if index in p]:
            del self._previous[pair]

    def run(self, begin_s, end_s, limit, rate):
        """Send requests for a span of time.

        Parameters
        ----------
        begin_s, end_s : float
        limit : float or None
            Limit that the endpoint names meanwhile.
        rate : float
            Requests per second that callers send, over all entries.
        """
        for step in range(round((end_s - begin_s) / STEP_S)):
            now = begin_s + step * STEP_S
            self._deliver(now)
            live = [
                n for n in range(len(self.entries)) if n not in self.frozen
            ]
            if self.rng.random() < rate * STEP_S:
                self._send(self.rng.choice(live), limit, now)
            for index in live:
                is_brief = index in self._is_due and (
                    now >= self._brief_at[index]
                )
                if is_brief or now >= self._beat_at[index]:
                    self._beat(index, now)

    def _send(self, index, limit, now):
        limits = self.entries[index]
        if not limits.allows(ENDPOINT, now, 1.0):
            return
        if limits.record_sent(ENDPOINT, now, 1.0):
            self._is_due.add(index)
        self.sent.append(now)
        told_at = self._told_at.get(index)
        if told_at is not None and now - told_at >= 0.5:
            self.arrivals.append(now)
        self._events.append((now + ANSWER_S, "answer", index, limit))

    def _beat(self, index, now):
        self._is_due.discard(index)
        self._brief_at[index] = now + BRIEF_PAUSE_S
        if now >= self._beat_at[index]:
            self._beat_at[index] = now + self.beat_s
        report = self.entries[index].report(now)
        self._events.append((now + DELAY_S, "beat", index, report))

    def _deliver(self, now):
        waiting = collections.deque()
        while self._events:
            event = self._events.popleft()
            if event[0] > now:
                waiting.append(event)
                continue
            _, kind, index, what = event
            if kind == "answer":
                if what is not None:
                    self._told_at.setdefault(index, now)
                    self.named_at = self.named_at or now
                self.entries[index].record_answer(ENDPOINT, what, now)
                continue
            for other, limits in enumerate(self.entries):
                if other in {index, *self.frozen} or (
                    self.rng.random() < self.loss
                ):
                    continue
                previous = self._previous.get((other, index))
                limits.record_peer_report(previous, what, now, 1.0)
                self._previous[other, index] = what
        self._events = waiting

    def busiest(self, window_s, after_s):
        """Return the most arrivals in any window later than a time."""
        times = [at for at in self.arrivals if at >= self.named_at + after_s]
        return max(
            (
                sum(at <= other < at + window_s for other in times)
                for at in times
            ),
            default=0,
        )
