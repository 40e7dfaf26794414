"""Following the operator's configuration and the endpoints."""

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.platform import operator_table
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages

__all__ = ["EndpointWatcher", "watch_operator"]

# Longest wait for a change of the configuration.  A connection that
# went silent without a reset is noticed after it at the latest.
LONG_POLL_S = 4.0
# The same in a large fleet, where peers' beats tell of what was missed.
LARGE_FLEET_LONG_POLL_S = 15.0
# Time for which peers may know a newer row of the operator, seconds; twice
# what a feed's answer and a beat may take.
BEHIND_S = 0.5
# Pause between two scans of the endpoints, as a part of the time within
# which a leaving one is to get nothing more.  A scan that is lost and made
# again still ends within it.
SCAN_PART = 0.35
# Time for one scan; a lost answer must not use up what is left of it.
SCAN_TIMEOUT_S = 0.6
# In a large fleet one entry a zone scans and tells the others; each further
# one scans so much later if nothing was told, up to the longest delay.
RANK_S = 0.12
LONGEST_RANK_S = 0.6
# Pauses after a failed call, seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8


async def watch_operator(store, fleet_state, heartbeats):
    """Follow the configuration and the evacuations, for ever.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    """
    follower = _Operator(store, fleet_state, heartbeats)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.compare)
        await _forever("operator", store, follower.step)


class EndpointWatcher:
    """Follows the endpoints' registrations.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    fleet_state : dogwoodwheel.entry.fleet_state.FleetState
    heartbeats : dogwoodwheel.entry.heartbeats.HeartbeatExchange
    cfg : dogwoodwheel.entry.datatypes.Settings

    Notes
    -----
    Load pattern: a hundred entries that each read the same rows take
    most of what the store bears.  In a large fleet the first entry of
    an availability zone scans and tells the others of its zone; each of
    them scans itself, a little later, when nothing was told.
    """

    def __init__(self, store, fleet_state, heartbeats, cfg):
        self._store = store
        self._knowledge = fleet_state
        self._heartbeats = heartbeats
        self._cfg = cfg
        self._reader = _Reader()
        self._version = 0
        self._told = trio.Event()
        heartbeats.on_scan = self.receive_scan

    async def run(self):
        """Follow them, for ever."""
        await _forever("endpoints", self._store, self._step)

    def receive_scan(self, msg):
        """Take what a peer has read, if it is newer."""
        rows = [
            store_module.Row(registrations.TABLE, *row) for row in msg.rows
        ]
        at = trio.current_time() - msg.age_s
        if self._take(rows, msg.version, at):
            self._told.set()

    async def _step(self):
        while (wait_s := self.due() - trio.current_time()) > 0:
            self._told = trio.Event()
            with trio.move_on_after(wait_s):
                await self._told.wait()
        began = trio.current_time()
        found = await self._store.scan(
            registrations.TABLE, timeout_s=SCAN_TIMEOUT_S
        )
        taken = self._take(found.rows, found.version, began)
        if taken and self._heartbeats.is_large_fleet:
            await self._tell(found, began)

    def _take(self, rows, version, at):
        """Take rows unless newer ones are known; return whether.

        Notes
        -----
        The store's version tells which answer is the newer one, also
        where a VM was suspended and took its old answer for a new one.
        """
        if version < self._version or at <= self._knowledge.scanned_at:
            return False
        self._version = version
        self._knowledge.scan(self._reader.read(rows), at)
        return True

    async def _tell(self, found, began):
        msg = messages.EndpointRows(
            0,
            self._cfg.name,
            trio.current_time() - began,
            found.version,
            tuple((row.key, row.version, row.value) for row in found.rows),
        )
        await self._heartbeats.share(msg, self._cfg.zone)

    def due(self):
        """Return the time of the next scan of our own."""
        due = self._knowledge.scanned_at + SCAN_PART * self._cfg.drain_s
        if self._heartbeats.is_large_fleet:
            due += min(LONGEST_RANK_S, RANK_S * self._rank())
        return due

    def _rank(self):
        """Return this entry's place among those of its zone."""
        near = [
            name
            for name, peer in self._heartbeats.live_peers().items()
            if peer.heartbeat.zone == self._cfg.zone
        ]
        ranked = sorted(
            [self._cfg.name, *near],
            key=lambda name: view.rank(name, registrations.TABLE),
        )
        return ranked.index(self._cfg.name)


