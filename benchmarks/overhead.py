"""The entry's own cost against a bare forward, in the same run.

Notes
-----
Processor time a chunk is the slope between streams of two lengths at
one pace, so that what a request costs once drops out.  Latencies are
those of single requests, sent to the engine, the bare forward and the
entry in turn.
"""

import socket
import statistics

import trio

from benchmarks import client
from benchmarks import countedfleet
from benchmarks import figures
from features import builders
from features.standins import caller
from features.standins import machines
from features.standins import process

__all__ = ["main"]

BENCH = "overhead"
STREAMS = (1, 10, 100)
SHORT, LONG = 10, 110
PACE_S = 0.03
ROUNDS = 3
SINGLES = 150
PAUSE_S = 0.01
HOST = "127.0.0.3"
MODEL = "model-0"
CONCURRENCY = 128
START_S = 10.0


class Targets:
    """Where the same request is sent: engine, bare forward, entry.

    Parameters
    ----------
    fleet : benchmarks.countedfleet.CountedFleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.engine = fleet.endpoints["w0"]
        self.bare = machines.free_address(HOST)
        fleet.start_helper(
            "bare", "benchmarks.bareforward", [self.bare, self.engine.address]
        )
        process.wait_for(lambda: _listens(self.bare), START_S, "the forward")
        self.processes = {"bare": "bare", "entry": "e0-gateway-0"}
        self.addresses = {
            "engine": self.engine.address,
            "bare": self.bare,
            "entry": fleet.entries["e0"].gateways[0],
        }

    def cpu_s(self, name):
        """Return the processor time of a target until now."""
        return self.fleet.sample(self.processes[name]).cpu_s


def _listens(address):
    host, _, port = address.rpartition(":")
    socket.create_connection((host, int(port))).close()
    return True


def main():
    """Measure and print all figures."""
    with countedfleet.CountedFleet() as fleet:
        _start(fleet)
        targets = Targets(fleet)
        trio.run(_measure, targets)


def _start(fleet):
    text = countedfleet.text_of(models=1)
    engine = fleet.add_engine(
        "w0", concurrency=CONCURRENCY, fresh=CONCURRENCY, pace_s=0.0
    )
    text.endpoint(
        "w0",
        "lm",
        countedfleet.ZONES[0],
        engine.address,
        memory_mb=1000,
        concurrency=CONCURRENCY,
        fresh_concurrency=CONCURRENCY,
        fencing=True,
    )
    text.change("customers", "customer0", rate=1e9, burst=1e9)
    fleet.add_entry("e0")
    countedfleet.start(fleet, text)


async def _measure(targets):
    connections = client.pool()
    await _stream(connections, targets, "entry", SHORT)
    await _singles(connections, targets)
    targets.engine.ctl.call("set", pace_s=PACE_S)
    for streams in STREAMS:
        await _chunks(connections, targets, streams)


async def _singles(connections, targets):
    found = {name: [] for name in targets.addresses}
    for _ in range(SINGLES):
        for name in found:
            outcome = await _stream(connections, targets, name, SHORT)
            found[name].append(outcome.first_s * 1000)
            await trio.sleep(PAUSE_S)
    for name, values in found.items():
        figures.emit(BENCH, "first_token_p50_ms", [_at(values, 50)], to=name)
        figures.emit(BENCH, "first_token_p99_ms", [_at(values, 99)], to=name)
    for name in ("bare", "entry"):
        added = _at(found[name], 99) - _at(found["engine"], 50)
        figures.emit(BENCH, "added_first_token_p99_ms", [added], to=name)


async def _chunks(connections, targets, streams):
    ratios = []
    chunk = {"bare": [], "entry": []}
    request = {"bare": [], "entry": []}
    for _ in range(ROUNDS):
        for name in chunk:
            short_s = await _burst(connections, targets, name, streams, SHORT)
            long_s = await _burst(connections, targets, name, streams, LONG)
            a_chunk = (long_s - short_s) / streams / (LONG - SHORT)
            chunk[name].append(a_chunk * 1e6)
            once = short_s / streams - SHORT * a_chunk
            request[name].append(once * 1000)
        ratios.append(chunk["entry"][-1] / chunk["bare"][-1])
    for name in chunk:
        where = {"streams": streams, "to": name}
        figures.emit(BENCH, "cpu_us_a_chunk", chunk[name], **where)
        figures.emit(BENCH, "cpu_ms_a_request", request[name], **where)
    figures.emit(BENCH, "cpu_a_chunk_ratio", ratios, streams=streams)


async def _burst(connections, targets, name, streams, tokens):
    """Return the processor time of some streams at once."""
    before_s = targets.cpu_s(name)
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(_stream, connections, targets, name, tokens)
            # Engines do not emit in step.
            await trio.sleep(PACE_S / streams)
    return targets.cpu_s(name) - before_s


async def _stream(connections, targets, name, tokens):
    outcome = await client.send(
        connections,
        targets.addresses[name],
        caller.chat_body(MODEL, f"tokens={tokens}", stream=True),
        key=builders.key_of("customer0"),
    )
    if not outcome.whole or outcome.events < tokens:
        raise RuntimeError(f"{name} gave no whole answer: {outcome}")
    return outcome


def _at(values, percent):
    return statistics.quantiles(values, n=100)[percent - 1]


if __name__ == "__main__":
    main()
