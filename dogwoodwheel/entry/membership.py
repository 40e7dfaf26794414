"""Heartbeats and registration of this entry, and the directory of entries."""

from loguru import logger
import msgpack
import trio

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import decoding
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages

__all__ = ["Member"]

TABLE = "entries"
# Interval of scans of the platform's store for peers: short for the first
# INITIAL_SCANS scans after the start, and longer afterwards, because
# heartbeats then contain the addresses of new peers.
INITIAL_SCAN_INTERVAL_S = 1.0
SCAN_INTERVAL_S = 10.0
INITIAL_SCANS = 4
# Interval of scans for peers in a large fleet, where each new entry announces
# itself by heartbeats to all entries that it finds in the platform's store.
LARGE_FLEET_SCAN_INTERVAL_S = 45.0
# In a large fleet a heartbeat contains the request totals of those models
# only that were requested within this number of full heartbeat intervals.  A
# total still reaches a peer if a few heartbeats are lost.
REQUEST_TOTALS_MAX_AGE_INTERVALS = 4
# The directory omits entries whose last scan of the endpoints is older than
# this.  If the scans of all entries are older, the directory omits none.
MAX_SCAN_AGE_S = 4.5
# Maximum time for which callers may cache the addresses of the directory.
MAX_DIRECTORY_TTL_S = 2.0
STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"


