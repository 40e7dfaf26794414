"""Heartbeats between the entries of a fleet, sent as datagrams.

Notes
-----
Each entry sends its complete state in a full heartbeat, several times per
second in a small fleet and about once per second in a large one.  Between
full heartbeats it sends brief ones when its state changes.  A lost
datagram is not sent again: the next heartbeat replaces it.  No request
waits for a heartbeat.
"""

import dataclasses
import math
import random
import socket

from loguru import logger
import trio

from dogwoodwheel.entry import datagrams
from dogwoodwheel.entry import heartbeat_fields
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["HeartbeatExchange", "Peer", "full_heartbeat_interval_s"]

# The interval of full heartbeats is INTERVAL_PER_ENTRY_S times the number of
# entries, but at least MIN_INTERVAL_S.  An entry then receives at most
# 1 / INTERVAL_PER_ENTRY_S = 80 full heartbeats per second.
MIN_INTERVAL_S = 0.25
INTERVAL_PER_ENTRY_S = 0.0125
# A peer is silent once no heartbeat from it has arrived for SILENT_INTERVALS
# intervals of full heartbeats, and for at least MIN_SILENT_S.
SILENT_INTERVALS = 4
MIN_SILENT_S = 0.9
# A peer is removed once no heartbeat from it has arrived for this time.
PEER_REMOVAL_S = 15.0
RECEIVE_BUFFER_BYTES = 65536
# Maximum size of a compressed message, slightly less than a datagram holds.
MAX_MESSAGE_BYTES = 60000
# Number of datagrams that an entry sends at once.  The entries of a large
# fleet spread each full heartbeat over its interval: if all datagrams left at
# once, they would fill the queue of the link, here or at the receiver, and
# the same peers would miss each heartbeat.
DATAGRAMS_PER_BURST = 16
# Minimum number of entries of a large fleet.  In a large fleet, a message
# that only some entries need is sent to those entries only.
LARGE_FLEET_ENTRIES = 16
# Minimum pause after a brief heartbeat in a large fleet, where a brief
# heartbeat may need a datagram to each of many entries.
LARGE_FLEET_MIN_PAUSE_S = 0.1
# Pause of an entry of a large fleet after it has read all datagrams that have
# arrived, that is, had to wait MIN_RECEIVE_WAIT_S for one.  Datagrams that
# arrive meanwhile are read together, which wakes the process less often.
LARGE_FLEET_RECEIVE_PAUSE_S = 0.05
MIN_RECEIVE_WAIT_S = 0.001
# Maximum length of what a log line shows of a message that is odd.
MAX_SHOWN_LETTERS = 200
# Maximum age of `HeartbeatExchange.live_peer_count`.
LIVE_COUNT_MAX_AGE_S = 0.1


def full_heartbeat_interval_s(entry_count):
    """Return the interval of full heartbeats in a fleet, in seconds."""
    return max(MIN_INTERVAL_S, INTERVAL_PER_ENTRY_S * entry_count)


@dataclasses.dataclass(frozen=True)
class Peer:
    """The newest heartbeat of a peer, with its time of arrival.

    Parameters
    ----------
    heartbeat : dogwoodwheel.wire.messages.EntryBeat
    received_at : float
        Time of trio's clock.
    """

    heartbeat: object
    received_at: float


