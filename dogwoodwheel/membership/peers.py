"""Connections to the coordinators of the other entries."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = ["Peers", "Traffic", "hello_of"]

MIN_RECONNECT_BACKOFF_S = 0.1
MAX_RECONNECT_BACKOFF_S = 2.0
CONNECT_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Numbers of messages and bytes sent and received over connections."""

    sent_messages: int = 0
    received_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def add_connection(self, conn):
        """Return the sum of this traffic and a connection's traffic."""
        return Traffic(
            self.sent_messages + conn.sent_messages,
            self.received_messages + conn.received_messages,
            self.sent_bytes + conn.sent_bytes,
            self.received_bytes + conn.received_bytes,
        )


class Peer:
    """Another entry, to which a task keeps a connection open.

    Parameters
    ----------
    name : str
    address : str
        ``IP:PORT`` to dial.
    hello : dogwoodwheel.wire.messages.Hello
    handle : callable
        ``await handle(msg, connection)`` returns the reply to a message.
    on_closed : callable
        Called with each connection that has closed.
    """

    def __init__(self, name, address, hello, handle, on_closed):
        self.name = name
        self.address = address
        self.hello = hello
        self.handle = handle
        self.on_closed = on_closed
        self.connection = None
        self.cancel_scope = trio.CancelScope()
        self._connected = trio.Event()

    async def run(self):
        """Connect, send the `Hello` and read; reconnect after a failure."""
        with self.cancel_scope:
            backoff_s = MIN_RECONNECT_BACKOFF_S
            while True:
                try:
                    await self._connect_and_read()
                    backoff_s = MIN_RECONNECT_BACKOFF_S
                except exceptions.PeerError as exc:
                    logger.debug(
                        "peers: connection to {} failed; {}", self.name, exc
                    )
                # Jitter keeps entries from reconnecting at the same time.
                await trio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(2 * backoff_s, MAX_RECONNECT_BACKOFF_S)

    async def _connect_and_read(self):
        conn = await rpc.connect(self.address, self.handle)
        try:
            await conn.send(self.hello)
            self.connection = conn
            self._connected.set()
            await conn.run()
        finally:
            self.connection = None
            self.on_closed(conn)
            self._connected = trio.Event()
            # The stream is still open if the connection failed before its
            # reader started.
            await trio.aclose_forcefully(conn.stream)

    async def wait_for_connection(self, timeout_s):
        """Return the connection, once it is established.

        Raises
        ------
        PeerError
            If there is no connection after ``timeout_s`` seconds.
        """
        with trio.move_on_after(max(timeout_s, 0)):
            while self.connection is None:
                await self._connected.wait()
        if self.connection is None:
            raise exceptions.PeerError(
                f"no link to entry {self.name} at {self.address}; "
                f"is its coordinator running?"
            )
        return self.connection


class Peers:
    """Connections to the other entries, opened by the first message.

    Parameters
    ----------
    hello : dogwoodwheel.wire.messages.Hello
    handle : callable
        ``await handle(msg, connection)`` returns the reply to a message.
    dial_address : callable
        ``dial_address(address)`` returns the address to dial for an
        advertised address.
    nursery : trio.Nursery
        Runs the tasks of the peers.
    """

    def __init__(self, hello, handle, dial_address, nursery):
        self.hello = hello
        self.handle = handle
        self.dial_address = dial_address
        self.nursery = nursery
        self._peers = {}
        self._closed_traffic = Traffic()

    async def call(self, entry, msg, timeout_s):
        """Call an entry and return its reply.

        Parameters
        ----------
        entry : dogwoodwheel.membership.view.Entry
        msg : object
            A message of `dogwoodwheel.wire.messages`.
        timeout_s : float
            Time limit for connecting and for the reply, seconds.

        Raises
        ------
        PeerError
        """
        deadline = trio.current_time() + timeout_s
        conn = await self._get_peer(entry).wait_for_connection(
            min(timeout_s, CONNECT_WAIT_S)
        )
        return await conn.call(msg, deadline - trio.current_time())

    async def send(self, entry, msg, timeout_s):
        """Send a message that needs no reply.

        Raises
        ------
        PeerError
        """
        conn = await self._get_peer(entry).wait_for_connection(timeout_s)
        await conn.send(msg)

    def traffic(self):
        """Return the `Traffic` of all connections that this entry opened.

        Notes
        -----
        A connection carries the requests of the entry that opened it,
        and their replies.  Requests that other entries send to this
        entry are counted at those entries.
        """
        total = self._closed_traffic
        for peer in self._peers.values():
            if peer.connection is not None:
                total = total.add_connection(peer.connection)
        return total

    def _on_closed(self, conn):
        self._closed_traffic = self._closed_traffic.add_connection(conn)

    def close_except(self, names):
        """Close the connections to all entries that are not in ``names``."""
        for name in set(self._peers) - set(names):
            self._peers.pop(name).cancel_scope.cancel()

    def _get_peer(self, entry):
        peer = self._peers.get(entry.name)
        address = self.dial_address(entry.peer)
        if peer is not None and peer.address == address:
            return peer
        if peer is not None:
            peer.cancel_scope.cancel()
        peer = Peer(
            entry.name, address, self.hello, self.handle, self._on_closed
        )
        self._peers[entry.name] = peer
        self.nursery.start_soon(peer.run)
        return peer


def hello_of(settings, incarnation):
    """Return the `Hello` message of this coordinator."""
    return messages.Hello(
        0, "coordinator", settings.name, settings.zone, incarnation
    )
