"""Steps about entries on the operators' platform."""

import http.client
import json
import re
import socket
import threading
import time
import uuid

from behave import given
from behave import then
from behave import when

from dogwoodwheel.entry import datagrams
from features import entry_builders
from features import entry_fleet
from features.standins import process

ENGINES = ("e1", "e2")
PLAIN = ("p1", "p2")
EVENT = re.compile(rb"id: (\d+)\ndata: \d+\n\n")
LEASE_S = 3.0
# Time that callers send before an entry is stopped, and in which any of their
# requests must end.
LOAD_S = 1.0
ANSWER_S = 10.0
SIGNED = "x-server-seal"


@given('a store, the workers "{engines}" with the model "{held}" and "{rest}"')
def step_fleet(context, engines, held, rest):
    context.fleet = entry_fleet.EntryFleet()
    for name in engines.split():
        context.fleet.add_worker(name, "models", held)
    for zone, name in zip(("zone-a", "zone-b"), rest.split()):
        context.fleet.add_worker(name, "plain", zone=zone)
    context.fleet.configure()


@given('the entry "{name}"')
def step_entry(context, name):
    context.fleet.start_entry(name)


@given('the entries "{one}" and "{two}"')
def step_entries(context, one, two):
    fleet = context.fleet
    fleet.start_entry(one)
    fleet.start_entry(two, "zone-b")
    process.wait_for(
        lambda: all(len(fleet.directory(n)) == 2 for n in (one, two)),
        what="both entries in both directories",
    )


@when('a caller asks for "{path}" with a forged customer')
def step_forged(context, path):
    context.answer = context.fleet.ask("one", path, X_Tenant="frost")


@then("it gets 200 with a worker's signature")
def step_signed(context):
    assert context.answer.status == 200, context.answer
    assert SIGNED in context.answer.headers


@then('the worker saw the path "{path}" and the customer "{customer}"')
def step_saw(context, path, customer):
    seen = requests(context, PLAIN)
    assert [e["path"] for e in seen] == [path], seen
    assert seen[0]["headers"]["x-tenant"] == customer


@then("no worker saw a key")
def step_no_key(context):
    for event in requests(context, ENGINES + PLAIN):
        assert "key-" not in json.dumps(event), event


def requests(context, names):
    """Return the requests that reached workers, in order of time."""
    events = [e for name in names for e in context.fleet.history(name)]
    return sorted(events, key=lambda e: e["time"])


@then('"{path}" with the key "" is answered {status:d}')
@then('"{path}" with the key "{key}" is answered {status:d}')
def step_keyed(context, path, status, key=""):
    answer = context.fleet.ask("one", path, key=key)
    assert answer.status == status, answer


@then('"{path}" is answered {status:d}')
def step_answered(context, path, status):
    answer = context.fleet.ask("one", path)
    assert answer.status == status, answer


@then('within {s:d} s "{path}" with the key "{key}" is answered {status:d}')
def step_within_keyed(context, s, path, key, status):
    process.wait_for(
        lambda: context.fleet.ask("one", path, key=key).status == status, s
    )


@when('a caller asks for a stream of "{model}"')
def step_stream(context, model):
    context.answer = context.fleet.stream("one", model=model)


@when('a caller asks at "{path}" for a stream of "{model}"')
def step_stream_at(context, model, path):
    context.answer = context.fleet.stream("one", path, model)


@when('a caller who waits {ms:d} ms asks for a stream of "{model}"')
def step_stream_within(context, model, ms):
    began = time.monotonic()
    context.answer = context.fleet.stream(
        "one", model=model, X_Request_Deadline=ms
    )
    context.took_s = time.monotonic() - began


def numbers(answer):
    return [int(number) for number in EVENT.findall(answer.body)]


@then("it gets the events {first:d} to {last:d}")
def step_events(context, first, last):
    answer = context.answer
    assert answer.status == 200 and answer.whole, answer
    assert numbers(answer) == list(range(first, last + 1)), answer


@then("it gets the events 1 to 6 or a cut answer, none twice")
def step_resumed(context):
    found = numbers(context.answer)
    assert found == list(range(1, len(found) + 1)), context.answer
    assert context.answer.whole == (len(found) == 6), context.answer
    assert len(requests(context, ENGINES)) == 2


@then("its answer is cut after event {last:d}")
def step_cut(context, last):
    assert not context.answer.whole, context.answer
    assert numbers(context.answer) == list(range(1, last + 1))