class HeartbeatExchange:
    """Sends the heartbeats of this entry and receives those of its peers.

    Parameters
    ----------
    address : str
        ``IP:PORT`` at which this entry receives datagrams.

    Attributes
    ----------
    peers : dict of str to Peer
        Peers by name, until they have been silent for `PEER_REMOVAL_S`.
    contact_addresses : set of str
        Addresses, ``IP:PORT``, at which other peers may receive
        heartbeats.
    compose : callable
        ``compose(brief, outcomes)`` returns this entry's next heartbeat.  A
        brief heartbeat omits request outcomes, and lists loaded models only
        of engines whose models changed since the last heartbeat.
    take_outcomes : callable
        ``take_outcomes()`` returns the request outcomes since the last call,
        for the next full heartbeat.
    on_heartbeat : callable
        ``on_heartbeat(previous, heartbeat)`` is called for each heartbeat
        received.  ``previous`` is the preceding heartbeat of the same
        process instance, or None.
    on_scan : callable
        ``on_scan(msg)`` is called with a peer's scan of the endpoints, an
        `EndpointRows` message.
    is_leader : callable
        ``is_leader()`` returns whether this entry holds the lease.
    """

    def __init__(self, address):
        self.address = address
        self.peers = {}
        self.contact_addresses = set()
        self.compose = None
        self.take_outcomes = dict
        self.on_heartbeat = None
        self.on_scan = None
        self.is_leader = lambda: False
        self._ended_incarnations = set()
        self._sock = None
        self._send_requested = trio.Event()
        self._send_to_all = False
        self._live_count = 0
        self._live_counted_at = -math.inf

    def open(self):
        """Bind the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, int(port)))
        sock.setblocking(False)
        self._sock = trio.socket.from_stdlib_socket(sock)

    def add_contacts(self, addresses):
        """Add addresses at which peers may receive heartbeats."""
        self.contact_addresses.update(
            a for a in addresses if a != self.address
        )

    @property
    def is_large_fleet(self):
        """Whether the fleet has at least `LARGE_FLEET_ENTRIES` entries."""
        return len(self.peers) + 1 >= LARGE_FLEET_ENTRIES

    @property
    def interval_s(self):
        """Interval between two full heartbeats, in seconds."""
        return full_heartbeat_interval_s(len(self.peers) + 1)

    def send_soon(self, to_all=True):
        """Request a brief heartbeat before the next full one is due.

        Parameters
        ----------
        to_all : bool
            Whether all peers need the heartbeat.  If False, the entry of a
            large fleet sends the heartbeat to no peer but the leader.
        """
        self._send_to_all = self._send_to_all or to_all
        self._send_requested.set()

    def live_peers(self, now=None):
        """Return the peers that are not silent, by name."""
        now = trio.current_time() if now is None else now
        max_age_s = self.silence_limit_s()
        return {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.received_at <= max_age_s
        }

    def live_peer_count(self):
        """Return the number of peers that are not silent.

        Notes
        -----
        The count is up to `LIVE_COUNT_MAX_AGE_S` old: it is needed for each
        heartbeat and each request, and to count takes as long as there are
        peers.
        """
        now = trio.current_time()
        if now - self._live_counted_at > LIVE_COUNT_MAX_AGE_S:
            self._live_count = len(self.live_peers(now))
            self._live_counted_at = now
        return min(self._live_count, len(self.peers))

    def silence_limit_s(self):
        """Return the heartbeat age, in s, above which a peer is silent."""
        return max(MIN_SILENT_S, SILENT_INTERVALS * self.interval_s)

    async def run(self):
        """Send and receive heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_datagrams)
            nursery.start_soon(self._send_periodically)

    async def _send_periodically(self):
        while True:
            bursts = self._bursts()
            outcomes = self.take_outcomes()
            pause_s = self.interval_s / max(1, len(bursts))
            next_burst_at = trio.current_time()
            for addresses in bursts:
                # Composed anew, as the contents age during the interval.
                await self._send_to(
                    addresses, self.compose(brief=False, outcomes=outcomes)
                )
                next_burst_at += pause_s
                await self._send_brief_until(next_burst_at)
            self._remove_silent_peers()
            if not bursts:
                await self._send_brief_until(next_burst_at + pause_s)

    async def _send_brief_until(self, end_at):
        """Send a brief heartbeat whenever one is requested, until a time."""
        while trio.current_time() < end_at:
            with trio.move_on_at(end_at):
                await self._send_requested.wait()
                self._send_requested = trio.Event()
                await self._send_brief_heartbeat()
                if self.is_large_fleet:
                    await trio.sleep(LARGE_FLEET_MIN_PAUSE_S)

    def _bursts(self):
        """Return the addresses for the next full heartbeat, in bursts."""
        addresses = sorted(self._all_addresses())
        if not self.is_large_fleet:
            return [addresses] if addresses else []
        # In a random order, all peers miss equally few heartbeats.
        random.shuffle(addresses)
        return [
            addresses[n : n + DATAGRAMS_PER_BURST]
            for n in range(0, len(addresses), DATAGRAMS_PER_BURST)
        ]

    async def send_heartbeat(self):
        """Send a full heartbeat to all peers at once."""
        heartbeat = self.compose(brief=False, outcomes=self.take_outcomes())
        await self._send_to(self._all_addresses(), heartbeat)

    async def _send_brief_heartbeat(self):
        """Send a brief heartbeat to all peers, or only to the leader."""
        to_all, self._send_to_all = self._send_to_all, False
        if self.is_large_fleet and not to_all and self.is_leader():
            return
        addresses = {
            peer.heartbeat.peers
            for peer in self.peers.values()
            if peer.heartbeat.lease and peer.heartbeat.lease[0]
        }
        if to_all or not addresses or not self.is_large_fleet:
            addresses = self._all_addresses()
        await self._send_to(addresses, self.compose(brief=True, outcomes={}))

    def _all_addresses(self):
        return {
            p.heartbeat.peers for p in self.peers.values()
        } | self.contact_addresses

    async def send_to_zone(self, msg, zone):
        """Send a message to the live peers of an availability zone."""
        addresses = {
            peer.heartbeat.peers
            for peer in self.live_peers().values()
            if peer.heartbeat.zone == zone
        }
        await self._send_to(addresses, msg)

    async def _send_to(self, addresses, msg):
        datagram = datagrams.encode(msg)
        if len(datagram) > MAX_MESSAGE_BYTES:
            logger.warning(
                "heartbeats: message too large for a datagram",
                kind=type(msg).__name__,
                bytes=len(datagram),
            )
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                await self._sock.sendto(datagram, (host, int(port)))
            except OSError as exc:
                logger.debug(
                    "heartbeats: datagram not sent",
                    address=address,
                    why=str(exc),
                )

    async def _receive_datagrams(self):
        while True:
            began_at = trio.current_time()
            try:
                datagram, _ = await self._sock.recvfrom(RECEIVE_BUFFER_BYTES)
            except OSError as exc:
                # The kernel reports here that the port to which an earlier
                # datagram was sent is closed.
                logger.debug("heartbeats: receive failed", why=str(exc))
                continue
            all_read = trio.current_time() - began_at > MIN_RECEIVE_WAIT_S
            self._process_datagram(datagram)
            # The leader reads at once that a request waits.
            if all_read and self.is_large_fleet and not self.is_leader():
                await trio.sleep(LARGE_FLEET_RECEIVE_PAUSE_S)

    def _process_datagram(self, datagram):
        try:
            msg = datagrams.decode(datagram)
        except exceptions.WireError as exc:
            logger.warning("heartbeats: malformed datagram", why=str(exc))
            return
        try:
            heartbeat_fields.check(msg)
            if isinstance(msg, messages.EndpointRows):
                self.on_scan(msg)
            else:
                self.process_heartbeat(msg, trio.current_time())
        except (
            ArithmeticError,
            AttributeError,
            LookupError,
            TypeError,
            ValueError,
            exceptions.WireError,
        ) as exc:
            # Peers of another release may send fields of another shape while
            # a fleet is upgraded; this entry must go on serving.
            logger.warning(
                "heartbeats: fields not understood",
                kind=type(msg).__name__,
                peer=str(getattr(msg, "name", ""))[:MAX_SHOWN_LETTERS],
                why=repr(exc)[:MAX_SHOWN_LETTERS],
            )

    def process_heartbeat(self, heartbeat, now):
        """Record a peer's heartbeat, unless a newer one has arrived."""
        if heartbeat.peers == self.address:
            return
        previous = self.peers.get(heartbeat.name)
        same_instance = previous is not None and (
            previous.heartbeat.incarnation == heartbeat.incarnation
        )
        if heartbeat.incarnation in self._ended_incarnations or (
            same_instance and heartbeat.id < previous.heartbeat.id
        ):
            return
        if previous is not None and not same_instance:
            self._ended_incarnations.add(previous.heartbeat.incarnation)
        self.peers[heartbeat.name] = Peer(heartbeat, now)
        self.add_contacts(heartbeat.known)
        if not same_instance:
            logger.info(
                "heartbeats: new peer",
                name=heartbeat.name,
                incarnation=heartbeat.incarnation,
                address=heartbeat.peers,
            )
        elif now - previous.received_at > self.silence_limit_s():
            logger.info(
                "heartbeats: peer is no longer silent", name=heartbeat.name
            )
        self.on_heartbeat(
            previous.heartbeat if same_instance else None, heartbeat
        )

    def _remove_silent_peers(self):
        now = trio.current_time()
        for name, peer in list(self.peers.items()):
            if now - peer.received_at > PEER_REMOVAL_S:
                del self.peers[name]
                self.contact_addresses.discard(peer.heartbeat.peers)
                logger.info("heartbeats: silent peer removed", name=name)