async def _forever(name, store, step):
    pause_s = FIRST_PAUSE_S
    lost = False
    while True:
        try:
            await step()
            if lost:
                logger.info("store: regained", task=name)
            lost = False
            pause_s = FIRST_PAUSE_S
        except exceptions.PlatformError as exc:
            if not lost:
                logger.warning(
                    "store: lost",
                    task=name,
                    age_s=round(store.reply_age_s, 1),
                    why=str(exc),
                )
            lost = True
            await trio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)


class _Operator:
    """Steps of following the operator's table."""

    def __init__(self, store, fleet_state, heartbeats):
        self.store = store
        self.fleet_state = fleet_state
        self.heartbeats = heartbeats
        self.version = None
        self.zones = set()
        self._scope = trio.CancelScope()

    async def step(self):
        if self.version is None:
            found = await self.store.scan(operator_table.TABLE)
            self.zones.clear()
            self._take(found.rows)
            self.fleet_state.evacuate(self.zones)
        else:
            try:
                found = await self._changes()
            except exceptions.HistoryLostError as exc:
                logger.info("store: history lost, reads anew", why=str(exc))
                self.version = None
                return
            if found is None:
                logger.info(
                    "operator: behind its peers, reads anew",
                    row=self.fleet_state.operator_row,
                    told=self.fleet_state.peer_operator_version,
                )
                self.version = None
                return
            before = set(self.zones)
            self._take(found.rows)
            if self.zones != before:
                self.fleet_state.evacuate(self.zones)
        self.version = found.version

    async def _changes(self):
        """Return what has changed; None where peers know more."""
        feed_s = (
            LARGE_FLEET_LONG_POLL_S
            if self.heartbeats.is_large_fleet
            else LONG_POLL_S
        )
        with trio.CancelScope() as self._scope:
            return await self.store.poll_changes(
                operator_table.TABLE, self.version, feed_s
            )

    async def compare(self):
        """Give up a call when peers have been told more, for ever.

        Notes
        -----
        A connection that went silent without a reset is noticed by
        what the peers were told over theirs.
        """
        while True:
            before = self.version
            await trio.sleep(BEHIND_S)
            told = self.fleet_state.peer_operator_version
            if before is not None and before == self.version < told:
                self._scope.cancel()

    def _take(self, rows):
        for row in rows:
            self.fleet_state.operator_row = max(
                self.fleet_state.operator_row, row.version
            )
            if row.key == operator_table.CONFIGURATION_KEY:
                self._configure(row)
            elif row.key.startswith(operator_table.EVACUATION_PREFIX):
                self._evacuate(row)

    def _evacuate(self, row):
        zone = row.key[len(operator_table.EVACUATION_PREFIX) :]
        if row.value is None:
            self.zones.discard(zone)
        else:
            self.zones.add(zone)
        logger.info(
            "operator",
            zone=zone,
            evacuated=row.value is not None,
            row=row.version,
        )

    def _configure(self, row):
        if row.value is None:
            return
        try:
            config = operator_table.decode(row.value)
        except exceptions.DeclarationError as exc:
            logger.error(
                "operator: malformed", row=row.version, why=exc.faults[0]
            )
            return
        if self.fleet_state.configure(config):
            logger.info(
                "operator: configuration",
                version=config.version,
                row=row.version,
                routes=sum(map(len, config.routes.values())),
                keys=len(config.keys),
            )


class _Reader:
    """Reads registrations; tells of each malformed one once."""

    def __init__(self):
        self._known = {}
        self._told = set()

    def read(self, rows):
        found = {}
        for row in rows:
            had = self._known.get(row.key)
            if had is not None and had[1] == row.version:
                found[row.key] = had
                continue
            try:
                endpoint = registrations.decode(row.key, row.value)
            except exceptions.DeclarationError as exc:
                if row.key not in self._told:
                    self._told.add(row.key)
                    logger.warning("endpoints: malformed", why=exc.faults[0])
                continue
            found[row.key] = (endpoint, row.version)
        self._tell(found)
        self._known = found
        return found

    def _tell(self, found):
        for name, (endpoint, version) in found.items():
            had = self._known.get(name)
            if had is None or had[0].ready != endpoint.ready:
                logger.info(
                    "endpoints",
                    id=name,
                    service=endpoint.service,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    ready=endpoint.ready,
                    cold_s=round(endpoint.cold_s, 1),
                    row=version,
                )
        for name in self._known.keys() - found.keys():
            logger.info("endpoints: left", id=name)
