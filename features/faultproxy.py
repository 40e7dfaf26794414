"""A TCP proxy whose links delay, cut and swallow what passes.

Run it as ``python -m features.faultproxy --control IP:PORT``; its links
are added at the control port.
"""

import argparse
import dataclasses
import functools

import trio

from features.standins import control
from features.standins import server

__all__ = ["Link", "Proxy"]

CHUNK_BYTES = 65536
CONNECT_S = 5.0
QUEUE_CHUNKS = 10_000
UP = "up"
DOWN = "down"
BOTH = "both"
DIRECTIONS = (UP, DOWN, BOTH)
MODES = ("pass", "cut", "refuse", "blackhole", "half_open", "freeze")


@dataclasses.dataclass
class Link:
    """A listening address and where it leads.

    Parameters
    ----------
    name, listen, target : str
        The addresses are ``IP:PORT``.
    mode : str
        ``pass``; ``cut`` resets connections, old and new; ``refuse``
        also stops listening; ``blackhole`` accepts and swallows;
        ``half_open`` swallows one direction; ``freeze`` holds all bytes
        until the mode changes.
    direction : str
        ``up`` (from the dialing side), ``down`` or ``both``; for
        ``half_open``, ``delay_s`` and ``after_bytes``.
    delay_s : float
        Delay of each byte.
    rate : float
        Bytes a second in each direction; 0 for no limit.
    after_bytes : int or None
        A connection is reset when as many bytes have passed in the
        direction since this was set.
    count : int or None
        Connections that ``after_bytes`` still cuts; None for all.
    """

    name: str
    listen: str
    target: str
    mode: str = "pass"
    direction: str = BOTH
    delay_s: float = 0.0
    rate: float = 0.0
    after_bytes: int = None
    count: int = None

    def has(self, direction):
        """Tell whether the setting holds for a direction."""
        return self.direction in (BOTH, direction)

    def swallows(self, direction):
        """Tell whether bytes of a direction are lost."""
        if self.mode == "half_open":
            return self.has(direction)
        return self.mode == "blackhole"


class Pair:
    """The two connections of one that passes through a link."""

    def __init__(self, link, near, far):
        self.link = link
        self.near = near
        self.far = far
        self.lossy = False
        self.ended = trio.Event()
        self.passed = {UP: 0, DOWN: 0}

    def reset(self):
        """Reset both connections."""
        self.ended.set()
        server.reset(self.near)
        if self.far is not None:
            server.reset(self.far)

    async def close(self):
        """Close both connections; what was sent still arrives."""
        await self.near.aclose()
        if self.far is not None:
            await self.far.aclose()

    def over(self, direction, count):
        """Count bytes; return how many may still pass."""
        link = self.link
        if link.after_bytes is None or not link.has(direction):
            return count
        if link.count is not None and link.count <= 0:
            return count
        left = link.after_bytes - self.passed[direction]
        self.passed[direction] += count
        return min(count, max(0, left))


