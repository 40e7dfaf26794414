"""Leader election: one entry holds a lease in the platform's store.

Notes
-----
The version of the lease's row at the take-over is the fencing token.  The
holder relies on the lease for `VALIDITY_S` after it sent the last renewal
that succeeded; another entry takes the lease over only after it has known
the row's version for the same time.  A holder whose calls fail while the
store answers other entries gives the lease up, and its heartbeats say so.
An entry that takes the lease back from the entry that took it over sends
no orders for the platform's minimum gap, so that orders of two holders
never alternate.
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
# Interval between two renewals, and time for which each is valid, seconds.
RENEWAL_INTERVAL_S = 0.6
VALIDITY_S = 1.8
# Timeout of one call, seconds; after a call that timed out, a third of the
# lease's validity is left for further calls.
CALL_TIMEOUT_S = 0.5
# Interval at which a holder checks whether it may extend the lease without
# the store, and time for which each check extends it, seconds.
EXTENSION_INTERVAL_S = 0.2
EXTENSION_S = 0.8
# Pause after a call that failed, seconds.
RETRY_PAUSE_S = 0.1
# Interval at which other entries check whether the lease is free, seconds.
CHECK_INTERVAL_S = 0.3
# Additional delay of that check for each rank of an entry, seconds.
DELAY_PER_RANK_S = 0.25
MAX_RANK = 4
# Time for which an entry that has just started waits for heartbeats of
# peers, seconds; twice the heartbeat interval of a small fleet.
PEER_DISCOVERY_S = 0.5
# Fraction of the highest bandwidth in the fleet below which an entry lets
# others take the lease first.
MIN_BANDWIDTH_FRACTION = 0.5
# Added to the platform's minimum gap between two holders' orders, seconds.
ORDER_GAP_MARGIN_S = 0.3

boottime = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class Lease:
    """This entry's view of the lease.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    name : str
        Name of this entry.
    gap_s : float
        Minimum time between orders of two holders, seconds.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    clock : callable
        Returns seconds, and counts while the VM is suspended.
    link_mbps : float
        Bandwidth of the VM's link, megabits a second.

    Attributes
    ----------
    token : int
        Fencing token of the last term held.
    leaving : bool
        Whether this process is about to end.
    is_first : bool
        Whether no entry held the lease before this one.
    """

    def __init__(
        self, store, name, gap_s, heartbeats, clock=boottime, link_mbps=0.0
    ):
        self.token = 0
        self.leaving = False
        self.is_first = False
        self._store = store
        self._name = name
        self._order_gap_s = gap_s
        self._heartbeats = heartbeats
        self._clock = clock
        self._link_mbps = link_mbps
        self._has_waited_for_peers = False
        self._version = None
        self._valid_until = 0.0
        self._renewed_at = 0.0
        self._orders_allowed_at = 0.0
        # Newest version of the row that is known, and since when.
        self._known_version = (-1, 0.0)
        self._term = ""
        self._previous_holder = ""
        self._given_up_version = 0

    @property
    def is_held(self):
        """Whether this entry holds the lease now."""
        return self._version is not None and self._clock() < self._valid_until

    @property
    def may_order(self):
        """Whether this entry may send an order now."""
        return (
            self.is_held
            and not self.leaving
            and self._clock() >= self._orders_allowed_at
        )

    def claim(self):
        """Return token and row version for this entry's heartbeat, or None.

        Notes
        -----
        The token 0 means that this entry has given up that version.
        """
        if self.is_held:
            return (self.token, self._version)
        return (0, self._given_up_version) if self._given_up_version else None

    async def run(self, ready):
        """Renew the lease, or acquire it when it is free, until cancelled.

        Parameters
        ----------
        ready : callable
            ``ready()`` returns whether this entry may acquire the lease.
        """
        while True:
            began = trio.current_time()
            try:
                if self._version is not None:
                    await self._renew()
                elif ready() and not self.leaving:
                    await self._acquire_if_free()
                else:
                    await trio.sleep(CHECK_INTERVAL_S)
            except exceptions.ConflictError as exc:
                self._give_up(str(exc))
            except exceptions.PlatformError as exc:
                logger.debug("lease: no answer", why=str(exc))
                if self._version is not None:
                    if not self.is_held:
                        self._give_up(f"no renewal in time, {exc}")
                    elif self._store_answers_peers(began):
                        self._give_up(f"the store answers others, {exc}")
                await trio.sleep(RETRY_PAUSE_S)

    async def extend(self):
        """Extend the lease while no peer can hold it, until cancelled.

        Notes
        -----
        Workload: the store fails for all entries while demand moves.  A
        peer can acquire the lease only if the store answered the peer
        after the lease expired, and each heartbeat contains the time of
        the last answer.  After a suspension of the VM the lease has
        expired on this clock, so it is not extended.
        """
        while True:
            await trio.sleep(EXTENSION_INTERVAL_S)
            now = self._clock()
            if not self.is_held or self._valid_until - now > EXTENSION_S:
                continue
            if self._no_peer_can_acquire(now):
                self._valid_until = now + EXTENSION_S

    def _no_peer_can_acquire(self, now):
        live_peers = self._heartbeats.live_peers()
        if not live_peers or len(live_peers) < len(self._heartbeats.peers):
            return False
        if self._heartbeats.is_large_fleet:
            # Heartbeats are too infrequent to tell when the store answered.
            return False
        expired_at = self._renewed_at + VALIDITY_S
        return all(
            now - peer.heartbeat.store_age_s < expired_at
            for peer in live_peers.values()
        )

    async def release(self):
        """Release the lease before the process ends."""
        self.leaving = True
        if self.is_held:
            row = self._new_row(released=True)
            try:
                await self._store.commit([self._expected_row()], [row])
                logger.info("lease: released", token=self.token)
            except exceptions.PlatformError as exc:
                logger.warning("lease: not released", why=str(exc))
        self._version = None

    def on_fenced(self):
        """Give up the lease after an engine refused its token."""
        self._give_up("an engine has seen a newer token")

    async def _renew(self):
        began = self._clock()
        row = await self._commit(self._expected_row())
        if row.version == self._version:
            # The write did not take effect; it is repeated at once.
            return
        self._version = row.version
        self._renewed_at = began
        self._valid_until = began + VALIDITY_S
        await trio.sleep(RENEWAL_INTERVAL_S)

    async def _commit(self, expected):
        """Write the lease's row; return the row that is then stored.

        Raises
        ------
        ConflictError
            If another entry wrote the row, or this one in another term.
        PlatformError
            If the write did not take effect, or its outcome is unknown.
        """
        try:
            version = await self._store.commit(
                [expected], [self._new_row()], timeout_s=CALL_TIMEOUT_S
            )
            return store_module.Row(TABLE, KEY, version)
        except (
            exceptions.ConflictError,
            exceptions.OutcomeUnknownError,
        ) as exc:
            # This write, or a delayed earlier one, may have taken effect;
            # the stored row shows it.
            row = await self._store.read(TABLE, KEY, CALL_TIMEOUT_S)
            if self._is_ours(row) or row.version == expected.version:
                return row
            raise exceptions.ConflictError(
                "another entry holds the lease"
            ) from exc

    async def _acquire_if_free(self):
        if not self._has_waited_for_peers:
            # Lets peers that start at the same time become known.
            self._has_waited_for_peers = True
            await trio.sleep(PEER_DISCOVERY_S)
        self._update_known_version()
        if self._peer_holds_lease():
            await trio.sleep(CHECK_INTERVAL_S)
            return
        await trio.sleep(DELAY_PER_RANK_S * self._rank())
        if self._peer_holds_lease():
            return
        row = await self._store.read(TABLE, KEY)
        now = self._clock()
        if row.version != self._known_version[0]:
            self._known_version = (row.version, now)
        value = _decode(row)
        is_own = value.get("holder") == self._name
        is_free = (
            not row.version
            or is_own
            or value.get("released")
            or self._is_given_up(row, value)
        )
        if is_free or now - self._known_version[1] >= VALIDITY_S:
            await self._acquire(row, retakes=value.get("before") == self._name)
        else:
            await trio.sleep(CHECK_INTERVAL_S)

    async def _acquire(self, row, retakes):
        began = self._clock()
        self._term = uuid.uuid4().hex
        self._previous_holder = _decode(row).get("holder", "")
        acquired = await self._commit(row)
        if acquired.version == row.version:
            return
        self._version = self.token = acquired.version
        self.is_first = not row.version
        self._renewed_at = began
        self._valid_until = began + VALIDITY_S
        self._given_up_version = 0
        wait_s = self._order_gap_s + ORDER_GAP_MARGIN_S if retakes else 0.0
        self._orders_allowed_at = self._clock() + wait_s
        logger.info(
            "lease: taken",
            token=self.token,
            before=self._previous_holder,
            orders_in_s=round(wait_s, 1),
        )

    def _update_known_version(self):
        for peer in self._heartbeats.live_peers().values():
            claim = peer.heartbeat.lease
            if claim and claim[0] and claim[1] > self._known_version[0]:
                self._known_version = (claim[1], self._clock())

    def _peer_holds_lease(self):
        claims = [
            p.heartbeat.lease for p in self._heartbeats.live_peers().values()
        ]
        return any(claim and claim[0] for claim in claims)

    def _store_answers_peers(self, since):
        """Return whether the store has answered a peer since a time."""
        return any(
            peer.received_at - peer.heartbeat.store_age_s > since
            for peer in self._heartbeats.live_peers().values()
        )

    def _is_given_up(self, row, value):
        """Return whether the holder has given up this version of the row."""
        peer = self._heartbeats.live_peers().get(value.get("holder"))
        return peer is not None and peer.heartbeat.lease == (0, row.version)

    def _rank(self):
        """Return this entry's position in the order of candidates.

        Notes
        -----
        Workload: a large fleet on VMs of different sizes.  The leader
        sends the holdings of all engines to all other entries, which
        saturates a link of low bandwidth.
        """
        mbps = {
            name: peer.heartbeat.link_mbps
            for name, peer in self._heartbeats.live_peers().items()
        }
        mbps[self._name] = self._link_mbps
        minimum_mbps = max(mbps.values()) * MIN_BANDWIDTH_FRACTION
        names = sorted(
            mbps,
            key=lambda n: (
                mbps[n] < minimum_mbps,
                view.rendezvous_score(n, KEY),
            ),
        )
        return min(MAX_RANK, names.index(self._name))

    def _give_up(self, reason):
        if self._version is not None:
            self._given_up_version = self._version
            self._heartbeats.send_soon()
            logger.warning("lease: lost", token=self.token, why=reason)
        self._version = None
        self._valid_until = 0.0

    def _is_ours(self, row):
        value = _decode(row)
        return (
            value.get("holder") == self._name
            and value.get("term") == self._term
        )

    def _expected_row(self):
        return store_module.Row(TABLE, KEY, self._version)

    def _new_row(self, released=False):
        value = {
            "holder": self._name,
            "term": self._term,
            "before": self._previous_holder,
            "released": released,
        }
        return store_module.Row(TABLE, KEY, 0, msgpack.packb(value))


def _decode(row):
    return msgpack.unpackb(row.value) if row.value else {}
