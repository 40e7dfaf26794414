"""Passes partitions on: claims, hand-overs and take-overs.

Notes
-----
Each is one commit that checks and writes both rows that it touches, so
a partition always stands in one row.  ``reg`` is a
`dogwoodwheel.membership.registrar.Registrar`.
"""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import assign
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import view
from dogwoodwheel.stores import table_store
from dogwoodwheel.wire import messages

__all__ = ["claim", "hand", "take"]


async def claim(reg):
    """Take our part of the partitions that nobody has held yet."""
    if reg.all_claimed:
        return
    row = await reg.tbl.read(rows.FREE_TABLE, rows.FREE_KEY)
    free = rows.free_of(row)
    if not free.count:
        await _found(reg, free)
        return
    reg.fleet.update(partitions=free.count)
    # Whatever was claimed once stands in an entry's row ever after.
    reg.all_claimed = not free.shares and not free.holdings
    live = reg.fleet.view.live
    if reg.leaving or reg.fleet.me not in live:
        return
    move = assign.to_claim(free, live, reg.fleet.me)
    if not move:
        return
    shares = dict(reg.row.shares) | {p: 1 for p in move.shares}
    holdings = dict(reg.row.holdings) | {
        p: view.Holding(1) for p in move.holdings
    }
    after = dataclasses.replace(reg.row, shares=shares, holdings=holdings)
    rest = dataclasses.replace(
        free,
        shares=tuple(p for p in free.shares if p not in move.shares),
        holdings=tuple(p for p in free.holdings if p not in move.holdings),
    )
    checks = [
        table_store.Check(rows.ENTRIES, after.name, reg.row.row),
        table_store.Check(rows.FREE_TABLE, rows.FREE_KEY, free.row),
    ]
    writes = [
        rows.write_entry(after, reg.heartbeat),
        rows.write_free(rest),
    ]
    version = await reg.commit(checks, writes)
    if version:
        reg.written(after, version)
        # Nobody has spent of these yet, so their burst is whole.
        reg.rights.gained({p: 1 for p in move.shares}, full=True)


async def _found(reg, free):
    """Set the number of partitions, at the fleet's first start."""
    count = reg.fleet.view.declaration.partitions
    parts = tuple(range(count))
    first = rows.Free(count, parts, parts)
    check = table_store.Check(rows.FREE_TABLE, rows.FREE_KEY, free.row)
    await reg.commit([check], [rows.write_free(first)])


async def hand(reg, live):
    """Hand over what other live entries should hold."""
    for name, move in assign.to_hand(reg.row, live).items():
        receiver = reg.fleet.view.entries[name]
        heartbeat = await _their_heartbeat(reg, receiver)
        if heartbeat is not None:
            await _hand_to(reg, receiver, heartbeat, move)


async def _hand_to(reg, receiver, heartbeat, move):
    mine, theirs = assign.moved(reg.row, receiver, move, proved=True)
    checks = [
        table_store.Check(rows.ENTRIES, mine.name, reg.row.row),
        table_store.Check(rows.ENTRIES, receiver.name, receiver.row),
    ]
    writes = [
        rows.write_entry(mine, reg.heartbeat),
        rows.write_entry(theirs, heartbeat),
    ]
    # We stop acting on it before anyone else may begin.
    levels = reg.rights.lost(move.shares)
    await reg.rights.release(move.holdings)
    try:
        version = await table_store.commit_with_retries(
            reg.tbl, checks, writes
        )
    except exceptions.OutcomeUnknownError:
        reg.hold_least(mine)
        raise
    except exceptions.PlatformError:
        kept = {p: reg.row.shares[p] for p in move.shares}
        reg.rights.gained(kept, full=False)
        reg.rights.hand_in(levels, move.shares)
        reg.rights.resume(move.holdings)
        return
    reg.written(mine, version)
    reg.publish_moves()
    shares = tuple((p, theirs.shares[p]) for p in move.shares)
    await reg.fleet.tell(receiver.name, messages.HandOver(0, shares, levels))


async def _their_heartbeat(reg, entry):
    row = await reg.tbl.read(rows.ENTRIES, entry.name)
    if row.version != entry.row:
        return None
    return rows.entry_of(row)[1]


async def take(reg):
    """Take over from entries whose heartbeat is overdue."""
    now = trio.current_time()
    live = reg.receivers()
    for name, entry in tuple(reg.fleet.view.entries.items()):
        if name == reg.fleet.me or not live:
            continue
        if not reg.beats.overdue(name, now):
            continue
        gone = reg.fleet.vm_gone(name)
        move = assign.to_take(entry, live, reg.fleet.me, gone)
        if move:
            await _take_from(reg, entry, move, gone)
        elif gone and not entry.shares and not entry.holdings:
            await _bury(reg, entry)


async def _take_from(reg, entry, move, gone):
    theirs, mine = assign.moved(entry, reg.row, move, proved=gone)
    heartbeat = await _their_heartbeat(reg, entry)
    if heartbeat is None:
        return
    version = await reg.commit(
        [
            table_store.Check(rows.ENTRIES, mine.name, reg.row.row),
            table_store.Check(rows.ENTRIES, entry.name, entry.row),
        ],
        [
            rows.write_entry(mine, reg.heartbeat),
            rows.write_entry(theirs, heartbeat),
        ],
    )
    if not version:
        return
    reg.written(mine, version)
    taken = {p: mine.shares[p] for p in move.shares}
    reg.rights.gained(taken, full=False)
    logger.warning(
        "membership: took over from entry={} shares={} holdings={} " "gone={}",
        entry.name,
        len(move.shares),
        len(move.holdings),
        gone,
    )
    reg.publish_moves()


async def _bury(reg, entry):
    check = table_store.Check(rows.ENTRIES, entry.name, entry.row)
    write = table_store.Write(rows.ENTRIES, entry.name)
    await reg.commit([check], [write])
