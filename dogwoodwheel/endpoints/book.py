"""The record of one endpoint, as its owner keeps it."""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.placement import records

__all__ = ["Book"]

REREAD_S = 5.0
RETRY_S = 0.5
DOWN_S = 5.0
SPEED_OF_WARM = 0.5


class Book:
    """Record of an endpoint, read and written by its owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    table : dogwoodwheel.stores.table_store.TableStore

    Notes
    -----
    The last record read is kept in an outage of the platform: it still
    permits what was decided.  Writes are serialized by a lock; each is
    checked against the version read, so a decision that came between
    makes a conflict, and the record is read anew.
    """

    def __init__(self, owner, table):
        self.owner = owner
        self.table = table
        self.record = None
        self.claimed = False
        self._adopted = False
        self._ended = False
        self._read_at = 0.0
        self._lock = trio.Lock()

    @property
    def replicas(self):
        """Replicas by name; none before the first read."""
        return {} if self.record is None else self.record.replicas

    @property
    def name(self):
        """Name of the endpoint."""
        return self.owner.endpoint.name

    async def run(self, wake):
        """Claim the row, then read it from time to time."""
        while True:
            if not self.claimed and not self._ended:
                await self._claim()
                wake()
            elif await self.read():
                wake()
            delay_s = REREAD_S if self.claimed else RETRY_S
            await trio.sleep(delay_s * self.owner.rng.uniform(0.8, 1.2))

    async def read(self):
        """Read the record; return whether it changed.

        Notes
        -----
        Callers that come while another one reads share the next read.
        """
        since = trio.current_time()
        async with self._lock:
            if self._read_at > since:
                return False
            begun_at = trio.current_time()
            try:
                record = await records.read_endpoint(self.table, self.name)
            except exceptions.PlatformError as exc:
                logger.warning("endpoint: record not read: {}", exc)
                self._read_at = trio.current_time()
                return False
            self._read_at = begun_at
            return self._take(record)

    async def mark(self, name, state):
        """Write another state of a replica."""
        async with self._lock:
            if name not in self.record.replicas:
                return
            memory_mb = self.owner.endpoint.memory_mb
            record = self.record.with_state(name, state)
            grows = state == records.LOAD
            await self._save(record, memory_mb if grows else None)

    async def drop(self, name, full=None):
        """Take a replica out of the record and out of its model's row.

        Parameters
        ----------
        name : str
        full : bool, optional
            New value of the record's ``full``; kept by default.
        """
        async with self._lock:
            if name not in self.record.replicas:
                return
            record = self.record
            if full is not None:
                record = dataclasses.replace(record, full=full)
            model = await records.read_model(self.table, name)
            _, record = await records.remove_replica(self.table, model, record)
            self._take(record)

    async def save_facts(self, status):
        """Write what deciders and a later owner need to know.

        Parameters
        ----------
        status : dogwoodwheel.engines.engine.EndpointStatus or None
            None as long as the endpoint never answered.

        Returns
        -------
        bool
            Whether the endpoint was just found to be down.
        """
        async with self._lock:
            was_down = self.record.down
            record = self._with_facts(status)
            if record != self.record:
                await self._save(record)
            return self.record.down and not was_down

    def _with_facts(self, status):
        since = self.owner.health.out_since
        now = trio.current_time()
        record = dataclasses.replace(
            self.record,
            down=since is not None and now - since > DOWN_S,
            full=self.record.full and self._in_use(),
        )
        if status is None:
            return record
        self._adopt(status)
        return dataclasses.replace(
            record,
            warm_incarnation=(
                status.incarnation if self.owner.warmup.warm else ""
            ),
            cached=tuple(sorted(status.cached)),
        )

    def superseded(self):
        """Learn that another owner gives the orders from now on."""
        self.claimed = False
        self._ended = True

    def _in_use(self):
        return all(
            self.owner.orders.in_use(replica.name)
            for replica in self.record.replicas.values()
            if not replica.base
        )

    async def _claim(self):
        async with self._lock:
            try:
                record = await records.read_endpoint(self.table, self.name)
                if record.epoch < self.owner.epoch:
                    await self._save(
                        dataclasses.replace(record, epoch=self.owner.epoch)
                    )
                else:
                    self._take(record)
            except exceptions.PlatformError as exc:
                logger.warning("endpoint: row not claimed: {}", exc)
                return
            self.claimed = self.record.epoch == self.owner.epoch

    async def _save(self, record, memory_mb=None):
        self._take(await records.save_endpoint(self.table, record, memory_mb))

    def _take(self, record):
        if record.epoch > self.owner.epoch:
            self.claimed = False
        changed = self.record != record
        self.record = record
        return changed

    def _adopt(self, status):
        """Start at the full limit where an earlier owner reached it."""
        if self._adopted:
            return
        self._adopted = True
        same = self.record.warm_incarnation == status.incarnation
        if same and status.speed >= SPEED_OF_WARM:
            self.owner.warmup.skip()