@then("{count:d} engine was asked")
def step_asked(context, count):
    assert len(requests(context, ENGINES)) == count


@given('the next request at each engine meets "{fault}"')
def step_fault_engines(context, fault):
    for name in ENGINES:
        context.fleet.workers[name].call("faults", kinds=[fault])


@given('the next request at each plain worker meets "{fault}"')
def step_fault_plain(context, fault):
    for name in PLAIN:
        context.fleet.workers[name].call("faults", kinds=[fault])


@given('the next request at 1 plain worker meets "{fault}"')
def step_fault_one(context, fault):
    context.fleet.workers["p1"].call("faults", kinds=[fault])


@when('a caller posts to "{path}"')
def step_post(context, path):
    began = time.monotonic()
    context.answer = context.fleet.ask("one", path, "POST", b"order")
    context.took_s = time.monotonic() - began


@then("it gets {status:d}")
def step_gets(context, status):
    assert context.answer.status == status, context.answer


@then("{count:d} plain workers ran it")
def step_ran(context, count):
    seen = requests(context, PLAIN)
    assert sum(e["ran"] for e in seen) == count, seen


@then("it gets 503 and a time to come back")
def step_come_back(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0


@then("it was held for less than {ms:d} ms")
def step_held(context, ms):
    assert context.took_s * 1000 < ms, context.took_s


@then('the entry "{name}" uses less than {megabytes:d} MB')
def step_memory(context, name, megabytes):
    proc, _ = context.fleet.entries[name]
    used_mb = proc.peak_memory_mb()
    assert used_mb < megabytes, used_mb


@when('a caller asks for "{path}" twice')
def step_twice(context, path):
    context.answers = [context.fleet.ask("one", path) for _ in range(2)]
    context.answers += [context.fleet.ask("one", path) for _ in range(2)]


@then("each time it gets 200 with a worker's signature")
def step_each(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, context.answers
        assert SIGNED in answer.headers
        assert json.loads(answer.body)["by"] in PLAIN, answer


def orders(context, kind="order"):
    events = [e for n in ENGINES for e in context.fleet.history(n, kind)]
    return sorted(events, key=lambda e: e["time"])


@then("the engines took orders with rising tokens from one holder")
def step_orders(context):
    given_ = orders(context)
    tokens = [e["fencingToken"] for e in given_]
    assert tokens and tokens == sorted(tokens), given_
    assert {e["holder"] for e in given_} == {"one"}


@given("the next {count:d} orders at each engine are lost")
def step_lost(context, count):
    for name in ENGINES:
        context.fleet.workers[name].call("set", lost_orders=count)


@then("no order that was late was carried out after another one")
def step_late(context):
    process.wait_for(lambda: orders(context, "late_order"))
    for name in ENGINES:
        taken = {
            e["expected"]
            for e in context.fleet.history(name, "order")
            if e["expected"] is not None
        }
        late = context.fleet.history(name, "late_order")
        carried_out = [e["expected"] for e in late if e["status"] == 202]
        assert len(carried_out) <= len(taken), (late, taken)
        assert len(set(carried_out)) == len(carried_out), late


@when('the entry "{name}" is paused')
def step_pause(context, name):
    context.fleet.proc(name).freeze()


@then('{count:d} requests at "{name}" take less than {ms:d} ms each')
def step_quick(context, count, name, ms):
    for n in range(count):
        began = time.monotonic()
        ask = context.fleet.stream if n % 2 else context.fleet.ask
        args = [name] if n % 2 else [name, "/stock/7"]
        answer = ask(*args)
        took_ms = (time.monotonic() - began) * 1000
        assert answer.status == 200 and took_ms < ms, (answer, took_ms)


@then('within {s:d} s the directory of "{name}" names only "{other}"')
def step_directory(context, s, name, other):
    fleet = context.fleet
    process.wait_for(lambda: fleet.directory(name) == [fleet.front(other)], s)


@when("the store hangs")
def step_hang(context):
    context.fleet.store.call("outage", mode="hang")


@when("the store loses its answers")
def step_lose(context):
    context.fleet.store.call("outage", mode="lose")


@when("the store answers again")
def step_again(context):
    context.fleet.store.call("outage", mode="off")


@when("the store forgets its history")
def step_forget(context):
    context.fleet.store.call("compact")


@when("the store is restored from {s:g} s ago")
def step_restored(context, s):
    context.fleet.store.call("restore", age_s=s)


@when('the key "{key}" is added')
def step_key(context, key):
    tenants = json.loads(entry_builders.config_body())["tenants"]
    tenants[1]["apiKeys"].append(key)
    context.fleet.configure(5, tenants=tenants)


@when("{s:g} s go by")
def step_pass(context, s):
    time.sleep(s)


def lease_of(context):
    """Return holder and token of the lease, by the entries' logs."""
    found = []
    for name in context.fleet.entries:
        for line in context.fleet.log(name, "lease: taken"):
            found.append((line["time"], name, line["token"]))
    return sorted(found)


@then('"{name}" still holds the lease with its first token')
def step_lease(context, name):
    assert len(lease_of(context)) == 1, lease_of(context)
    assert not context.fleet.log(name, "lease: lost")


@when("the entry that leads is killed")
def step_kill_leader(context):
    process.wait_for(lambda: lease_of(context))
    context.leader = lease_of(context)[-1][1]
    context.fleet.stream(context.leader, model="m2")
    context.fleet.proc(context.leader).kill()


@then('within {s:d} s the other one loads "{model}" for a caller')
def step_other_loads(context, s, model):
    (other,) = set(context.fleet.entries) - {context.leader}
    process.wait_for(
        lambda: context.fleet.stream(other, model=model).status == 200, s
    )


@then("orders of two holders are at least {s:d} s apart")
def step_apart(context, s):
    for name in ENGINES:
        events = context.fleet.history(name, "order")
        for one, two in zip(events, events[1:]):
            if one["holder"] != two["holder"]:
                assert two["time"] - one["time"] >= s, (one, two)
                assert two["fencingToken"] > one["fencingToken"]


@when('the worker "{name}" registers that it is leaving')
def step_drain(context, name):
    context.fleet.register(name, state="draining")


@then('{count:d} requests for "{path}" reach only "{name}"')
def step_reach(context, count, path, name):
    before = {n: len(context.fleet.history(n)) for n in PLAIN}
    for _ in range(count):
        assert context.fleet.ask("one", path).status == 200
    for other in PLAIN:
        gained = len(context.fleet.history(other)) - before[other]
        assert gained == (count if other == name else 0), (other, gained)


@when('the zone of "{name}" is evacuated')
def step_evacuate(context, name):
    zone = context.fleet.registered[name]["zone"]
    # The engines of that zone are to stay in use.
    context.fleet.store.call(
        "put", table="op", key=f"evacuate/{zone}", value="{}"
    )


@given("the engines take {s:g} s for each event")
def step_pace(context, s):
    for name in ENGINES:
        context.fleet.workers[name].call("set", pace_s=s)


def open_stream(context, name):
    """Begin a stream; return the connection and its reply."""
    host, _, port = context.fleet.front(name).rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=10)
    headers = {
        "Host": entry_builders.HOST,
        "X-Request-Id": "open-stream",
        "X-Request-Deadline": "5000",
        "Authorization": f"Token {entry_fleet.KEY}",
        "X-Model": "m0",
        "X-Token-Count": "10,10",
    }
    conn.request("POST", "/chat/a", b"prompt", headers)
    return conn, conn.getresponse()


@when('a stream begins at "{name}" and it gets SIGTERM')
def step_sigterm(context, name):
    conn, reply = open_stream(context, name)
    context.fleet.proc(name).terminate()
    context.answer = entry_fleet.Answer(reply.status, {}, reply.read(), True)
    conn.close()


@given("the plain workers take {s:g} s for each request")
def step_plain_delay(context, s):
    for name in PLAIN:
        context.fleet.workers[name].call("set", delay_s=s)


def post_until_stopped(address, kept, outcomes):
    """Post again and again; note each request that got no whole answer.

    Notes
    -----
    Half of the callers keep their connection for as long as they may.
    """
    conn = None
    while True:
        request_id = uuid.uuid4().hex[:16]
        fields = {
            "Host": entry_builders.HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline": "4000",
            "Authorization": f"Token {entry_fleet.KEY}",
        }
        if conn is None:
            conn = http.client.HTTPConnection(address, timeout=ANSWER_S)
            try:
                conn.connect()
            except OSError:
                return
        try:
            conn.request("POST", "/orders/1", b"order", fields)
            reply = conn.getresponse()
            reply.read()
            outcomes.append((request_id, reply.status))
            closes = reply.getheader("connection", "") == "close"
        except (OSError, http.client.HTTPException) as exc:
            outcomes.append((request_id, repr(exc)))
            closes = True
        if closes or not kept:
            conn.close()
            conn = None


@when(
    '{count:d} callers post to "{name}" without a pause, and it gets SIGTERM'
)
def step_stop_under_load(context, count, name):
    context.outcomes = []
    address = context.fleet.front(name)
    threads = [
        threading.Thread(
            target=post_until_stopped,
            args=(address, n % 2 == 0, context.outcomes),
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    time.sleep(LOAD_S)
    context.fleet.proc(name).terminate()
    for thread in threads:
        thread.join(ANSWER_S)
        assert not thread.is_alive()


@then("each request that was passed on is answered whole")
def step_none_lost(context):
    passed_on = {e["id"] for e in requests(context, PLAIN) if e["ran"]}
    lost = [
        (request_id, outcome)
        for request_id, outcome in context.outcomes
        if request_id in passed_on and not isinstance(outcome, int)
    ]
    assert len(passed_on) > 50, len(passed_on)
    assert not lost, (len(lost), lost[:3])


@when(
    'a caller who waits {ms:d} ms asks at "{path}" for a stream of "{model}"'
)
def step_stream_at_within(context, ms, path, model):
    began = time.monotonic()
    context.answer = context.fleet.stream(
        "one", path, model, X_Request_Deadline=ms
    )
    context.took_s = time.monotonic() - began


@then("no engine is still at work on it")
def step_no_work(context):
    def is_closed():
        return any(
            context.fleet.history(name, "closed_by_caller") for name in ENGINES
        )

    process.wait_for(is_closed, 1.0, "the connection to be closed")


@then("the stream ends whole")
def step_whole(context):
    assert numbers(context.answer) == list(range(1, 7)), context.answer


@then('"{name}" ends with code {code:d}')
def step_code(context, name, code):
    assert context.fleet.proc(name).finish() == code


@when('a caller leaves a stream of "m0"')
def step_leave(context):
    conn, reply = open_stream(context, "one")
    reply.read(10)
    conn.close()
    conn.sock and conn.sock.close()
    reply.close()


@then("within {s:d} s the engine's work is cut")
def step_work_cut(context, s):
    time.sleep(s)
    for event in requests(context, ENGINES):
        # The stream takes 3 s; a connection that closed ends it.
        assert event["ended"] is None, event
    process.wait_for(
        lambda: context.fleet.log("one", "caller disconnected"), s
    )


@when("a registration cannot be read")
def step_unreadable(context):
    context.fleet.store.call(
        "put", table="servers", key="ghost", value="not json"
    )
    context.fleet.store.call(
        "put", table="servers", key="odd", value='{"state": "resting"}'
    )


@then('"{name}" logged that it cannot be read')
def step_logged(context, name):
    lines = context.fleet.log(name, "endpoints: malformed")
    assert {"ghost", "odd"} <= {line["why"].split()[1] for line in lines}


@then('the log of "{name}" tells of its attempt and of its refusal')
def step_explained(context, name):
    request_id = context.answer.headers["x-request-id"]
    fleet = context.fleet
    process.wait_for(lambda: fleet.log(name, "refused"))
    attempts = [
        li for li in fleet.log(name, "attempt") if li["id"] == request_id
    ]
    refusals = [
        li for li in fleet.log(name, "refused") if li["id"] == request_id
    ]
    assert attempts and refusals, fleet.tails()
    assert attempts[0]["outcome"].startswith("broken")
    assert refusals[0]["status"] == 502 and refusals[0]["run"] == "unknown"


@when('a heartbeat whose crashes have another shape reaches "{name}"')
def step_other_shape(context, name):
    fields = context.fleet.entries[name][1]
    port = int(fields["portRange"].partition(",")[0])
    datagram = datagrams.encode(
        entry_builders.heartbeat("other", crashes=(("e1", 1.0),))
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(datagram, (fields["ip"], port))


@then('the log of "{name}" tells that it did not understand "{peer}"')
def step_not_understood(context, name, peer):
    lines = process.wait_for(
        lambda: context.fleet.log(name, "heartbeats: fields not understood"),
        what="a log line about the heartbeat",
    )
    assert lines[0]["peer"] == peer and lines[0]["why"], lines