class Proxy:
    """All links of the process."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.links = {}
        self.pairs = {}
        self.scopes = {}
        self.changed = trio.Event()
        self.counts = {}

    def commands(self):
        """Return the commands of the control port."""
        return {
            "add": self.add,
            "set": self.set,
            "reset": self.reset,
            "links": self.list,
        }

    def add(self, name, listen, target):
        """Add a link; it listens soon after."""
        if name in self.links:
            raise ValueError(f"link {name} exists")
        self.links[name] = Link(name, listen, target)
        self.pairs[name] = set()
        self.counts[name] = {"connections": 0, UP: 0, DOWN: 0}
        self._listen(name)

    def set(self, name, **fields):
        """Set a link anew; what is not named goes back to normal."""
        old = self.links[name]
        new = Link(name, old.listen, old.target, **fields)
        if new.mode not in MODES or new.direction not in DIRECTIONS:
            raise ValueError(f"mode is of {MODES}, direction {DIRECTIONS}")
        self.links[name] = new
        for pair in list(self.pairs[name]):
            self._change(pair, new)
        if new.mode == "refuse" and name in self.scopes:
            self.scopes.pop(name).cancel()
        elif new.mode != "refuse" and name not in self.scopes:
            self._listen(name)
        self.changed.set()
        self.changed = trio.Event()

    def reset(self, name):
        """Reset the connections of a link."""
        pairs = list(self.pairs[name])
        for pair in pairs:
            pair.reset()
        return {"connections": len(pairs)}

    def list(self):
        """Return all links with their settings and counts."""
        links = {}
        for name, link in self.links.items():
            open_now = len(self.pairs[name])
            links[name] = {
                **dataclasses.asdict(link),
                **self.counts[name],
                "open": open_now,
                "listening": name in self.scopes,
            }
        return {"links": links}

    def _change(self, pair, link):
        pair.link = link
        pair.passed = {UP: 0, DOWN: 0}
        lost = pair.lossy and link.mode in ("pass", "freeze")
        if link.mode in ("cut", "refuse") or lost:
            pair.reset()

    def _listen(self, name):
        scope = trio.CancelScope()
        self.scopes[name] = scope
        self.nursery.start_soon(self._serve, name, scope)

    async def _serve(self, name, scope):
        host, _, port = self.links[name].listen.rpartition(":")
        with scope:
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            await trio.serve_listeners(
                functools.partial(self._accept, name),
                listeners,
                handler_nursery=self.nursery,
            )

    async def _accept(self, name, near):
        pair = Pair(self.links[name], near, None)
        self.counts[name]["connections"] += 1
        self.pairs[name].add(pair)
        try:
            await self._connect(pair)
            await pair.close()
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            OSError,
        ):
            pass
        finally:
            pair.reset()
            self.pairs[name].discard(pair)

    async def _connect(self, pair):
        if pair.link.mode in ("cut", "refuse"):
            pair.reset()
            return
        if pair.link.mode == "blackhole":
            await self._swallow(pair)
        host, _, port = pair.link.target.rpartition(":")
        with trio.fail_after(CONNECT_S):
            pair.far = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pass, pair, UP)
            nursery.start_soon(self._pass, pair, DOWN)

    async def _swallow(self, pair):
        pair.lossy = True
        while await pair.near.receive_some(CHUNK_BYTES):
            pass
        await self._until_reset(pair)

    async def _until_reset(self, pair):
        await pair.ended.wait()
        raise trio.ClosedResourceError

    async def _pass(self, pair, direction):
        send, receive = trio.open_memory_channel(QUEUE_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, pair, direction, send)
            nursery.start_soon(self._write, pair, direction, receive)

    async def _read(self, pair, direction, send):
        source = pair.near if direction == UP else pair.far
        async with send:
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                if pair.link.swallows(direction):
                    pair.lossy = True
                    if not data:
                        await self._until_reset(pair)
                    continue
                delay_s = pair.link.delay_s
                if not pair.link.has(direction):
                    delay_s = 0.0
                await send.send((trio.current_time() + delay_s, data))
                if not data:
                    return

    async def _write(self, pair, direction, receive):
        sink = pair.far if direction == UP else pair.near
        async for due, data in receive:
            await trio.sleep_until(due)
            while pair.link.mode == "freeze":
                await self.changed.wait()
            if pair.link.swallows(direction):
                pair.lossy = True
                continue
            if not data:
                await sink.send_eof()
                return
            kept = pair.over(direction, len(data))
            if pair.link.rate:
                await trio.sleep(kept / pair.link.rate)
            self.counts[pair.link.name][direction] += kept
            await sink.send_all(data[:kept])
            if kept < len(data):
                self._exhaust(pair)
                return

    def _exhaust(self, pair):
        if pair.link.count is not None:
            pair.link.count -= 1
        pair.reset()


async def main(address):
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        await control.run(address, Proxy(nursery).commands())


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    control.program(main, parser.parse_args().control)
