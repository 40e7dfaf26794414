"""Table store and object store that keep their data in the platform's store.

Notes
-----
The platform's store keeps the value of a row as a JSON object with two
fields: the ID of the last commit that wrote the row, and the written value.
"""

import json

from loguru import logger

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.stores import object_store
from dogwoodwheel.stores import table_store

__all__ = ["PlatformObjectStore", "PlatformTableStore", "open_stores"]

WRITE_ID_FIELD = "change"
VALUE_FIELD = "value"
# Timeout of a call.  The outcome of a commit that takes longer is unknown.
CALL_TIMEOUT_S = 2.0


def open_stores(address):
    """Return a table store and an object store in the platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform's store.

    Returns
    -------
    tables : PlatformTableStore
    objects : PlatformObjectStore
    """
    store = store_module.Store(address, http.HttpClient())
    return PlatformTableStore(store), PlatformObjectStore(store)


class PlatformTableStore(table_store.TableStore):
    """A `TableStore` that keeps its rows in the platform's store.

    Parameters
    ----------
    store : dogwoodwheel.platform.store.Store
    """

    def __init__(self, store):
        self.store = store

    async def read(self, table, key):
        row = await self.store.read(table, key, CALL_TIMEOUT_S)
        try:
            return _decode_row(row)
        except ValueError as exc:
            raise exceptions.PlatformError(
                f"row {key} of table {table} is malformed; "
                f"find out which program wrote it"
            ) from exc

    async def scan(self, table):
        snapshot = await self.store.scan(table, timeout_s=CALL_TIMEOUT_S)
        rows = []
        for row in snapshot.rows:
            try:
                rows.append(_decode_row(row))
            except ValueError as exc:
                logger.warning(
                    "store: row {} of table {} is malformed: {}",
                    row.key,
                    table,
                    exc,
                )
        return tuple(rows)

    async def commit(self, commit_id, expected_versions, writes):
        expected_rows = [
            store_module.Row(expected.table, expected.key, expected.version)
            for expected in expected_versions
        ]
        written_rows = [
            store_module.Row(
                write.table,
                write.key,
                0,
                _encode_value(commit_id, write.value),
            )
            for write in writes
            if write.value is not None
        ]
        deleted_rows = [
            store_module.Row(write.table, write.key, 0)
            for write in writes
            if write.value is None
        ]
        return await self.store.commit(
            expected_rows, written_rows, deleted_rows, CALL_TIMEOUT_S
        )


class PlatformObjectStore(object_store.ObjectStore):
    """An `ObjectStore` that keeps its objects in the platform's store.

    In the platform's store, the name of an object is its digest.

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
                f"object {digest[:12]} is damaged, as its bytes do not match "
                f"its digest; read it again"
            )
        return data


def _encode_value(commit_id, value):
    return json.dumps({WRITE_ID_FIELD: commit_id, VALUE_FIELD: value}).encode()


def _decode_row(row):
    if row.value is None:
        return table_store.Row(row.table, row.key, 0, "", {})
    try:
        body = json.loads(row.value)
    except RecursionError:
        raise ValueError("nested too deeply") from None
    if not isinstance(body, dict) or not isinstance(
        body.get(VALUE_FIELD), dict
    ):
        raise ValueError("not a JSON object with a written value")
    return table_store.Row(
        row.table,
        row.key,
        row.version,
        str(body.get(WRITE_ID_FIELD, "")),
        body[VALUE_FIELD],
    )
