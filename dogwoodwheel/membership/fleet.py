"""This entry's access to the fleet: its view, and calls to others."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import proof
from dogwoodwheel.membership import sightings

__all__ = ["Fleet"]

TELL_TIMEOUT_S = 1.0
OVERDUE_S = 4.0
OVERDUE_SCANS = 4


class Fleet:
    """What the parts of a coordinator know of the fleet, and call.

    Parameters
    ----------
    settings : dogwoodwheel.programs.settings.CoordinatorSettings
    incarnation : str
    view : dogwoodwheel.membership.view.View
    metrics : dogwoodwheel.programs.metrics.Metrics

    Attributes
    ----------
    peers : dogwoodwheel.membership.peers.Peers
        Set by the program before the first call.
    handle : callable
        ``await handle(msg, link)`` answers a message to this entry.
    """

    def __init__(self, settings, incarnation, view, metrics):
        self.settings = settings
        self.me = settings.name
        self.incarnation = incarnation
        self.view = view
        self.metrics = metrics
        self.peers = None
        self.handle = None
        self.presence = proof.Presence()
        self.beats = proof.Heartbeats(OVERDUE_S, OVERDUE_SCANS)
        self.sightings = sightings.Sightings()
        self._changed = trio.Event()

    def dial_address(self, address):
        """Return the address to dial for an advertised one."""
        return self.settings.dial_address(address)

    def update(self, **changes):
        """Replace the view, and wake those who wait for that."""
        view = dataclasses.replace(self.view, **changes)
        if view == self.view:
            return
        self.view = view
        self._changed.set()
        self._changed = trio.Event()

    async def changed(self):
        """Return when the view is replaced."""
        await self._changed.wait()

    async def call(self, name, msg, timeout_s):
        """Call an entry, maybe this one, and return its reply.

        Raises
        ------
        PeerError
            If it is unknown or did not reply in time.
        """
        if name == self.me:
            reply = await self._local(msg, timeout_s)
            if reply is None:
                raise exceptions.PeerError(
                    f"{type(msg).__name__} failed at this entry; retry"
                )
            return reply
        return await self.peers.call(self._entry(name), msg, timeout_s)

    async def tell(self, name, msg):
        """Send a message to an entry, as far as that is possible."""
        try:
            if name == self.me:
                await self._local(msg, TELL_TIMEOUT_S)
            else:
                entry = self._entry(name)
                await self.peers.tell(entry, msg, TELL_TIMEOUT_S)
        except exceptions.PeerError as exc:
            logger.debug("fleet: message to {} lost; {}", name, exc)

    def gone(self, name, incarnation):
        """Tell whether a process of an entry is proved gone.

        Parameters
        ----------
        name : str
        incarnation : str

        Notes
        -----
        Proof is a newer process that took its place, which holds the
        port that the older one needs, or the platform's list of VMs,
        which has lacked the VM for longer than its lag.  The row of an
        entry is deleted only after such a proof.  An entry that was
        never seen is not gone: its row may be newer than our scan.
        """
        if self.sightings.superseded(name, incarnation):
            return True
        return name != self.me and self.vm_gone(name)

    def vm_gone(self, name):
        """Tell whether an entry's VM is proved gone.

        Notes
        -----
        The platform's list may be wrong for long, so the entry's own
        heartbeat must be overdue as well.
        """
        now = trio.current_time()
        lag_s = self.view.declaration.vm_list_lag_s
        return self.beats.overdue(name, now) and self.presence.gone(
            name, now, lag_s
        )

    def sample(self, count):
        """Return up to ``count`` other entries' names at random."""
        names = [name for name in self.view.entries if name != self.me]
        return random.sample(names, min(count, len(names)))

    def _entry(self, name):
        entry = self.view.entries.get(name)
        if entry is None:
            raise exceptions.PeerError(
                f"entry {name} is unknown; read the list of entries again"
            )
        return entry

    async def _local(self, msg, timeout_s):
        with trio.move_on_after(max(timeout_s, 0)):
            return await self.handle(msg, None)
        raise exceptions.PeerError(
            f"no reply to {type(msg).__name__} within {timeout_s:.1f} s; "
            f"retry"
        )
