"""Following the operator's configuration and the endpoints."""

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.platform import operator
from dogwoodwheel.platform import registrations

__all__ = ["follow_endpoints", "follow_operator"]

# Longest wait for a change of the configuration.  A connection that
# went silent without a reset is noticed after it at the latest.
FEED_S = 4.0
# Pause between two scans of the endpoints, as a part of the time within
# which a leaving one is to get nothing more.  A scan that is lost and made
# again still ends within it.
SCAN_PART = 0.35
# Time for one scan; a lost answer must not use up what is left of it.
SCAN_TIMEOUT_S = 0.6
# Pauses after a failed call, seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8


async def follow_operator(store, knowledge):
    """Follow the configuration and the evacuations, for ever."""
    follower = _Operator(store, knowledge)
    await _forever("operator", knowledge, follower.step)


async def follow_endpoints(store, knowledge, drain_s):
    """Scan the endpoints' registrations, for ever.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    knowledge : dogwoodwheel.entry.knowledge.Knowledge
    drain_s : float
        Time after which a leaving endpoint gets nothing more, seconds.
    """
    reader = _Reader()

    async def step():
        rows = await store.scan(registrations.TABLE, timeout_s=SCAN_TIMEOUT_S)
        knowledge.scan(reader.read(rows.rows))
        knowledge.heard_at = trio.current_time()
        await trio.sleep(SCAN_PART * drain_s)

    await _forever("endpoints", knowledge, step)


async def _forever(name, knowledge, step):
    pause_s = FIRST_PAUSE_S
    lost = False
    while True:
        try:
            await step()
            if lost:
                logger.info("store: regained", task=name)
            lost = False
            pause_s = FIRST_PAUSE_S
        except exceptions.PlatformError as exc:
            if not lost:
                logger.warning(
                    "store: lost",
                    task=name,
                    age_s=round(knowledge.store_age_s, 1),
                    why=str(exc),
                )
            lost = True
            await trio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)


class _Operator:
    """Steps of following the operator's table."""

    def __init__(self, store, knowledge):
        self.store = store
        self.knowledge = knowledge
        self.version = None
        self.zones = set()

    async def step(self):
        if self.version is None:
            found = await self.store.scan(operator.TABLE)
            self.zones.clear()
            self._take(found.rows)
            self.knowledge.evacuate(self.zones)
        else:
            try:
                found = await self.store.changes(
                    operator.TABLE, self.version, FEED_S
                )
            except exceptions.HistoryLostError as exc:
                logger.info("store: history lost, reads anew", why=str(exc))
                self.version = None
                return
            before = set(self.zones)
            self._take(found.rows)
            if self.zones != before:
                self.knowledge.evacuate(self.zones)
        self.version = found.version
        self.knowledge.heard_at = trio.current_time()

    def _take(self, rows):
        for row in rows:
            if row.key == operator.CONFIGURATION_KEY:
                self._configure(row)
            elif row.key.startswith(operator.EVACUATION):
                self._evacuate(row)

    def _evacuate(self, row):
        zone = row.key[len(operator.EVACUATION) :]
        if row.value is None:
            self.zones.discard(zone)
        else:
            self.zones.add(zone)
        logger.info(
            "operator",
            zone=zone,
            evacuated=row.value is not None,
            row=row.version,
        )

    def _configure(self, row):
        if row.value is None:
            return
        try:
            config = operator.decode(row.value)
        except exceptions.DeclarationError as exc:
            logger.error(
                "operator: malformed", row=row.version, why=exc.faults[0]
            )
            return
        if self.knowledge.configure(config):
            logger.info(
                "operator: configuration",
                version=config.version,
                row=row.version,
                routes=sum(map(len, config.routes.values())),
                keys=len(config.keys),
            )


class _Reader:
    """Reads registrations; tells of each malformed one once."""

    def __init__(self):
        self._known = {}
        self._told = set()

    def read(self, rows):
        found = {}
        for row in rows:
            had = self._known.get(row.key)
            if had is not None and had[1] == row.version:
                found[row.key] = had
                continue
            try:
                endpoint = registrations.decode(row.key, row.value)
            except exceptions.DeclarationError as exc:
                if row.key not in self._told:
                    self._told.add(row.key)
                    logger.warning("endpoints: malformed", why=exc.faults[0])
                continue
            found[row.key] = (endpoint, row.version)
        self._tell(found)
        self._known = found
        return found

    def _tell(self, found):
        for name, (endpoint, version) in found.items():
            had = self._known.get(name)
            if had is None or had[0].ready != endpoint.ready:
                logger.info(
                    "endpoints",
                    id=name,
                    service=endpoint.service,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    ready=endpoint.ready,
                    cold_s=round(endpoint.cold_s, 1),
                    row=version,
                )
        for name in self._known.keys() - found.keys():
            logger.info("endpoints: left", id=name)
