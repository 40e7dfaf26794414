"""What callers and workers of entries must have seen."""

import collections

from features import entry_fleet

__all__ = ["CONTACT_S", "DRAIN_S", "EVACUATE_S", "check"]

OK = 200
# Answers that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Time after which a worker that has left gets nothing more, seconds.
DRAIN_S = 2.0
# The same for a zone that is evacuated, and for a new version, seconds.
EVACUATE_S = 5.0
APPLY_S = 2.0
# Time after a failure for which entries are not held to bounds of time, as
# the platform's pages tell.
CONTACT_S = 3.0
LATE_S = 1.0
DEADLINE_S = 4.0
EVENTS = 6
# Requests with a section that crashes engines that may reach engines later
# than CONTACT_S after the fifth crash.
FREE_CRASHES = 5
LATE_POISON = 3
# The same for one request that crashes workers, after the third crash.
FREE_DEADLY_CRASHES = 3
LATE_DEADLY = 3
# Sound requests of the same route are served this much less often at most,
# where there are LEAST_SOUND of them before and after.
LOST_RATIO = 0.5
LEAST_SOUND = 20
# Requests that were passed on and cut off without any failure.
MAX_CLOSED = 3
# Requests of an entry that a worker which turned one of them away may get from
# GRACE_S after that until the time that it named.
MAX_EARLY = 2
GRACE_S = 0.5
# Requests that a worker with a limit may get in LIMIT_WINDOW_S.
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
LEAST_SERVED = 0.25


def check(run):
    """Return every breach found, as text; empty where all was kept.

    Parameters
    ----------
    run : features.chaos.entries.Run
    """
    workers = {name: run.fleet.history(name) for name in run.fleet.workers}
    orders = {
        name: run.fleet.history(name, "order") for name in run.fleet.workers
    }
    found = []
    for one in (
        lambda: _runs(run, workers),
        lambda: _answers(run),
        lambda: _left(run, workers),
        lambda: _leaving(run, workers),
        lambda: _turned_away(run, workers),
        lambda: _withdrawn(run, workers),
        lambda: _orders(orders),
        lambda: _poison(run, workers),
        lambda: _deadly(run, workers),
        lambda: _sound(run),
        lambda: _sound_beside_deadly(run),
        lambda: _closed(run, workers),
        lambda: _limits(run, workers),
        lambda: _ended(run),
        lambda: _memory(run),
        lambda: _served(run),
    ):
        found += one()
    return found


def _memory(run):
    """Check that no entry that runs has grown beyond its limit."""
    for name, (proc, _) in run.fleet.entries.items():
        if proc.running():
            used_mb = proc.peak_memory_mb()
            if used_mb > entry_fleet.MEMORY_MB:
                yield f"{name} has used {used_mb:.0f} MB"


def _runs(run, workers):
    """Check what ran: asked for, as sent, and not more than once."""
    sent = {one.id: one for one in run.sent}
    ran = collections.Counter()
    for name, events in workers.items():
        for event in events:
            one = sent.get(event["id"])
            if one is None:
                yield f"{name} got {event['id']}, which nobody sent"
                continue
            ran[one.id] += event["ran"]
            headers = event["headers"]
            if "authorization" in headers:
                yield f"{name} got a key with {one.id}"
            if (event["method"], event["path"], event["body"]) != (
                one.method,
                one.path,
                one.body,
            ):
                yield f"{name} got {one.id} changed"
            if headers.get("x-tenant", "") != one.customer:
                yield f"{name} got {one.id} of another customer"
    for one in run.sent:
        if one.kind == "once" and ran[one.id] > 1:
            yield f"{one.path} {one.id} ran {ran[one.id]} times"
        if one.answer.status in NOT_RUN and one.kind == "once":
            if ran[one.id]:
                yield f"{one.path} {one.id}: {one.answer.status}, yet it ran"


def _answers(run):
    """Check that answers are whole, signed, the right ones, in time."""
    for one in run.sent:
        answer = one.answer
        if answer.status == OK and answer.whole:
            if answer.headers.get("x-request-id") != one.id:
                yield f"{one.id} got the answer of another request"
            if not answer.headers.get("x-server-seal"):
                yield f"{one.id} got an answer without a signature"
            if one.path in ("/chat/a", "/draft/a", "/fragile/a"):
                wanted = b"".join(
                    b"id: %d\ndata: %d\n\n" % (n, n)
                    for n in range(1, EVENTS + 1)
                )
                if answer.body != wanted:
                    yield f"{one.id} got other events: {answer.body!r}"
        late = one.ended - one.begun > DEADLINE_S + LATE_S
        if late and not _troubled(run, one.entry, one.begun, one.ended):
            yield f"{one.path} {one.id} took {one.ended - one.begun:.1f} s"


