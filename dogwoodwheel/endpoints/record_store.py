"""Reads and writes the stored record of one endpoint."""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.placement import records

__all__ = ["RecordStore"]

REREAD_INTERVAL_S = 5.0
CLAIM_RETRY_S = 0.5
DOWN_AFTER_S = 5.0
MIN_WARM_SPEED = 0.5


class RecordStore:
    """Record of an endpoint, read and written by its owner.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    table : dogwoodwheel.stores.table_store.TableStore

    Attributes
    ----------
    record : dogwoodwheel.placement.records.EndpointRecord or None
        The record as last read or written.
    claimed : bool
        Whether the stored record has this owner's epoch.

    Notes
    -----
    During an outage of the platform the last record is kept: the
    decisions in it remain valid.  A lock serialises the writes.  Each
    write is checked against the row version that was read, so a
    decision recorded in between causes a conflict, after which the
    record is read again.
    """

    def __init__(self, owner, table):
        self.owner = owner
        self.table = table
        self.record = None
        self.claimed = False
        self._warmth_restored = False
        self._superseded = False
        self._read_at = 0.0
        self._lock = trio.Lock()

    @property
    def replicas(self):
        """Replicas by name; empty before the first read."""
        return {} if self.record is None else self.record.replicas

    @property
    def name(self):
        """Name of the endpoint."""
        return self.owner.endpoint.name

    async def run(self, wake):
        """Claim the row, then read it periodically.

        Parameters
        ----------
        wake : callable
            ``wake()`` is called after each change.
        """
        while True:
            if not self.claimed and not self._superseded:
                await self._claim()
                wake()
            elif await self.read():
                wake()
            delay_s = REREAD_INTERVAL_S if self.claimed else CLAIM_RETRY_S
            await trio.sleep(delay_s * self.owner.rng.uniform(0.8, 1.2))

    async def read(self):
        """Read the record; return whether it changed.

        Notes
        -----
        Callers that arrive while another caller reads share the next
        read.
        """
        since = trio.current_time()
        async with self._lock:
            if self._read_at > since:
                return False
            started_at = trio.current_time()
            try:
                record = await records.read_endpoint(self.table, self.name)
            except exceptions.PlatformError as exc:
                logger.warning("endpoint: record not read: {}", exc)
                self._read_at = trio.current_time()
                return False
            self._read_at = started_at
            return self._set_record(record)

    async def set_state(self, name, state):
        """Write a new state of a replica."""
        async with self._lock:
            if name not in self.record.replicas:
                return
            memory_mb = self.owner.endpoint.memory_mb
            record = self.record.with_state(name, state)
            reserves_memory = state == records.LOAD
            await self._save(record, memory_mb if reserves_memory else None)

    async def remove_replica(self, name, full=None):
        """Remove a replica from the record and from its model's row.

        Parameters
        ----------
        name : str
        full : bool, optional
            New value of the record's ``full``; unchanged by default.
        """
        async with self._lock:
            if name not in self.record.replicas:
                return
            record = self.record
            if full is not None:
                record = dataclasses.replace(record, full=full)
            model = await records.read_model(self.table, name)
            _, record = await records.remove_replica(self.table, model, record)
            self._set_record(record)

    async def save_status(self, status):
        """Write the state that deciders and later owners need.

        Parameters
        ----------
        status : dogwoodwheel.engines.engine.EndpointStatus or None
            None if the endpoint has never answered.

        Returns
        -------
        bool
            Whether the endpoint was recorded as down by this call.
        """
        async with self._lock:
            was_down = self.record.down
            record = self._with_status(status)
            if record != self.record:
                await self._save(record)
            return self.record.down and not was_down

    def _with_status(self, status):
        since = self.owner.health.unhealthy_since
        now = trio.current_time()
        record = dataclasses.replace(
            self.record,
            down=since is not None and now - since > DOWN_AFTER_S,
            full=self.record.full and self._all_in_use(),
        )
        if status is None:
            return record
        self._restore_warmth(status)
        return dataclasses.replace(
            record,
            warm_incarnation=(
                status.incarnation if self.owner.warmup.is_warm else ""
            ),
            cached=tuple(sorted(status.cached_models)),
        )

    def mark_superseded(self):
        """Record that a later owner orders loads and unloads from now on."""
        self.claimed = False
        self._superseded = True

    def _all_in_use(self):
        return all(
            self.owner.reconciler.in_use(replica.name)
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
                    self._set_record(record)
            except exceptions.PlatformError as exc:
                logger.warning("endpoint: row not claimed: {}", exc)
                return
            self.claimed = self.record.epoch == self.owner.epoch

    async def _save(self, record, memory_mb=None):
        self._set_record(
            await records.save_endpoint(self.table, record, memory_mb)
        )

    def _set_record(self, record):
        if record.epoch > self.owner.epoch:
            self.claimed = False
        changed = self.record != record
        self.record = record
        return changed

    def _restore_warmth(self, status):
        """Use the full limit if an earlier owner recorded it as reached.

        Notes
        -----
        This is checked once, with the first status.
        """
        if self._warmth_restored:
            return
        self._warmth_restored = True
        same_process = self.record.warm_incarnation == status.incarnation
        if same_process and status.speed >= MIN_WARM_SPEED:
            self.owner.warmup.set_warm()
