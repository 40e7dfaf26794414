"""Slopes of requests: messages, bytes and processor time a request."""

import itertools
import statistics
import time

from benchmarks import countedfleet
from benchmarks import report
from features import builders
from features import scenes

__all__ = ["run"]

ENTRIES = 4
ENGINES = 4
MODELS = 4
RATES = (0, 20, 60)
SECONDS = 6.0
TOKENS = 10
OK = 200
LEAST_A_REQUEST = 0.005


def run(rep):
    """Measure a fleet with load at several rates."""
    with countedfleet.CountedFleet() as fleet:
        text = countedfleet.text_of(models=MODELS)
        for index in range(ENGINES):
            _add_engine(fleet, text, index)
        for index in range(ENTRIES):
            fleet.add_entry(f"e{index}", countedfleet.ZONES[index])
        countedfleet.start(fleet, text)
        _load(fleet, 10, SECONDS)
        idle = None
        for rate in RATES:
            uses, replies = _measure(fleet, rate)
            idle = idle or uses
            _emit(rep, rate, uses, idle, replies)


def _add_engine(fleet, text, index):
    zone = countedfleet.ZONES[index]
    engine = fleet.add_engine(f"w{index}", concurrency=32, fresh=32)
    text.endpoint(
        engine.name,
        "lm",
        zone,
        engine.address,
        memory_mb=1000,
        concurrency=32,
        fresh_concurrency=32,
        fencing=True,
    )


def _load(fleet, rate, seconds):
    entries = itertools.cycle(fleet.entries.values())
    callers = [
        next(entries).caller(builders.key_of("customer0"))
        for _ in range(ENTRIES)
    ]

    def send(index):
        return callers[index % ENTRIES].chat(
            f"model-{index // ENTRIES % MODELS}",
            f"{index} tokens={TOKENS}",
            stream=True,
        )

    load = scenes.Load(send, rate).start()
    load.wait(seconds)
    return load.stop()


def _measure(fleet, rate):
    names = list(fleet.entries)
    names += [f"{name}-gateway-0" for name in fleet.entries]
    first = fleet.samples(names)
    if rate:
        replies = _load(fleet, rate, SECONDS)
    else:
        time.sleep(SECONDS)
        replies = []
    last = fleet.samples(names)
    between = countedfleet.Use.between
    uses = {name: between(first[name], last[name]) for name in names}
    return uses, replies


def _emit(rep, rate, uses, idle, replies):
    policy = f"rate={rate}"
    for number, name in enumerate(uses, 1):
        role = "gateway" if "gateway" in name else "coordinator"
        share = 100 * uses[name].cpu_share()
        rep.figure(policy, role, share, "percent_of_core", number)
        if rate:
            cost_ms = _cpu_ms(uses[name], idle[name], replies)
            rep.figure(policy, f"{role}_a_request", cost_ms, "cpu_ms", number)
    if not rate:
        return
    _emit_messages(rep, policy, uses, idle, len(replies))
    good = sum(reply.status == OK and reply.done for reply in replies)
    rep.figure(policy, "served", 100 * good / len(replies), "percent", 1)
    first_ms = [1000 * reply.first_s for reply in replies if reply.first]
    for percent in (50, 99):
        value = report.percentile(first_ms, percent)
        rep.figure(policy, f"first_token_p{percent}", value, "ms", 1)


def _cpu_ms(use, idle, replies):
    spent_s = use.cpu_s - idle.cpu_share() * use.seconds
    return 1000 * spent_s * ENTRIES / len(replies)


def _emit_messages(rep, policy, uses, idle, requests):
    """Print what all coordinators sent a request, by kind."""
    names = [name for name in uses if "gateway" not in name]
    kinds = sorted({kind for name in names for kind in uses[name].sent})
    for kind in kinds:
        found = [_beyond(uses[n], idle[n], kind) for n in names]
        number = sum(count for count, _ in found) / requests
        size = sum(size for _, size in found) / requests
        if number >= LEAST_A_REQUEST:
            rep.figure(policy, f"{kind}_sent", number, "a_request", 1)
            rep.figure(policy, f"{kind}_sent", size, "bytes_a_request", 1)
    calls = statistics.fmean(
        uses[name].rates(uses[name].platform)[0]
        - idle[name].rates(idle[name].platform)[0]
        for name in names
    )
    rep.figure(policy, "platform_beyond_idle", calls, "per_s_and_entry", 1)


def _beyond(use, idle, kind):
    part = use.seconds / idle.seconds
    count, size = use.sent.get(kind, (0, 0))
    idle_count, idle_size = idle.sent.get(kind, (0, 0))
    return count - idle_count * part, size - idle_size * part