def _troubled(run, entry, begun, ended):
    """Tell whether something failed at an entry around a time."""
    return _overlaps(run.troubled, entry, begun, ended)


def _overlaps(spans, entry, begun, ended):
    return any(
        whom in (entry, "all")
        and since - CONTACT_S <= ended
        and begun <= until + CONTACT_S
        for since, until, whom in spans
    )


def _left(run, workers):
    """Check that a worker that left got nothing more."""
    spans = [
        (since + DRAIN_S, until, (name,)) for since, until, name in run.gone
    ]
    for since, until, zone in run.evacuated:
        there = tuple(
            name
            for name, fields in run.fleet.registered.items()
            if fields["zone"] == zone
        )
        spans.append((since + EVACUATE_S, until, there))
    sent = {one.id: one for one in run.sent}
    for since, until, names in spans:
        for name in names:
            for event in workers[name]:
                one = sent.get(event["id"])
                if one is None or not since < event["at"] < until:
                    continue
                if not _troubled(run, one.entry, since, event["at"]):
                    yield (
                        f"{name} got {one.id} from {one.entry} "
                        f"{event['at'] - since:.2f} s too late"
                    )


def _leaving(run, workers):
    """Check what reaches a worker whose leaving an entry has passed on.

    Only a restart or a freeze of the entry since then excuses it.
    """
    sent = {one.id: one for one in run.sent}
    for since, until, name in run.leaving:
        told = {}
        for event in workers[name]:
            one = sent.get(event["id"])
            if one is None or not since <= event["at"] < until:
                continue
            passed_on = (
                one.answer.headers.get("server-leaving")
                and one.answer.headers.get("x-server-seal") == f"seal.{name}"
            )
            if passed_on:
                told[one.entry] = min(
                    one.ended, told.get(one.entry, one.ended)
                )
        for event in workers[name]:
            one = sent.get(event["id"])
            if one is None or not since <= event["at"] < until:
                continue
            at = told.get(one.entry)
            if at is None or one.begun < at + DRAIN_S:
                continue
            if not any(
                whom == one.entry and begun <= event["at"] and ended >= at
                for begun, ended, whom in run.restarted
            ):
                yield (
                    f"{name} got {one.id} from {one.entry}, which it told "
                    f"{event['at'] - at:.2f} s before that it leaves"
                )


def _turned_away(run, workers):
    """Check what reaches a worker before the time to return that it named.

    A restart, freeze or cut of the entry meanwhile excuses it.
    """
    sent = {one.id: one for one in run.sent}
    excused = run.restarted + run.cut_off
    for name, events in workers.items():
        arrivals = [
            (event, sent[event["id"]].entry)
            for event in events
            if event["id"] in sent
        ]
        for turned, entry in arrivals:
            if "retry_after_s" not in turned:
                continue
            since = turned["at"] + GRACE_S
            until = turned["at"] + turned["retry_after_s"]
            early = [
                event["id"]
                for event, other in arrivals
                if other == entry and since <= event["at"] <= until
            ]
            if len(early) > MAX_EARLY and not any(
                whom in (entry, "all")
                and begun <= until
                and ended >= turned["at"]
                for begun, ended, whom in excused
            ):
                yield f"{name} got {early} of {entry} before it wanted any"


def _withdrawn(run, workers):
    """Check that a key that was withdrawn opens nothing."""
    ran = {
        event["id"]
        for events in workers.values()
        for event in events
        if event["ran"]
    }
    for at, key in run.withdrawn:
        for one in run.sent:
            if one.key != key or one.begun < at + APPLY_S:
                continue
            if _troubled(run, one.entry, at, one.ended):
                continue
            if one.id in ran or one.answer.status not in (0, 401):
                yield f"{one.id} got {one.answer.status} with a withdrawn key"


def _crash_times(run, path):
    """Return when requests with a path crashed workers, in order."""
    paths = {one.id: one.path for one in run.sent}
    return sorted(
        event["at"]
        for name in run.fleet.workers
        for event in run.fleet.history(name, "crash")
        if paths.get(event["id"]) == path
    )


def _poison(run, workers):
    """Check that a section that crashes engines is kept from them."""
    crashes = _crash_times(run, "/fragile/a")
    sent = {one.id: one for one in run.sent if one.poisoned}
    if len(crashes) >= FREE_CRASHES:
        late = _late(run, workers, sent, crashes[FREE_CRASHES - 1])
        if len(late) > LATE_POISON:
            yield f"{late} crash engines, {len(crashes)} crashes"


