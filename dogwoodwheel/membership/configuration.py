"""The configuration in force at this entry, and how sure that is."""

import functools
import math
import random

from loguru import logger
import trio

from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.stores import object_store
from dogwoodwheel.wire import messages

__all__ = ["Configuration", "STALE_S"]

TABLE = "config"
CURRENT = "current"
POLL_S = 0.8
BEAT_S = 0.8
BEAT_TIMEOUT_S = 1.5
BEAT_FANOUT = 7
STALE_S = 4.0


class Configuration:
    """The newest version that this entry has seen.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    tbl : dogwoodwheel.stores.table_store.TableStore
    store : dogwoodwheel.stores.object_store.ObjectStore

    Notes
    -----
    A version is accepted when the row ``config/current`` names it, and
    that row moves by compare-and-set only.  This entry polls the row and
    exchanges heartbeats with peers; whoever sees a newer version first
    tells the others.  The version never goes back here, whatever a read
    returns.  A poll costs one read; a heartbeat about 200 bytes.
    """

    def __init__(self, fleet, tbl, store):
        self.fleet = fleet
        self.tbl = tbl
        self.store = store
        self.version = 0
        self.digest = ""
        self.text = ""
        self.leaving = False
        self._fresh_at = -math.inf
        self._heard = {}
        self._rejected = 0
        self._lock = trio.Lock()
        self._accepting = trio.Lock()

    async def run(self):
        """Poll the row and exchange heartbeats, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll)
            nursery.start_soon(self._beat)

    def fresh_s(self):
        """Return the seconds since the version was known the newest.

        Returns
        -------
        float
            ``inf`` where it never was.
        """
        return trio.current_time() - self._fresh_at

    def usable_s(self):
        """Return the age that decides whether keyed work is admitted.

        Notes
        -----
        In an outage of the platform no entry hears of a new version, and
        none can be accepted.  An entry that hears half of the others,
        none of which reaches the platform, takes that for an outage and
        goes on; one that hears fewer may be the only one cut off.  A
        smaller sample would do beyond 50 entries, but a region that is
        cut off would then go on with withdrawn keys.  The age is then
        that of the hearing, so it passes `STALE_S` as soon as a version
        that was read would.
        """
        age = self.fresh_s()
        if age <= STALE_S or not self.version:
            return age
        now = trio.current_time()
        names = set(self.fleet.view.entries) | {self.fleet.me}
        heard = sorted(
            now - at for name, at in self._heard.items() if name in names
        )
        enough = max(1, len(names) // 2)
        if len(heard) < enough:
            return age
        return min(age, heard[enough - 1])

    def usable(self):
        """Tell whether keyed work is admitted under this version."""
        return bool(self.version) and self.usable_s() <= STALE_S

    def message(self, with_text):
        """Return the `Config` message of this version."""
        age = self.usable_s()
        return messages.Config(
            0,
            self.version,
            self.digest,
            self.text if with_text else "",
            age if math.isfinite(age) else -1.0,
            self.leaving,
        )

    def beat(self):
        """Return this entry's heartbeat."""
        age = self.fresh_s()
        return messages.Beat(
            0,
            self.fleet.me,
            self.fleet.incarnation,
            self.version,
            age if math.isfinite(age) else -1.0,
            self.leaving,
        )

    async def on_beat(self, msg, link):
        """Take a peer's heartbeat and return ours.

        Notes
        -----
        A newer version is fetched over the link that told of it, since
        an entry that starts in an outage knows no other way.
        """
        if msg.version > self.version and link is not None:
            await self._learn(link.call)
        return self.beat()

    async def on_config(self, msg):
        """Take a peer's version; return ours, with text if it is newer."""
        if msg.text:
            await self.accept(msg.version, msg.text)
        return self.message(with_text=self.version > msg.version)

    async def accept(self, version, text):
        """Put a version in force if it is newer than ours.

        Parameters
        ----------
        version : int
        text : str

        Returns
        -------
        bool
            Whether it is in force now.
        """
        async with self._accepting:
            return await self._accept(version, text)

    async def _accept(self, version, text):
        if version <= self.version:
            return False
        try:
            # A long text takes seconds to parse.
            declaration = await trio.to_thread.run_sync(parse.parse, text)
        except exceptions.DeclarationError as exc:
            # Only a newer or older program can have accepted it.
            if version == self._rejected:
                return False
            self._rejected = version
            logger.error(
                "config: version {} is not understood; run one release "
                "everywhere: {}",
                version,
                exc,
            )
            return False
        self.version = version
        self.text = text
        self.digest = object_store.digest_of(text.encode())
        self.fleet.update(version=version, declaration=declaration)
        logger.info("config: version {} is in force", version)
        return True

    async def poll(self):
        """Read the row once and follow it.

        Raises
        ------
        PlatformError
        """
        began = trio.current_time()
        row = await self.tbl.read(TABLE, CURRENT)
        version = row.value.get("version", 0)
        if version > self.version:
            data = await self.store.get(row.value["digest"])
            if await self.accept(version, data.decode()):
                await self._spread()
        if version == self.version and version:
            self._fresh_at = max(self._fresh_at, began)

    async def _poll(self):
        while True:
            try:
                await self.poll()
            except exceptions.PlatformError as exc:
                logger.debug("config: not read; {}", exc)
            await trio.sleep(POLL_S * (0.75 + 0.5 * random.random()))

    async def _beat(self):
        while True:
            names = self.fleet.sample(BEAT_FANOUT)
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(self._exchange, name)
                await trio.sleep(BEAT_S)

    async def _spread(self):
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(BEAT_TIMEOUT_S):
                for name in self.fleet.sample(BEAT_FANOUT):
                    nursery.start_soon(self._exchange, name)

    async def _exchange(self, name):
        began = trio.current_time()
        try:
            reply = await self.fleet.call(name, self.beat(), BEAT_TIMEOUT_S)
        except exceptions.PeerError:
            return
        self._heard[name] = began
        if reply.version > self.version:
            await self._learn(functools.partial(self.fleet.call, name))
        elif reply.version == self.version and reply.fresh_s >= 0:
            # Counted from before the call, so a slow reply ages it.
            self._fresh_at = max(self._fresh_at, began - reply.fresh_s)

    async def _learn(self, call):
        """Fetch a newer version from a peer that has it."""
        async with self._lock:
            ours = self.message(with_text=False)
            try:
                reply = await call(ours, BEAT_TIMEOUT_S)
            except exceptions.PeerError:
                return
            if reply.text and await self.accept(reply.version, reply.text):
                await self._spread()
