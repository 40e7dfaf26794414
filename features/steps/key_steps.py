"""Steps about customers' keys."""

import concurrent.futures

from behave import given
from behave import then
from behave import when

from features import builders
from features.standins import caller
from features.standins import process

CHAT = "/v1/chat/completions"
CALL = ("POST", "/services/shop/calls")
PROMPT_S = 0.5
PATIENT_S = 15
OK = 200
UNAUTHORIZED = 401


@given('the customer "{name}" with the keys "{first}" and "{second}"')
def step_customer(context, name, first, second):
    context.customer = name
    keys = {first: "secret", second: "secret"}
    context.scene.text.customer(name, keys)


@given("loads take {seconds:d} s")
def step_slow_loads(context, seconds):
    for name, endpoint in context.fleet.endpoints.items():
        if name.startswith("w"):
            endpoint.ctl.call("loading", load_s=seconds)


def calls(context, key, entries=None, deadline_s=PATIENT_S):
    """Return replies to one call at each entry, on kept connections."""
    headers = {"X-Deadline-Ms": str(int(deadline_s * 1000))}
    kept = context.scene.kept
    replies = []
    for name in entries or context.fleet.entries:
        one = context.fleet.entries[name].caller(builders.key_of(key))
        conn = kept.setdefault((name, key), one.connect())
        reply = caller.Reply()
        body = {"order": f"{name}-{key}"}
        one.exchange(conn, reply, *CALL, body, headers)
        if reply.error:
            conn.close()
            del kept[name, key]
        replies.append(reply)
    return replies


def refused(reply):
    """Tell whether a request was refused for its key, as not run."""
    if reply.run != "not_run":
        return False
    # An entry that cannot know says so; other refusals prove nothing.
    stale = reply.json["error"]["code"] == "config_stale"
    return reply.status == UNAUTHORIZED or stale


def shown(replies):
    """Return replies for an error message."""
    return [(r.status, r.body[:120], r.error) for r in replies]


@when('calls with the key "{key}" go to every entry on kept connections')
def step_calls(context, key):
    context.replies = calls(context, key)


@then("each of these calls is answered")
def step_answered(context):
    codes = [reply.status for reply in context.replies]
    assert codes == [OK] * len(codes), shown(context.replies)


@when('the key "{key}" is withdrawn')
def step_withdraw(context, key):
    customer = context.scene.text.maps["customers"][context.customer]
    customer["keys"] = [k for k in customer["keys"] if k["name"] != key]
    context.scene.publish()


@then('within {seconds:d} s calls with the key "{key}" are refused as not run')
def step_refused(context, seconds, key):
    process.wait_for(
        lambda: all(
            refused(reply)
            for reply in calls(context, key, deadline_s=PROMPT_S)
        ),
        seconds,
        f"the key {key} to stop working",
    )
    # It must not work again at any of the entries.
    for _ in range(20):
        replies = calls(context, key)
        assert all(refused(r) for r in replies), shown(replies)


@then('calls with the key "{key}" are answered')
def step_key_answered(context, key):
    context.replies = calls(context, key)
    step_answered(context)


@then('calls with the key "{key}" are answered at the other entries')
def step_others_answered(context, key):
    others = [name for name in context.fleet.entries if name != "e2"]
    context.replies = calls(context, key, others)
    step_answered(context)


@then('"{name}" refuses the key "{key}" as not run')
def step_one_refuses(context, name, key):
    replies = calls(context, key, [name])
    assert refused(replies[0]), shown(replies)


@then(
    'within {seconds:d} s calls with the key "{key}" are answered everywhere'
)
def step_all_answered(context, seconds, key):
    process.wait_for(
        lambda: all(r.status == OK for r in calls(context, key)),
        seconds,
        f"the key {key} to work everywhere",
    )


@then("no endpoint and no log has seen a key")
def step_no_key_seen(context):
    for endpoint in context.fleet.endpoints.values():
        text = str(endpoint.events())
        assert "request" in text or endpoint.name != "s0", "nothing was run"
        assert "dw-" not in text, f"{endpoint.name} saw a key"
    for proc in context.fleet.procs:
        text = proc.log.read_text(errors="replace")
        assert "-secret" not in text, f"the log of {proc.name} has a key"


@when('a chat with the key "{key}" waits for a load')
def step_chat_waits(context, key):
    one = context.fleet.entries["e0"].caller(builders.key_of(key))
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.waiting = pool.submit(one.chat, "frames")
    process.wait_for(
        lambda: any(
            item["state"] == "loading"
            for name, endpoint in context.fleet.endpoints.items()
            if name.startswith("w")
            for item in endpoint.status()["models"]
        ),
        10.0,
        "a load to begin",
    )


@then("the waiting chat is refused as not run")
def step_chat_refused(context):
    reply = context.waiting.result()
    assert reply.status == UNAUTHORIZED, shown([reply])
    assert reply.run == "not_run", shown([reply])


@then("no engine ran a chat")
def step_no_chat(context):
    for endpoint in context.fleet.endpoints.values():
        chats = [e for e in endpoint.events("request") if e["path"] == CHAT]
        assert not chats, chats


@then('the calls count for "{name}" only')
def step_counts_for(context, name):
    step_answered(context)
    used = {}
    for entry in context.fleet.entries.values():
        text = entry.metrics(gateway=0)
        for line in text.splitlines():
            if "total_seconds_count" in line:
                labels, _, count = line.rpartition(" ")
                used[labels] = used.get(labels, 0) + float(count)
    counted = [labels for labels, count in used.items() if count]
    assert counted and all(name in labels for labels in counted), used


@then('a call with a wrong secret of "{key}" is refused as not run')
def step_wrong_secret(context, key):
    one = context.fleet.entries["e0"].caller(f"dw-{key}-guess")
    reply = one.request(*CALL, {"order": "guess"})
    assert reply.status == UNAUTHORIZED, shown([reply])
    assert reply.run == "not_run", shown([reply])


@then("a call without a key to an open route is answered")
def step_open_route(context):
    reply = context.fleet.entries["e0"].caller().get("/services/shop/stock")
    assert reply.status == OK, shown([reply])


@then("a call without a key to another route is refused as not run")
def step_keyed_route(context):
    one = context.fleet.entries["e0"].caller()
    reply = one.request(*CALL, {"order": "none"})
    assert reply.status == UNAUTHORIZED, shown([reply])
    assert reply.run == "not_run", shown([reply])
