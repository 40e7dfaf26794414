"""Connections of a coordinator to the gateways of its VM."""

import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Gateways"]

PUSH_INTERVAL_S = 0.5
GATEWAY_RECONNECT_TIMEOUT_S = 5.0


class Gateways:
    """Sends the configuration and the list of entries to the gateways.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    configuration : dogwoodwheel.membership.configuration.Configuration
    slots : dogwoodwheel.requests.inflight.InFlightTable
    nursery : trio.Nursery
        Runs the tasks that free the slots of ended gateways.

    Attributes
    ----------
    on_change : callable
        Called whenever the result of `usable_addresses` may change.
    """

    def __init__(self, fleet, configuration, slots, nursery):
        self.fleet = fleet
        self.configuration = configuration
        self.slots = slots
        self.nursery = nursery
        self.on_change = lambda: None
        self.leaving_addresses = set()
        self.public_addresses = fleet.settings.public_addresses
        self._connections = {}

    def __len__(self):
        return len(self._connections)

    async def serve(self, connection):
        """Send updates to a gateway until its connection ends."""
        while connection.peer is None:
            await trio.sleep(PUSH_INTERVAL_S / 10)
        if connection.peer.role != "gateway":
            return
        self._add(connection)
        try:
            await self._push_configuration(connection)
        except exceptions.PeerError:
            return
        finally:
            self._remove(connection)

    def on_heartbeat(self, connection, msg):
        """Record whether a gateway's heartbeat reports that it drains."""
        if msg.leaving:
            self.leaving_addresses.add(connection.peer.address)
            self.on_change()

    def usable_addresses(self):
        """Return the addresses of this VM's gateways that callers may use.

        Notes
        -----
        These are the public addresses of gateways that are connected and
        not draining.  If gateways are connected, but none reported a
        public address, callers use other addresses than the gateways
        listen on, and all public addresses count as connected.
        """
        connected_addresses = set(self._connections) & set(
            self.public_addresses
        )
        if self._connections and not connected_addresses:
            connected_addresses = set(self.public_addresses)
        return tuple(
            address
            for address in self.public_addresses
            if address in connected_addresses - self.leaving_addresses
        )

    def entry_addresses(self):
        """Return the addresses that callers should use, in random order.

        Notes
        -----
        Entries that drain or are in an evacuated zone are left out.  If
        that leaves none, all live entries are listed, since a refusal is
        more useful to callers than no reply.
        """
        view = self.fleet.view
        names = [name for name in view.live if self._is_listed(name)]
        names = names or list(view.live)
        addresses = [
            address
            for name in names
            for address in view.entries[name].public
            if address not in self.leaving_addresses
        ]
        random.shuffle(addresses)
        return tuple(addresses)

    def _is_listed(self, name):
        view = self.fleet.view
        if name == self.fleet.me and self.configuration.leaving:
            return False
        if name in view.leaving:
            return False
        zone = view.declaration.zones.get(view.entries[name].zone)
        return zone is None or zone.state == "in"

    async def _push_configuration(self, connection):
        sent_version = 0
        while True:
            cfg = self.configuration
            msg = cfg.message(with_text=cfg.version > sent_version)
            sent_version = cfg.version
            if cfg.version:
                await connection.send(
                    _with_entries(msg, self.entry_addresses())
                )
            with trio.move_on_after(PUSH_INTERVAL_S):
                while cfg.version == sent_version:
                    await self.fleet.changed()

    def _add(self, connection):
        peer = connection.peer
        self._connections[peer.address] = connection
        self.leaving_addresses.discard(peer.address)
        self.on_change()
        logger.info("gateways: connected gateway={}", peer.address)
        for slot_in_use in self.slots.stale_slots_of(
            peer.address, peer.incarnation
        ):
            # A newer gateway process listens on this address, so the
            # process that used the slot has ended.
            self.nursery.start_soon(self._free_slot, slot_in_use)

    def _remove(self, connection):
        peer = connection.peer
        if self._connections.get(peer.address) is connection:
            del self._connections[peer.address]
        logger.info("gateways: disconnected gateway={}", peer.address)
        self.nursery.start_soon(self._free_slots_unless_reconnected, peer)

    async def _free_slots_unless_reconnected(self, peer):
        """Free the slots of a gateway that does not reconnect."""
        await trio.sleep(GATEWAY_RECONNECT_TIMEOUT_S)
        connection = self._connections.get(peer.address)
        if (
            connection is not None
            and connection.peer.incarnation == peer.incarnation
        ):
            return
        for slot_in_use in self.slots.slots_of(peer.address, peer.incarnation):
            await self._free_slot(slot_in_use)

    async def _free_slot(self, slot_in_use):
        self.slots.remove(slot_in_use.slot)
        owner, _ = self.fleet.view.owner_of(slot_in_use.endpoint)
        if owner is not None:
            await self.fleet.send(
                owner.name,
                messages.Done(
                    0, slot_in_use.slot, slot_in_use.endpoint, "cancelled"
                ),
            )


def _with_entries(msg, entries):
    return messages.Config(
        msg.id,
        msg.version,
        msg.digest,
        msg.text,
        msg.fresh_s,
        msg.leaving,
        entries,
    )
