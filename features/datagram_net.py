"""A network that carries datagrams between entries on a test's clock."""

import collections
import math
import random

import trio

__all__ = ["Net", "Socket"]

LINK_S = 0.0014
HEADER_BYTES = 46
LINK_BYTES_PER_S = 2.5e6


class Socket:
    """Datagrams of one address over the test's network."""

    def __init__(self, net):
        self.net = net
        self.send, self.receive = trio.open_memory_channel(10000)

    async def sendto(self, frame, place):
        await self.net.carry(frame, "{}:{}".format(*place))

    async def recvfrom(self, size):
        return await self.receive.receive(), None


class Net:
    """Carries datagrams; some are lost.

    A receiver's link passes `LINK_BYTES_PER_S`, and drops what arrives while
    `queue_bytes` wait.
    """

    def __init__(self, nursery, lost_part, queue_bytes=math.inf):
        self.queue_bytes = queue_bytes
        self.nursery = nursery
        self.lost_part = lost_part
        self.rng = random.Random(5)
        self.sockets = {}
        self.carried = collections.Counter()
        self.link_free_at = collections.defaultdict(float)
        self.dropped = 0

    async def carry(self, frame, address):
        self.carried[address] += 1
        size = len(frame) + HEADER_BYTES
        now = trio.current_time()
        free_at = max(now, self.link_free_at[address])
        if (free_at - now) * LINK_BYTES_PER_S + size > self.queue_bytes:
            self.dropped += 1
            return
        self.link_free_at[address] = free_at + size / LINK_BYTES_PER_S
        if self.rng.random() >= self.lost_part:
            self.nursery.start_soon(self._deliver, frame, address)

    async def _deliver(self, frame, address):
        await trio.sleep(LINK_S)
        self.sockets[address].send.send_nowait(frame)
