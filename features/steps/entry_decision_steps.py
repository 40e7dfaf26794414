"""Steps that replay the load patterns which an entry decides by."""

import collections
import math
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import trio

from dogwoodwheel.engines import connections
from dogwoodwheel.engines import http
from dogwoodwheel.engines import turns
from dogwoodwheel.entry import admission
from dogwoodwheel.entry import cold_start
from dogwoodwheel.entry import components
from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel.entry import events
from dogwoodwheel.entry import fleet_state
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import outliers
from dogwoodwheel.entry import quota
from dogwoodwheel.entry import retry_budget as retry_budget_module
from dogwoodwheel.entry import serving
from dogwoodwheel import exceptions
from dogwoodwheel.platform import http_headers
from dogwoodwheel.requests import refusals
from features import entry_builders

WINDOW_S = 8.0
BEAT_S = 0.25
STEP_S = 0.05


@given("{count:d} endpoints that were seen {age_s:d} s ago")
def step_seen(context, count, age_s):
    context.now = 100.0
    context.last_scan_at = context.now - age_s
    context.known = {
        f"i-{n}": entry_builders.tracked_endpoint(f"i-{n}")
        for n in range(count)
    }


@when("a scan after the outage lacks {count:d} of them")
@when("a scan lacks {count:d} of them")
def step_scan(context, count):
    kept = list(context.known)[count:]
    context.found = {name: (entry_builders.endpoint(name), 0) for name in kept}
    context.known = fleet_state.merge_scan(
        context.known, context.found, context.now, context.last_scan_at
    )


@then("all {count:d} still receive requests for {seconds:d} s")
def step_still(context, count, seconds):
    later = fleet_state.merge_scan(
        context.known, context.found, context.now + seconds, context.now + 1.2
    )
    assert len(later) == count, later
    context.known = later


@then("those that do not register again are gone after {seconds:d} s")
def step_gone(context, seconds):
    now = context.now + seconds
    later = fleet_state.merge_scan(
        context.known, context.found, now, now - 0.8
    )
    assert set(later) == set(context.found), later


@then("only {count:d} receive requests")
def step_only(context, count):
    assert len(context.known) == count


@given("{count:d} entries that share a rate of {rate:d} and a burst of {b:d}")
def step_entries(context, count, rate, b):
    context.customer = datatypes.Customer(
        "c", rate=rate, burst=b, rate_in_tokens=True
    )
    context.ledgers = [quota.CustomerQuotas(True) for _ in range(count)]
    context.cut = (set(), math.inf, -math.inf)
    context.beat_s = BEAT_S
    context.hurries = False


@given("their beats are {beat_s:g} s apart and a tolerance of {slack:d}")
def step_beats(context, beat_s, slack):
    context.beat_s = beat_s
    context.slack = slack
    context.hurries = True
    context.ledgers = [
        quota.CustomerQuotas(True, slack * components.OVERDRAFT_FRACTION)
        for _ in context.ledgers
    ]


@given("{count:d} of them are cut off from the others from {a:d} s to {b:d} s")
def step_cut(context, count, a, b):
    context.cut = (set(range(count)), float(a), float(b))


@when("a customer asks for {rate:d} a second at all of them for {s:d} s")
def step_ask(context, rate, s):
    ask_for(context, rate, s, 400.0)


@when(
    "a customer asks for {rate:d} a second at all of them for {s:d} s, "
    "{need:d} at a time"
)
def step_ask_much(context, rate, s, need):
    ask_for(context, rate, s, need)


