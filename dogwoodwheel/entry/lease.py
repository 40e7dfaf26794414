"""Which entry gives the orders to engines: a lease in the store.

Notes
-----
The row's version at the take-over is the fencing token.  The holder
counts on the lease for `VALID_S` after it sent the last renewal that
succeeded; another entry takes it only once it has known the row's
version for as long.  A holder that the store turns away while it answers
others tells them that it gives up.  An entry that takes the lease back
from the one that took it over orders nothing for the platform's lease
time, so orders of two holders never alternate.
"""

import functools
import time
import uuid

from loguru import logger
import msgpack
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.platform import store as store_module

__all__ = ["Lease"]

TABLE = "dogwoodwheel"
KEY = "leader"
# Pause between two renewals, and how long one counts, seconds.
RENEW_S = 0.6
VALID_S = 1.8
# Time for one call; a third of what the lease counts is left for others.
CALL_S = 0.5
# How often a holder looks whether it may go on without the store, and for
# how long each look counts.
EXTEND_LOOK_S = 0.2
EXTEND_S = 0.8
# Pause after a call that failed.
RETRY_S = 0.1
# Pause between two looks by an entry that does not hold it.
LOOK_S = 0.3
# An entry of the next rank waits so much longer before it looks.
RANK_S = 0.25
MAX_RANK = 4
# Time for which an entry that has just started listens for peers, seconds;
# twice what a beat of a small fleet takes.
LISTEN_S = 0.5
# Part of the widest link of the fleet below which an entry lets others
# take the lease.
WIDE_PART = 0.5
# Added to the platform's least time between two holders' orders.
MARGIN_S = 0.3

