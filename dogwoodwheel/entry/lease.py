"""Leader election: the leader holds a lease, a row in the platform's store.

Notes
-----
The fencing token is the version that the lease's row has after a take-over.
Versions contain the era of the store, so that tokens rise even if the store is
restored from a copy and gives out its numbers again.  A lease is valid for
`VALIDITY_S` after its holder sent the last successful renewal.  Another entry
takes the lease over only if the row's version has not changed for
`VALIDITY_S`.  If the store answers other entries but not the holder, the
holder gives the lease up and says so in its heartbeats.  An entry that takes
the lease back from its successor sends no orders for the platform's minimum
gap, so that orders of two holders never alternate.

The row of a restored store says nothing about who holds the lease: the holder
may have changed since the copy was made.  Until the row has been written in
the store's new era, the lease is free only after the row has not changed for
`VALIDITY_S`.  A holder whose lease is still valid writes the row again.
"""

import functools
import math
import time
import uuid

from loguru import logger
import msgpack
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.platform import versions

__all__ = ["Lease"]

TABLE = "dogwoodwheel"
ROW_KEY = "leader"
# Interval between renewals, and time for which a renewal is valid, seconds.
RENEWAL_INTERVAL_S = 0.6
VALIDITY_S = 1.8
# Timeout of one call to the store, seconds.  After a renewal that times out,
# VALIDITY_S - RENEWAL_INTERVAL_S - CALL_TIMEOUT_S = 0.7 s are left for calls.
CALL_TIMEOUT_S = 0.5
# Interval at which the holder checks whether the lease may be extended without
# the store, and time for which a successful check extends the lease, seconds.
EXTENSION_INTERVAL_S = 0.2
EXTENSION_S = 0.8
# Pause after a failed call to the store, seconds.
STORE_RETRY_PAUSE_S = 0.1
# Interval at which other entries check whether the lease is free, seconds.
FREE_CHECK_INTERVAL_S = 0.3
# Before the check, a candidate waits for this time, seconds, multiplied by its
# rank (at most MAX_DELAY_RANK), so that lower ranks acquire the lease first.
DELAY_PER_RANK_S = 0.25
MAX_DELAY_RANK = 4
# Time for which an entry waits for heartbeats of its peers before the first
# check, and if no peer was heard for this time, seconds: twice the heartbeat
# interval of a small fleet.
PEER_DISCOVERY_S = 0.5
# An entry whose bandwidth is below this fraction of the fleet's highest
# bandwidth lets other entries take the lease first.
MIN_BANDWIDTH_FRACTION = 0.5
# Added to the platform's minimum gap between orders of two holders, seconds.
ORDER_GAP_MARGIN_S = 0.3