class Member:
    """Represents this entry to its peers and callers.

    Composes and processes heartbeats, registers the entry in the platform's
    store and determines the reply of the directory.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    store : dogwoodwheel.platform.store.Store
    incarnation : str
        Identifies this process instance.

    Attributes
    ----------
    lease : dogwoodwheel.entry.lease.Lease
        Set after construction.
    leader_role : dogwoodwheel.entry.leader.Leader
        Set after construction.
    """

    def __init__(self, components, store, incarnation):
        self.components = components
        self.store = store
        self.incarnation = incarnation
        self.lease = None
        self.leader_role = None
        self._leaving = False
        self._heartbeat_id = 0
        # Key and version of each malformed row of the last scan.
        self._malformed_rows = set()

    @property
    def state(self):
        """State of this entry: ``starting``, ``serving`` or ``leaving``."""
        if self._leaving:
            return LEAVING
        fleet_state = self.components.fleet_state
        return (
            SERVING
            if fleet_state.config and fleet_state.scanned_at > 0
            else STARTING
        )

    def is_leaving(self):
        """Return whether callers should use another entry."""
        return self._leaving

    def is_ready(self):
        """Return whether this entry accepts requests."""
        return self.state == SERVING

    def leave(self):
        """Start to drain, and announce this to all peers in a heartbeat."""
        self._leaving = True
        self.components.heartbeats.send_soon()

    def take_outcomes(self):
        """Return the outcomes of requests since the last call, and forget.

        Returns
        -------
        dict of str to (int, int)
            As `Components.outcome_counts`.
        """
        outcomes = dict(self.components.outcome_counts)
        self.components.outcome_counts.clear()
        return outcomes

    def compose(self, brief, outcomes):
        """Return this entry's next heartbeat.

        Parameters
        ----------
        brief : bool
            Whether the heartbeat is sent between two full ones.
        outcomes : dict of str to (int, int)
            Outcomes of requests, from `take_outcomes`.  Each peer gets them
            once.  A brief heartbeat may not reach all peers, so it contains
            none.

        Returns
        -------
        dogwoodwheel.wire.messages.EntryBeat
        """
        components = self.components
        entry_settings = components.settings
        fleet_state = components.fleet_state
        self._heartbeat_id += 1
        crashes, sound_parts, earlier_quarantines = (
            components.query_of_death_detector.report(trio.current_time())
        )
        return messages.EntryBeat(
            id=self._heartbeat_id,
            name=entry_settings.name,
            incarnation=self.incarnation,
            zone=entry_settings.zone,
            peers=entry_settings.peers,
            front=entry_settings.front,
            state=self.state,
            config_version=(
                fleet_state.config.version if fleet_state.config else 0
            ),
            store_age_s=self.store.reply_age_s,
            scan_age_s=fleet_state.scan_age_s,
            operator_row=fleet_state.operator_row,
            store_era=self.store.era,
            link_mbps=entry_settings.link_mbps,
            known=self._peer_addresses(),
            load=components.request_counts.endpoint_loads(),
            outcomes=outcomes,
            spent=dict(components.quotas.spent),
            asked=self._request_totals(),
            waiting=dict(components.request_counts.waiting),
            lease=self.lease.claim(),
            holdings=self.leader_role.loaded_models_by_engine(brief),
            crashes=crashes,
            sound_parts=sound_parts,
            earlier_quarantines=earlier_quarantines,
            limits=components.endpoint_limits.report(trio.current_time()),
            leaving=fleet_state.leaving.report(
                tracked.endpoint for tracked in fleet_state.endpoints.values()
            ),
        )

    def _peer_addresses(self):
        """Return the addresses of live peers to include in a heartbeat.

        Notes
        -----
        In a large fleet the result is empty: addresses would make heartbeats
        long, and entries find their peers in the platform's store.
        """
        heartbeats = self.components.heartbeats
        if heartbeats.is_large_fleet:
            return ()
        return tuple(
            p.heartbeat.peers for p in heartbeats.live_peers().values()
        )

    def _request_totals(self):
        """Return the numbers of requests since the process start, by model.

        In a large fleet, only recently requested models are included.
        """
        request_counts = self.components.request_counts
        if not self.components.heartbeats.is_large_fleet:
            return dict(request_counts.request_totals)
        max_age_s = (
            REQUEST_TOTALS_MAX_AGE_INTERVALS
            * self.components.heartbeats.interval_s
        )
        return request_counts.totals_since(trio.current_time() - max_age_s)

    def receive_heartbeat(self, previous, heartbeat):
        """Update the components from a heartbeat of a peer.

        Parameters
        ----------
        previous : dogwoodwheel.wire.messages.EntryBeat or None
            Preceding heartbeat of the same process instance, or None.
        heartbeat : dogwoodwheel.wire.messages.EntryBeat
        """
        components = self.components
        now = trio.current_time()
        self.store.hint_era(heartbeat.store_era)
        if components.fleet_state.config is not None:
            components.quotas.record_peer_usage(
                previous.spent if previous else None,
                heartbeat.spent,
                components.fleet_state.config.customers,
                now,
                components.refill_fraction(),
            )
        components.outlier_detector.record_peer_outcomes(
            heartbeat.outcomes, now, heartbeat.zone == components.settings.zone
        )
        components.endpoint_limits.record_peer_report(
            previous.limits if previous else None,
            heartbeat.limits,
            now,
            components.refill_fraction(),
        )
        for endpoint, started_ms in heartbeat.leaving.items():
            components.fleet_state.record_leaving(
                endpoint, int(started_ms), is_own=False
            )
        components.query_of_death_detector.record_peer_report(
            heartbeat.crashes,
            heartbeat.sound_parts,
            heartbeat.earlier_quarantines,
            now,
        )
        components.fleet_state.peer_operator_version = max(
            components.fleet_state.peer_operator_version,
            heartbeat.operator_row,
        )
        for endpoint, (age_s, models, loading) in heartbeat.holdings.items():
            loaded_models = {
                model: datatypes.LoadedModel(model, frozenset(adapters))
                for model, adapters in models.items()
            }
            components.fleet_state.update_holdings(
                endpoint, loaded_models, now - age_s, loading
            )
        if heartbeat.waiting and (
            previous is None or previous.waiting != heartbeat.waiting
        ):
            # Wakes the leader, which then plans model loads for the requests.
            components.fleet_state.notify_change()

    def resolve(self):
        """Return the addresses of the entries that callers should use.

        Returns
        -------
        addresses : list of str
            ``IP:PORT`` of entries, in alphabetical order.
        ttl_s : float
            Time for which callers may cache the addresses, in seconds.

        Notes
        -----
        The result does not depend on the caller's region or zone, because
        all entries serve a caller equally well.
        """
        entry_settings = self.components.settings
        peers = self.components.heartbeats.live_peers().values()
        serving_heartbeats = [
            p.heartbeat for p in peers if p.heartbeat.state == SERVING
        ]
        scan_ages_s = {h.front: h.scan_age_s for h in serving_heartbeats}
        if self.state == SERVING:
            scan_ages_s[entry_settings.front] = (
                self.components.fleet_state.scan_age_s
            )
        fresh_addresses = [
            address
            for address, age_s in scan_ages_s.items()
            if age_s < MAX_SCAN_AGE_S
        ]
        addresses = sorted(
            fresh_addresses or scan_ages_s or [entry_settings.front]
        )
        return addresses, min(
            MAX_DIRECTORY_TTL_S, entry_settings.directory_ttl_s
        )

    async def run(self):
        """Register this entry, and scan for peers until cancelled.

        Notes
        -----
        A store that was restored from a copy may lack the row of this
        entry, and rows of new peers.
        """
        registered_era = None
        scan_count = 0
        while True:
            era = self.store.era
            try:
                if registered_era is None or registered_era < era:
                    await self._register()
                    registered_era = era = self.store.era
                await self._scan_peers()
            except exceptions.PlatformError as exc:
                logger.info("membership: store unavailable", why=str(exc))
            scan_count += 1
            interval_s = (
                INITIAL_SCAN_INTERVAL_S
                if registered_era is None or registered_era < era
                else self._scan_interval_s(scan_count)
            )
            with trio.move_on_after(interval_s):
                await self.store.wait_for_era_after(era)

    def _scan_interval_s(self, scan_count):
        """Return the time until the next scan for peers, in seconds.

        Parameters
        ----------
        scan_count : int
            Number of scans since the start, including failed ones.
        """
        heartbeats = self.components.heartbeats
        if not heartbeats.peers:
            return INITIAL_SCAN_INTERVAL_S
        if heartbeats.is_large_fleet:
            return LARGE_FLEET_SCAN_INTERVAL_S
        return (
            INITIAL_SCAN_INTERVAL_S
            if scan_count < INITIAL_SCANS
            else SCAN_INTERVAL_S
        )

    async def _register(self):
        entry_settings = self.components.settings
        value = msgpack.packb(
            {"peers": entry_settings.peers, "zone": entry_settings.zone}
        )
        row = store_module.Row(TABLE, entry_settings.name, 0, value)
        await self.store.commit([], [row])

    async def _scan_peers(self):
        snapshot = await self.store.scan(TABLE)
        addresses = []
        malformed_rows = set()
        for row in snapshot.rows:
            try:
                addresses.append(_peer_address(row))
            except exceptions.DeclarationError:
                malformed_rows.add((row.key, row.version))
        if malformed_rows - self._malformed_rows:
            logger.warning(
                "membership: malformed rows",
                count=len(malformed_rows),
                key=min(malformed_rows - self._malformed_rows)[0],
            )
        self._malformed_rows = malformed_rows
        self.components.heartbeats.add_contacts(addresses)


def _peer_address(row):
    """Return the address, ``IP:PORT``, that the row of a peer contains.

    Raises
    ------
    DeclarationError
        If the row is malformed.
    """
    what = f"row {row.key} of table {TABLE}"
    try:
        body = msgpack.unpackb(row.value)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise decoding.error(what, exc) from exc
    return decoding.JsonObject.from_value(body, what).address("peers")
