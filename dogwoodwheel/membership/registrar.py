"""Maintains this entry's row: its heartbeat and its partitions."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import assign
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import sightings
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
    rights : dogwoodwheel.membership.rights.Rights
        Notified of partitions gained and lost.

    Attributes
    ----------
    public : callable
        Returns the addresses of the gateways that callers may use.
    row : Entry or None
        This entry as its row was last written or read; None before it
        joined.
    outcome_unknown : bool
        Whether a commit's outcome is unknown until the row is read.

    Notes
    -----
    A tick costs one write and one scan, and a commit for each other
    entry that partitions are transferred to or from.  The stored row is
    authoritative: a conflict means that another entry has changed the
    row, so this entry reads it again.
    """

    def __init__(self, fleet, table, rights):
        self.fleet = fleet
        self.table = table
        self.rights = rights
        self.public = lambda: fleet.settings.public
        self.row = None
        self.heartbeat = 0
        self.heartbeat_monitor = fleet.heartbeat_monitor
        self.leaving = False
        self.outcome_unknown = False
        self.all_claimed = False
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
        The caller has bound the port of the entry's address, which
        proves that an older process of this entry is gone.  This process
        inherits the partitions of the older one, but not its tokens,
        which may all be spent.
        """
        cfg = self.fleet.settings
        own_entry = view.Entry(
            name=self.fleet.me,
            zone=cfg.zone,
            incarnation=self.fleet.incarnation,
            peer=cfg.peer_address,
            public=cfg.public,
        )
        old = await self.table.read(rows.ENTRIES, self.fleet.me)
        if old.version:
            previous, self.heartbeat = rows.entry_of(old)
            if previous.peer != cfg.peer_address:
                raise exceptions.SettingsError(
                    f"entry {previous.name} is registered at "
                    f"{previous.peer}; "
                    f"give this VM another name"
                )
            self.fleet.incarnation = sightings.next_incarnation(
                previous.incarnation, self.fleet.incarnation.partition(".")[2]
            )
            own_entry = assign.inherit_entry(
                own_entry, previous, self.fleet.incarnation
            )
        await self._write(own_entry)
        self.rights.add_shares(own_entry.shares, full=False)
        logger.info(
            "membership: joined entry={} shares={} holdings={}",
            own_entry.name,
            len(own_entry.shares),
            len(own_entry.holdings),
        )

    async def run(self):
        """Join, then tick until cancelled; retries in outages."""
        while self.row is None:
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

    def kick(self):
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
        if self.row is None:
            return
        while True:
            await self.tick()
            if not self.row.shares and not self.row.holdings:
                break
            if not self._other_live_entries():
                logger.info("membership: left as the last entry")
                return
            await trio.sleep(HEARTBEAT_INTERVAL_S * random.random())
        await table_store.commit_with_retries(
            self.table,
            [table_store.Check(rows.ENTRIES, self.row.name, self.row.row)],
            [table_store.Write(rows.ENTRIES, self.row.name)],
        )
        logger.info("membership: left")

    def _tick_interval_s(self):
        count = len(self.fleet.view.entries)
        interval_s = max(HEARTBEAT_INTERVAL_S, count / FLEET_HEARTBEATS_PER_S)
        return interval_s * (0.8 + 0.4 * random.random())

    async def _write(self, entry):
        """Write this entry's row, and keep the new state if that succeeds."""
        self.heartbeat += 1
        check = table_store.Check(rows.ENTRIES, entry.name, entry.row)
        write = rows.write_entry(entry, self.heartbeat)
        version = await table_store.commit_with_retries(
            self.table, [check], [write]
        )
        self.row = dataclasses.replace(entry, row=version)

    async def _write_heartbeat(self):
        if self.outcome_unknown:
            await self._resync_row()
            return
        entry = dataclasses.replace(
            self.row,
            leaving=self.leaving,
            public=self.public(),
            holdings={
                partition: dataclasses.replace(
                    holding, prior=self._unproved_holders(holding)
                )
                for partition, holding in self.row.holdings.items()
            },
        )
        try:
            await self._write(entry)
        except (exceptions.ConflictError, exceptions.OutcomeUnknownError):
            await self._resync_row()

    def _unproved_holders(self, holding):
        return tuple(
            (name, incarnation)
            for name, incarnation in holding.prior
            if not self.fleet.gone(name, incarnation)
        )

    async def _resync_row(self):
        """Read this entry's row again, and apply what others changed.

        Notes
        -----
        The row is written before it is applied.  The write makes every
        earlier commit of this entry that is still pending fail, since
        such a commit checks an older version of the row.
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
        previous = self.row
        await self._write(entry)
        updated, self.row = self.row, previous
        self._apply_row(updated)
        self.outcome_unknown = False

    async def _rejoin(self):
        logger.warning("membership: own row was deleted; joining again")
        empty = dataclasses.replace(self.row, shares={}, holdings={}, row=0)
        self._apply_row(empty)
        await self._write(empty)

    def _apply_row(self, entry):
        """Store the state read from the row, and report changed shares."""
        previous = self.row
        self.row = entry
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
            self.rights.remove_shares(lost)
        if gained:
            self.rights.add_shares(gained, full=False)
        # A hand-over that did not take effect has released holdings.
        self.rights.resume(entry.holdings)

    async def _scan(self):
        stored_rows = await self.table.scan(rows.ENTRIES)
        now = trio.current_time()
        scanned = [rows.entry_of(row) for row in stored_rows]
        entries = self.fleet.known_entries.record_scan(
            entry for entry, _ in scanned
        )
        for entry, heartbeat in scanned:
            self.heartbeat_monitor.record(entry.name, heartbeat, now)
        self.heartbeat_monitor.retain(entries)
        own_entry = entries.get(self.fleet.me)
        if own_entry is not None and own_entry.row > self.row.row:
            self._apply_row(own_entry)
        # The scan may be older than the last write of this entry.
        entries[self.fleet.me] = self.row
        live = frozenset(
            name
            for name, entry in entries.items()
            if not entry.leaving
            and not self.heartbeat_monitor.overdue(name, now)
        )
        if live == self.fleet.view.live:
            # Lookups in caches keyed by the same object are faster.
            live = self.fleet.view.live
        self._publish(entries, live)

    def _publish(self, entries, live):
        self.fleet.update(entries=entries, live=live)
        self.fleet.peers.close_except(entries)
        self.rights.on_view_published()

    def apply_commit(self, entry, version):
        """Store the state of this entry that a commit has written."""
        self.row = dataclasses.replace(entry, row=version)

    def assume_minimum(self, minimum):
        """Keep only what ``minimum`` holds until the row is read again."""
        self.row = dataclasses.replace(minimum, row=self.row.row)
        self.outcome_unknown = True

    def publish_moves(self):
        """Update the view after a commit that transferred partitions."""
        entries = {
            name: assign.exclude_partitions(entry, self.row)
            for name, entry in self.fleet.view.entries.items()
        }
        entries[self.fleet.me] = self.row
        self._publish(entries, self.fleet.view.live)

    def receivers(self):
        """Return the live entries, or none if this entry is not live."""
        live = self.fleet.view.live
        return live if self.fleet.me in live else frozenset()

    def _other_live_entries(self):
        return self.fleet.view.live - {self.fleet.me}

    async def commit(self, checks, writes):
        """Commit a change by which this entry loses no partition.

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
