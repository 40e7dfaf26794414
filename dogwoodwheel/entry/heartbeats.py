"""What entries tell each other, by datagrams.

Notes
-----
Each entry sends its whole state several times a second, in a large
fleet once a second, and what has changed at once.  A datagram that is
lost is made good by the next, and no request waits for one.
"""

import dataclasses
import socket
import zlib

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import codec
from dogwoodwheel.wire import messages

__all__ = ["HeartbeatExchange", "Peer", "interval_s"]

# Pause between two beats of a small fleet, and what each further entry
# adds, so that the datagrams that one entry takes stay below 80 a second.
MIN_INTERVAL_S = 0.25
INTERVAL_PER_ENTRY_S = 0.0125
# Beats that may be lost before a peer counts as silent.
SILENT_BEATS = 4
MIN_SILENT_S = 0.9
# A peer that was silent for so long is forgotten.
FORGET_S = 15.0
DATAGRAM_BYTES = 65536
# Longest frame that is sent, below what one datagram holds.
MAX_FRAME_BYTES = 60000
# From so many entries on, what all need not hear goes to fewer.
LARGE_FLEET = 16
# Least pause between two beats before their time in a large fleet, seconds:
# each is a datagram to every entry.
LARGE_HURRY_S = 0.1
HEAD_BYTES = codec.LENGTH_PREFIX.size
# Bytes between availability zones cost more than compressing them.
COMPRESSION = 6
# What beats have in common, so that a short one need not spell it out.  A
# change makes releases deaf to each other.
DICTIONARY = (
    b"EndpointRows\xa5age_s\xa4rows\xa8starting\xa7leaving\xa8outcomes"
    b"\xa1v\x01\xa1k\xa9EntryBeat\xa1r\xc2\xa1f\xde\x00\x12\xa2id\xcd"
    b"\xa4name\xa6front-\xabincarnation\xd9 \xa4zone\xa5peers"
    b"\xa5front\xa5state\xa7serving\xaeconfig_version"
    b"\xabstore_age_s\xcb?\xaascan_age_s\xcb?\xacoperator_row\xcd"
    b"\xa5known\x90\xa4load\x80\xa8outcomes\x80\xa5spent\x80"
    b"\xa5asked\x80\xa7waiting\x80\xa5lease\xc0\xa8holdings\x80"
)


def interval_s(entries):
    """Return the pause between two beats, by the number of entries."""
    return max(MIN_INTERVAL_S, INTERVAL_PER_ENTRY_S * entries)


@dataclasses.dataclass(frozen=True)
class Peer:
    """The newest beat of a peer.

    Parameters
    ----------
    heartbeat : dogwoodwheel.wire.messages.EntryBeat
    received_at : float
        Time of trio's clock.
    """

    heartbeat: object
    received_at: float


