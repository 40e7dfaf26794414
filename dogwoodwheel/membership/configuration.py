"""The configuration in force at this entry, and its age."""

import functools
import math
import random

from loguru import logger
import trio

from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.stores import object_store
from dogwoodwheel.wire import messages

__all__ = ["Configuration", "MAX_CONFIG_AGE_S"]

CONFIG_TABLE = "config"
CURRENT_KEY = "current"
POLL_INTERVAL_S = 0.8
HEARTBEAT_INTERVAL_S = 0.8
HEARTBEAT_TIMEOUT_S = 1.5
HEARTBEAT_FANOUT = 7
MAX_CONFIG_AGE_S = 4.0


class Configuration:
    """The newest configuration that this entry has seen.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
        Table store that holds the row ``config/current``.
    text_store : dogwoodwheel.stores.object_store.ObjectStore
        Object store that holds the configuration texts by digest.

    Attributes
    ----------
    version : int
        Version of the configuration in force; 0 before the first one.
    digest, text : str
        Digest and text of that version.
    leaving : bool
        Whether this entry drains; heartbeats report it.

    Notes
    -----
    The row ``config/current`` holds the accepted version and is changed
    by compare-and-set only.  This entry polls the row and exchanges
    heartbeats with peers; an entry that sees a newer version sends
    heartbeats at once to spread the version.  The version in force here never
    decreases, even if a read returns an older row.  A poll costs one
    read; a heartbeat has about 200 bytes.
    """

    def __init__(self, fleet, table, text_store):
        self.fleet = fleet
        self.table = table
        self.text_store = text_store
        self.version = 0
        self.digest = ""
        self.text = ""
        self.leaving = False
        self._verified_at = -math.inf
        self._last_reply_at = {}
        self._rejected_version = 0
        self._fetch_lock = trio.Lock()
        self._accept_lock = trio.Lock()

    async def run(self):
        """Poll the row and exchange heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._heartbeat_loop)

    def age_s(self):
        """Return the time since the version was last confirmed as newest.

        Returns
        -------
        float
            Seconds; ``inf`` if the version was never confirmed.
        """
        return trio.current_time() - self._verified_at

    def effective_age_s(self):
        """Return the age that decides whether keyed requests are admitted.

        Returns
        -------
        float
            Seconds.

        Notes
        -----
        During an outage of the platform no new version can be accepted,
        so an entry may keep admitting requests under its version.  An
        entry assumes an outage if about half of the fleet replies to its
        heartbeats and no peer has confirmed the version recently either;
        with fewer replies it may be the only entry cut off.  Beyond 50
        entries a smaller sample would suffice to detect an outage, but a
        region that is cut off would then keep accepting withdrawn keys.
        During an outage the effective age is the age of the oldest reply
        needed to reach half of the fleet.  It therefore exceeds
        `MAX_CONFIG_AGE_S` as soon after the replies stop as it would
        after the last read.
        """
        age = self.age_s()
        if age <= MAX_CONFIG_AGE_S or not self.version:
            return age
        now = trio.current_time()
        names = set(self.fleet.view.entries) | {self.fleet.me}
        reply_ages = sorted(
            now - at
            for name, at in self._last_reply_at.items()
            if name in names
        )
        required_replies = max(1, len(names) // 2)
        if len(reply_ages) < required_replies:
            return age
        return min(age, reply_ages[required_replies - 1])

    def usable(self):
        """Return whether keyed requests are admitted under this version."""
        return (
            bool(self.version) and self.effective_age_s() <= MAX_CONFIG_AGE_S
        )

    def message(self, with_text):
        """Return a `Config` message with the version in force."""
        age = self.effective_age_s()
        return messages.Config(
            0,
            self.version,
            self.digest,
            self.text if with_text else "",
            age if math.isfinite(age) else -1.0,
            self.leaving,
        )

    def heartbeat(self):
        """Return a `Beat` message, the heartbeat of this entry."""
        age = self.age_s()
        return messages.Beat(
            0,
            self.fleet.me,
            self.fleet.incarnation,
            self.version,
            age if math.isfinite(age) else -1.0,
            self.leaving,
        )

    async def on_heartbeat(self, msg, conn):
        """Process a peer's heartbeat and return this entry's heartbeat.

        Notes
        -----
        A newer version is fetched over the heartbeat's connection, since
        an entry that starts during an outage of the platform cannot read
        the addresses of its peers.
        """
        if msg.version > self.version and conn is not None:
            await self._fetch_newer(conn.call)
        return self.heartbeat()

    async def on_config(self, msg):
        """Put a peer's version in force if it is newer than this entry's.

        Returns
        -------
        dogwoodwheel.wire.messages.Config
            The version in force, with its text if the version is newer
            than the peer's.
        """
        if msg.text:
            await self.accept(msg.version, msg.text)
        return self.message(with_text=self.version > msg.version)

    async def accept(self, version, text):
        """Put a version in force if it is newer than this entry's.

        Parameters
        ----------
        version : int
        text : str

        Returns
        -------
        bool
            Whether this call put the version in force.
        """
        async with self._accept_lock:
            return await self._accept(version, text)

    async def _accept(self, version, text):
        if version <= self.version:
            return False
        try:
            # A long text takes seconds to parse.
            declaration = await trio.to_thread.run_sync(parse.parse, text)
        except exceptions.DeclarationError as exc:
            # An entry of an older or newer release accepted the text,
            # which this release rejects.
            if version == self._rejected_version:
                return False
            self._rejected_version = version
            logger.error(
                "config: cannot parse version {}; run the same release on "
                "all entries: {}",
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
        """Read the row once and put a newer version in force.

        Raises
        ------
        PlatformError
        """
        started_at = trio.current_time()
        row = await self.table.read(CONFIG_TABLE, CURRENT_KEY)
        version = row.value.get("version", 0)
        if version > self.version:
            data = await self.text_store.get(row.value["digest"])
            if await self.accept(version, data.decode()):
                await self._notify_peers()
        if version == self.version and version:
            self._verified_at = max(self._verified_at, started_at)

    async def _poll_loop(self):
        while True:
            try:
                await self.poll()
            except exceptions.PlatformError as exc:
                logger.debug(
                    "config: cannot read the current version; {}", exc
                )
            await trio.sleep(POLL_INTERVAL_S * (0.75 + 0.5 * random.random()))

    async def _heartbeat_loop(self):
        while True:
            names = self.fleet.sample(HEARTBEAT_FANOUT)
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(self._exchange_heartbeat, name)
                await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _notify_peers(self):
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(HEARTBEAT_TIMEOUT_S):
                for name in self.fleet.sample(HEARTBEAT_FANOUT):
                    nursery.start_soon(self._exchange_heartbeat, name)

    async def _exchange_heartbeat(self, name):
        started_at = trio.current_time()
        try:
            reply = await self.fleet.call(
                name, self.heartbeat(), HEARTBEAT_TIMEOUT_S
            )
        except exceptions.PeerError:
            return
        self._last_reply_at[name] = started_at
        if reply.version > self.version:
            await self._fetch_newer(functools.partial(self.fleet.call, name))
        elif reply.version == self.version and reply.fresh_s >= 0:
            # Subtracting from the time before the call includes the call's
            # duration in the age.
            self._verified_at = max(
                self._verified_at, started_at - reply.fresh_s
            )

    async def _fetch_newer(self, call):
        """Fetch a newer version from a peer and put it in force.

        Parameters
        ----------
        call : callable
            ``await call(msg, timeout_s)`` calls the peer.
        """
        async with self._fetch_lock:
            own_version = self.message(with_text=False)
            try:
                reply = await call(own_version, HEARTBEAT_TIMEOUT_S)
            except exceptions.PeerError:
                return
            if reply.text and await self.accept(reply.version, reply.text):
                await self._notify_peers()
