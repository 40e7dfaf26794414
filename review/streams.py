"""Streams for one model, of which a worker sends some without a length."""

import time

from review import fleet as fleet_module

DEADLINE_MS = 15000
EVENTS = 73
MODEL_WORKERS = 8
HOLDER = "i-0"
# Of the holder's streams, one in so many has neither a length nor chunks, for
# this time.
UNFRAMED_EVERY = 20
UNFRAMED_S = 4.8


def start(fleet, pace_ms, has_proxy=False):
    """Start all processes; the model ``m0`` is at the holder only.

    Returns
    -------
    dict of str to subprocess.Popen
        The entries.
    """
    fleet.configure()
    options = [
        *("--events", EVENTS),
        *("--pace-ms", pace_ms),
        *("--unframed-every", UNFRAMED_EVERY),
    ]
    for number in range(MODEL_WORKERS):
        zone = fleet_module.ZONES[number % len(fleet_module.ZONES)]
        name = f"i-{number}"
        fleet.add_worker(
            name,
            "models",
            zone,
            f"m{number}",
            options,
            has_proxy=has_proxy and name == HOLDER,
        )
    return fleet.start_entries()


def send(fleet, count, interval_s, steps):
    """Send streams to all entries in turn, and wait for their ends.

    Parameters
    ----------
    fleet : review.fleet.Fleet
    count : int
    interval_s : float
    steps : dict of int to callable
        What is done before the stream with this number is sent.
    """
    entries = list(fleet_module.ENTRIES)
    for number in range(count):
        steps.get(number, lambda: None)()
        fleet.send_soon(
            entries[number % len(entries)],
            "POST",
            "/chat/1",
            b"prompt",
            DEADLINE_MS,
            X_Model="m0",
            X_Token_Count="826,300",
            X_Prompt_Prefix=f"ab01:198,{number:08x}:628",
        )
        time.sleep(interval_s)
    fleet.join(DEADLINE_MS / 1000 + 5)


def unframed(fleet, what):
    """Return the ids of the holder's streams without a length.

    Parameters
    ----------
    fleet : review.fleet.Fleet
    what : str
        ``run`` for those that have begun, ``ended`` for those that ended.
    """
    events = fleet.events(what=what, worker=HOLDER, unframed=True)
    return {event["id"] for event in events}


def check(fleet, has_trouble):
    """Return the streams that look whole and are not.

    Raises
    ------
    RuntimeError
        If the worker ended amid no stream without a length, though it was to.
    """
    cut = unframed(fleet, "run") - unframed(fleet, "ended")
    print(
        f"{len(fleet.answers)} streams, of which {len(cut)} without a length "
        f"were cut by the end of their worker"
    )
    if has_trouble and not cut:
        raise RuntimeError("no stream without a length was in flight")
    last = b"id: %d\n" % EVENTS
    return [
        f"{answer.request_id}: a stream looks complete and ends with "
        f"{answer.body[-30:]!r}"
        for answer in fleet.answers
        if answer.status == 200 and answer.is_whole and last not in answer.body
    ]
