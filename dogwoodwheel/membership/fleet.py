"""The fleet as this entry sees it, and calls to other entries."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import failure_detection
from dogwoodwheel.membership import known_entries

__all__ = ["Fleet"]

SEND_TIMEOUT_S = 1.0
HEARTBEAT_OVERDUE_S = 4.0
HEARTBEAT_OVERDUE_SCANS = 4


class Fleet:
    """Holds the view of the fleet, and sends messages to entries.

    Parameters
    ----------
    settings : dogwoodwheel.programs.settings.CoordinatorSettings
    incarnation : str
    view : dogwoodwheel.membership.view.View
    metrics : dogwoodwheel.programs.metrics.Metrics

    Attributes
    ----------
    peers : dogwoodwheel.membership.peers.Peers
        Connections to the other entries; the program sets them before
        the first call.
    handle : callable
        ``await handle(msg, connection)`` returns the reply to a message;
        the connection is None for a message that this entry sent to
        itself.
    """

    def __init__(self, settings, incarnation, view, metrics):
        self.settings = settings
        self.me = settings.name
        self.incarnation = incarnation
        self.view = view
        self.metrics = metrics
        self.peers = None
        self.handle = None
        self.vm_presence = failure_detection.Presence()
        self.heartbeat_monitor = failure_detection.HeartbeatMonitor(
            HEARTBEAT_OVERDUE_S, HEARTBEAT_OVERDUE_SCANS
        )
        self.known_entries = known_entries.KnownEntries()
        self._view_changed = trio.Event()

    def dial_address(self, address):
        """Return the address to dial for an advertised address."""
        return self.settings.dial_address(address)

    def update(self, **changes):
        """Replace fields of the view, and wake tasks that await `changed`."""
        view = dataclasses.replace(self.view, **changes)
        if view == self.view:
            return
        self.view = view
        self._view_changed.set()
        self._view_changed = trio.Event()

    async def changed(self):
        """Wait until the view is replaced."""
        await self._view_changed.wait()

    async def call(self, name, msg, timeout_s):
        """Call this or another entry, and return the reply.

        Raises
        ------
        PeerError
            If the entry is unknown or did not reply in time.
        """
        if name == self.me:
            reply = await self._call_local(msg, timeout_s)
            if reply is None:
                raise exceptions.PeerError(
                    f"{type(msg).__name__} failed at this entry; retry"
                )
            return reply
        return await self.peers.call(self._known_entry(name), msg, timeout_s)

    async def send(self, name, msg):
        """Send an entry a message that needs no reply; log a failure."""
        try:
            if name == self.me:
                await self._call_local(msg, SEND_TIMEOUT_S)
            else:
                entry = self._known_entry(name)
                await self.peers.send(entry, msg, SEND_TIMEOUT_S)
        except exceptions.PeerError as exc:
            logger.debug("fleet: message to {} lost; {}", name, exc)

    def gone(self, name, incarnation):
        """Return whether a process of an entry is proved gone.

        Parameters
        ----------
        name : str
        incarnation : str

        Notes
        -----
        There are three proofs.  A newer process of the entry has
        registered: it holds the port that the older process needs.  The
        platform's list of VMs has lacked the VM for longer than the
        list's lag.  The entry's row was deleted: an entry deletes its
        own row only after it has handed over all partitions, and the row
        of another entry only if the list of VMs proves that entry gone.
        An entry whose row was never seen is not proved gone, since its
        row may be newer than the last scan.
        """
        if self.known_entries.superseded(name, incarnation):
            return True
        return name != self.me and self.vm_gone(name)

    def vm_gone(self, name):
        """Return whether an entry's VM is proved gone.

        Notes
        -----
        The platform's list of VMs may be wrong for a long time, so the
        entry's own heartbeat must be overdue as well.
        """
        now = trio.current_time()
        lag_s = self.view.declaration.vm_list_lag_s
        return self.heartbeat_monitor.overdue(
            name, now
        ) and self.vm_presence.gone(name, now, lag_s)

    def sample(self, count):
        """Return the names of up to ``count`` random other entries."""
        names = [name for name in self.view.entries if name != self.me]
        return random.sample(names, min(count, len(names)))

    def _known_entry(self, name):
        entry = self.view.entries.get(name)
        if entry is None:
            raise exceptions.PeerError(
                f"entry {name} is unknown; read the list of entries again"
            )
        return entry

    async def _call_local(self, msg, timeout_s):
        with trio.move_on_after(max(timeout_s, 0)):
            return await self.handle(msg, None)
        raise exceptions.PeerError(
            f"no reply to {type(msg).__name__} within {timeout_s:.1f} s; "
            f"retry"
        )
