"""The gateways that are connected to this coordinator."""

import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["Gateways"]

PUSH_S = 0.5
RECONNECT_S = 5.0


class Gateways:
    """Tells the gateways of this VM the configuration and the entries.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    configuration : dogwoodwheel.membership.configuration.Configuration
    slots : dogwoodwheel.requests.inflight.InFlightTable
    nursery : trio.Nursery

    Attributes
    ----------
    changed : callable
        Told whenever `open` may have changed.
    """

    def __init__(self, fleet, configuration, slots, nursery):
        self.fleet = fleet
        self.configuration = configuration
        self.slots = slots
        self.nursery = nursery
        self.changed = lambda: None
        self.leaving = set()
        self.public = fleet.settings.public
        self._links = {}

    def __len__(self):
        return len(self._links)

    async def serve(self, link):
        """Push to a gateway for as long as its link lasts."""
        while link.peer is None:
            await trio.sleep(PUSH_S / 10)
        if link.peer.role != "gateway":
            return
        self._arrived(link)
        try:
            await self._push(link)
        except exceptions.PeerError:
            return
        finally:
            self._left(link)

    def on_beat(self, link, msg):
        """Take a gateway's notice that it leaves."""
        if msg.leaving:
            self.leaving.add(link.peer.address)
            self.changed()

    def open(self):
        """Return the addresses of our gateways that callers may use.

        Notes
        -----
        Those that are connected here and do not leave.  Where none of
        the addresses is one that a gateway told, callers reach all of
        them by other addresses, and all are named.
        """
        told = set(self._links) & set(self.public)
        if self._links and not told:
            told = set(self.public)
        return tuple(a for a in self.public if a in told - self.leaving)

    def entries(self):
        """Return the addresses that callers should use, shuffled.

        Notes
        -----
        Entries in a zone that is out are off the list.  Where no entry
        is left, all that are live are named, since a refusal that
        callers can read beats silence.
        """
        current = self.fleet.view
        names = [n for n in current.live if self._listed(n)]
        names = names or list(current.live)
        found = [
            address
            for name in names
            for address in current.entries[name].public
            if address not in self.leaving
        ]
        random.shuffle(found)
        return tuple(found)

    def _listed(self, name):
        current = self.fleet.view
        if name == self.fleet.me and self.configuration.leaving:
            return False
        if name in current.leaving:
            return False
        zone = current.declaration.zones.get(current.entries[name].zone)
        return zone is None or zone.state == "in"

    async def _push(self, link):
        known = 0
        while True:
            cfg = self.configuration
            msg = cfg.message(with_text=cfg.version > known)
            known = cfg.version
            if cfg.version:
                await link.send(_with_entries(msg, self.entries()))
            with trio.move_on_after(PUSH_S):
                while cfg.version == known:
                    await self.fleet.changed()

    def _arrived(self, link):
        peer = link.peer
        self._links[peer.address] = link
        self.leaving.discard(peer.address)
        self.changed()
        logger.info("gateways: connected gateway={}", peer.address)
        for held in self.slots.of_older(peer.address, peer.incarnation):
            # A newer process serves that address: the older one ended.
            self.nursery.start_soon(self._release, held)

    def _left(self, link):
        peer = link.peer
        if self._links.get(peer.address) is link:
            del self._links[peer.address]
        logger.info("gateways: lost gateway={}", peer.address)
        self.nursery.start_soon(self._expire, peer)

    async def _expire(self, peer):
        """Free the slots of a gateway that does not come back."""
        await trio.sleep(RECONNECT_S)
        link = self._links.get(peer.address)
        if link is not None and link.peer.incarnation == peer.incarnation:
            return
        for held in self.slots.of(peer.address, peer.incarnation):
            await self._release(held)

    async def _release(self, held):
        self.slots.remove(held.slot)
        owner, _ = self.fleet.view.owner_of(held.endpoint)
        if owner is not None:
            await self.fleet.tell(
                owner.name,
                messages.Done(0, held.slot, held.endpoint, "cancelled"),
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
