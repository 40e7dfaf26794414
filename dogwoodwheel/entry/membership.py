"""Membership of this entry in the fleet, and the directory of entries."""

from loguru import logger
import msgpack
import trio

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages

__all__ = ["Member"]

TABLE = "entries"
# Interval of scans of the store for peers: short for the first scans after
# the start, and long afterwards, since heartbeats contain peers' addresses.
FIRST_SCANS_INTERVAL_S = 1.0
SCAN_INTERVAL_S = 10.0
FIRST_SCANS = 4
# The same in a large fleet, where each new entry sends heartbeats to all
# entries that it finds in the store.
LARGE_FLEET_SCAN_INTERVAL_S = 45.0
# In a large fleet a heartbeat contains only the models that were requested
# in this number of heartbeat intervals, so that a few heartbeats may be lost.
RECENT_HEARTBEATS = 4
# The directory leaves out entries whose last scan of the endpoints is older
# than this, unless no entry has a newer one.
MAX_SCAN_AGE_S = 4.5
# Maximum time for which callers may use an answer of the directory.
DIRECTORY_TTL_S = 2.0
STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"


class Member:
    """This entry as its peers and callers see it.

    Composes and processes heartbeats, registers the entry in the store and
    answers the directory's queries.

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
    leader : dogwoodwheel.entry.leader.Leader
        Set after construction.
    """

    def __init__(self, components, store, incarnation):
        self.components = components
        self.store = store
        self.incarnation = incarnation
        self.lease = None
        self.leader = None
        self._leaving = False
        self._heartbeat_id = 0

    @property
    def state(self):
        """``starting``, ``serving`` or ``leaving``."""
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
        """Start to drain: announce to peers that this entry leaves."""
        self._leaving = True
        self.components.heartbeats.send_soon()

    def compose(self, brief):
        """Return this entry's next heartbeat.

        Parameters
        ----------
        brief : bool
            Whether the heartbeat is sent between two full ones.  A brief
            heartbeat contains no outcomes, since it may not reach all
            peers.

        Returns
        -------
        dogwoodwheel.wire.messages.EntryBeat
        """
        components = self.components
        cfg = components.settings
        fleet_state = components.fleet_state
        self._heartbeat_id += 1
        outcomes = {}
        if not brief:
            outcomes = dict(components.outcomes)
            components.outcomes.clear()
        return messages.EntryBeat(
            id=self._heartbeat_id,
            name=cfg.name,
            incarnation=self.incarnation,
            zone=cfg.zone,
            peers=cfg.peers,
            front=cfg.front,
            state=self.state,
            config_version=(
                fleet_state.config.version if fleet_state.config else 0
            ),
            store_age_s=self.store.reply_age_s,
            scan_age_s=fleet_state.scan_age_s,
            operator_row=fleet_state.operator_row,
            link_mbps=cfg.link_mbps,
            known=self._peer_addresses(),
            load=components.request_counts.loads(),
            outcomes=outcomes,
            spent=dict(components.quotas.spent),
            asked=self._request_totals(),
            waiting=dict(components.request_counts.waiting),
            lease=self.lease.claim(),
            holdings=self.leader.loaded_models_by_engine(brief),
        )

    def _peer_addresses(self):
        """Return the addresses of live peers, for peers that lack them.

        Notes
        -----
        A large fleet sends none: they would make heartbeats long, and
        entries find the addresses of their peers in the store.
        """
        heartbeats = self.components.heartbeats
        if heartbeats.is_large_fleet:
            return ()
        return tuple(
            p.heartbeat.peers for p in heartbeats.live_peers().values()
        )

    def _request_totals(self):
        """Return totals by model; in a large fleet, of recent models only."""
        request_counts = self.components.request_counts
        if not self.components.heartbeats.is_large_fleet:
            return dict(request_counts.request_totals)
        recent_s = RECENT_HEARTBEATS * self.components.heartbeats.interval_s
        return request_counts.totals_since(trio.current_time() - recent_s)

    def receive_heartbeat(self, previous, heartbeat):
        """Update the components from a heartbeat of a peer.

        Parameters
        ----------
        previous : dogwoodwheel.wire.messages.EntryBeat or None
            The last heartbeat of the same process instance, if any.
        heartbeat : dogwoodwheel.wire.messages.EntryBeat
        """
        components = self.components
        now = trio.current_time()
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
            # Wakes the leader, which plans placement for waiting requests.
            components.fleet_state.notify_change()

    def resolve(self):
        """Return the addresses that callers should use, and their lifetime.

        Returns
        -------
        addresses : list of str
            ``IP:PORT`` of entries, in alphabetical order.
        ttl_s : float
            Time for which callers may use the addresses, in seconds.

        Notes
        -----
        The region and zone of the caller make no difference, because all
        entries serve a caller equally well.
        """
        cfg = self.components.settings
        peers = self.components.heartbeats.live_peers().values()
        serving = [p.heartbeat for p in peers if p.heartbeat.state == SERVING]
        scan_ages_s = {h.front: h.scan_age_s for h in serving}
        if self.state == SERVING:
            scan_ages_s[cfg.front] = self.components.fleet_state.scan_age_s
        fresh = [
            front
            for front, age_s in scan_ages_s.items()
            if age_s < MAX_SCAN_AGE_S
        ]
        addresses = sorted(fresh or scan_ages_s or [cfg.front])
        return addresses, min(DIRECTORY_TTL_S, cfg.directory_ttl_s)

    async def run(self):
        """Register this entry and scan for peers until cancelled."""
        registered = False
        scans = 0
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                await self._scan_peers()
            except exceptions.PlatformError as exc:
                logger.info("membership: store unavailable", why=str(exc))
            scans += 1
            await trio.sleep(self._scan_interval_s(scans))

    def _scan_interval_s(self, scans):
        """Return the time until the next scan for peers, in seconds.

        Parameters
        ----------
        scans : int
            Scans since the start, including failed ones.
        """
        heartbeats = self.components.heartbeats
        if not heartbeats.peers:
            return FIRST_SCANS_INTERVAL_S
        if heartbeats.is_large_fleet:
            return LARGE_FLEET_SCAN_INTERVAL_S
        return (
            FIRST_SCANS_INTERVAL_S if scans < FIRST_SCANS else SCAN_INTERVAL_S
        )

    async def _register(self):
        cfg = self.components.settings
        value = msgpack.packb({"peers": cfg.peers, "zone": cfg.zone})
        row = store_module.Row(TABLE, cfg.name, 0, value)
        await self.store.commit([], [row])

    async def _scan_peers(self):
        result = await self.store.scan(TABLE)
        addresses = [msgpack.unpackb(r.value)["peers"] for r in result.rows]
        self.components.heartbeats.add_contacts(addresses)
