"""Steps about what endpoints bear, and about those that leave."""

import itertools
import threading
import time

from behave import then
from behave import when

from features import placing
from features.standins import process

WAIT_S = 40.0
SETTLE_S = 3.0
STREAM_TOKENS = 200
STREAM_PACE_S = 0.03


class Load:
    """Callers that send one request after another until stopped."""

    def __init__(self, context, entries, model, count):
        self.context = context
        self.model = model
        self.replies = []
        self.ended = threading.Event()
        names = itertools.cycle(entries)
        self.threads = [
            threading.Thread(target=self._run, args=(next(names),))
            for _ in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def answered(self):
        """Return how many requests were answered."""
        return sum(reply.status == placing.OK for reply in list(self.replies))

    def stop(self):
        """End the callers, each after its request."""
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def _run(self, entry):
        while not self.ended.is_set():
            reply = placing.call(self.context, entry, self.model)
            self.replies.append(reply)
            if reply.status != placing.OK:
                # Refusals come at once; the bound keeps the loop slow.
                self.ended.wait(0.05)


def begin(context, entries, model, count):
    """Begin a load that ends with the scenario."""
    context.load = Load(context, entries, model, count)
    context.add_cleanup(context.load.stop)


def engine(context, name):
    """Return a stand-in engine by name."""
    return context.fleet.endpoints[name]


@when('{count:d} callers send requests for "{model}" without a pause')
def step_load(context, count, model):
    begin(context, list(context.fleet.entries), model, count)


@when("{count:d} callers at other entries than the owner's " 'load "{model}"')
def step_load_elsewhere(context, count, model):
    context.owner, context.epoch = placing.owner_of(context, "w0")
    begin(context, placing.others(context, context.owner), model, count)


@when('engine "{name}" is warm')
def step_warm(context, name):
    def warm():
        counters = engine(context, name).ctl.call("counters")
        return counters["bears"] == 8 and counters["in_flight"] > 4

    process.wait_for(warm, WAIT_S, f"{name} to be warm and busy")


@when('engine "{name}" is warm under a new owner')
def step_warm_again(context, name):
    process.wait_for(
        lambda: placing.owner_of(context, name)[1] > context.epoch,
        WAIT_S,
        "a new owner",
    )
    step_warm(context, name)


@when('engine "{name}" restarts')
def step_restart(context, name):
    engine(context, name).ctl.call("restart")


@when("{count:d} requests were answered")
def step_answered(context, count):
    before = context.load.answered()
    process.wait_for(
        lambda: context.load.answered() >= before + count,
        WAIT_S,
        f"{count} answers",
    )


@when('the owner of engine "{name}" is killed amid the load')
def step_kill(context, name):
    context.fleet.entries[context.owner].kill()


@when('the owner of engine "{name}" is stopped by SIGTERM')
def step_term(context, name):
    codes = context.fleet.entries[context.owner].stop()
    assert codes == [0] * len(codes), codes


@when("the callers stop")
@then("the callers stop")
def step_stop(context):
    context.load.stop()


@when('a stream of 6 s for "{model}" is begun')
def step_stream(context, model):
    for endpoint in context.fleet.endpoints.values():
        endpoint.ctl.call("set", pace_s=STREAM_PACE_S)
    context.stream = []
    prompt = f"tokens={STREAM_TOKENS}"

    def run():
        context.stream.append(
            placing.call(context, "e0", model, prompt=prompt, stream=True)
        )

    context.streaming = threading.Thread(target=run)
    context.streaming.start()
    context.add_cleanup(context.streaming.join)
    process.wait_for(lambda: _long_runs(context), WAIT_S, "the stream to run")
    for endpoint in context.fleet.endpoints.values():
        endpoint.ctl.call("set", pace_s=STREAM_PACE_S / 3)


def _long_runs(context):
    asked = f"tokens={STREAM_TOKENS}"
    return [
        event
        for endpoint in context.fleet.endpoints.values()
        for event in endpoint.events("request")
        if asked in event["prompt"] and event["tokens"] > 0
    ]


@when('the endpoint of "{model}" is listed as leaving')
def step_leaving(context, model):
    (context.leaving,) = placing.decided(context, model)
    context.fleet.set_vms(leaving=[context.leaving])
    context.listed_at = time.monotonic()


@when("{count:d} requests were answered by the other engine")
def step_other_answered(context, count):
    def answered():
        return sum(
            event["outcome"] == "ok"
            for name, endpoint in context.fleet.endpoints.items()
            if name != context.leaving
            for event in endpoint.events("request")
        )

    before = answered()
    process.wait_for(
        lambda: answered() >= before + count, WAIT_S, f"{count} answers"
    )


@when("the list of VMs goes back to an older state")
def step_list_back(context):
    context.fleet.set_vms()


@when('engine "{name}" holds "{model}" and hangs')
def step_hang(context, name, model):
    context.leaving = name
    context.text_model = model
    begin(context, list(context.fleet.entries), model, 40)
    process.wait_for(
        lambda: engine(context, name).status()["models"],
        WAIT_S,
        f"{name} to hold {model}",
    )
    context.load.stop()
    engine(context, name).ctl.call("set", hang=True)


@when('engine "{name}" goes on')
def step_unhang(context, name):
    context.requests = len(engine(context, name).events("request"))
    engine(context, name).ctl.call("set", hang=False)


@then('engine "{name}" gets requests again')
def step_used_again(context, name):
    process.wait_for(
        lambda: len(engine(context, name).events("request"))
        > context.requests + 10,
        WAIT_S,
        f"{name} to get requests",
    )


@then('engine "{name}" never got more than it bore')
def step_never_more(context, name):
    overloads = [
        violation
        for violation in engine(context, name).violations()
        if violation["kind"] == "overload"
    ]
    assert not overloads, overloads


@then("each reply was whole or truly refused")
def step_whole(context):
    for reply in context.load.replies:
        good = reply.status == placing.OK and reply.done and not reply.error
        assert good or reply.run in ("not_run", "unknown"), reply
    assert context.load.answered() > 0


@then("the leaving endpoint got no request 3 s after the listing")
def step_none_late(context):
    late = [
        event
        for event in engine(context, context.leaving).events("request")
        if event["time"] > context.listed_at + SETTLE_S
    ]
    assert not late, late


@then("the stream came whole")
def step_stream_whole(context):
    context.streaming.join()
    (reply,) = context.stream
    assert reply.done and len(reply.chunks) >= STREAM_TOKENS, reply.error
