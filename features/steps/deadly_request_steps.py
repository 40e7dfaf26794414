"""Steps about a request that crashes each endpoint that runs it."""

import re
import time

from behave import given
from behave import then
from behave import when

from features import entry_fleet

ENTRIES = ("one", "two")
# Prompt of the deadly stream.
PROMPT = "ab12:40,cd34:40,ef56:20"
STREAM_HEADERS = {"X_Model": "m0", "X_Token_Count": "100,10"}
# The bound on retries counts from this crash.
FREE_CRASHES = 3
# Workers by kind of request, the request, and sound ones that share a part of
# it: path, method, body, key and prompt.
HUSK, FROST = entry_fleet.KEY, "key-frost"
DEADLY = {
    "look-up": (("p1", "p2"), ("/stock/frames?size=2", "GET", "", HUSK, "")),
    "order": (("p1", "p2"), ("/orders/new", "POST", "12 frames", HUSK, "")),
    "stream": (("e1", "e2"), ("/chat/a", "POST", "a spec", HUSK, PROMPT)),
}
SOUND = {
    "look-up": (
        ("/stock/frames?size=2", "GET", "", FROST, ""),
        ("/stock/frames?size=3", "GET", "", HUSK, ""),
        ("/stock/frames", "GET", "", HUSK, ""),
    ),
    "order": (
        ("/orders/new", "POST", "12 frames", FROST, ""),
        ("/orders/new", "POST", "13 frames", HUSK, ""),
        ("/orders/old", "POST", "12 frames", HUSK, ""),
    ),
    "stream": (
        ("/chat/a", "POST", "a spec", FROST, PROMPT),
        ("/chat/a", "POST", "another spec", HUSK, PROMPT),
        ("/chat/b", "POST", "a spec", HUSK, PROMPT),
    ),
}
SOUND_REPEATS = 3


def send(context, entry, request):
    """Send one request to an entry; return its answer."""
    path, method, body, key, prompt = request
    headers = {"X_Prompt_Prefix": prompt, **STREAM_HEADERS} if prompt else {}
    return context.fleet.ask(
        entry, path, method, body.encode() or None, key, **headers
    )


def events(context, kind):
    """Return the events of a kind at the workers, in order of time."""
    found = [
        event
        for name in context.workers
        for event in context.fleet.history(name, kind)
    ]
    return sorted(found, key=lambda event: event["at"])


def arrivals(context):
    """Return the deadly requests that reached workers."""
    path, _, body, _, _ = context.deadly
    return [
        event
        for event in events(context, "request")
        if (event["path"], event["headers"]["x-tenant"], event["body"])
        == (path, "husk", body)
    ]


@given("a {kind} that crashes each endpoint for {down_s:f} s")
def step_deadly(context, kind, down_s):
    context.kind = kind
    context.workers, context.deadly = DEADLY[kind]
    path, _, body, _, _ = context.deadly
    for name in context.workers:
        context.fleet.workers[name].call(
            "set", deadly=[path, "husk", body, down_s]
        )


@when("callers send it {rate:d} times a second for {s:d} s")
def step_send(context, rate, s):
    began = time.monotonic()
    for number in range(rate * s):
        context.answer = send(context, ENTRIES[number % 2], context.deadly)
        assert context.answer.status != 200 or not context.answer.whole
        pause_s = began + (number + 1) / rate - time.monotonic()
        time.sleep(max(0.0, pause_s))


@then(
    "at most {count:d} of them reach endpoints later than {s:d} s after "
    "the third crash"
)
def step_bound(context, count, s):
    crashes = events(context, "crash")
    assert crashes, "no endpoint crashed"
    if len(crashes) >= FREE_CRASHES:
        bound = crashes[FREE_CRASHES - 1]["at"] + s
        late = [e["id"] for e in arrivals(context) if e["at"] > bound]
        assert len(late) <= count, (len(crashes), late)


@then("at most {count:d} endpoints crash")
def step_crashes(context, count):
    crashes = events(context, "crash")
    assert len(crashes) <= count, len(crashes)


@then("it is refused as not run, with a time to come back")
def step_refused(context):
    before = len(arrivals(context))
    for entry in ENTRIES:
        context.answer = send(context, entry, context.deadly)
        assert context.answer.status == 503, context.answer
        assert float(context.answer.headers["retry-after"]) > 1.0
    assert len(arrivals(context)) == before


@then("requests that share its path, customer, body or prompt are answered")
def step_sound(context):
    # The endpoints that crashed are back by then.
    time.sleep(1.0)
    for number in range(SOUND_REPEATS):
        for request in SOUND[context.kind]:
            answer = send(context, ENTRIES[number % 2], request)
            assert answer.status == 200 and answer.whole, (request, answer)


@then("the log leads from the refused request to the crashes")
def step_log(context):
    fleet = context.fleet
    refused = [
        line
        for entry in ENTRIES
        for line in fleet.log(entry, "refused")
        if line["code"] == "request_quarantined"
    ][-1]
    part = re.search(r"request:[0-9a-f]+", refused["why"])[0]
    quarantined = [
        line
        for entry in ENTRIES
        for line in fleet.log(entry, "query of death: quarantined")
        if line["part"] == part
    ]
    assert len(quarantined[-1]["endpoints"].split(",")) >= 2, quarantined
    suspected = [
        line
        for entry in ENTRIES
        for line in fleet.log(entry, "query of death: suspected")
        if part in line["parts"].split(",")
    ]
    sent = {event["id"] for event in arrivals(context)}
    assert suspected and {line["id"] for line in suspected} <= sent, suspected


@then("no log shows the caller's key or the path in the digest's place")
def step_secret(context):
    for entry in ENTRIES:
        lines = context.fleet.log(entry, "query of death: suspected")
        lines += context.fleet.log(entry, "query of death: quarantined")
        assert not any("key-husk" in str(line) for line in lines), lines
        assert not any("/stock" in str(line) for line in lines), lines
