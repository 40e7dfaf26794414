"""Steps about prompt sections that crash engines."""

import time

from behave import given
from behave import then
from behave import when

from features.standins import process

ENGINES = ("e1", "e2")
SHARED = "ab12"
POISON = "dead01"
TOKENS = 40
# The bound on requests with the section counts from the fifth crash.
FREE_CRASHES = 5
SOUND_REQUESTS = 12


def prefix(*sections):
    """Return a prompt's sections as the header that states them."""
    return ",".join(f"{section}:{TOKENS}" for section in sections)


def send(context, entry, *sections):
    """Send a request whose prompt begins with the sections."""
    context.sent = getattr(context, "sent", 0) + 1
    headers = {
        "X_Token_Count": "100,10",
        "X_Prompt_Prefix": prefix(*sections, f"c{context.sent:03x}"),
    }
    return context.fleet.ask(
        entry, "/chat/a", "POST", b"prompt", X_Model="m0", **headers
    )


def poisoned(context):
    """Return the requests with the section that reached engines."""
    return [
        event
        for name in ENGINES
        for event in context.fleet.history(name)
        if POISON in event["headers"].get("x-prompt-prefix", "")
    ]


@given("a prompt section that crashes each engine for {down_s:f} s")
def step_poison(context, down_s):
    for name in ENGINES:
        context.fleet.workers[name].call("set", poison=[POISON, down_s])


@when("callers send {rate:d} requests a second with the section for {s:d} s")
def step_send(context, rate, s):
    began = time.monotonic()
    for number in range(rate * s):
        entry = ("one", "two")[number % 2]
        answer = send(context, entry, SHARED, f"b{number:03x}", POISON)
        assert answer.status != 200 or not answer.whole, answer
        pause_s = began + (number + 1) / rate - time.monotonic()
        time.sleep(max(0.0, pause_s))


@when('the entry "{name}" starts')
def step_start(context, name):
    context.fleet.start_entry(name)
    process.wait_for(
        lambda: len(context.fleet.directory(name)) == 3,
        what="all entries in the new entry's directory",
    )


@then(
    "at most {count:d} of them reach engines later than {s:d} s after "
    "the fifth crash"
)
def step_bound(context, count, s):
    crashes = sorted(
        event["at"]
        for name in ENGINES
        for event in context.fleet.history(name, "crash")
    )
    assert crashes, "no engine crashed"
    if len(crashes) < FREE_CRASHES:
        return
    bound = crashes[FREE_CRASHES - 1] + s
    late = [e["id"] for e in poisoned(context) if e["at"] > bound]
    assert len(late) <= count, (len(crashes), late)


@then("sound requests of the same caller and first section are answered")
def step_sound(context):
    for number in range(SOUND_REQUESTS):
        entry = ("one", "two")[number % 2]
        answer = send(context, entry, SHARED, f"b{number:03x}")
        assert answer.status == 200 and answer.whole, (number, answer)


@then('requests with the section are refused at "{name}" before they run')
def step_refused(context, name):
    before = len(poisoned(context))
    context.answer = send(context, name, SHARED, "b999", POISON)
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 1.0
    assert len(poisoned(context)) == before


@then("its log leads from the refused request to the crashes")
def step_log(context):
    refused = context.fleet.log("three", "refused")[-1]
    assert POISON in refused["why"], refused
    quarantined = context.fleet.log("three", "query of death: quarantined")
    found = [line for line in quarantined if line["part"] == POISON]
    assert found and len(found[-1]["endpoints"].split(",")) >= 2, quarantined
