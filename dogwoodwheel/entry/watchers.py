"""Watching the configuration and the endpoints in the platform's store."""

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages

__all__ = ["EndpointWatcher", "watch_operator"]

# Timeout of a long poll for changes of the operator's table.  It bounds
# the time until a connection that failed without a reset is noticed.
LONG_POLL_S = 4.0
# The same in a large fleet, where heartbeats of peers report newer rows.
LARGE_FLEET_LONG_POLL_S = 15.0
# Time for which peers may know a newer row of the operator's table than
# this entry: twice what the reply to a long poll and a heartbeat take.
MAX_LAG_S = 0.5
# Interval of scans of the endpoints, as a fraction of the drain time, after
# which a draining endpoint must receive no requests.  A scan whose reply
# was lost can be repeated within the drain time.
SCAN_INTERVAL_FRACTION = 0.35
# Timeout of a scan; a lost reply must leave time to repeat the scan.
SCAN_TIMEOUT_S = 0.6
# In a large fleet one entry of each zone scans and sends the result to the
# others of the zone.  Another entry scans only if no result arrives, after
# a delay that grows with its rank up to a maximum.
RANK_DELAY_S = 0.12
MAX_RANK_DELAY_S = 0.6
# Pause after a failed call, doubled for each further failure.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8


async def watch_operator(store, fleet_state, heartbeats):
    """Watch the configuration and the evacuated zones until cancelled.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
        Updated with each change.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    """
    watcher = _OperatorWatcher(store, fleet_state, heartbeats)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.compare_with_peers)
        await _repeat("operator", store, watcher.step)


class EndpointWatcher:
    """Watches the registrations of the endpoints.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
        Updated with each scan.
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    cfg : dogwoodwheel.entry.datatypes.Settings

    Notes
    -----
    Load pattern: if each of a hundred entries scans the registrations,
    the scans use most of the store's capacity.  In a large fleet, the
    first entry of an availability zone scans and sends the result to the
    other entries of the zone.  An entry that receives no result in time
    scans a little later.
    """

    def __init__(self, store, fleet_state, heartbeats, cfg):
        self._store = store
        self._fleet_state = fleet_state
        self._heartbeats = heartbeats
        self._cfg = cfg
        self._reader = _RegistrationReader()
        self._version = 0
        self._scan_received = trio.Event()
        heartbeats.on_scan = self.receive_scan

    async def run(self):
        """Watch the registrations until cancelled."""
        await _repeat("endpoints", self._store, self._step)

    def receive_scan(self, msg):
        """Apply a scan of a peer if it is newer than the last one."""
        rows = [
            store_module.Row(registrations.TABLE, *row) for row in msg.rows
        ]
        at = trio.current_time() - msg.age_s
        if self._apply_scan(rows, msg.version, at):
            self._scan_received.set()

    async def _step(self):
        while (wait_s := self._next_scan_at() - trio.current_time()) > 0:
            self._scan_received = trio.Event()
            with trio.move_on_after(wait_s):
                await self._scan_received.wait()
        began = trio.current_time()
        result = await self._store.scan(
            registrations.TABLE, timeout_s=SCAN_TIMEOUT_S
        )
        applied = self._apply_scan(result.rows, result.version, began)
        if applied and self._heartbeats.is_large_fleet:
            await self._send_scan(result, began)

    def _apply_scan(self, rows, version, at):
        """Apply a scan; return False for one that is not newer.

        Notes
        -----
        Which scan is newer is decided by the store's version as well as
        by the time, because a VM that was suspended may take an old
        reply of the store for a new one.
        """
        if version < self._version or at <= self._fleet_state.scanned_at:
            return False
        self._version = version
        self._fleet_state.apply_scan(self._reader.read(rows), at)
        return True

    async def _send_scan(self, result, began):
        msg = messages.EndpointRows(
            0,
            self._cfg.name,
            trio.current_time() - began,
            result.version,
            tuple((row.key, row.version, row.value) for row in result.rows),
        )
        await self._heartbeats.send_to_zone(msg, self._cfg.zone)

    def _next_scan_at(self):
        """Return the time at which this entry must scan."""
        due = (
            self._fleet_state.scanned_at
            + SCAN_INTERVAL_FRACTION * self._cfg.drain_s
        )
        if self._heartbeats.is_large_fleet:
            due += min(MAX_RANK_DELAY_S, RANK_DELAY_S * self._rank())
        return due

    def _rank(self):
        """Return the rank of this entry among the live ones of its zone."""
        peers = [
            name
            for name, peer in self._heartbeats.live_peers().items()
            if peer.heartbeat.zone == self._cfg.zone
        ]
        ranked = sorted(
            [self._cfg.name, *peers],
            key=lambda name: view.rendezvous_score(name, registrations.TABLE),
        )
        return ranked.index(self._cfg.name)


