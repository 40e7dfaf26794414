"""Transfers partitions by claims, hand-overs and take-overs.

Notes
-----
Each transfer is one commit that checks and writes both affected rows, so
a partition is always in exactly one row.  ``reg`` is a
`dogwoodwheel.membership.registrar.Registrar`.
"""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import assignment
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import view
from dogwoodwheel.stores import table_store
from dogwoodwheel.wire import messages

__all__ = ["claim_free", "hand_over", "take_over"]


async def claim_free(reg):
    """Claim the free partitions that are assigned to this entry."""
    if reg.all_partitions_claimed:
        return
    row = await reg.table.read(rows.FREE_TABLE, rows.FREE_KEY)
    free = rows.free_of(row)
    if not free.count:
        await _initialise_partitions(reg, free)
        return
    reg.fleet.update(partitions=free.count)
    # A claimed partition is in some entry's row and is never free again.
    reg.all_partitions_claimed = not free.shares and not free.holdings
    live = reg.fleet.view.live
    if reg.leaving or reg.fleet.me not in live:
        return
    move = assignment.plan_claims(free, live, reg.fleet.me)
    if not move:
        return
    shares = dict(reg.own_entry.shares) | {p: 1 for p in move.shares}
    holdings = dict(reg.own_entry.holdings) | {
        p: view.Holding(1) for p in move.holdings
    }
    updated_entry = dataclasses.replace(
        reg.own_entry, shares=shares, holdings=holdings
    )
    remaining = dataclasses.replace(
        free,
        shares=tuple(p for p in free.shares if p not in move.shares),
        holdings=tuple(p for p in free.holdings if p not in move.holdings),
    )
    checks = [
        table_store.ExpectedVersion(
            rows.ENTRIES, updated_entry.name, reg.own_entry.row_version
        ),
        table_store.ExpectedVersion(
            rows.FREE_TABLE, rows.FREE_KEY, free.row_version
        ),
    ]
    writes = [
        rows.write_entry(updated_entry, reg.heartbeat),
        rows.write_free(remaining),
    ]
    version = await reg.commit(checks, writes)
    if version:
        reg.apply_commit(updated_entry, version)
        # No entry has spent tokens of the newly claimed shares yet.
        reg.partition_changes.add_shares(
            {p: 1 for p in move.shares}, full=True
        )


async def _initialise_partitions(reg, free):
    """Store the number of partitions at the fleet's first start."""
    count = reg.fleet.view.declaration.partitions
    partitions = tuple(range(count))
    initial_free = rows.Free(count, partitions, partitions)
    check = table_store.ExpectedVersion(
        rows.FREE_TABLE, rows.FREE_KEY, free.row_version
    )
    await reg.commit([check], [rows.write_free(initial_free)])


async def hand_over(reg, live):
    """Hand over the partitions that other live entries should hold."""
    for name, move in assignment.plan_hand_over(reg.own_entry, live).items():
        receiver = reg.fleet.view.entries[name]
        heartbeat = await _read_heartbeat(reg, receiver)
        if heartbeat is not None:
            await _hand_over_to(reg, receiver, heartbeat, move)


async def _hand_over_to(reg, receiver, heartbeat, move):
    own_after, other_after = assignment.apply_move(
        reg.own_entry, receiver, move, source_stopped=True
    )
    checks = [
        table_store.ExpectedVersion(
            rows.ENTRIES, own_after.name, reg.own_entry.row_version
        ),
        table_store.ExpectedVersion(
            rows.ENTRIES, receiver.name, receiver.row_version
        ),
    ]
    writes = [
        rows.write_entry(own_after, reg.heartbeat),
        rows.write_entry(other_after, heartbeat),
    ]
    # This entry stops using the partitions before the receiver can start.
    bucket_levels = reg.partition_changes.remove_shares(move.shares)
    await reg.partition_changes.release(move.holdings)
    try:
        version = await table_store.commit_with_retries(
            reg.table, checks, writes
        )
    except exceptions.OutcomeUnknownError:
        reg.assume_minimum(own_after)
        raise
    except exceptions.PlatformError:
        kept = {p: reg.own_entry.shares[p] for p in move.shares}
        reg.partition_changes.add_shares(kept, full=False)
        reg.partition_changes.add_levels(bucket_levels, move.shares)
        reg.partition_changes.resume(move.holdings)
        return
    reg.apply_commit(own_after, version)
    reg.publish_moves()
    shares = tuple((p, other_after.shares[p]) for p in move.shares)
    await reg.fleet.send(
        receiver.name, messages.HandOver(0, shares, bucket_levels)
    )


async def _read_heartbeat(reg, entry):
    row = await reg.table.read(rows.ENTRIES, entry.name)
    if row.version != entry.row_version:
        return None
    return rows.entry_of(row)[1]


async def take_over(reg):
    """Take over partitions of entries whose heartbeat is overdue."""
    now = trio.current_time()
    live = reg.receivers()
    for name, entry in tuple(reg.fleet.view.entries.items()):
        if name == reg.fleet.me or not live:
            continue
        if not reg.heartbeat_monitor.overdue(name, now):
            continue
        gone = reg.fleet.vm_gone(name)
        move = assignment.plan_take_over(entry, live, reg.fleet.me, gone)
        if move:
            await _take_over_from(reg, entry, move, gone)
        elif gone and not entry.shares and not entry.holdings:
            await _delete_row(reg, entry)


async def _take_over_from(reg, entry, move, gone):
    other_after, own_after = assignment.apply_move(
        entry, reg.own_entry, move, source_stopped=gone
    )
    heartbeat = await _read_heartbeat(reg, entry)
    if heartbeat is None:
        return
    version = await reg.commit(
        [
            table_store.ExpectedVersion(
                rows.ENTRIES, own_after.name, reg.own_entry.row_version
            ),
            table_store.ExpectedVersion(
                rows.ENTRIES, entry.name, entry.row_version
            ),
        ],
        [
            rows.write_entry(own_after, reg.heartbeat),
            rows.write_entry(other_after, heartbeat),
        ],
    )
    if not version:
        return
    reg.apply_commit(own_after, version)
    new_shares = {p: own_after.shares[p] for p in move.shares}
    reg.partition_changes.add_shares(new_shares, full=False)
    logger.warning(
        "membership: took over from entry={} shares={} holdings={} gone={}",
        entry.name,
        len(move.shares),
        len(move.holdings),
        gone,
    )
    reg.publish_moves()


async def _delete_row(reg, entry):
    check = table_store.ExpectedVersion(
        rows.ENTRIES, entry.name, entry.row_version
    )
    write = table_store.Write(rows.ENTRIES, entry.name)
    await reg.commit([check], [write])