boottime = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class Lease:
    """This entry's view of the lease.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    name : str
        Name of this entry.
    apart_s : float
        Least time between orders of two holders, seconds.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    clock : callable
        Seconds, counting while the VM is suspended.
    link_mbps : float
        Bandwidth of the VM's link, megabits a second.

    Attributes
    ----------
    token : int
        Fencing token of the last term held.
    leaving : bool
        Whether this process is about to end.
    is_first : bool
        Whether nobody held the lease before.
    """

    def __init__(
        self, store, name, apart_s, heartbeats, clock=boottime, link_mbps=0.0
    ):
        self.token = 0
        self.leaving = False
        self.is_first = False
        self._store = store
        self._name = name
        self._apart_s = apart_s
        self._heartbeats = heartbeats
        self._clock = clock
        self._link_mbps = link_mbps
        self._listened = False
        self._version = None
        self._until = 0.0
        self._renewed_at = 0.0
        self._orders_from = 0.0
        self._seen = (-1, 0.0)
        self._term = ""
        self._before = ""
        self._given_up = 0

    @property
    def is_held(self):
        """Whether this entry holds the lease now."""
        return self._version is not None and self._clock() < self._until

    @property
    def may_order(self):
        """Whether this entry may give an order now."""
        return (
            self.is_held
            and not self.leaving
            and self._clock() >= self._orders_from
        )

    def claim(self):
        """Return token and version for this entry's beat, or None.

        Notes
        -----
        The token 0 tells that the lease of that version was given up.
        """
        if self.is_held:
            return (self.token, self._version)
        return (0, self._given_up) if self._given_up else None

    async def run(self, ready):
        """Hold the lease, or take it when nobody does, for ever.

        Parameters
        ----------
        ready : callable
            ``ready()`` tells whether this entry may take it.
        """
        while True:
            began = trio.current_time()
            try:
                if self._version is not None:
                    await self._renew()
                elif ready() and not self.leaving:
                    await self._look()
                else:
                    await trio.sleep(LOOK_S)
            except exceptions.ConflictError as exc:
                self._lose(str(exc))
            except exceptions.PlatformError as exc:
                logger.debug("lease: no answer", why=str(exc))
                if self._version is not None:
                    if not self.is_held:
                        self._lose(f"no renewal in time, {exc}")
                    elif self._others_are_answered(began):
                        self._lose(f"the store answers others, {exc}")
                await trio.sleep(RETRY_S)

    async def extend(self):
        """Go on while nobody can have taken the lease, for ever.

        Notes
        -----
        Load pattern: the store is away for all entries while demand
        moves.  A peer takes the lease only after the store answered it
        when the lease had run out, and its beats tell when that was.
        After a suspension the lease has run out on this clock, so it is
        not extended.
        """
        while True:
            await trio.sleep(EXTEND_LOOK_S)
            now = self._clock()
            if not self.is_held or self._until - now > EXTEND_S:
                continue
            if self._nobody_can_take(now):
                self._until = now + EXTEND_S

    def _nobody_can_take(self, now):
        live = self._heartbeats.live_peers()
        if not live or len(live) < len(self._heartbeats.peers):
            return False
        if self._heartbeats.is_large_fleet:
            # Beats come too rarely to tell when the store answered.
            return False
        lapsed_at = self._renewed_at + VALID_S
        return all(
            now - peer.heartbeat.store_age_s < lapsed_at
            for peer in live.values()
        )

    async def release(self):
        """Give the lease up before the process ends."""
        self.leaving = True
        if self.is_held:
            row = self._row(released=True)
            try:
                await self._store.commit([self._expected()], [row])
                logger.info("lease: released", token=self.token)
            except exceptions.PlatformError as exc:
                logger.warning("lease: not released", why=str(exc))
        self._version = None

    def fenced(self):
        """Give up a lease whose token an engine refused."""
        self._lose("an engine has seen a newer token")

    async def _renew(self):
        began = self._clock()
        row = await self._commit(self._expected())
        if row.version == self._version:
            # The write was not taken; the next one follows at once.
            return
        self._version = row.version
        self._renewed_at = began
        self._until = began + VALID_S
        await trio.sleep(RENEW_S)

    async def _commit(self, expected):
        """Write the lease; return its row as it is then.

        Raises
        ------
        ConflictError
            If the row is another entry's, or of another term.
        PlatformError
            If nothing was taken, or the outcome cannot be learnt.
        """
        try:
            version = await self._store.commit(
                [expected], [self._row()], timeout_s=CALL_S
            )
            return store_module.Row(TABLE, KEY, version)
        except (
            exceptions.ConflictError,
            exceptions.OutcomeUnknownError,
        ) as exc:
            # It may have been taken, or an earlier one late; the row tells.
            row = await self._store.read(TABLE, KEY, CALL_S)
            if self._is_ours(row) or row.version == expected.version:
                return row
            raise exceptions.ConflictError(
                "another entry holds the lease"
            ) from exc

    async def _look(self):
        if not self._listened:
            # Peers that start with this one are heard first.
            self._listened = True
            await trio.sleep(LISTEN_S)
        self._hear()
        if self._heard_leader():
            await trio.sleep(LOOK_S)
            return
        await trio.sleep(RANK_S * self._rank())
        if self._heard_leader():
            return
        row = await self._store.read(TABLE, KEY)
        now = self._clock()
        if row.version != self._seen[0]:
            self._seen = (row.version, now)
        value = _value(row)
        own = value.get("holder") == self._name
        free = (
            not row.version
            or own
            or value.get("released")
            or self._is_given_up(row, value)
        )
        if free or now - self._seen[1] >= VALID_S:
            await self._take(row, back=value.get("before") == self._name)
        else:
            await trio.sleep(LOOK_S)

    async def _take(self, row, back):
        began = self._clock()
        self._term = uuid.uuid4().hex
        self._before = _value(row).get("holder", "")
        taken = await self._commit(row)
        if taken.version == row.version:
            return
        self._version = self.token = taken.version
        self.is_first = not row.version
        self._renewed_at = began
        self._until = began + VALID_S
        self._given_up = 0
        wait_s = self._apart_s + MARGIN_S if back else 0.0
        self._orders_from = self._clock() + wait_s
        logger.info(
            "lease: taken",
            token=self.token,
            before=self._before,
            orders_in_s=round(wait_s, 1),
        )

    def _hear(self):
        for peer in self._heartbeats.live_peers().values():
            claim = peer.heartbeat.lease
            if claim and claim[0] and claim[1] > self._seen[0]:
                self._seen = (claim[1], self._clock())

    def _heard_leader(self):
        claims = [
            p.heartbeat.lease for p in self._heartbeats.live_peers().values()
        ]
        return any(claim and claim[0] for claim in claims)

    def _others_are_answered(self, since):
        """Tell whether the store has answered a peer after a time."""
        return any(
            peer.received_at - peer.heartbeat.store_age_s > since
            for peer in self._heartbeats.live_peers().values()
        )

    def _is_given_up(self, row, value):
        """Tell whether the holder said that it gave up this very row."""
        peer = self._heartbeats.live_peers().get(value.get("holder"))
        return peer is not None and peer.heartbeat.lease == (0, row.version)

    def _rank(self):
        """Return this entry's place among those that may take the lease.

        Notes
        -----
        Load pattern: a large fleet on VMs of unlike size.  The leader
        tells all others what engines hold, which fills a narrow link.
        """
        links = {
            name: peer.heartbeat.link_mbps
            for name, peer in self._heartbeats.live_peers().items()
        }
        links[self._name] = self._link_mbps
        wide = max(links.values()) * WIDE_PART
        names = sorted(
            links, key=lambda n: (links[n] < wide, view.rank(n, KEY))
        )
        return min(MAX_RANK, names.index(self._name))

    def _lose(self, why):
        if self._version is not None:
            self._given_up = self._version
            self._heartbeats.send_soon()
            logger.warning("lease: lost", token=self.token, why=why)
        self._version = None
        self._until = 0.0

    def _is_ours(self, row):
        value = _value(row)
        return (
            value.get("holder") == self._name
            and value.get("term") == self._term
        )

    def _expected(self):
        return store_module.Row(TABLE, KEY, self._version)

    def _row(self, released=False):
        value = {
            "holder": self._name,
            "term": self._term,
            "before": self._before,
            "released": released,
        }
        return store_module.Row(TABLE, KEY, 0, msgpack.packb(value))


def _value(row):
    return msgpack.unpackb(row.value) if row.value else {}
