"""Ask the coordinators of all entries."""

import dataclasses
import functools
import uuid

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = [
    "Answer",
    "Spread",
    "ask_all",
    "is_down",
    "known",
    "wait_in_force",
]

TABLE = "entries"
ROLE = "operator"
TIMEOUT_S = 3.0
POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an entry's coordinator replied.

    Parameters
    ----------
    entry : str
    address : str
        ``IP:PORT`` of the coordinator.
    body : dict
        Empty where it did not reply.
    error : str
    """

    entry: str
    address: str
    body: dict
    error: str = ""


@dataclasses.dataclass(frozen=True)
class Spread:
    """Where a version is not in force.

    Parameters
    ----------
    missing : dict of str to str
        Live entries without it, with the reason.
    down : tuple of str
        Entries that are silent and that the others take for gone.
    """

    missing: dict
    down: tuple


async def known(cfg, tbl):
    """Return the coordinators' addresses by entry; raises PlatformError.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.OperatorSettings
    tbl : dogwoodwheel.stores.table_store.TableStore
    """
    rows = await tbl.scan(TABLE)
    return {row.key: cfg.dial_address(row.value["peer"]) for row in rows}


async def ask_all(addresses, what, args):
    """Ask all entries at once.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:PORT`` by entry.
    what : str
        ``status`` or ``explain``.
    args : dict of str to str

    Returns
    -------
    list of Answer
        By name of the entry.
    """
    answers = []

    async def ask(entry, address):
        answers.append(await _ask(entry, address, what, args))

    async with trio.open_nursery() as nursery:
        for entry, address in addresses.items():
            nursery.start_soon(ask, entry, address)
    return sorted(answers, key=_entry)


def _entry(answer):
    return answer.entry


async def _ask(entry, address, what, args):
    answered = functools.partial(Answer, entry, address)
    try:
        conn = await rpc.connect(address, _refuse, TIMEOUT_S)
    except exceptions.PeerError as exc:
        return answered({}, str(exc))
    result = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.run)
        try:
            hello = messages.Hello(0, ROLE, ROLE, "", uuid.uuid4().hex)
            await conn.send(hello)
            reply = await conn.call(messages.Admin(0, what, args), TIMEOUT_S)
            result = answered(reply.body)
        except exceptions.PeerError as exc:
            result = answered({}, str(exc))
        nursery.cancel_scope.cancel()
    return result


async def _refuse(msg, conn):
    """Answer nothing: an operator serves no one."""


def is_down(answer, answers):
    """Tell whether the other entries say that a silent one is gone.

    Parameters
    ----------
    answer : Answer
    answers : sequence of Answer
        Of all entries.
    """
    others = [other for other in answers if other.body]
    return (
        not answer.body
        and bool(others)
        and not any(answer.entry in other.body["live"] for other in others)
    )


async def wait_in_force(addresses, version, timeout_s):
    """Wait until a version is in force at every live entry.

    Parameters
    ----------
    addresses : dict of str to str
    version : int
    timeout_s : float

    Returns
    -------
    Spread
    """
    deadline = trio.current_time() + timeout_s
    while True:
        answers = await ask_all(addresses, "status", {})
        behind = [
            answer
            for answer in answers
            if answer.body.get("version", 0) < version
        ]
        down = tuple(a.entry for a in behind if is_down(a, answers))
        missing = {
            answer.entry: _reason(answer)
            for answer in behind
            if answer.entry not in down
        }
        if not missing or trio.current_time() > deadline:
            return Spread(missing, down)
        await trio.sleep(POLL_S)


def _reason(answer):
    if answer.error:
        return answer.error
    return f"has version {answer.body['version']}"