def _deadly(run, workers):
    """Check that a request that crashes workers is kept from them."""
    if run.deadly is None:
        return
    crashes = _crash_times(run, run.deadly[0])
    sent = {one.id: one for one in run.sent if one.deadly}
    if len(crashes) >= FREE_DEADLY_CRASHES:
        late = _late(run, workers, sent, crashes[FREE_DEADLY_CRASHES - 1])
        if len(late) > LATE_DEADLY:
            yield f"{late} crash workers, {len(crashes)} crashes"


def _late(run, workers, sent, crashed_at):
    """Return the requests that reach workers too late after a crash.

    Parameters
    ----------
    sent : dict of str to features.chaos.entries.Sent
        The requests that crash workers, by id.
    crashed_at : float
        Unix time of the crash.
    """
    bound = crashed_at + CONTACT_S
    return [
        event["id"]
        for events in workers.values()
        for event in events
        if event["id"] in sent
        and event["at"] > bound
        and not _troubled(
            run, sent[event["id"]].entry, event["at"], event["at"]
        )
    ]


def _sound(run):
    """Check that sound requests are served beside those that crash engines."""
    crashes = _crash_times(run, "/fragile/a")[:FREE_CRASHES]
    sound = [
        one
        for one in run.sent
        if one.path == "/fragile/a" and not one.poisoned
    ]
    yield from _served_beside(run, sound, run.poisoned_at, crashes)


def _sound_beside_deadly(run):
    """Check that requests that share parts of a deadly one are served."""
    if run.deadly is None:
        return
    crashes = _crash_times(run, run.deadly[0])[:FREE_DEADLY_CRASHES]
    sound = [
        one
        for one in run.sent
        if one.path.startswith("/brittle") and not one.deadly
    ]
    yield from _served_beside(run, sound, run.deadly_at, crashes)


def _served_beside(run, sound, begun_at, crashes):
    """Compare how many are served before and after the first crashes."""
    if not crashes:
        return
    quiet = [
        one
        for one in sound
        if not _troubled(run, one.entry, one.begun, one.ended)
    ]
    before = [one for one in quiet if one.ended < begun_at]
    after = [one for one in quiet if one.begun > crashes[-1] + 2 * CONTACT_S]
    if min(len(before), len(after)) < LEAST_SOUND:
        return
    shares = [
        sum(one.answer.status == OK for one in part) / len(part)
        for part in (before, after)
    ]
    if shares[1] < LOST_RATIO * shares[0]:
        yield f"{shares[1]:.2f} of sound requests served, not {shares[0]:.2f}"


def _closed(run, workers):
    """Check that requests that were passed on are answered, also in stops."""
    arrived = {event["id"] for events in workers.values() for event in events}
    unplanned = [span for span in run.troubled if span not in run.planned]
    closed = [
        one
        for one in run.sent
        if not one.answer.whole
        and one.id in arrived
        and one.ended - one.begun < DEADLINE_S
        and not _overlaps(unplanned, one.entry, one.begun, one.ended)
    ]
    for one in closed:
        if _overlaps(run.planned, one.entry, one.begun, one.ended):
            yield f"{one.id} was cut off as {one.entry} stopped or reloaded"
    if len(closed) > MAX_CLOSED:
        yield f"{[one.id for one in closed]} were cut off without a failure"


def _limits(run, workers):
    """Check that a worker that names a limit does not get far more."""
    sent = {one.id: one for one in run.sent}
    for since, until, name in run.limited:
        times = [
            event["at"]
            for event in workers[name]
            if since + CONTACT_S <= event["at"] <= until
            and event["id"] in sent
            and not _troubled(
                run, sent[event["id"]].entry, event["at"], event["at"]
            )
        ]
        allowed = LIMIT_RATIO * run.named_limit * LIMIT_WINDOW_S + LIMIT_SLACK
        for at in times:
            count = sum(at <= t < at + LIMIT_WINDOW_S for t in times)
            if count > allowed:
                yield f"{name} got {count} requests in 4 s, of {allowed:.0f}"
                break


def _orders(orders):
    """Check that fencing tokens do not go down, nor have two holders."""
    for name, events in orders.items():
        holders = {}
        for event in events:
            token, holder = event["fencingToken"], event["holder"]
            if holders.setdefault(token, holder) != holder:
                yield f"{name}: token {token} of two holders"


def _ended(run):
    """Check that no entry ended by itself."""
    for name in run.fleet.entries:
        if not run.fleet.proc(name).running():
            yield f"{name} has ended by itself"
    for _, text in run.log:
        if "ended with" in text:
            yield text


def _served(run):
    """Check that requests are served once all is healed."""
    last = max(one.begun for one in run.sent)
    late = [one for one in run.sent if one.begun > last - CONTACT_S]
    served = sum(one.answer.status == OK for one in late)
    if served < LEAST_SERVED * len(late):
        yield f"{served} of {len(late)} were served after all was healed"
