"""What happened at a stand-in, in order."""

import time

__all__ = ["History", "most_loaded", "overshoot"]

EVENTS = 500_000
BEGIN_EVENTS = ("load",)
END_EVENTS = ("unloaded", "load_failed", "dropped")


class History:
    """Events with their monotonic times, one clock for the machine."""

    def __init__(self):
        self.events = []
        self.violations = []

    def add(self, kind, **fields):
        """Record an event and return it."""
        event = {"time": time.monotonic(), "kind": kind, **fields}
        if len(self.events) < EVENTS:
            self.events.append(event)
        elif len(self.events) == EVENTS:
            # A test must not pass on a history that lacks its end.
            full = {"time": event["time"], "kind": "history_full"}
            self.events.append(full)
            self.violations.append(full)
        return event

    def violate(self, kind, **fields):
        """Record a breach of what the stand-in bears."""
        self.violations.append(self.add(kind, **fields))

    def dump(self, kind=None, since=0):
        """Return the events from the index ``since``, of one kind or all."""
        events = self.events[since:]
        if kind is not None:
            events = [event for event in events if event["kind"] == kind]
        return {"events": events, "next": len(self.events)}


def most_loaded(histories, model):
    """Return the most replicas of a model at one moment.

    Parameters
    ----------
    histories : sequence of list of dict
        Events of the engines.
    model : str

    Notes
    -----
    A replica counts from the begin of its load until its memory is free.
    """
    steps = []
    for events in histories:
        for event in events:
            if event.get("model") != model:
                continue
            if event["kind"] in BEGIN_EVENTS:
                steps.append((event["time"], 1))
            elif event["kind"] in END_EVENTS:
                steps.append((event["time"], -1))
    most = now = 0
    for _, step in sorted(steps):
        now += step
        most = max(most, now)
    return most


def overshoot(charges, rate, burst):
    """Return by how much the worst window passes rate x time + burst.

    Parameters
    ----------
    charges : sequence of (float, float)
        Time in seconds and tokens of each request.
    rate : float
        Tokens a second.
    burst : float
        Tokens.

    Examples
    --------
    >>> overshoot([(0.0, 5), (1.0, 5)], rate=1, burst=5)
    4.0
    >>> overshoot([(0.0, 5), (5.0, 5)], rate=1, burst=5)
    0.0
    """
    level = float(burst)
    worst = 0.0
    last = None
    for now, tokens in sorted(charges):
        if last is not None:
            level = min(burst, level + rate * (now - last))
        last = now
        level -= tokens
        worst = max(worst, -level)
    return worst
