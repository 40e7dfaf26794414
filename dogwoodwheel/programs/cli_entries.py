"""Queries to the coordinators of all entries."""

import dataclasses
import functools
import uuid

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = [
    "EntryReply",
    "RolloutStatus",
    "coordinator_addresses",
    "is_down",
    "query_all",
    "wait_in_force",
]

ENTRIES_TABLE = "entries"
OPERATOR_ROLE = "operator"
CALL_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True)
class EntryReply:
    """The reply of an entry's coordinator, or why there is none.

    Parameters
    ----------
    entry : str
    address : str
        ``IP:PORT`` of the coordinator.
    body : dict
        Empty if the coordinator did not reply.
    error : str
        Why there is no reply; empty if there is one.
    """

    entry: str
    address: str
    body: dict
    error: str = ""


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """The entries at which a version is not in force.

    Parameters
    ----------
    pending_reasons : dict of str to str
        By name of each live entry that does not use the version: the
        reason, such as the version that the entry uses.
    down_entries : tuple of str
        Entries that do not reply and that all others consider gone.
    """

    pending_reasons: dict
    down_entries: tuple


async def coordinator_addresses(cfg, table_store):
    """Return the coordinators' addresses by entry; raises PlatformError.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.OperatorSettings
    table_store : dogwoodwheel.stores.table_store.TableStore
    """
    rows = await table_store.scan(ENTRIES_TABLE)
    return {row.key: cfg.dial_address(row.value["peer"]) for row in rows}


async def query_all(addresses, question, args):
    """Send a query to all entries concurrently.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:PORT`` by entry.
    question : str
        ``status`` or ``explain``.
    args : dict of str to str

    Returns
    -------
    list of EntryReply
        Sorted by the entry's name.
    """
    replies = []

    async def query_one(entry, address):
        replies.append(await _query(entry, address, question, args))

    async with trio.open_nursery() as nursery:
        for entry, address in addresses.items():
            nursery.start_soon(query_one, entry, address)
    return sorted(replies, key=_entry_name)


def _entry_name(reply):
    return reply.entry


async def _query(entry, address, question, args):
    make_reply = functools.partial(EntryReply, entry, address)
    try:
        conn = await rpc.connect(address, _ignore_message, CALL_TIMEOUT_S)
    except exceptions.PeerError as exc:
        return make_reply({}, str(exc))
    entry_reply = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.run)
        try:
            hello = messages.Hello(
                0, OPERATOR_ROLE, OPERATOR_ROLE, "", uuid.uuid4().hex
            )
            await conn.send(hello)
            admin_reply = await conn.call(
                messages.Admin(0, question, args), CALL_TIMEOUT_S
            )
            entry_reply = make_reply(admin_reply.body)
        except exceptions.PeerError as exc:
            entry_reply = make_reply({}, str(exc))
        nursery.cancel_scope.cancel()
    return entry_reply


async def _ignore_message(msg, conn):
    """Ignore a message, since the command line handles none."""


def is_down(reply, replies):
    """Return whether an entry sent no reply and no other reply lists it.

    Parameters
    ----------
    reply : EntryReply
        Result of the query to the entry.
    replies : sequence of EntryReply
        Results of the queries to all entries.
    """
    other_replies = [other for other in replies if other.body]
    return (
        not reply.body
        and bool(other_replies)
        and not any(
            reply.entry in other.body["live"] for other in other_replies
        )
    )


async def wait_in_force(addresses, version, timeout_s):
    """Wait until a version is in force at every live entry.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:PORT`` by entry.
    version : int
    timeout_s : float
        Maximum wait, seconds.

    Returns
    -------
    RolloutStatus
    """
    deadline = trio.current_time() + timeout_s
    while True:
        replies = await query_all(addresses, "status", {})
        outdated_replies = [
            reply
            for reply in replies
            if reply.body.get("version", 0) < version
        ]
        down_entries = tuple(
            reply.entry
            for reply in outdated_replies
            if is_down(reply, replies)
        )
        pending_reasons = {
            reply.entry: _pending_reason(reply)
            for reply in outdated_replies
            if reply.entry not in down_entries
        }
        if not pending_reasons or trio.current_time() > deadline:
            return RolloutStatus(pending_reasons, down_entries)
        await trio.sleep(POLL_INTERVAL_S)


def _pending_reason(reply):
    if reply.error:
        return reply.error
    return f"has version {reply.body['version']}"
