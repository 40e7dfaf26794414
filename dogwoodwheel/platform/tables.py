"""The product's tables and objects, kept in the platform's store.

Notes
-----
A row's value is JSON: the unique name of the write that made it, and
what was written.
"""

import json

from loguru import logger

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.stores import object_store
from dogwoodwheel.stores import table_store

__all__ = ["PlatformObjectStore", "PlatformTableStore", "open_stores"]

CHANGE = "change"
VALUE = "value"
# Time for a call, seconds; one that takes longer counts as lost.
TIMEOUT_S = 2.0


def open_stores(address):
    """Return tables and objects of the store at ``IP:PORT``.

    Returns
    -------
    tables : PlatformTableStore
    objects : PlatformObjectStore
    """
    store = store_module.Store(address, http.HttpClient())
    return PlatformTableStore(store), PlatformObjectStore(store)


class PlatformTableStore(table_store.TableStore):
    """Tables in the platform's store.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    """

    def __init__(self, store):
        self.store = store

    async def read(self, table, key):
        row = await self.store.read(table, key, TIMEOUT_S)
        try:
            return _decoded(row)
        except ValueError as exc:
            raise exceptions.PlatformError(
                f"row {key} of table {table} is malformed; look who wrote it"
            ) from exc

    async def scan(self, table):
        found = await self.store.scan(table, timeout_s=TIMEOUT_S)
        rows = []
        for row in found.rows:
            try:
                rows.append(_decoded(row))
            except ValueError as exc:
                logger.warning(
                    "store: row {} of table {} is malformed: {}",
                    row.key,
                    table,
                    exc,
                )
        return tuple(rows)

    async def commit(self, change, checks, writes):
        expected = [
            store_module.Row(check.table, check.key, check.version)
            for check in checks
        ]
        kept = [
            store_module.Row(
                write.table, write.key, 0, _encoded(change, write.value)
            )
            for write in writes
            if write.value is not None
        ]
        removed = [
            store_module.Row(write.table, write.key, 0)
            for write in writes
            if write.value is None
        ]
        return await self.store.commit(expected, kept, removed, TIMEOUT_S)


class PlatformObjectStore(object_store.ObjectStore):
    """Objects in the platform's store, each named by its digest.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    """

    def __init__(self, store):
        self.store = store

    async def put(self, data):
        digest = object_store.digest_of(data)
        await self.store.put_object(digest, data)
        return digest

    async def get(self, digest):
        data = await self.store.get_object(digest)
        if object_store.digest_of(data) != digest:
            raise exceptions.PlatformError(
                f"object {digest[:12]} is damaged; read it again"
            )
        return data


def _encoded(change, value):
    return json.dumps({CHANGE: change, VALUE: value}).encode()


def _decoded(row):
    if row.value is None:
        return table_store.Row(row.table, row.key, 0, "", {})
    body = json.loads(row.value)
    if not isinstance(body, dict) or not isinstance(body.get(VALUE), dict):
        raise ValueError("no value")
    return table_store.Row(
        row.table, row.key, row.version, str(body.get(CHANGE, "")), body[VALUE]
    )
