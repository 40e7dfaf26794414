"""Maintains this entry's row: its heartbeat and its partitions."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import assignment
from dogwoodwheel.membership import known_entries
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import transfers
from dogwoodwheel.membership import view
from dogwoodwheel.stores import table_store

__all__ = ["Registrar"]

HEARTBEAT_INTERVAL_S = 1.0
FLEET_HEARTBEATS_PER_S = 100


class Registrar:
    """Maintains this entry's row and transfers partitions.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    partition_changes : PartitionChanges
        Notified of partitions gained and lost.

    Attributes
    ----------
    public : callable
        ``public()`` returns the addresses of the entry's gateways that
        callers may use.
    own_entry : Entry or None
        Last known state of this entry's row; None before it joined.

    Notes
    -----
    Each tick makes one write, one scan, and one commit for each entry
    with which partitions are exchanged.  The stored row is authoritative:
    after a conflict this entry reads the row again.
    """

    def __init__(self, fleet, table, partition_changes):
        self.fleet = fleet
        self.table = table
        self.partition_changes = partition_changes
        self.public = lambda: fleet.settings.public_addresses
        self.own_entry = None
        self.heartbeat = 0
        self.heartbeat_monitor = fleet.heartbeat_monitor
        self.leaving = False
        self.outcome_unknown = False
        self.all_partitions_claimed = False
        self._tick_requested = trio.Event()

    async def join(self):
        """Register this process in its entry's row.

        Raises
        ------
        SettingsError
            If the row belongs to a VM at another address.
        PlatformError

        Notes
        -----
        The caller has bound the entry's port, which proves that an older
        process of this entry is gone.  This process inherits the older
        process's partitions, but no tokens, as all may be spent.
        """
        cfg = self.fleet.settings
        mine = view.Entry(
            name=self.fleet.me,
            zone=cfg.zone,
            incarnation=self.fleet.incarnation,
            peer=cfg.peer_address,
            public=cfg.public_addresses,
        )
        stored_row = await self.table.read(rows.ENTRIES, self.fleet.me)
        if stored_row.version:
            previous, self.heartbeat = rows.entry_of(stored_row)
            if previous.peer != cfg.peer_address:
                raise exceptions.SettingsError(
                    f"entry {previous.name} is registered at {previous.peer}; "
                    f"give this VM another name"
                )
            self.fleet.incarnation = known_entries.next_incarnation(
                previous.incarnation, self.fleet.incarnation.partition(".")[2]
            )
            mine = assignment.inherit_entry(
                mine, previous, self.fleet.incarnation
            )
        await self._write(mine)
        self.partition_changes.add_shares(mine.shares, full=False)
        logger.info(
            "membership: joined entry={} shares={} holdings={}",
            mine.name,
            len(mine.shares),
            len(mine.holdings),
        )

    async def run(self):
        """Join, then run ticks until cancelled; retry in outages."""
        while self.own_entry is None:
            try:
                await self.join()
            except exceptions.PlatformError as exc:
                logger.warning("membership: not joined yet; {}", exc)
                await trio.sleep(HEARTBEAT_INTERVAL_S * random.random())
        while True:
            try:
                await self.tick()
            except exceptions.PlatformError as exc:
                logger.debug("membership: tick failed; {}", exc)
            with trio.move_on_after(self._tick_interval_s()):
                await self._tick_requested.wait()
            self._tick_requested = trio.Event()

    def request_tick(self):
        """Start the next tick immediately."""
        self._tick_requested.set()

    async def tick(self):
        """Write the heartbeat, read all rows and transfer partitions.

        Raises
        ------
        PlatformError
        """
        await self._write_heartbeat()
        await self._scan()
        if self.fleet.view.declaration is None:
            return
        await transfers.claim_free(self)
        if self.leaving:
            await transfers.hand_over(self, self._other_live_entries())
            return
        await transfers.hand_over(self, self.receivers())
        await transfers.take_over(self)

    async def leave(self):
        """Hand over all partitions, then delete this entry's row.

        Raises
        ------
        PlatformError
        """
        self.leaving = True
        if self.own_entry is None:
            return
        while True:
            await self.tick()
            if not self.own_entry.shares and not self.own_entry.holdings:
                break
            if not self._other_live_entries():
                logger.info("membership: left as the last entry")
                return
            await trio.sleep(HEARTBEAT_INTERVAL_S * random.random())
        await table_store.commit_with_retries(
            self.table,
            [
                table_store.ExpectedVersion(
                    rows.ENTRIES,
                    self.own_entry.name,
                    self.own_entry.row_version,
                )
            ],
            [table_store.Write(rows.ENTRIES, self.own_entry.name)],
        )
        logger.info("membership: left")

    def _tick_interval_s(self):
        count = len(self.fleet.view.entries)
        interval_s = max(HEARTBEAT_INTERVAL_S, count / FLEET_HEARTBEATS_PER_S)
        return interval_s * (0.8 + 0.4 * random.random())

    async def _write(self, entry):
        """Write this entry's row; on success, set ``own_entry`` to it."""
        self.heartbeat += 1
        check = table_store.ExpectedVersion(
            rows.ENTRIES, entry.name, entry.row_version
        )
        write = rows.write_entry(entry, self.heartbeat)
        version = await table_store.commit_with_retries(
            self.table, [check], [write]
        )
        self.own_entry = dataclasses.replace(entry, row_version=version)

    async def _write_heartbeat(self):
        if self.outcome_unknown:
            await self._resync_row()
            return
        entry = dataclasses.replace(
            self.own_entry,
            leaving=self.leaving,
            public=self.public(),
            holdings={
                partition: dataclasses.replace(
                    holding, earlier_holders=self._unproved_holders(holding)
                )
                for partition, holding in self.own_entry.holdings.items()
            },
        )
        try:
            await self._write(entry)
        except (exceptions.ConflictError, exceptions.OutcomeUnknownError):
            await self._resync_row()

    def _unproved_holders(self, holding):
        return tuple(
            (name, incarnation)
            for name, incarnation in holding.earlier_holders
            if not self.fleet.gone(name, incarnation)
        )

    async def _resync_row(self):
        """Read this entry's row again, and apply other entries' changes.

        Notes
        -----
        The row is written before its content is applied.  The write makes
        every earlier commit of this entry that is still pending fail,
        since each checks an older version of the row.
        """
        row = await self.table.read(rows.ENTRIES, self.fleet.me)
        if row.version == 0:
            await self._rejoin()
            return
        entry, self.heartbeat = rows.entry_of(row)
        if entry.incarnation != self.fleet.incarnation:
            raise exceptions.SettingsError(
                f"another process serves entry {entry.name}; "
                f"stop one of the two"
            )
        self.outcome_unknown = True
        previous = self.own_entry
        await self._write(entry)
        updated, self.own_entry = self.own_entry, previous
        self._apply_row(updated)
        self.outcome_unknown = False

    async def _rejoin(self):
        logger.warning("membership: own row was deleted; joining again")
        empty = dataclasses.replace(
            self.own_entry, shares={}, holdings={}, row_version=0
        )
        self._apply_row(empty)
        await self._write(empty)

    def _apply_row(self, entry):
        """Store the state read from the row, and report changed shares."""
        previous = self.own_entry
        self.own_entry = entry
        lost = {
            partition
            for partition, epoch in previous.shares.items()
            if entry.shares.get(partition) != epoch
        }
        gained = {
            partition: epoch
            for partition, epoch in entry.shares.items()
            if previous.shares.get(partition) != epoch
        }
        if lost:
            self.partition_changes.remove_shares(lost)
        if gained:
            self.partition_changes.add_shares(gained, full=False)
        # A hand-over may have released endpoints and then not taken effect.
        self.partition_changes.resume(entry.holdings)

    async def _scan(self):
        stored_rows = await self.table.scan(rows.ENTRIES)
        now = trio.current_time()
        scanned = [rows.entry_of(row) for row in stored_rows]
        entries = self.fleet.known_entries.record_scan(e for e, _ in scanned)
        for entry, heartbeat in scanned:
            self.heartbeat_monitor.record(entry.name, heartbeat, now)
        self.heartbeat_monitor.retain(entries)
        mine = entries.get(self.fleet.me)
        if mine is not None and mine.row_version > self.own_entry.row_version:
            self._apply_row(mine)
        # The scan may be older than the last write of this entry.
        entries[self.fleet.me] = self.own_entry
        live = frozenset(
            name
            for name, entry in entries.items()
            if not entry.leaving
            and not self.heartbeat_monitor.overdue(name, now)
        )
        if live == self.fleet.view.live:
            # Cache look-ups by this set are faster with the same object.
            live = self.fleet.view.live
        self._publish(entries, live)

    def _publish(self, entries, live):
        self.fleet.update(entries=entries, live=live)
        self.fleet.peers.close_except(entries)
        self.partition_changes.on_view_published()

    def apply_commit(self, entry, version):
        """Store the state of this entry that a commit has written."""
        self.own_entry = dataclasses.replace(entry, row_version=version)

    def assume_minimum(self, minimum):
        """Keep only the partitions of ``minimum`` until the row is read."""
        self.own_entry = dataclasses.replace(
            minimum, row_version=self.own_entry.row_version
        )
        self.outcome_unknown = True

    def publish_moves(self):
        """Update the view after a commit that transferred partitions."""
        entries = {
            name: assignment.exclude_partitions(entry, self.own_entry)
            for name, entry in self.fleet.view.entries.items()
        }
        entries[self.fleet.me] = self.own_entry
        self._publish(entries, self.fleet.view.live)

    def receivers(self):
        """Return the live entries, or none if this entry is not live."""
        live = self.fleet.view.live
        return live if self.fleet.me in live else frozenset()

    def _other_live_entries(self):
        return self.fleet.view.live - {self.fleet.me}

    async def commit(self, checks, writes):
        """Commit a change in which this entry loses no partition.

        Returns
        -------
        int
            Version of the rows written; 0 if the commit was rejected.

        Notes
        -----
        If the outcome is unknown, this entry gains nothing until it has
        read its row again.
        """
        try:
            return await table_store.commit_with_retries(
                self.table, checks, writes
            )
        except exceptions.OutcomeUnknownError:
            self.outcome_unknown = True
            raise
        except exceptions.ConflictError:
            return 0
