"""Checks all promises from what a random run recorded."""

import collections
import json

from features import builders
from features.chaos import traffic
from features import scenes
from features.standins import answers

__all__ = ["check"]

OK = 200
HELD_EVENTS = ("load", "loaded", "unload", "unloaded")
SECONDS = 5.0
LATE_S = 2.0


def check(run):
    """Return every breach found, as text; empty where all was kept.

    Parameters
    ----------
    run : features.chaos.run.Run
    """
    found = []
    for one in CHECKS:
        found += [f"{one.__name__}: {text}" for text in one(run)]
    return found


def promise_01_replicas(run):
    """Say which engine held a replica that no record named then."""
    commits = run.scene.fleet.platform.call("history", kind="commit")
    for engine in run.failures.engines():
        named = _named(commits["events"], engine.name)
        for event in engine.events():
            if event["kind"] not in HELD_EVENTS:
                continue
            before = [names for at, names in named if at <= event["time"]]
            if not before or event["model"] not in before[-1]:
                yield f"{engine.name}: {event['kind']} {event['model']}"


def _named(commits, endpoint):
    """Return the replicas of an endpoint's record over time."""
    return [
        (commit["time"], set(builders.kept(write["value"])["models"]))
        for commit in commits
        if commit["taken"]
        for write in commit["writes"]
        if (write["table"], write["key"]) == ("endpoints", endpoint)
    ]


def promises_02_06_bounds(run):
    """Say which engine got more than it bears."""
    for engine in run.failures.engines():
        for violation in engine.violations():
            yield f"{engine.name}: {violation}"


def promise_03_in_time(run):
    """Say which request had no answer or refusal in time."""
    for sent in run.sent:
        reply = sent.reply
        # A connection that a kill broke is the caller's answer.
        if reply.error or sent.kind == "stream":
            continue
        if reply.took_s > traffic.DEADLINE_S + LATE_S + run.paused_s(reply):
            yield f"{sent.kind} {sent.request} took {reply.took_s:.1f} s"


def promise_04_keys(run):
    """Say where a key was seen, or a withdrawn one worked."""
    for name, endpoint in run.scene.fleet.endpoints.items():
        if "dw-" in str(endpoint.events("request")):
            yield f"{name} saw a key"
    for at, key in run.failures.withdrawn:
        for sent in run.sent:
            late = sent.reply.begun > at + SECONDS + run.paused_s(sent.reply)
            if sent.key == key and late and sent.reply.status == OK:
                yield f"{key} worked {sent.reply.begun - at:.1f} s later"


def promise_05_rate(run):
    """Say how far a customer went above its rate and burst."""
    customer = run.scene.text.maps["customers"]["small"]
    small = {s.request for s in run.sent if s.key == "small"}
    events = run.scene.fleet.endpoints["s0"].events("request")
    times = [
        e["effect"]
        for e in events
        if e["effect"] is not None and _caller_id(e) in small
    ]
    excess = scenes.held_under(
        times, customer["rate"], customer["burst"], traffic.DEADLINE_S
    )
    if excess > 0:
        yield f"{excess:.1f} tokens above the bound"


def promise_07_zone(run):
    """Say what began in a zone some seconds after it was out."""
    declared = run.scene.text.maps["endpoints"]
    for begun, ended, zone in run.failures.zones_out:
        for name, endpoint in run.scene.fleet.endpoints.items():
            if declared[name]["zone"] != zone:
                continue
            for event in endpoint.events("request"):
                if begun + SECONDS < event["time"] < ended:
                    yield f"{name} began {event['time'] - begun:.1f} s later"


def promise_08_answers(run):
    """Say which answer is not the whole one to its own request."""
    for sent in run.sent:
        reply = sent.reply
        if reply.status != OK or not reply.done:
            continue
        if sent.kind in ("chat", "stream"):
            if reply.text != answers.expected(sent.body).text:
                yield f"{sent.kind} {sent.request}: {reply.text[:60]}"
        elif json.loads(reply.json["body"]) != sent.body:
            yield f"{sent.kind} {sent.request}: {reply.body[:80]}"


def promise_09_not_run(run):
    """Say which request ran although its refusal says not run."""
    ran = set()
    for endpoint in run.scene.fleet.endpoints.values():
        ran |= {_caller_id(event) for event in endpoint.events("request")}
    for sent in run.sent:
        if sent.reply.error or sent.reply.status == OK:
            continue
        if sent.reply.run == "not_run" and sent.request in ran:
            yield f"{sent.kind} {sent.request}: {sent.reply.body[:200]}"


def _caller_id(event):
    """Return the caller's id of a request, without the try's suffix."""
    return event["request"].partition(".")[0]


def promise_10_once(run):
    """Say which order ran more than once."""
    events = run.scene.fleet.endpoints["s0"].events("request")
    orders = collections.Counter(
        event["body"]
        for event in events
        if event["path"] == "/orders" and event["effect"] is not None
    )
    for body, count in orders.items():
        if count > 1:
            yield f"{body} ran {count} times"


def promise_12_stops(run):
    """Say which planned stop did not end by itself."""
    for _, text in run.failures.log:
        if text.startswith("stopped") and text != "stopped [0, 0]":
            yield text


def promise_13_versions(run):
    """Say which process showed an older version again."""
    for name in run.watch.steps_back():
        yield f"{name}: {run.watch.seen[name]}"


CHECKS = (
    promise_01_replicas,
    promises_02_06_bounds,
    promise_03_in_time,
    promise_04_keys,
    promise_05_rate,
    promise_07_zone,
    promise_08_answers,
    promise_09_not_run,
    promise_10_once,
    promise_12_stops,
    promise_13_versions,
)