async def _repeat(name, store, step):
    """Repeat a step until cancelled; pause after each failure."""
    pause_s = MIN_RETRY_PAUSE_S
    failing = False
    while True:
        try:
            await step()
            if failing:
                logger.info("store: available again", task=name)
            failing = False
            pause_s = MIN_RETRY_PAUSE_S
        except exceptions.PlatformError as exc:
            if not failing:
                logger.warning(
                    "store: unavailable",
                    task=name,
                    age_s=round(store.reply_age_s, 1),
                    why=str(exc),
                )
            failing = True
            await trio.sleep(pause_s)
            pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)


class _OperatorWatcher:
    """Reads the operator's table and applies the changes of its rows."""

    def __init__(self, store, fleet_state, heartbeats):
        self.store = store
        self.fleet_state = fleet_state
        self.heartbeats = heartbeats
        self.version = None
        self.evacuated_zones = set()
        self._poll_scope = trio.CancelScope()

    async def step(self):
        """Read the whole table at first, and then wait for changes."""
        if self.version is None:
            result = await self.store.scan(operator_table.TABLE)
            self.evacuated_zones.clear()
            self._apply_rows(result.rows)
            self.fleet_state.set_evacuated_zones(self.evacuated_zones)
        else:
            try:
                result = await self._poll_changes()
            except exceptions.HistoryLostError as exc:
                logger.info(
                    "store: change history lost, scanning again", why=str(exc)
                )
                self.version = None
                return
            if result is None:
                logger.info(
                    "operator: peers know a newer version, scanning again",
                    row=self.fleet_state.operator_row,
                    told=self.fleet_state.peer_operator_version,
                )
                self.version = None
                return
            previous_zones = set(self.evacuated_zones)
            self._apply_rows(result.rows)
            if self.evacuated_zones != previous_zones:
                self.fleet_state.set_evacuated_zones(self.evacuated_zones)
        self.version = result.version

    async def _poll_changes(self):
        """Return the changed rows; None if `compare_with_peers` cancels."""
        timeout_s = (
            LARGE_FLEET_LONG_POLL_S
            if self.heartbeats.is_large_fleet
            else LONG_POLL_S
        )
        with trio.CancelScope() as self._poll_scope:
            return await self.store.poll_changes(
                operator_table.TABLE, self.version, timeout_s
            )

    async def compare_with_peers(self):
        """Cancel the long poll when peers know a newer row.

        Notes
        -----
        A connection can fail without a reset, so that changes no longer
        arrive.  The heartbeats of peers, whose connections work, show
        that there are changes.
        """
        while True:
            previous = self.version
            await trio.sleep(MAX_LAG_S)
            newest = self.fleet_state.peer_operator_version
            if previous is not None and previous == self.version < newest:
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
        if row.value is None:
            self.evacuated_zones.discard(zone)
        else:
            self.evacuated_zones.add(zone)
        logger.info(
            "operator: evacuation",
            zone=zone,
            evacuated=row.value is not None,
            row=row.version,
        )

    def _apply_configuration(self, row):
        if row.value is None:
            return
        try:
            config = operator_table.decode(row.value)
        except exceptions.DeclarationError as exc:
            logger.error(
                "operator: malformed configuration",
                row=row.version,
                why=exc.faults[0],
            )
            return
        if self.fleet_state.set_configuration(config):
            logger.info(
                "operator: configuration",
                version=config.version,
                row=row.version,
                routes=sum(map(len, config.routes.values())),
                keys=len(config.keys),
            )


class _RegistrationReader:
    """Decodes registrations; logs each malformed one once."""

    def __init__(self):
        self._previous = {}
        self._malformed_keys = set()

    def read(self, rows):
        """Return endpoints and the versions of their rows, by name."""
        endpoints = {}
        for row in rows:
            previous = self._previous.get(row.key)
            if previous is not None and previous[1] == row.version:
                endpoints[row.key] = previous
                continue
            try:
                endpoint = registrations.decode(row.key, row.value)
            except exceptions.DeclarationError as exc:
                if row.key not in self._malformed_keys:
                    self._malformed_keys.add(row.key)
                    logger.warning("endpoints: malformed", why=exc.faults[0])
                continue
            endpoints[row.key] = (endpoint, row.version)
        self._log_changes(endpoints)
        self._previous = endpoints
        return endpoints

    def _log_changes(self, endpoints):
        for name, (endpoint, version) in endpoints.items():
            previous = self._previous.get(name)
            if previous is None or previous[0].ready != endpoint.ready:
                logger.info(
                    "endpoints: updated",
                    id=name,
                    service=endpoint.service,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    ready=endpoint.ready,
                    cold_s=round(endpoint.cold_s, 1),
                    row=version,
                )
        for name in self._previous.keys() - endpoints.keys():
            logger.info("endpoints: no longer registered", id=name)
