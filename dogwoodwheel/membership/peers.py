"""Links to the coordinators of the other entries."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = ["Peers", "Traffic", "hello_of"]

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0
LINK_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Messages and bytes of links, by direction."""

    sent_messages: int = 0
    received_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def plus(self, conn):
        """Return the sum with a link's own counters."""
        return Traffic(
            self.sent_messages + conn.sent_messages,
            self.received_messages + conn.received_messages,
            self.sent_bytes + conn.sent_bytes,
            self.received_bytes + conn.received_bytes,
        )


class Peer:
    """One other entry: a task keeps a link to it.

    Parameters
    ----------
    name : str
    address : str
    hello : dogwoodwheel.wire.messages.Hello
    handle : callable
    ended : callable
        Told each link that has ended.
    """

    def __init__(self, name, address, hello, handle, ended):
        self.name = name
        self.address = address
        self.hello = hello
        self.handle = handle
        self.ended = ended
        self.link = None
        self.scope = trio.CancelScope()
        self._up = trio.Event()

    async def run(self):
        """Connect, say hello, read; again after each break."""
        with self.scope:
            pause_s = BACKOFF_FIRST_S
            while True:
                try:
                    await self._once()
                    pause_s = BACKOFF_FIRST_S
                except exceptions.PeerError as exc:
                    logger.debug("peers: {} {}", self.name, exc)
                # Jitter keeps entries from dialing in step.
                await trio.sleep(pause_s * (0.5 + random.random()))
                pause_s = min(2 * pause_s, BACKOFF_MAX_S)

    async def _once(self):
        conn = await rpc.connect(self.address, self.handle)
        try:
            await conn.send(self.hello)
            self.link = conn
            self._up.set()
            await conn.run()
        finally:
            self.link = None
            self.ended(conn)
            self._up = trio.Event()
            # The link may have failed before its reader began.
            await trio.aclose_forcefully(conn.stream)

    async def ready(self, timeout_s):
        """Return the link, once it is up."""
        with trio.move_on_after(max(timeout_s, 0)):
            while self.link is None:
                await self._up.wait()
        if self.link is None:
            raise exceptions.PeerError(
                f"no link to entry {self.name} at {self.address}; "
                f"is its coordinator running?"
            )
        return self.link


class Peers:
    """Links to every other entry that was spoken to.

    Parameters
    ----------
    hello : dogwoodwheel.wire.messages.Hello
    handle : callable
    dial_address : callable
        Returns the address to dial for an advertised one.
    nursery : trio.Nursery
        Where the tasks of the peers run.
    """

    def __init__(self, hello, handle, dial_address, nursery):
        self.hello = hello
        self.handle = handle
        self.dial_address = dial_address
        self.nursery = nursery
        self._peers = {}
        self._ended = Traffic()

    async def call(self, entry, msg, timeout_s):
        """Call an entry and return its reply.

        Parameters
        ----------
        entry : dogwoodwheel.membership.view.Entry
        msg : message
        timeout_s : float

        Raises
        ------
        PeerError
        """
        until = trio.current_time() + timeout_s
        conn = await self._peer(entry).ready(min(timeout_s, LINK_WAIT_S))
        return await conn.call(msg, until - trio.current_time())

    async def tell(self, entry, msg, timeout_s):
        """Send a message that needs no reply.

        Raises
        ------
        PeerError
        """
        conn = await self._peer(entry).ready(timeout_s)
        await conn.send(msg)

    def traffic(self):
        """Return the `Traffic` of all links that this entry opened.

        Notes
        -----
        A link that an entry opened carries its own questions and the
        replies; what others ask of it counts at them.
        """
        total = self._ended
        for peer in self._peers.values():
            if peer.link is not None:
                total = total.plus(peer.link)
        return total

    def _end(self, conn):
        self._ended = self._ended.plus(conn)

    def keep(self, names):
        """End the links to every entry but those named."""
        for name in set(self._peers) - set(names):
            self._peers.pop(name).scope.cancel()

    def _peer(self, entry):
        peer = self._peers.get(entry.name)
        address = self.dial_address(entry.peer)
        if peer is not None and peer.address == address:
            return peer
        if peer is not None:
            peer.scope.cancel()
        peer = Peer(entry.name, address, self.hello, self.handle, self._end)
        self._peers[entry.name] = peer
        self.nursery.start_soon(peer.run)
        return peer


def hello_of(settings, incarnation):
    """Return the `Hello` of this coordinator."""
    return messages.Hello(
        0, "coordinator", settings.name, settings.zone, incarnation
    )
