"""Watches the configuration and the endpoints in the platform's store."""

import random

from loguru import logger
import trio

from dogwoodwheel.entry import registration_reader
from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.platform import versions
from dogwoodwheel.wire import messages

__all__ = ["EndpointWatcher", "OperatorWatcher"]

# Maximum duration of a long poll for changes of the operator's table.  This
# limits how long a connection that failed without a reset goes unnoticed.
LONG_POLL_TIMEOUT_S = 4.0
# Maximum duration of the long poll in a large fleet, where the heartbeats of
# many peers show whether the table has newer rows.
LARGE_FLEET_LONG_POLL_TIMEOUT_S = 15.0
LONG_POLL_JITTER = 0.25
# This entry scans the operator's table again once peers have known a newer
# row for this time, which is twice the time that the reply to a long poll
# and a heartbeat need.
MAX_ROW_LAG_S = 0.5
# After the store is restored from a copy, what the operators wrote after the
# copy was made is written again.  For this time, an evacuation that the copy
# lacks is taken to be in force.
REWRITE_S = 3.0
# Interval of scans of the endpoints, as a fraction of the drain time, after
# which a draining endpoint must get no requests.  A scan whose reply was lost
# can be repeated within the drain time: if that time is 2 s, the interval, two
# timeouts and the pause between them take 0.35 * 2 + 2 * 0.6 + 0.1 = 2 s.
SCAN_INTERVAL_FRACTION = 0.35
# Timeout of a scan; leaves time to repeat a scan, as computed above.
SCAN_TIMEOUT_S = 0.6
# In a large fleet the entry with rank 0 in each zone scans and sends the
# result to the others.  Until a result arrives, entries with higher ranks
# wait RANK_DELAY_S times their rank, at most MAX_RANK_DELAY_S, and then scan.
RANK_DELAY_S = 0.12
MAX_RANK_DELAY_S = 0.6
# Pause after the first failed call; each further failure doubles the pause, up
# to the maximum.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8


class EndpointWatcher:
    """Watches the registrations of the endpoints.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
        Its endpoints are updated with each scan.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    settings : dogwoodwheel.entry.datatypes.Settings

    Notes
    -----
    Workload: a hundred entries, whose scans of the registrations would
    use most of the capacity of the platform's store.  In a large fleet,
    only the first entry of an availability zone scans, and sends the
    result to the other entries of the zone.  An entry that receives no
    result in time scans the registrations itself.
    """

    def __init__(self, store, fleet_state, heartbeats, settings):
        self._store = store
        self._fleet_state = fleet_state
        self._heartbeats = heartbeats
        self._settings = settings
        self._reader = registration_reader.RegistrationReader()
        self._store_version = 0
        self._scan_received = trio.Event()
        heartbeats.on_scan = self.receive_scan

    async def run(self):
        """Watch the registrations until cancelled."""
        await _repeat("endpoints", self._store, self._scan_when_due)

    def receive_scan(self, msg):
        """Apply a scan of a peer if it is newer than the last applied one."""
        era = versions.era_of(msg.version)
        self._store.hint_era(era)
        if era != self._store.era:
            # Only the store itself can tell whether it was restored.
            return
        rows = [
            store_module.Row(registrations.TABLE, *row) for row in msg.rows
        ]
        scan_began_at = trio.current_time() - msg.age_s
        self._store.observe_reply(scan_began_at)
        if self._apply_scan(rows, msg.version, scan_began_at):
            self._scan_received.set()

    async def _scan_when_due(self):
        while (wait_s := self._next_scan_at() - trio.current_time()) > 0:
            self._scan_received = trio.Event()
            with trio.move_on_after(wait_s):
                await self._scan_received.wait()
        scan_began_at = trio.current_time()
        snapshot = await self._store.scan(
            registrations.TABLE, timeout_s=SCAN_TIMEOUT_S
        )
        is_applied = self._apply_scan(
            snapshot.rows, snapshot.version, scan_began_at
        )
        if is_applied and self._heartbeats.is_large_fleet:
            await self._send_scan(snapshot, scan_began_at)

    def _apply_scan(self, rows, store_version, scan_began_at):
        """Apply a scan if it is newer; return whether it was applied.

        Notes
        -----
        A newer scan began later, and its version of the store is not
        older.  Comparing the times does not suffice, because a VM that was
        suspended may take an old reply of the store for a new one.
        Versions contain the store's era, so they also show which of two
        scans was made after the store was restored from a copy.
        """
        if (
            store_version < self._store_version
            or scan_began_at <= self._fleet_state.scanned_at
        ):
            return False
        store_was_restored = self._store_version and versions.era_of(
            self._store_version
        ) < versions.era_of(store_version)
        self._store_version = store_version
        self._fleet_state.apply_scan(
            self._reader.read(rows), scan_began_at, store_was_restored
        )
        return True

    async def _send_scan(self, snapshot, scan_began_at):
        msg = messages.EndpointRows(
            0,
            self._settings.name,
            trio.current_time() - scan_began_at,
            snapshot.version,
            tuple((row.key, row.version, row.value) for row in snapshot.rows),
        )
        await self._heartbeats.send_to_zone(msg, self._settings.zone)

    def _next_scan_at(self):
        """Return when this entry must scan if no peer's scan arrives first."""
        due_at = (
            self._fleet_state.scanned_at
            + SCAN_INTERVAL_FRACTION * self._settings.drain_s
        )
        if self._heartbeats.is_large_fleet:
            due_at += min(
                MAX_RANK_DELAY_S, RANK_DELAY_S * self._rank_in_zone()
            )
        return due_at

    def _rank_in_zone(self):
        """Return the rank of this entry among live entries of its zone."""
        peer_names = [
            name
            for name, peer in self._heartbeats.live_peers().items()
            if peer.heartbeat.zone == self._settings.zone
        ]
        ranked_names = sorted(
            [self._settings.name, *peer_names],
            key=lambda name: view.rendezvous_score(name, registrations.TABLE),
        )
        return ranked_names.index(self._settings.name)