def ask_for(context, rate, s, need):
    """Play requests of a customer at random entries."""
    rng = random.Random(1)
    due = 0.0
    spent = []
    told = {}
    count = len(context.ledgers)
    steps = int(s / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        low = any(
            ledger.has_low_balance(context.customer)
            for ledger in context.ledgers
        )
        if step % int(context.beat_s / STEP_S) == 0 or (
            context.hurries and low
        ):
            hear_all(context, now, told)
        due += rate * STEP_S
        while due >= need:
            due -= need
            one = rng.randrange(count)
            part = len(side_of(context, one, now)) / count
            ledger = context.ledgers[one]
            if not ledger.charge(context.customer, need, now, part):
                spent.append((now, need))
    context.spent = spent
    context.length_s = s


def side_of(context, one, now):
    """Return the entries that one hears, with itself."""
    cut, begins, ends = context.cut
    everyone = set(range(len(context.ledgers)))
    if not begins <= now < ends:
        return everyone
    return cut if one in cut else everyone - cut


def hear_all(context, now, told):
    totals = [dict(ledger.spent) for ledger in context.ledgers]
    for one, ledger in enumerate(context.ledgers):
        for other in side_of(context, one, now) - {one}:
            part = len(side_of(context, one, now)) / len(context.ledgers)
            ledger.record_peer_usage(
                told.get((one, other), {}),
                totals[other],
                {context.customer.name: context.customer},
                now,
                part,
            )
            told[one, other] = totals[other]


@then("no window of {s:d} s has more than the rate, the burst and a tenth")
def step_window(context, s):
    customer = context.customer
    limit = (customer.rate * s + customer.burst) * 1.1
    # What all entries admit within one beat is the method's own error.
    limit += 80000 * BEAT_S
    assert most_in(context.spent, s) <= limit, most_in(context.spent, s)


@then(
    "no window of {s:d} s has more than the rate, the burst, a tenth and "
    "the tolerance"
)
def step_tolerated(context, s):
    customer = context.customer
    limit = (customer.rate * s + customer.burst) * 1.1 + context.slack
    assert most_in(context.spent, s) <= limit, most_in(context.spent, s)


def most_in(spent, s):
    """Return the most that was spent in any window of so many seconds."""
    window = collections.deque()
    total = most = 0.0
    for at, need in spent:
        window.append((at, need))
        total += need
        while window[0][0] <= at - s:
            total -= window.popleft()[1]
        most = max(most, total)
    return most


@then("in the long run no less than {part:g} of the rate is used")
def step_used(context, part):
    total = sum(need for _, need in context.spent)
    assert total >= part * context.customer.rate * context.length_s, total


@given("a retry budget of {ratio:g} and a slack of {slack:g} in {s:g} s")
def step_budget(context, ratio, slack, s):
    context.ratio, context.slack, context.window_s = ratio, slack, s


@when(
    "{count:d} entries send {rate:d} requests a second each and each one fails"
)
def step_fail(context, count, rate):
    retries = []
    for _ in range(count):
        budget = retry_budget_module.RetryBudget(
            context.ratio, context.slack, context.window_s
        )
        for n in range(30 * rate):
            now = n / rate
            budget.record_request("s", now)
            if budget.try_acquire("s", now, count):
                retries.append(now)
    context.retries = sorted(retries)
    context.allowed = (
        context.ratio * count * rate * context.window_s + context.slack
    )


@then("the retries of any {s:g} s stay within the budget")
def step_within(context, s):
    for begin in context.retries:
        inside = sum(begin <= at < begin + s for at in context.retries)
        assert inside <= context.allowed, (begin, inside, context.allowed)


@when("an endpoint fails every second of {count:d} requests")
def step_every_second(context, count):
    context.detector = outliers.OutlierDetector()
    context.since = None
    for n in range(count):
        context.now = n * 0.2
        begins = context.detector.record_outcome(
            "i-1", n % 2 == 0, context.now
        )
        if begins and context.since is None:
            context.since = context.now


@when("an endpoint fails {bad:d} of {count:d} requests")
def step_rarely(context, bad, count):
    context.detector = outliers.OutlierDetector()
    for n in range(count):
        context.now = n * 0.2
        context.detector.record_outcome("i-1", n >= bad, context.now)


@when("peers of another zone tell of {bad:d} failures and {good:d} answers")
def step_peers(context, bad, good):
    context.detector = outliers.OutlierDetector()
    context.now = 0.0
    for n in range(bad):
        context.now = n * 0.25
        outcomes = {"i-1": (good / bad, 1)}
        context.detector.record_peer_outcomes(
            outcomes, context.now, same_zone=False
        )


@then("it is avoided for at least {s:g} s")
def step_avoided(context, s):
    assert context.since is not None
    assert context.detector.is_ejected("i-1", context.since + s - 0.01)


@then("it is tried again within {s:g} s")
def step_tried(context, s):
    assert not context.detector.is_ejected("i-1", context.now + s)


@then("it is not avoided")
def step_not_avoided(context):
    assert not context.detector.is_ejected("i-1", context.now)


@given(
    "{count:d} entries and a cold endpoint that bears {rate:g} requests a "
    "second"
)
def step_cold(context, count, rate):
    context.names = [f"entry-{n}" for n in range(count)]
    context.per_s = rate


@when("each entry sends it a request whenever it may for {s:d} s")
def step_send_cold(context, s):
    allowances = {
        name: cold_start.ColdEndpointLimiter() for name in context.names
    }
    chosen = [
        name
        for name in context.names
        if cold_start.is_assigned(name, context.names, "i-1", context.per_s)
    ]
    context.sent = []
    for step in range(s * 100):
        now = step / 100
        for name in chosen:
            if allowances[name].allows("i-1", now):
                allowances[name].record_request("i-1", now)
                context.sent.append(now)


@then("no second has more than {count:d} requests")
def step_second(context, count):
    for begin in context.sent:
        inside = sum(begin <= at < begin + 1 for at in context.sent)
        assert inside <= count, (begin, inside)
    assert context.sent


@given("{count:d} engines that hold a model")
def step_engines(context, count):
    context.engines = {
        f"i-{n}": entry_builders.endpoint(f"i-{n}", slots=64)
        for n in range(count)
    }
    context.loads = collections.defaultdict(load_balancing.EndpointLoad)
    context.bad = collections.defaultdict(float)


def place(context, rng):
    """Return the engine that the next request goes to."""

    def scores(name, kept):
        return load_balancing.endpoint_cost(
            context.engines[name],
            context.loads[name],
            same_zone=True,
            has_affinity=kept,
            failure_ratio=context.bad[name],
            is_cold=False,
        )

    return load_balancing.best_endpoint(
        sorted(context.engines), "m0//p1", scores, rng
    )


@when("{count:d} requests with a common beginning are placed on idle engines")
def step_place(context, count):
    rng = random.Random(3)
    context.placed = {place(context, rng) for _ in range(count)}


@then("one engine gets all of them")
def step_one(context):
    assert len(context.placed) == 1
    context.first = next(iter(context.placed))


@when("the engine that keeps the beginning has {count:d} requests in flight")
def step_loaded(context, count):
    context.loads[context.first] = load_balancing.EndpointLoad(count, 0)


@when("the idle one failed most of its requests")
def step_idle_fails(context):
    context.first = "i-0"
    for name in context.engines:
        context.loads[name] = load_balancing.EndpointLoad(6, 10000)
    context.loads["i-0"] = load_balancing.EndpointLoad()
    context.bad["i-0"] = 0.8


@then("another engine gets the next one")
def step_other(context):
    rng = random.Random(4)
    for _ in range(20):
        assert place(context, rng) != context.first


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@then("events pass in order however they are cut into parts")
def step_events(context):
    whole = b"".join(event(n) for n in range(1, 30))
    for seed in range(50):
        rng = random.Random(seed)
        splitter = events.EventSplitter(http_headers.event_id)
        out = b""
        at = 0
        while at < len(whole):
            size = rng.randrange(1, 40)
            out += splitter.feed(whole[at : at + size])
            at += size
        assert out == whole
        assert splitter.last_number == 29


@then("an event that is missing or doubled ends the stream")
def step_missing(context):
    for wrong in (1, 3):
        splitter = events.EventSplitter(http_headers.event_id)
        splitter.feed(event(1))
        try:
            splitter.feed(event(wrong))
        except exceptions.ReplyError:
            continue
        raise AssertionError(f"event {wrong} passed after event 1")


@then("half an event is never passed on")
def step_half(context):
    splitter = events.EventSplitter(http_headers.event_id)
    assert splitter.feed(event(1) + event(2)[:-1]) == event(1)
    assert splitter.has_partial_event


@then("a comment passes, and an event without a number ends the stream")
def step_unnumbered(context):
    for number in (0, 1):
        splitter = events.EventSplitter(http_headers.event_id)
        first = event(1) * number
        assert splitter.feed(first + b": waits\n\n") == first + b": waits\n\n"
        try:
            splitter.feed(b"event: error\ndata: overloaded\n\n")
        except exceptions.ReplyError:
            continue
        raise AssertionError(f"an error passed after {number} events")


@given("a request whose first attempt {ran}")
def step_attempted(context, ran):
    route = datatypes.Route(
        "r", "h", "/", datatypes.RouteKind.SAFE, (("s", 1.0),), 5, 1
    )
    asked = http_headers.RequestHeaders("id", "h")
    incoming = admission.IncomingRequest("GET", "/", b"/", (), b"", 0.0)
    admitted = admission.AdmittedRequest(
        incoming, asked, route, datatypes.Service("s", "/health", 1), None, 1e9
    )
    context.attempts = serving.RequestHandler(
        None, admitted, None, trio.CancelScope()
    )
    context.attempts.may_have_run = ran == "may have run"
    context.earlier = refusals.refused("failed", "first", 502, "unknown")


@when("no endpoint can take its next attempt")
def step_no_endpoint(context):
    async def refuse(components, need, avoid):
        raise refusals.refused("no_endpoint", "none is left", 503)

    with mock.patch.object(endpoint_selection, "wait_for_endpoint", refuse):
        try:
            trio.run(context.attempts._select_endpoint, context.earlier)
        except exceptions.RefusedError as exc:
            context.refusal = exc.refusal


@then('the answer is the failure of the first, not "not run"')
def step_first(context):
    assert context.refusal.status == 502, context.refusal
    assert context.refusal.run == "unknown"


@then("the answer says that it has not run")
def step_not_run(context):
    assert context.refusal.status == 503, context.refusal
    assert context.refusal.run == "not_run"


@given(
    "{count:d} unused connections to an endpoint that has sent surplus bytes"
)
def step_unused(context, count):
    context.count = count


@when("a request chooses one while the endpoint is forgotten")
def step_choose(context):
    async def surplus(stream):
        await stream.send_all(b"surplus")
        await trio.sleep_forever()

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, surplus, [listener])
            host, port = listener.socket.getsockname()
            address = f"{host}:{port}"
            http_client = http.HttpClient()
            conns = [
                await connections.Connection.connect(
                    address, 1.0, turns.TurnLimiter()
                )
                for _ in range(context.count)
            ]
            while any(conn.has_no_pending_data() for conn in conns):
                await trio.sleep(0.01)
            http_client._idle_connections[address] = list(conns)
            req = http.Request("1", "GET", b"/")
            async with trio.open_nursery() as both:
                both.start_soon(http_client.close_idle, address)
                context.taken = await http_client._acquire(address, req, 1.0)
            context.conns = conns
            context.open = [
                conn
                for conn in (*conns, context.taken)
                if conn._stream.socket.fileno() >= 0
            ]
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the request gets a new connection, and the others are closed")
def step_new(context):
    assert context.taken not in context.conns
    assert context.open == [context.taken]