boottime = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class Lease:
    """Acquires, renews and releases the lease for this entry.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    name : str
        Name of this entry.
    gap_s : float
        Platform's minimum gap between orders of two holders, seconds.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    clock : callable
        Returns seconds; must also advance while the VM is suspended.
    link_mbps : float
        Bandwidth of the VM's network link, megabits a second.
    first_start : bool
        Whether the whole fleet starts for the first time, so that no row
        means that nobody has held the lease.

    Attributes
    ----------
    fencing_token : int
        Fencing token of the last term in which this entry was the holder.
    leaving : bool
        Whether this process is about to end.
    is_first : bool
        Whether this entry is the first holder of the lease.
    """

    def __init__(
        self,
        store,
        name,
        gap_s,
        heartbeats,
        clock=boottime,
        link_mbps=0.0,
        first_start=False,
    ):
        self.fencing_token = 0
        self.leaving = False
        self.is_first = False
        self._store = store
        self._name = name
        self._order_gap_s = gap_s
        self._heartbeats = heartbeats
        self._clock = clock
        self._link_mbps = link_mbps
        self._first_start = first_start
        self._has_waited_for_peers = False
        self._row_version = None
        self._ends_at = 0.0
        self._renewed_at = 0.0
        self._orders_allowed_at = 0.0
        # Newest known version of the lease's row, and the time at which
        # this entry learned of that version.  If the row is absent, the
        # start of the store's era stands for its version.
        self._newest_known_version = (-1, 0.0)
        # Whether this entry knows that there was a lease, and the era of the
        # store in which it first asked for it.
        self._has_known_lease = False
        self._first_era = None
        # Time until which this entry may have sent orders, by `clock`.
        self._last_held_until = -math.inf
        # Name of the peer that claimed the lease last.
        self._last_claimant = ""
        self._term_id = ""
        self._previous_holder = ""
        self._given_up_version = 0

    @property
    def is_held(self):
        """Whether this entry holds the lease now."""
        return self._row_version is not None and self._clock() < self._ends_at

    @property
    def may_order(self):
        """Whether this entry may send an order now."""
        return (
            self.is_held
            and not self.leaving
            and self._clock() >= self._orders_allowed_at
        )

    def claim(self):
        """Return (fencing token, row version) for the heartbeat, or None.

        Notes
        -----
        Token 0 means that this entry gave the lease up at that row version.
        """
        if self.is_held:
            return (self.fencing_token, self._row_version)
        return (0, self._given_up_version) if self._given_up_version else None

    async def run(self, may_acquire):
        """Renew the lease, or acquire a free lease, until cancelled.

        Parameters
        ----------
        may_acquire : callable
            ``may_acquire()`` returns whether this entry may acquire the lease.
        """
        while True:
            began_at = trio.current_time()
            try:
                if self._row_version is not None:
                    await self._renew()
                elif may_acquire() and not self.leaving:
                    await self._acquire_if_free()
                else:
                    await trio.sleep(FREE_CHECK_INTERVAL_S)
            except exceptions.ConflictError as exc:
                self._give_up(str(exc))
            except exceptions.PlatformError as exc:
                logger.debug("lease: no answer", why=str(exc))
                if self._row_version is not None:
                    if not self.is_held:
                        self._give_up(f"no renewal in time, {exc}")
                    elif self._store_answers_peers(began_at):
                        self._give_up(f"the store answers others, {exc}")
                await trio.sleep(STORE_RETRY_PAUSE_S)

    async def extend(self):
        """Extend the lease while no peer can hold it, until cancelled.

        Notes
        -----
        Workload: the store fails for all entries while demand moves.  A
        peer can acquire the lease only if the store answered that peer
        after the lease expired, and each heartbeat contains the time of
        the store's last answer.  After a suspension of the VM the lease
        has expired by this entry's clock and is not extended.
        """
        while True:
            await trio.sleep(EXTENSION_INTERVAL_S)
            now = self._clock()
            if not self.is_held or self._ends_at - now > EXTENSION_S:
                continue
            if self._no_peer_can_acquire(now):
                self._extend_until(now + EXTENSION_S)

    def _no_peer_can_acquire(self, now):
        live_peers = self._heartbeats.live_peers()
        if not live_peers or len(live_peers) < len(self._heartbeats.peers):
            return False
        if self._heartbeats.is_large_fleet:
            # Heartbeats are too rare to show when the store answered.
            return False
        expired_at = self._renewed_at + VALIDITY_S
        return all(
            now - peer.heartbeat.store_age_s < expired_at
            for peer in live_peers.values()
        )

    async def release(self):
        """Release the lease, if held, before the process ends."""
        self.leaving = True
        if self.is_held:
            row = self._new_row(is_released=True)
            try:
                await self._store.commit([self._expected_row()], [row])
                logger.info("lease: released", token=self.fencing_token)
            except exceptions.PlatformError as exc:
                logger.warning("lease: not released", why=str(exc))
        self._row_version = None

    def on_fenced(self):
        """Give up the lease after an engine refused the fencing token."""
        self._give_up("an engine has seen a newer token")

    async def _renew(self):
        began_at = self._clock()
        expected = self._expected_row()
        if self._is_before_restore(expected):
            expected = await self._store.read(TABLE, ROW_KEY, CALL_TIMEOUT_S)
            if not self.is_held or self._is_held_by_other(expected):
                raise exceptions.ConflictError(
                    "the store was restored, and the lease has ended"
                )
            logger.info(
                "lease: renewed in the restored store",
                token=self.fencing_token,
                row=versions.describe(expected.version),
            )
        try:
            row = await self._write_row(expected)
        except exceptions.ConflictError:
            if self.is_held and self._is_before_restore(self._expected_row()):
                # The conflict told of the restore; `run` renews again at once.
                return
            raise
        if row.version == expected.version:
            # The write did not take effect; `run` renews again at once.
            return
        self._row_version = row.version
        self._renewed_at = began_at
        self._extend_until(began_at + VALIDITY_S)
        await trio.sleep(RENEWAL_INTERVAL_S)

    def _is_held_by_other(self, row):
        """Return whether another entry wrote a row in this era."""
        holder_info = _decode_holder_info(row)
        return (
            row.version > 0
            and self._is_written_in_this_era(row, holder_info)
            and holder_info.get("holder") != self._name
        )

    def _is_before_restore(self, row):
        """Return whether the store was restored since a row was read."""
        return versions.era_of(row.version) < self._store.era

    def _extend_until(self, ends_at):
        self._ends_at = ends_at
        self._last_held_until = max(self._last_held_until, ends_at)

    async def _write_row(self, expected):
        """Write the lease's row; return the row stored after the write.

        Raises
        ------
        ConflictError
            If another entry wrote the row, this entry did in another term,
            or the store was restored.
        PlatformError
            If the write failed or its outcome stays unknown.
        """
        try:
            version = await self._store.commit(
                [expected], [self._new_row()], timeout_s=CALL_TIMEOUT_S
            )
            return store_module.Row(TABLE, ROW_KEY, version)
        except (
            exceptions.ConflictError,
            exceptions.OutcomeUnknownError,
        ) as exc:
            # This write or a delayed earlier write may have taken effect;
            # the stored row shows whether one of them did.
            row = await self._store.read(TABLE, ROW_KEY, CALL_TIMEOUT_S)
            if expected.version and self._is_before_restore(expected):
                raise exceptions.ConflictError(
                    "the store was restored during a write"
                ) from exc
            if self._is_from_this_term(row) or row.version == expected.version:
                return row
            raise exceptions.ConflictError(
                "another entry holds the lease"
            ) from exc

    async def _acquire_if_free(self):
        if not self._has_waited_for_peers:
            # Peers that start at the same time become known meanwhile.
            self._has_waited_for_peers = True
            await trio.sleep(PEER_DISCOVERY_S)
        self._update_newest_known_version()
        if self._peer_holds_lease():
            await trio.sleep(FREE_CHECK_INTERVAL_S)
            return
        await trio.sleep(DELAY_PER_RANK_S * self._candidate_rank())
        if self._peer_holds_lease():
            return
        row = await self._store.read(TABLE, ROW_KEY)
        now = self._clock()
        if self._first_era is None:
            self._first_era = self._store.era
        self._has_known_lease = self._has_known_lease or row.version > 0
        known_version = row.version or versions.era_start(self._store.era)
        if known_version != self._newest_known_version[0]:
            self._newest_known_version = (known_version, now)
        holder_info = _decode_holder_info(row)
        is_own_lease = holder_info.get("holder") == self._name
        is_free = self._is_written_in_this_era(row, holder_info) and (
            not row.version
            or is_own_lease
            or holder_info.get("released")
            or self._is_given_up(row, holder_info)
        )
        if is_free or now - self._newest_known_version[1] >= VALIDITY_S:
            # After a pause of this process, heartbeats show whether the holder
            # has extended the lease meanwhile.
            if self._hears_no_peer():
                await trio.sleep(PEER_DISCOVERY_S)
            if self._peer_holds_lease():
                return
            await self._acquire(row, holder_info)
        else:
            await trio.sleep(FREE_CHECK_INTERVAL_S)

    def _is_written_in_this_era(self, row, holder_info):
        """Return whether a row tells who holds the lease.

        Notes
        -----
        A row that was restored from a copy does not, nor does an absent row,
        unless the fleet has just started for the first time.
        """
        if not row.version:
            return (
                self._first_start
                and not self._has_known_lease
                and self._store.era == self._first_era
            )
        return holder_info.get("era", 0) == versions.era_of(row.version)

    async def _acquire(self, row, holder_info):
        began_at = self._clock()
        self._term_id = uuid.uuid4().hex
        holder = holder_info.get("holder", "")
        tells_holder = self._is_written_in_this_era(row, holder_info)
        is_retake = holder_info.get("before") == self._name or (
            # After a restore, the row may lack the terms in between.
            not (tells_holder and holder == self._name)
            and began_at < self._last_held_until + self._order_gap_s
        )
        if self._last_claimant and not tells_holder:
            holder = self._last_claimant
        self._previous_holder = holder
        acquired_row = await self._write_row(row)
        if acquired_row.version == row.version:
            return
        self._row_version = self.fencing_token = acquired_row.version
        self.is_first = not row.version
        self._renewed_at = began_at
        self._extend_until(began_at + VALIDITY_S)
        self._given_up_version = 0
        delay_s = self._order_gap_s + ORDER_GAP_MARGIN_S if is_retake else 0.0
        self._orders_allowed_at = self._clock() + delay_s
        logger.info(
            "lease: taken",
            token=self.fencing_token,
            before=self._previous_holder,
            orders_in_s=round(delay_s, 1),
        )

    def _update_newest_known_version(self):
        for name, peer in self._heartbeats.live_peers().items():
            claim = peer.heartbeat.lease
            if claim and claim[0] and claim[1] > self._newest_known_version[0]:
                self._newest_known_version = (claim[1], self._clock())
                self._last_claimant = name
                self._has_known_lease = True

    def _peer_holds_lease(self):
        claims = [
            p.heartbeat.lease for p in self._heartbeats.live_peers().values()
        ]
        return any(claim and claim[0] for claim in claims)

    def _hears_no_peer(self):
        """Return whether no known peer was heard for `PEER_DISCOVERY_S`."""
        peers = self._heartbeats.peers.values()
        return bool(peers) and (
            max(peer.received_at for peer in peers)
            < trio.current_time() - PEER_DISCOVERY_S
        )

    def _store_answers_peers(self, earliest_at):
        """Return whether the store answered a peer after a given time."""
        return any(
            peer.received_at - peer.heartbeat.store_age_s > earliest_at
            for peer in self._heartbeats.live_peers().values()
        )

    def _is_given_up(self, row, holder_info):
        """Return whether the holder gave the lease up at this row version."""
        peer = self._heartbeats.live_peers().get(holder_info.get("holder"))
        return peer is not None and peer.heartbeat.lease == (0, row.version)

    def _candidate_rank(self):
        """Return how many candidates should take the lease before this entry.

        Notes
        -----
        Workload: a large fleet on VMs of different sizes.  The leader
        sends the models of all engines to all other entries, which
        saturates a network link of low bandwidth.
        """
        links_mbps = {
            name: peer.heartbeat.link_mbps
            for name, peer in self._heartbeats.live_peers().items()
        }
        links_mbps[self._name] = self._link_mbps
        min_mbps = max(links_mbps.values()) * MIN_BANDWIDTH_FRACTION
        names = sorted(
            links_mbps,
            key=lambda n: (
                links_mbps[n] < min_mbps,
                view.rendezvous_score(n, ROW_KEY),
            ),
        )
        return min(MAX_DELAY_RANK, names.index(self._name))

    def _give_up(self, reason):
        if self._row_version is not None:
            self._given_up_version = self._row_version
            self._heartbeats.send_soon()
            logger.warning("lease: lost", token=self.fencing_token, why=reason)
        self._row_version = None
        self._ends_at = 0.0

    def _is_from_this_term(self, row):
        holder_info = _decode_holder_info(row)
        return (
            holder_info.get("holder") == self._name
            and holder_info.get("term") == self._term_id
        )

    def _expected_row(self):
        return store_module.Row(TABLE, ROW_KEY, self._row_version)

    def _new_row(self, is_released=False):
        holder_info = {
            "holder": self._name,
            "term": self._term_id,
            "before": self._previous_holder,
            "released": is_released,
            "era": self._store.era,
        }
        return store_module.Row(TABLE, ROW_KEY, 0, msgpack.packb(holder_info))


def _decode_holder_info(row):
    """Return what the lease's row tells; nothing if it is malformed."""
    if not row.value:
        return {}
    try:
        holder_info = msgpack.unpackb(row.value)
    except (ValueError, msgpack.UnpackException) as exc:
        logger.warning("lease: malformed row", why=repr(exc))
        return {}
    if not isinstance(holder_info, dict) or not all(
        isinstance(holder_info.get(name, ""), str)
        for name in ("holder", "before")
    ):
        logger.warning("lease: malformed row", why="no holder")
        return {}
    return holder_info
