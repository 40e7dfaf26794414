"""The entry's own cost against a bare forward, in the same run.

Notes
-----
Processor time a chunk is that of a window in which a fixed number of
streams runs, divided by the tokens that the engine sent meanwhile.
Latencies are those of single requests of one token, sent in turn to the
engine itself, to the bare forward and to the entry.  The ``seed`` of a
figure numbers its round: nothing is drawn.
"""

import socket

import trio

from benchmarks import client
from benchmarks import countedfleet
from benchmarks import report
from features import builders
from features.standins import caller
from features.standins import machines
from features.standins import process

__all__ = ["main"]

STREAMS = (1, 10, 100)
ROUNDS = 3
SINGLES = 100
PAUSE_S = 0.01
PACE_S = 0.03
BEGIN_S = 1.5
WINDOW_S = 3.0
TOKENS = 170
HOST = "127.0.0.3"
MODEL = "model-0"
CONCURRENCY = 128
START_S = 10.0
POLICIES = ("bare", "entry")


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

    def sample(self, name):
        """Return a target's `Sample`, and the tokens that it passed on."""
        tokens = self.engine.ctl.call("counters")["tokens"]
        return self.fleet.sample(self.processes[name]), tokens


def _listens(address):
    host, _, port = address.rpartition(":")
    socket.create_connection((host, int(port))).close()
    return True


def main():
    """Measure and print all figures."""
    with countedfleet.CountedFleet() as fleet:
        _start(fleet)
        targets = Targets(fleet)
        rep = report.Report("overhead")
        trio.run(_measure, rep, targets)
        rep.summary()


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


async def _measure(rep, targets):
    connections = client.pool()
    # The entry goes first, as it has the model loaded.
    for name in reversed(targets.addresses):
        await _stream(connections, targets, name, 1)
    for number in range(1, ROUNDS + 1):
        await _singles(rep, connections, targets, number)
    targets.engine.ctl.call("set", pace_s=PACE_S)
    for streams in STREAMS:
        for number in range(1, ROUNDS + 1):
            await _chunks(rep, connections, targets, streams, number)


async def _singles(rep, connections, targets, number):
    found = {name: [] for name in targets.addresses}
    before = {name: targets.sample(name)[0] for name in POLICIES}
    for _ in range(SINGLES):
        for name in found:
            outcome = await _stream(connections, targets, name, 1)
            found[name].append(1000 * outcome.first_s)
            await trio.sleep(PAUSE_S)
    for name in POLICIES:
        spent_s = targets.sample(name)[0].cpu_s - before[name].cpu_s
        cost_ms = 1000 * spent_s / SINGLES
        rep.figure(name, "request", cost_ms, "cpu_ms", number)
    for percent in (50, 99):
        at = {n: report.percentile(v, percent) for n, v in found.items()}
        for name, value in at.items():
            rep.figure(name, f"first_token_p{percent}", value, "ms", number)
        for name in POLICIES:
            added = at[name] - at["engine"]
            rep.figure(
                name, f"added_first_token_p{percent}", added, "ms", number
            )


async def _chunks(rep, connections, targets, streams, number):
    cost_us = {}
    for name in POLICIES:
        use, tokens = await _window(connections, targets, name, streams)
        policy = f"{name} streams={streams}"
        cost_us[name] = 1e6 * use.cpu_s / tokens
        rep.figure(policy, "chunk", cost_us[name], "cpu_us", number)
        rep.figure(policy, "chunks", tokens / use.seconds, "per_s", number)
        rep.figure(policy, "memory", use.rss_mb, "MB", number)
    ratio = cost_us["entry"] / cost_us["bare"]
    rep.figure(f"streams={streams}", "entry_to_bare", ratio, "ratio", number)


async def _window(connections, targets, name, streams):
    """Return the `Use` of a target with streams on, and their tokens."""
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(_stream, connections, targets, name, TOKENS)
            # Engines do not emit in step.
            await trio.sleep(PACE_S / streams)
        await trio.sleep(BEGIN_S)
        first, before = targets.sample(name)
        await trio.sleep(WINDOW_S)
        last, after = targets.sample(name)
    return countedfleet.Use.between(first, last), after - before


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


if __name__ == "__main__":
    main()
