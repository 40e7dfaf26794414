"""This entry's row in the table: heartbeat, and what it holds."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import assign
from dogwoodwheel.membership import proof
from dogwoodwheel.membership import rows
from dogwoodwheel.membership import sightings
from dogwoodwheel.membership import view
from dogwoodwheel.platform import table
from dogwoodwheel.wire import messages

__all__ = ["Registrar"]

HEARTBEAT_S = 1.0
ENTRIES_A_HEARTBEAT_S = 100
OVERDUE_S = 4.0
OVERDUE_SCANS = 4
VM_LIST_S = 1.0


class Registrar:
    """Keeps this entry's row, and takes part in passing rights on.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    tbl : dogwoodwheel.platform.table.Table
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
        self.beats = proof.Heartbeats(OVERDUE_S, OVERDUE_SCANS)
        self.leaving = False
        self.doubt = False
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
            mine = _heir(mine, last, self.fleet.incarnation)
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

    async def watch_vms(self, vms):
        """Read the platform's list of VMs for ever."""
        presence = self.fleet.presence
        while True:
            try:
                listed = await vms.list()
                now = trio.current_time()
                presence.saw(
                    listed, self.fleet.me, self.fleet.view.entries, now
                )
            except exceptions.PlatformError as exc:
                logger.debug("membership: no list of VMs; {}", exc)
            decl = self.fleet.view.declaration
            if decl is not None:
                self.fleet.update(
                    leaving=presence.leaving(
                        trio.current_time(), decl.vm_list_lag_s
                    )
                )
            await trio.sleep(VM_LIST_S)

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
        await self._claim()
        if self.leaving:
            await self._hand(self.fleet.view.live - {self.fleet.me})
            return
        await self._hand(self._receivers())
        await self._take()

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
            if not self.fleet.view.live - {self.fleet.me}:
                logger.info("membership: left as the last entry")
                return
            await trio.sleep(HEARTBEAT_S * random.random())
        await table.settle(
            self.tbl,
            [table.Check(rows.ENTRIES, self.row.name, self.row.row)],
            [table.Write(rows.ENTRIES, self.row.name)],
        )
        logger.info("membership: left")

    def _interval(self):
        count = len(self.fleet.view.entries)
        base_s = max(HEARTBEAT_S, count / ENTRIES_A_HEARTBEAT_S)
        return base_s * (0.8 + 0.4 * random.random())

    async def _write(self, entry):
        """Write this entry's row; only then is it what we hold."""
        self.heartbeat += 1
        check = table.Check(rows.ENTRIES, entry.name, entry.row)
        write = rows.write_entry(entry, self.heartbeat)
        await table.settle(self.tbl, [check], [write])
        self.row = dataclasses.replace(entry, row=entry.row + 1)

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
        self._publish(entries, live)

    def _publish(self, entries, live):
        self.fleet.update(entries=entries, live=live)
        self.fleet.peers.keep(entries)
        self.rights.published()

    async def _claim(self):
        """Take our part of the partitions that nobody has held yet."""
        row = await self.tbl.read(rows.FREE_TABLE, rows.FREE_KEY)
        free = rows.free_of(row)
        if not free.count:
            await self._found(free)
            return
        self.fleet.update(partitions=free.count)
        live = self.fleet.view.live
        if self.leaving or self.fleet.me not in live:
            return
        move = assign.to_claim(free, live, self.fleet.me)
        if not move:
            return
        shares = dict(self.row.shares) | {p: 1 for p in move.shares}
        holdings = dict(self.row.holdings) | {
            p: view.Holding(1) for p in move.holdings
        }
        after = dataclasses.replace(self.row, shares=shares, holdings=holdings)
        rest = dataclasses.replace(
            free,
            shares=tuple(p for p in free.shares if p not in move.shares),
            holdings=tuple(p for p in free.holdings if p not in move.holdings),
        )
        checks = [
            table.Check(rows.ENTRIES, after.name, self.row.row),
            table.Check(rows.FREE_TABLE, rows.FREE_KEY, free.row),
        ]
        writes = [
            rows.write_entry(after, self.heartbeat),
            rows.write_free(rest),
        ]
        if await self._commit(checks, writes):
            self.row = dataclasses.replace(after, row=self.row.row + 1)
            # Nobody has spent of these yet, so their burst is whole.
            self.rights.gained({p: 1 for p in move.shares}, full=True)

    async def _found(self, free):
        """Set the number of partitions, at the fleet's first start."""
        count = self.fleet.view.declaration.partitions
        parts = tuple(range(count))
        first = rows.Free(count, parts, parts)
        check = table.Check(rows.FREE_TABLE, rows.FREE_KEY, free.row)
        await self._commit([check], [rows.write_free(first)])

    def _receivers(self):
        """Return the live entries, if we are one of them."""
        live = self.fleet.view.live
        return live if self.fleet.me in live else frozenset()

    async def _hand(self, live):
        """Hand over what other live entries should hold."""
        for name, move in assign.to_hand(self.row, live).items():
            receiver = self.fleet.view.entries[name]
            heartbeat = await self._their_heartbeat(receiver)
            if heartbeat is not None:
                await self._hand_to(receiver, heartbeat, move)

    async def _hand_to(self, receiver, heartbeat, move):
        mine, theirs = assign.moved(self.row, receiver, move, proved=True)
        checks = [
            table.Check(rows.ENTRIES, mine.name, self.row.row),
            table.Check(rows.ENTRIES, receiver.name, receiver.row),
        ]
        writes = [
            rows.write_entry(mine, self.heartbeat),
            rows.write_entry(theirs, heartbeat),
        ]
        # We stop acting on it before anyone else may begin.
        levels = self.rights.lost(move.shares)
        await self.rights.release(move.holdings)
        try:
            await table.settle(self.tbl, checks, writes)
        except exceptions.OutcomeUnknownError:
            self._doubt(mine)
            raise
        except exceptions.PlatformError:
            kept = {p: self.row.shares[p] for p in move.shares}
            self.rights.gained(kept, full=False)
            self.rights.hand_in(levels)
            self.rights.resume(move.holdings)
            return
        self.row = dataclasses.replace(mine, row=self.row.row + 1)
        self._local_view()
        shares = tuple((p, theirs.shares[p]) for p in move.shares)
        await self.fleet.tell(
            receiver.name, messages.HandOver(0, shares, levels)
        )

    def _doubt(self, least):
        """Hold the least until our row, read again, tells the outcome."""
        self.row = dataclasses.replace(least, row=self.row.row)
        self.doubt = True

    async def _their_heartbeat(self, entry):
        row = await self.tbl.read(rows.ENTRIES, entry.name)
        if row.version != entry.row:
            return None
        return rows.entry_of(row)[1]

    async def _take(self):
        """Take over from entries whose heartbeat is overdue."""
        now = trio.current_time()
        live = self._receivers()
        for name, entry in tuple(self.fleet.view.entries.items()):
            if name == self.fleet.me or not live:
                continue
            if not self.beats.overdue(name, now):
                continue
            gone = self.fleet.vm_gone(name)
            move = assign.to_take(entry, live, self.fleet.me, gone)
            if move:
                await self._take_from(entry, move, gone)
            elif gone and not entry.shares and not entry.holdings:
                await self._bury(entry)

    async def _take_from(self, entry, move, gone):
        theirs, mine = assign.moved(entry, self.row, move, proved=gone)
        heartbeat = await self._their_heartbeat(entry)
        if heartbeat is None:
            return
        done = await self._commit(
            [
                table.Check(rows.ENTRIES, mine.name, self.row.row),
                table.Check(rows.ENTRIES, entry.name, entry.row),
            ],
            [
                rows.write_entry(mine, self.heartbeat),
                rows.write_entry(theirs, heartbeat),
            ],
        )
        if not done:
            return
        self.row = dataclasses.replace(mine, row=self.row.row + 1)
        taken = {p: mine.shares[p] for p in move.shares}
        self.rights.gained(taken, full=False)
        logger.warning(
            "membership: took over from entry={} shares={} holdings={} "
            "gone={}",
            entry.name,
            len(move.shares),
            len(move.holdings),
            gone,
        )
        self._local_view()

    def _local_view(self):
        entries = dict(self.fleet.view.entries)
        entries[self.fleet.me] = self.row
        for name, entry in entries.items():
            if name != self.fleet.me:
                entries[name] = _without(entry, self.row)
        self._publish(entries, self.fleet.view.live)

    async def _bury(self, entry):
        check = table.Check(rows.ENTRIES, entry.name, entry.row)
        write = table.Write(rows.ENTRIES, entry.name)
        await self._commit([check], [write])

    async def _commit(self, checks, writes):
        """Commit a gain; False where it did not take effect.

        Notes
        -----
        With the outcome unknown nothing is gained yet; our row, read
        again, tells.
        """
        try:
            await table.settle(self.tbl, checks, writes)
            return True
        except exceptions.OutcomeUnknownError:
            self.doubt = True
            raise
        except exceptions.ConflictError:
            return False


def _heir(mine, last, incarnation):
    """Return our entry with what the process before us held."""
    holdings = {
        part: view.Holding(held.epoch + 1, _others(held.prior, last.name))
        for part, held in last.holdings.items()
    }
    return dataclasses.replace(
        mine,
        incarnation=incarnation,
        shares=last.shares,
        holdings=holdings,
        row=last.row,
    )


def _others(prior, name):
    """Return the earlier holders that are not of one entry."""
    return tuple((other, inc) for other, inc in prior if other != name)


def _without(entry, mine):
    """Return an entry without what our row says that we hold."""
    return dataclasses.replace(
        entry,
        shares={p: e for p, e in entry.shares.items() if p not in mine.shares},
        holdings={
            p: h for p, h in entry.holdings.items() if p not in mine.holdings
        },
    )