async def _repeat(task_name, store, step):
    """Call a function until cancelled; pause after each failure."""
    pause_s = MIN_RETRY_PAUSE_S
    store_failed = False
    while True:
        step_began_at = trio.current_time()
        try:
            await step()
            if store_failed:
                logger.info("store: available again", task=task_name)
            store_failed = False
            pause_s = MIN_RETRY_PAUSE_S
        except exceptions.PlatformError as exc:
            if not store_failed:
                logger.warning(
                    "store: unavailable",
                    task=task_name,
                    age_s=round(store.reply_age_s, 1),
                    why=str(exc),
                )
            store_failed = True
            if store.last_reply_at > step_began_at:
                # Only this call has failed.
                pause_s = MIN_RETRY_PAUSE_S
            await trio.sleep(pause_s)
            pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)


class OperatorWatcher:
    """Watches the configuration and the evacuated zones.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
        Its configuration and evacuated zones are updated.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    """

    def __init__(self, store, fleet_state, heartbeats):
        self.store = store
        self.fleet_state = fleet_state
        self.heartbeats = heartbeats
        self.store_version = None
        self.evacuated_zones = set()
        # Evacuated zones that the restored store does not list, and the time
        # at which their evacuation ends.
        self.unconfirmed_zones = set()
        self.unconfirmed_until = 0.0
        self._scanned_era = 0
        # Newest versions named by peers for which the table was read again.
        self._compared_versions = (0, 0)
        self._poll_scope = trio.CancelScope()

    async def run(self):
        """Read the whole table, and then its changes, until cancelled."""
        self.store_version = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.compare_with_peers)
            await _repeat("operator", self.store, self.scan_or_poll)

    async def scan_or_poll(self):
        """Read the whole table first, and in later calls only its changes."""
        if self.store_version is None:
            snapshot = await self.store.scan(operator_table.TABLE)
            self._apply_snapshot(snapshot)
        else:
            try:
                snapshot = await self._poll_changes()
            except exceptions.HistoryLostError as exc:
                logger.info(
                    "store: change history lost, scanning again", why=str(exc)
                )
                self.store_version = None
                return
            if snapshot is None:
                logger.info(
                    "operator: peers know a newer version, scanning again",
                    row=versions.describe(self.fleet_state.operator_row),
                    told=versions.describe(
                        self.fleet_state.peer_operator_version
                    ),
                    era=self.store.era,
                )
                self.store_version = None
                return
            self._apply_rows(snapshot.rows)
        self._publish_evacuated_zones()
        self.store_version = snapshot.version

    def _apply_snapshot(self, snapshot):
        """Apply all rows of the table.

        Notes
        -----
        What this entry read before the store was restored is newer than the
        copy.  A configuration has a version of its own, which shows that.  An
        evacuation that the copy lacks stays in force until it can have been
        written again.
        """
        known_zones = self.evacuated_zones | self.unconfirmed_zones
        self.evacuated_zones.clear()
        self._apply_rows(snapshot.rows)
        era = versions.era_of(snapshot.version)
        if self._scanned_era and era > self._scanned_era:
            self.unconfirmed_zones = known_zones - self.evacuated_zones
            self.unconfirmed_until = trio.current_time() + REWRITE_S
            logger.warning(
                "operator: read again from the restored store",
                era=era,
                row=versions.describe(snapshot.version),
                unconfirmed=sorted(self.unconfirmed_zones),
            )
        self._scanned_era = max(self._scanned_era, era)

    def _publish_evacuated_zones(self):
        if trio.current_time() >= self.unconfirmed_until:
            self.unconfirmed_zones.clear()
        zones = self.evacuated_zones | self.unconfirmed_zones
        if zones != self.fleet_state.evacuated_zones:
            self.fleet_state.set_evacuated_zones(zones)

    async def _poll_changes(self):
        """Return changed rows, or None if `compare_with_peers` cancels."""
        timeout_s = LONG_POLL_TIMEOUT_S
        if self.heartbeats.is_large_fleet:
            # Polls that one change has ended must not all be lost together.
            timeout_s = LARGE_FLEET_LONG_POLL_TIMEOUT_S * random.uniform(
                1 - LONG_POLL_JITTER, 1 + LONG_POLL_JITTER
            )
        if self.unconfirmed_zones:
            timeout_s = REWRITE_S
        with trio.CancelScope() as self._poll_scope:
            return await self.store.poll_changes(
                operator_table.TABLE, self.store_version, timeout_s
            )

    async def compare_with_peers(self):
        """Cancel the long poll when peers know a newer row.

        Notes
        -----
        If the connection to the store fails without a reset, changes no
        longer arrive at this entry.  The heartbeats of peers with working
        connections show that the table has changed, or that the store was
        restored.
        """
        while True:
            previous_version = self.store_version
            await trio.sleep(MAX_ROW_LAG_S)
            if previous_version is None or (
                previous_version != self.store_version
            ):
                continue
            named_versions = (
                max(self.store.hinted_era, self.store.era),
                self.fleet_state.peer_operator_version,
            )
            known_versions = (
                versions.era_of(previous_version),
                previous_version,
            )
            is_behind = any(
                named > max(known, compared)
                for named, known, compared in zip(
                    named_versions, known_versions, self._compared_versions
                )
            )
            if is_behind:
                # Once is enough, also if what a peer names is wrong.
                self._compared_versions = named_versions
                self._poll_scope.cancel()

    def _apply_rows(self, rows):
        for row in rows:
            self.fleet_state.operator_row = max(
                self.fleet_state.operator_row, row.version
            )
            if row.key == operator_table.CONFIGURATION_KEY:
                self._apply_configuration(row)
            elif row.key.startswith(operator_table.EVACUATION_PREFIX):
                self._apply_evacuation(row)

    def _apply_evacuation(self, row):
        zone = row.key[len(operator_table.EVACUATION_PREFIX) :]
        self.unconfirmed_zones.discard(zone)
        if row.value is None:
            self.evacuated_zones.discard(zone)
        else:
            self.evacuated_zones.add(zone)
        logger.info(
            "operator: evacuation",
            zone=zone,
            evacuated=row.value is not None,
            row=versions.describe(row.version),
        )

    def _apply_configuration(self, row):
        if row.value is None:
            return
        try:
            config = operator_table.decode(row.value)
        except exceptions.DeclarationError as exc:
            logger.error(
                "operator: malformed configuration",
                row=versions.describe(row.version),
                why=exc.faults[0],
            )
            return
        if self.fleet_state.set_configuration(config):
            logger.info(
                "operator: configuration",
                version=config.version,
                row=versions.describe(row.version),
                routes=sum(map(len, config.routes.values())),
                keys=len(config.keys),
            )
