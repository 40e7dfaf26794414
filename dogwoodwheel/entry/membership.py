"""This entry among its peers: registration, beats and the directory."""

from loguru import logger
import msgpack
import trio

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.wire import messages

__all__ = ["Member"]

TABLE = "entries"
# Pause between two looks for peers in the store: soon after the start,
# and later, since peers tell each other.
FIRST_LOOK_S = 1.0
LOOK_S = 10.0
FIRST_LOOKS = 4
# The same in a large fleet, where each new entry tells all that it finds.
LARGE_LOOK_S = 45.0
# In a large fleet a beat has the models that were asked for since so many
# beats, so that a few may be lost.
RECENT_BEATS = 4
# An entry whose knowledge is older than this is not named while others
# are fresher, seconds.
STALE_S = 4.5
# Time for which callers may use an answer of the directory, seconds.
TTL_S = 2.0
STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"


class Member:
    """This entry as its peers and callers see it.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    store : dogwoodwheel.platform.store.Store
    incarnation : str
    """

    def __init__(self, components, store, incarnation):
        self.components = components
        self.store = store
        self.incarnation = incarnation
        self.lease = None
        self.leader = None
        self._leaving = False
        self._number = 0

    @property
    def state(self):
        """``starting``, ``serving`` or ``leaving``."""
        if self._leaving:
            return LEAVING
        known = self.components.fleet_state
        return SERVING if known.config and known.scanned_at > 0 else STARTING

    def is_leaving(self):
        """Tell whether callers should go elsewhere."""
        return self._leaving

    def is_ready(self):
        """Tell whether this entry takes requests."""
        return self.state == SERVING

    def leave(self):
        """Begin to leave."""
        self._leaving = True
        self.components.heartbeats.send_soon()

    def compose(self, brief):
        """Return this entry's next beat.

        Parameters
        ----------
        brief : bool
            Whether it goes out between two whole ones, maybe not to all.
        """
        components = self.components
        cfg = components.settings
        known = components.fleet_state
        self._number += 1
        outcomes = {}
        if not brief:
            outcomes = dict(components.outcomes)
            components.outcomes.clear()
        return messages.EntryBeat(
            id=self._number,
            name=cfg.name,
            incarnation=self.incarnation,
            zone=cfg.zone,
            peers=cfg.peers,
            front=cfg.front,
            state=self.state,
            config_version=known.config.version if known.config else 0,
            store_age_s=self.store.reply_age_s,
            scan_age_s=known.scan_age_s,
            operator_row=known.operator_row,
            link_mbps=cfg.link_mbps,
            known=self._known_peers(),
            load=components.request_counts.loads(),
            outcomes=outcomes,
            spent=dict(components.quotas.spent),
            asked=self._asked(),
            waiting=dict(components.request_counts.waiting),
            lease=self.lease.claim(),
            holdings=self.leader.holdings(brief),
        )

    def _known_peers(self):
        """Return the addresses of peers that others may not know.

        Notes
        -----
        In a large fleet they cost more than they tell: entries find
        each other in the store.
        """
        heartbeats = self.components.heartbeats
        if heartbeats.is_large_fleet:
            return ()
        return tuple(
            p.heartbeat.peers for p in heartbeats.live_peers().values()
        )

    def _asked(self):
        request_counts = self.components.request_counts
        if not self.components.heartbeats.is_large_fleet:
            return dict(request_counts.request_totals)
        beats_s = RECENT_BEATS * self.components.heartbeats.interval_s
        return request_counts.totals_since(trio.current_time() - beats_s)

    def receive_heartbeat(self, before, heartbeat):
        """Take a peer's beat."""
        components = self.components
        now = trio.current_time()
        if components.fleet_state.config is not None:
            components.quotas.record_peer_usage(
                before.spent if before else None,
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
        for name, (age_s, models, coming) in heartbeat.holdings.items():
            held = {
                m: datatypes.LoadedModel(m, frozenset(adapters))
                for m, adapters in models.items()
            }
            components.fleet_state.update_holdings(
                name, held, now - age_s, coming
            )
        if heartbeat.waiting and (
            before is None or before.waiting != heartbeat.waiting
        ):
            # The leader plans anew.
            components.fleet_state.notify_change()

    def resolve(self):
        """Return the addresses that callers should use, and their lifetime.

        Returns
        -------
        addresses : list of str
        ttl_s : float

        Notes
        -----
        A caller's region and zone do not count: any address serves it
        equally well.
        """
        cfg = self.components.settings
        live = self.components.heartbeats.live_peers().values()
        serving = [p.heartbeat for p in live if p.heartbeat.state == SERVING]
        ages = {b.front: b.scan_age_s for b in serving}
        if self.state == SERVING:
            ages[cfg.front] = self.components.fleet_state.scan_age_s
        fresh = [front for front, age_s in ages.items() if age_s < STALE_S]
        addresses = sorted(fresh or ages or [cfg.front])
        return addresses, min(TTL_S, cfg.directory_ttl_s)

    async def run(self):
        """Register, and look for peers, for ever."""
        registered = False
        looks = 0
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                await self._look()
            except exceptions.PlatformError as exc:
                logger.info("membership: no answer", why=str(exc))
            looks += 1
            await trio.sleep(self._pause_s(looks))

    def _pause_s(self, looks):
        """Return the pause before the next look, seconds."""
        heartbeats = self.components.heartbeats
        if not heartbeats.peers:
            return FIRST_LOOK_S
        if heartbeats.is_large_fleet:
            return LARGE_LOOK_S
        return FIRST_LOOK_S if looks < FIRST_LOOKS else LOOK_S

    async def _register(self):
        cfg = self.components.settings
        value = msgpack.packb({"peers": cfg.peers, "zone": cfg.zone})
        row = store_module.Row(TABLE, cfg.name, 0, value)
        await self.store.commit([], [row])

    async def _look(self):
        found = await self.store.scan(TABLE)
        addresses = [msgpack.unpackb(r.value)["peers"] for r in found.rows]
        self.components.heartbeats.add_contacts(addresses)
