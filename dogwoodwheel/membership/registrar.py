"""This entry's row in the table: heartbeat, and what it holds."""

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

HEARTBEAT_S = 1.0
ENTRIES_A_HEARTBEAT_S = 100


class Registrar:
    """Keeps this entry's row, and takes part in passing rights on.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    tbl : dogwoodwheel.stores.table_store.TableStore
    rights : dogwoodwheel.membership.rights.Rights
        Told what is gained and lost.

    Attributes
    ----------
    public : callable
        Returns the addresses of the gateways that callers may use.

    Notes
    -----
    A tick costs one write, one scan and, now and then, a commit for
    each other entry that gains or loses.  Only the row is the truth; a
    conflict means that another entry changed it, so it is read again.
    """

    def __init__(self, fleet, tbl, rights):
        self.fleet = fleet
        self.tbl = tbl
        self.rights = rights
        self.public = lambda: fleet.settings.public
        self.row = None
        self.heartbeat = 0
        self.beats = fleet.beats
        self.leaving = False
        self.doubt = False
        self.all_claimed = False
        self._kicked = trio.Event()

    async def join(self):
        """Write this process into its entry's row.

        Raises
        ------
        SettingsError
            If the row belongs to a VM at another address.
        PlatformError

        Notes
        -----
        The caller holds the port of the entry's address, which proves
        that an older process of this entry is gone: what that one held
        is this one's, though its tokens may all be spent.
        """
        cfg = self.fleet.settings
        mine = view.Entry(
            name=self.fleet.me,
            zone=cfg.zone,
            incarnation=self.fleet.incarnation,
            peer=cfg.peer_address,
            public=cfg.public,
        )
        old = await self.tbl.read(rows.ENTRIES, self.fleet.me)
        if old.version:
            last, self.heartbeat = rows.entry_of(old)
            if last.peer != cfg.peer_address:
                raise exceptions.SettingsError(
                    f"entry {last.name} is registered at {last.peer}; "
                    f"give this VM another name"
                )
            self.fleet.incarnation = sightings.next_incarnation(
                last.incarnation, self.fleet.incarnation.partition(".")[2]
            )
            mine = assign.heir(mine, last, self.fleet.incarnation)
        await self._write(mine)
        self.rights.gained(mine.shares, full=False)
        logger.info(
            "membership: joined entry={} shares={} holdings={}",
            mine.name,
            len(mine.shares),
            len(mine.holdings),
        )

    async def run(self):
        """Join, then tick for ever; the platform may be away."""
        while self.row is None:
            try:
                await self.join()
            except exceptions.PlatformError as exc:
                logger.warning("membership: not joined yet; {}", exc)
                await trio.sleep(HEARTBEAT_S * random.random())
        while True:
            try:
                await self.tick()
            except exceptions.PlatformError as exc:
                logger.debug("membership: tick failed; {}", exc)
            with trio.move_on_after(self._interval()):
                await self._kicked.wait()
            self._kicked = trio.Event()

    def kick(self):
        """Make the next tick come at once."""
        self._kicked.set()

    async def tick(self):
        """Write the heartbeat, read all rows, and move what should move.

        Raises
        ------
        PlatformError
        """
        await self._heartbeat()
        await self._scan()
        if self.fleet.view.declaration is None:
            return
        await transfers.claim(self)
        if self.leaving:
            await transfers.hand(self, self._others_live())
            return
        await transfers.hand(self, self.receivers())
        await transfers.take(self)

    async def leave(self):
        """Hand over everything, then delete this entry's row.

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
            if not self._others_live():
                logger.info("membership: left as the last entry")
                return
            await trio.sleep(HEARTBEAT_S * random.random())
        await table_store.commit_with_retries(
            self.tbl,
            [table_store.Check(rows.ENTRIES, self.row.name, self.row.row)],
            [table_store.Write(rows.ENTRIES, self.row.name)],
        )
        logger.info("membership: left")

    def _interval(self):
        count = len(self.fleet.view.entries)
        base_s = max(HEARTBEAT_S, count / ENTRIES_A_HEARTBEAT_S)
        return base_s * (0.8 + 0.4 * random.random())

    async def _write(self, entry):
        """Write this entry's row; only then is it what we hold."""
        self.heartbeat += 1
        check = table_store.Check(rows.ENTRIES, entry.name, entry.row)
        write = rows.write_entry(entry, self.heartbeat)
        version = await table_store.commit_with_retries(
            self.tbl, [check], [write]
        )
        self.row = dataclasses.replace(entry, row=version)

    async def _heartbeat(self):
        if self.doubt:
            await self._reread()
            return
        entry = dataclasses.replace(
            self.row,
            leaving=self.leaving,
            public=self.public(),
            holdings={
                part: dataclasses.replace(held, prior=self._unproved(held))
                for part, held in self.row.holdings.items()
            },
        )
        try:
            await self._write(entry)
        except (exceptions.ConflictError, exceptions.OutcomeUnknownError):
            await self._reread()

    def _unproved(self, held):
        return tuple(
            (name, inc)
            for name, inc in held.prior
            if not self.fleet.gone(name, inc)
        )

    async def _reread(self):
        """Follow our own row after another entry changed it.

        Notes
        -----
        The row is written before it is followed: that ends every commit
        of ours that is still under way, as it checks the older version.
        """
        row = await self.tbl.read(rows.ENTRIES, self.fleet.me)
        if row.version == 0:
            await self._rejoin()
            return
        entry, self.heartbeat = rows.entry_of(row)
        if entry.incarnation != self.fleet.incarnation:
            raise exceptions.SettingsError(
                f"another process serves entry {entry.name}; "
                f"stop one of the two"
            )
        self.doubt = True
        before = self.row
        await self._write(entry)
        after, self.row = self.row, before
        self._follow(after)
        self.doubt = False

    async def _rejoin(self):
        logger.warning("membership: our row was deleted; joining anew")
        empty = dataclasses.replace(self.row, shares={}, holdings={}, row=0)
        self._follow(empty)
        await self._write(empty)

    def _follow(self, entry):
        """Take an entry's row as the truth of what we hold."""
        before = self.row
        self.row = entry
        lost = {
            part
            for part, epoch in before.shares.items()
            if entry.shares.get(part) != epoch
        }
        gained = {
            part: epoch
            for part, epoch in entry.shares.items()
            if before.shares.get(part) != epoch
        }
        if lost:
            self.rights.lost(lost)
        if gained:
            self.rights.gained(gained, full=False)
        # A hand-over that did not take effect had released these.
        self.rights.resume(entry.holdings)

    async def _scan(self):
        found = await self.tbl.scan(rows.ENTRIES)
        now = trio.current_time()
        seen = [rows.entry_of(row) for row in found]
        entries = self.fleet.sightings.saw(entry for entry, _ in seen)
        for entry, heartbeat in seen:
            self.beats.saw(entry.name, heartbeat, now)
        self.beats.forget(entries)
        mine = entries.get(self.fleet.me)
        if mine is not None and mine.row > self.row.row:
            self._follow(mine)
        # A read may be older than what we wrote ourselves.
        entries[self.fleet.me] = self.row
        live = frozenset(
            name
            for name, entry in entries.items()
            if not entry.leaving and not self.beats.overdue(name, now)
        )
        if live == self.fleet.view.live:
            # The same object, so that what is cached by it is found fast.
            live = self.fleet.view.live
        self._publish(entries, live)

    def _publish(self, entries, live):
        self.fleet.update(entries=entries, live=live)
        self.fleet.peers.keep(entries)
        self.rights.published()

    def written(self, entry, version):
        """Take what a commit of ours has made of our row."""
        self.row = dataclasses.replace(entry, row=version)

    def hold_least(self, least):
        """Hold the least until our row, read again, tells the outcome."""
        self.row = dataclasses.replace(least, row=self.row.row)
        self.doubt = True

    def publish_moves(self):
        """Show in the view what a commit of ours has moved."""
        entries = {
            name: assign.without(entry, self.row)
            for name, entry in self.fleet.view.entries.items()
        }
        entries[self.fleet.me] = self.row
        self._publish(entries, self.fleet.view.live)

    def receivers(self):
        """Return the live entries, if we are one of them."""
        live = self.fleet.view.live
        return live if self.fleet.me in live else frozenset()

    def _others_live(self):
        return self.fleet.view.live - {self.fleet.me}

    async def commit(self, checks, writes):
        """Commit a gain.

        Returns
        -------
        int
            Version of the rows written; 0 where it did not take effect.

        Notes
        -----
        With the outcome unknown nothing is gained yet; our row, read
        again, tells.
        """
        try:
            return await table_store.commit_with_retries(
                self.tbl, checks, writes
            )
        except exceptions.OutcomeUnknownError:
            self.doubt = True
            raise
        except exceptions.ConflictError:
            return 0