class HeartbeatExchange:
    """The beats of all entries that this one hears.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for datagrams.

    Attributes
    ----------
    compose : callable
        ``compose(brief)`` returns this entry's own beat; a brief one
        tells only what has changed of what a leader knows.
    on_heartbeat : callable
        ``on_heartbeat(before, heartbeat)`` is told of each beat; ``before`` is
        the one before of the same incarnation, or None.
    on_scan : callable
        ``on_scan(msg)`` is told of a peer's scan of the endpoints.
    is_leader : callable
        ``is_leader()`` tells whether this entry is the leader.
    """

    def __init__(self, address):
        self.address = address
        self.peers = {}
        self.contacts = set()
        self.compose = None
        self.on_heartbeat = None
        self.on_scan = None
        self.is_leader = lambda: False
        self._ended = set()
        self._sock = None
        self._hurry = trio.Event()
        self._to_all = False

    def open(self):
        """Bind the socket.

        Raises
        ------
        OSError
        """
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, int(port)))
        sock.setblocking(False)
        self._sock = trio.socket.from_stdlib_socket(sock)

    def add_contacts(self, addresses):
        """Add addresses at which peers may be."""
        self.contacts.update(a for a in addresses if a != self.address)

    @property
    def is_large_fleet(self):
        """Whether the fleet is so large that entries share their reads."""
        return len(self.peers) + 1 >= LARGE_FLEET

    @property
    def interval_s(self):
        """Pause between two whole beats, seconds."""
        return interval_s(len(self.peers) + 1)

    def send_soon(self, to_all=True):
        """Send a beat at once, to all or to who leads."""
        self._to_all = self._to_all or to_all
        self._hurry.set()

    def live_peers(self, now=None):
        """Return the peers that are not silent, by name."""
        now = trio.current_time() if now is None else now
        limit_s = self.silent_s()
        return {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.received_at <= limit_s
        }

    def silent_s(self):
        """Return the time after which a peer counts as silent."""
        return max(MIN_SILENT_S, SILENT_BEATS * self.interval_s)

    async def run(self):
        """Send and receive beats, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)

    async def _send(self):
        while True:
            await self.send_heartbeat()
            self._forget()
            due = trio.current_time() + self.interval_s
            while trio.current_time() < due:
                with trio.move_on_at(due):
                    await self._hurry.wait()
                    self._hurry = trio.Event()
                    await self._tell_now()
                    if self.is_large_fleet:
                        await trio.sleep(LARGE_HURRY_S)

    async def send_heartbeat(self):
        """Send this entry's beat to all peers."""
        await self._send_to(self._everybody(), self.compose(brief=False))

    async def _tell_now(self):
        """Send a brief beat to all, or to who leads a large fleet."""
        to_all, self._to_all = self._to_all, False
        if self.is_large_fleet and not to_all and self.is_leader():
            return
        leaders = {
            peer.heartbeat.peers
            for peer in self.peers.values()
            if peer.heartbeat.lease and peer.heartbeat.lease[0]
        }
        if to_all or not leaders or not self.is_large_fleet:
            leaders = self._everybody()
        await self._send_to(leaders, self.compose(brief=True))

    def _everybody(self):
        return {p.heartbeat.peers for p in self.peers.values()} | self.contacts

    async def share(self, msg, zone):
        """Send a message to the live peers of an availability zone."""
        near = {
            peer.heartbeat.peers
            for peer in self.live_peers().values()
            if peer.heartbeat.zone == zone
        }
        await self._send_to(near, msg)

    async def _send_to(self, addresses, msg):
        frame = _deflated(codec.encode(msg))
        if len(frame) > MAX_FRAME_BYTES:
            logger.warning(
                "board: too long for a datagram",
                kind=type(msg).__name__,
                bytes=len(frame),
            )
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                await self._sock.sendto(frame, (host, int(port)))
            except OSError as exc:
                logger.debug("board: not sent", address=address, why=str(exc))

    async def _receive(self):
        while True:
            try:
                frame, _ = await self._sock.recvfrom(DATAGRAM_BYTES)
                msg, _ = codec.decode(_inflated(frame)[HEAD_BYTES:])
            except OSError as exc:
                # An earlier datagram met a closed port.
                logger.debug("board: not received", why=str(exc))
                continue
            except exceptions.WireError as exc:
                logger.warning("board: malformed", why=str(exc))
                continue
            if isinstance(msg, messages.EndpointRows):
                self.on_scan(msg)
            else:
                self.take(msg, trio.current_time())

    def take(self, heartbeat, now):
        """Take a peer's beat."""
        if heartbeat.peers == self.address:
            return
        before = self.peers.get(heartbeat.name)
        same = before is not None and (
            before.heartbeat.incarnation == heartbeat.incarnation
        )
        if heartbeat.incarnation in self._ended or (
            same and heartbeat.id < before.heartbeat.id
        ):
            return
        if before is not None and not same:
            self._ended.add(before.heartbeat.incarnation)
        self.peers[heartbeat.name] = Peer(heartbeat, now)
        self.add_contacts(heartbeat.known)
        if not same:
            logger.info(
                "board: peer gained",
                name=heartbeat.name,
                incarnation=heartbeat.incarnation,
                address=heartbeat.peers,
            )
        elif now - before.received_at > self.silent_s():
            logger.info("board: peer is heard again", name=heartbeat.name)
        self.on_heartbeat(before.heartbeat if same else None, heartbeat)

    def _forget(self):
        now = trio.current_time()
        for name, peer in list(self.peers.items()):
            if now - peer.received_at > FORGET_S:
                del self.peers[name]
                self.contacts.discard(peer.heartbeat.peers)
                logger.info("board: peer forgotten", name=name)


def _deflated(data):
    packer = zlib.compressobj(COMPRESSION, zdict=DICTIONARY)
    return packer.compress(data) + packer.flush()


def _inflated(data):
    try:
        unpacker = zlib.decompressobj(zdict=DICTIONARY)
        return unpacker.decompress(data) + unpacker.flush()
    except zlib.error as exc:
        raise exceptions.WireError(
            "a datagram is malformed; is the sender a dogwoodwheel entry?"
        ) from exc
