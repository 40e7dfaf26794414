"""Slopes of requests: messages, bytes and processor time a request."""

import itertools
import statistics
import time

from benchmarks import countedfleet
from benchmarks import figures
from features import builders
from features import scenes

__all__ = ["run"]

BENCH = "slopes"
ENTRIES = 4
ENGINES = 4
MODELS = 4
RATES = (0, 20, 60)
SECONDS = 6.0
TOKENS = 10
OK = 200


def run():
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
            _emit(rate, uses, idle, replies)


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


def _emit(rate, uses, idle, replies):
    where = {"part": "requests", "size": rate}
    for role in ("coordinator", "gateway"):
        chosen = [n for n in uses if ("gateway" in n) == (role == "gateway")]
        shares = [uses[name].cpu_share() for name in chosen]
        figures.emit(BENCH, f"{role}_cpu_core_share", shares, **where)
        if rate:
            cpu = [_cpu_ms(uses[n], idle[n], replies) for n in chosen]
            figures.emit(BENCH, f"{role}_cpu_ms_a_request", cpu, **where)
    if rate:
        _emit_messages(where, uses, idle, len(replies))
        good = sum(reply.status == OK and reply.done for reply in replies)
        figures.emit(BENCH, "served_part", [good / len(replies)], **where)
        first = [reply.first_s for reply in replies if reply.first]
        figures.emit(BENCH, "first_token_s", first, **where)


def _cpu_ms(use, idle, replies):
    spent_s = use.cpu_s - idle.cpu_share() * use.seconds
    return 1000 * spent_s * ENTRIES / len(replies)


def _emit_messages(where, uses, idle, requests):
    """Print what all coordinators sent a request, by kind."""
    names = [name for name in uses if "gateway" not in name]
    kinds = sorted({k for name in names for k in uses[name].sent})
    total = [0.0, 0.0]
    for kind in kinds:
        found = [_beyond(uses[n], idle[n], kind) for n in names]
        number = sum(count for count, _ in found) / requests
        size = sum(size for _, size in found) / requests
        if number < 0.005:
            continue
        at = {**where, "kind": kind}
        figures.emit(BENCH, "sent_a_request", [number], **at)
        figures.emit(BENCH, "sent_bytes_a_request", [size], **at)
        total[0] += number
        total[1] += size
    figures.emit(BENCH, "sent_a_request", [total[0]], kind="all", **where)
    figures.emit(
        BENCH, "sent_bytes_a_request", [total[1]], kind="all", **where
    )
    reads = statistics.fmean(
        uses[name].rates(uses[name].platform)[0]
        - idle[name].rates(idle[name].platform)[0]
        for name in names
    )
    figures.emit(BENCH, "platform_beyond_idle_per_s", [reads], **where)


def _beyond(use, idle, kind):
    part = use.seconds / idle.seconds
    count, size = use.sent.get(kind, (0, 0))
    idle_count, idle_size = idle.sent.get(kind, (0, 0))
    return count - idle_count * part, size - idle_size * part
