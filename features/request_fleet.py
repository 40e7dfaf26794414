"""The fleet that features about requests share, and calls to it."""

import json

from features import builders
from features import fleet as fleets
from features.standins import answers
from features.standins import caller

__all__ = [
    "CUSTOMER",
    "MODEL",
    "OK",
    "SETTLE_S",
    "build",
    "call",
    "check_true",
]

CUSTOMER = "grower"
MODELS = "frames-lm"
MODEL = "spec"
ORDERS = "orders"
OK = 200
SETTLE_S = 20.0
REPLICAS = 2


def build(context, entries, concurrency=32, pace_s=0.002):
    """Put a fleet with engines and services into the context."""
    context.fleet = fleets.Fleet()
    text = builders.TextBuilder().zone("zone-a").zone("zone-b")
    text.models(MODELS, deadline_s=10)
    text.plain(
        ORDERS,
        deadline_s=5,
        once_routes=[{"method": "POST", "path": "/orders"}],
        open_routes=[{"method": "GET", "path": "/stock"}],
    )
    text.model(MODEL, MODELS, max_replicas=REPLICAS).customer(CUSTOMER)
    for index in range(REPLICAS):
        engine = context.fleet.add_engine(
            f"w{index}",
            concurrency=concurrency,
            fresh=concurrency,
            pace_s=pace_s,
        )
        text.endpoint(
            engine.name,
            MODELS,
            "zone-a",
            engine.address,
            memory_mb=1000,
            concurrency=concurrency,
            fresh_concurrency=concurrency,
            fencing=True,
        )
        service = context.fleet.add_service(f"s{index}")
        text.endpoint(
            service.name,
            ORDERS,
            "zone-b",
            service.address,
            fresh_concurrency=8,
        )
    for index in range(entries):
        context.fleet.add_entry(f"e{index}", "zone-a")
    context.builder = text


def call(context, entry, prompt, headers=None, **fields):
    """Return a chat request's body and reply at an entry."""
    body = caller.chat_body(MODEL, prompt, **fields)
    who = context.fleet.entries[entry].caller(builders.key_of(CUSTOMER))
    reply = who.request("POST", "/v1/chat/completions", body, headers)
    return body, reply


def check_true(body, reply):
    """Check that a reply is whole, or says truthfully that it is not."""
    want = answers.expected(body)
    if reply.status == OK and reply.done:
        assert reply.text == want.text, (reply.text, want.text)
        return True
    if reply.status == OK:
        # The stream had begun: a prefix, then the error, no end mark.
        error = json.loads(reply.events[-1][1]).get("error")
        assert error and error["run"] == "unknown", reply.events[-1]
        assert not reply.error, reply.error
        assert want.text.startswith(reply.text), (reply.text, want.text)
        return False
    assert reply.status >= 400 and reply.run, (reply.status, reply.error)
    return False
