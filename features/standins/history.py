"""What happened at a stand-in, in order."""

import time

__all__ = ["History", "most_loaded"]

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
