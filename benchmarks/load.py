"""Open-loop load of a user's customers, classes and models, by seed.

Notes
-----
``python -m benchmarks.load --profile frostline --seconds 20 --seed 1``
starts the user's fleet of today and sends it a drawn load; with
``--entry IP:PORT``, given once or more, it sends to entries that run.
Arrivals are drawn beforehand, so a slow reply holds up none of them,
and latency counts from the intended start.
"""

import argparse
import collections
import dataclasses
import random

import trio

from benchmarks import client
from benchmarks import countedfleet
from benchmarks import profiles
from benchmarks import report
from features.standins import caller

__all__ = [
    "Arrival",
    "Mix",
    "draw",
    "drive",
    "emit",
    "emit_all",
    "in_turn",
    "main",
    "served",
    "spread",
]

OK = 200
SKEW = 1.1
ADAPTER_PART = 0.3
DEADLINE_MS = 30_000
CHARS_A_TOKEN = 4
TRIES = 3
STATUS = {0: "broken"}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request to come.

    Parameters
    ----------
    at_s : float
        Seconds from the beginning.
    customer, priority, model : str
    prompt, tokens : int
        Tokens of the prompt and of the answer.
    deadline_ms : int
    """

    at_s: float
    customer: str
    priority: str
    model: str
    prompt: int = 50
    tokens: int = 20
    deadline_ms: int = DEADLINE_MS


@dataclasses.dataclass(frozen=True)
class Mix:
    """What one customer sends.

    Parameters
    ----------
    customer, priority : str
    rate : float
        Requests a second.
    prompt, tokens : (int, int)
        Least and most.
    """

    customer: str
    priority: str
    rate: float
    prompt: tuple = (20, 100)
    tokens: tuple = (10, 40)


MIXES = {
    "frostline": (
        Mix("workshop", "urgent", 1.0),
        Mix("alpine-nurseries", "normal", 5.0, (50, 300), (20, 60)),
        Mix("tasman-growers", "normal", 4.0, (50, 300), (20, 60)),
        Mix("riverside-garden", "normal", 0.7),
        Mix("hillside-nursery", "normal", 0.5),
    ),
    "kokosfaser": (
        Mix("weighbridge", "urgent", 3.0, (10, 60), (5, 20)),
        Mix("clerks", "normal", 6.0, (50, 200), (20, 60)),
        Mix("auditors", "batch", 2.0, (400, 1500), (80, 200)),
        Mix("depot-aarau", "normal", 0.7),
        Mix("depot-olten", "normal", 0.7),
    ),
}


def draw(mixes, models, seconds, rng):
    """Draw arrivals, Poisson for each customer, in order of time.

    Parameters
    ----------
    mixes : iterable of Mix
    models : sequence of str
        The most wanted first; the n-th is wanted n ** -`SKEW` as much.
    seconds : float
    rng : random.Random

    Returns
    -------
    list of Arrival

    Examples
    --------
    >>> found = draw([Mix("a", "normal", 5)], ["m"], 2, random.Random(1))
    >>> all(one.at_s < 2 for one in found)
    True
    """
    wanted = [(rank + 1) ** -SKEW for rank in range(len(models))]
    arrivals = []
    for mix in mixes:
        at_s = rng.expovariate(mix.rate)
        while at_s < seconds:
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    customer=mix.customer,
                    priority=mix.priority,
                    model=rng.choices(models, wanted)[0],
                    prompt=rng.randint(*mix.prompt),
                    tokens=rng.randint(*mix.tokens),
                )
            )
            at_s += rng.expovariate(mix.rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def models_of(profile, rng):
    """Return models and adapters, the most wanted first."""
    models = list(profile.models)
    adapters = list(profile.adapters)
    rng.shuffle(models)
    rng.shuffle(adapters)
    names = []
    while models or adapters:
        source = adapters if rng.random() < ADAPTER_PART else models
        source = source or models or adapters
        names.append(source.pop())
    return names


async def drive(arrivals, choose, key_of):
    """Send arrivals at their times; return their outcomes.

    Parameters
    ----------
    arrivals : sequence of Arrival
    choose : callable
        Returns the entry's address for the n-th arrival; for the next
        number, where nobody listens there.
    key_of : callable
        Returns a customer's key.

    Returns
    -------
    list of (Arrival, benchmarks.client.Outcome)
    """
    # A caller's connection may be older than the entry's process.
    connections = client.pool(kept=0)
    found = []
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for index, arrival in enumerate(arrivals):
            await trio.sleep_until(began + arrival.at_s)
            nursery.start_soon(
                _send,
                connections,
                [choose(index + more) for more in range(TRIES)],
                arrival,
                key_of,
                began,
                found,
            )
    return found


async def _send(connections, addresses, arrival, key_of, began, found):
    body = caller.chat_body(
        arrival.model,
        "x" * (CHARS_A_TOKEN * arrival.prompt) + f" tokens={arrival.tokens}",
        stream=True,
        max_tokens=arrival.tokens,
    )
    headers = [
        ("x-deadline-ms", str(arrival.deadline_ms)),
        ("x-priority", arrival.priority),
    ]
    key = key_of(arrival.customer)
    start = began + arrival.at_s
    for address in addresses:
        outcome = await client.send(
            connections, address, body, key, headers, start
        )
        if outcome.code != client.NOT_CONNECTED:
            break
    found.append((arrival, outcome))


def served(outcome):
    """Tell whether a request got its whole answer."""
    return outcome.status == OK and outcome.whole


def in_turn(addresses):
    """Return a choice that uses addresses in turn."""
    return lambda index: addresses[index % len(addresses)]


def spread(arrivals, seconds):
    """Return arrivals at an even pace over some time, in their order."""
    step_s = seconds / max(1, len(arrivals))
    return [
        dataclasses.replace(arrival, at_s=index * step_s)
        for index, arrival in enumerate(arrivals)
    ]


def emit(rep, policy, found, seed):
    """Report some outcomes in all, and by customer and class."""
    emit_all(rep, policy, found, seed)
    groups = collections.defaultdict(list)
    for arrival, outcome in found:
        if served(outcome):
            name = f"{arrival.customer} {arrival.priority}"
            groups[name].append(outcome.first_s)
    for name, values in sorted(groups.items()):
        _emit_latencies(rep, policy, name, values, seed)


def emit_all(rep, policy, found, seed):
    """Report served part, refusals and latencies over all customers."""
    good = [outcome for _, outcome in found if served(outcome)]
    part = 100 * len(good) / max(1, len(found))
    rep.figure(policy, "requests", len(found), "requests", seed)
    rep.figure(policy, "served", part, "percent", seed)
    refused = collections.Counter(
        outcome.code or STATUS.get(outcome.status, str(outcome.status))
        for _, outcome in found
        if not served(outcome)
    )
    for code, count in sorted(refused.items()):
        rep.figure(policy, f"refused {code}", count, "requests", seed)
    first_s = [outcome.first_s for outcome in good]
    _emit_latencies(rep, policy, "all", first_s, seed)


def _emit_latencies(rep, policy, name, values, seed):
    for percent in (50, 99) if values else ():
        value = report.percentile(values, percent)
        measure = f"first_token_p{percent} {name}"
        rep.figure(policy, measure, value, "s", seed)


def main():
    """Send a drawn load and print the figures."""
    args = _parse()
    profile = profiles.Profile.from_name(args.profile)
    rng = random.Random(args.seed)
    arrivals = draw(
        MIXES[args.profile], models_of(profile, rng), args.seconds, rng
    )
    if args.entry:
        found = trio.run(drive, arrivals, in_turn(args.entry), profile.key_of)
    else:
        found = _with_fleet(profile, arrivals)
    rep = report.Report("load")
    emit(rep, args.profile, found, args.seed)


def _with_fleet(profile, arrivals):
    with countedfleet.CountedFleet() as fleet:
        text = profiles.fill(fleet, profile)
        countedfleet.start(fleet, text)
        addresses = [entry.gateways[0] for entry in fleet.entries.values()]
        return trio.run(drive, arrivals, in_turn(addresses), profile.key_of)


def _parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=profiles.NAMES, required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entry", action="append")
    return parser.parse_args()


if __name__ == "__main__":
    main()
