"""Rows of the table service that say what was decided.

Notes
-----
Two tables: ``models`` names the endpoints decided for a model, and
``endpoints`` names the replicas of an endpoint with the memory that is
reserved for each.  A change of both is one transaction with checks of
both versions, so the two never disagree.  Only these rows permit an
order to an endpoint.
"""

import dataclasses
import uuid

from dogwoodwheel import exceptions
from dogwoodwheel.stores import table_store as tables

__all__ = [
    "ENDPOINTS",
    "LOAD",
    "MODELS",
    "UNLOAD",
    "WANT",
    "EndpointRecord",
    "ModelRecord",
    "Replica",
    "add",
    "drop",
    "read_endpoint",
    "read_model",
    "save",
    "scan_endpoints",
]

MODELS = "models"
ENDPOINTS = "endpoints"
WANT = "want"
LOAD = "load"
UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Replica:
    """A model or adapter decided for an endpoint.

    Parameters
    ----------
    name, version : str
    memory_mb : int
    state : str
        ``want`` (no memory reserved yet), ``load`` (reserved, may be
        loaded) or ``unload`` (reserved until the unload is confirmed).
    base : str
        Base model of an adapter; empty for a model.
    change : str
        Unique name of the decision.
    """

    name: str
    version: str
    memory_mb: int
    state: str
    base: str = ""
    change: str = ""


@dataclasses.dataclass(frozen=True)
class EndpointRecord:
    """Row of an endpoint.

    Parameters
    ----------
    name : str
    row : int
        Version of the row; 0 where it is absent.
    replicas : dict of str to Replica
    epoch : int
        Epoch of the owner that claimed the row last.
    warm : str
        Incarnation of the endpoint that reached its full limit.
    cached : tuple of str
        Models whose weights lie on its disk or in its host memory.
    down : bool
        Whether it has not answered for a while.
    full : bool
        Whether all its replicas were in use when one more was wanted.
    """

    name: str
    row: int = 0
    replicas: dict = dataclasses.field(default_factory=dict)
    epoch: int = 0
    warm: str = ""
    cached: tuple = ()
    down: bool = False
    full: bool = False

    @classmethod
    def from_row(cls, row):
        """Return the record of a row as read."""
        value = row.value or {}
        replicas = {
            name: _replica(name, fields)
            for name, fields in value.get("models", {}).items()
        }
        return cls(
            name=row.key,
            row=row.version,
            replicas=replicas,
            epoch=value.get("epoch", 0),
            warm=value.get("warm", ""),
            cached=tuple(value.get("cached", ())),
            down=value.get("down", False),
            full=value.get("full", False),
        )

    def to_value(self):
        """Return the row's value as JSON data."""
        models = {}
        for replica in self.replicas.values():
            fields = dataclasses.asdict(replica)
            del fields["name"]
            models[replica.name] = fields
        return {
            "models": models,
            "epoch": self.epoch,
            "warm": self.warm,
            "cached": list(self.cached),
            "down": self.down,
            "full": self.full,
        }

    @property
    def reserved_mb(self):
        """Memory reserved for all replicas, megabytes."""
        return sum(
            replica.memory_mb
            for replica in self.replicas.values()
            if replica.state != WANT
        )

    def put(self, replica):
        """Return a copy with a replica added or replaced."""
        replicas = {**self.replicas, replica.name: replica}
        return dataclasses.replace(self, replicas=replicas)

    def without(self, name):
        """Return a copy without a replica."""
        replicas = {k: v for k, v in self.replicas.items() if k != name}
        return dataclasses.replace(self, replicas=replicas)

    def marked(self, name, state):
        """Return a copy in which a replica has another state.

        Notes
        -----
        The adapters of a base model that is to be unloaded go with it.
        """
        record = self
        for replica in self.replicas.values():
            follows = state == UNLOAD and replica.base == name
            if replica.name == name or follows:
                record = record.put(dataclasses.replace(replica, state=state))
        return record


@dataclasses.dataclass(frozen=True)
class ModelRecord:
    """Row of a model: the endpoints decided for it."""

    name: str
    row: int = 0
    endpoints: tuple = ()

    @classmethod
    def from_row(cls, row):
        """Return the record of a row as read."""
        value = row.value or {}
        return cls(row.key, row.version, tuple(value.get("endpoints", ())))

    def to_value(self):
        """Return the row's value as JSON data."""
        return {"endpoints": list(self.endpoints)}


async def read_endpoint(table, name):
    """Return the `EndpointRecord` of an endpoint."""
    return EndpointRecord.from_row(await table.read(ENDPOINTS, name))


async def read_model(table, name):
    """Return the `ModelRecord` of a model or adapter."""
    return ModelRecord.from_row(await table.read(MODELS, name))


async def scan_endpoints(table):
    """Return every `EndpointRecord` by name."""
    rows = await table.scan(ENDPOINTS)
    return {row.key: EndpointRecord.from_row(row) for row in rows}


async def save(table, record, memory_mb=None):
    """Write an endpoint's row if it still has the version read.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    record : EndpointRecord
    memory_mb : int, optional
        Memory of the endpoint, megabytes; to be given where the record
        reserves more than before.

    Returns
    -------
    EndpointRecord
        With its new version.

    Raises
    ------
    ConflictError
        If the row changed, or the reservations would exceed the memory.
    PlatformError
    """
    if memory_mb is not None:
        _check_memory(record, memory_mb)
    check = tables.Check(ENDPOINTS, record.name, record.row)
    write = tables.Write(ENDPOINTS, record.name, record.to_value())
    version = await tables.commit_with_retries(table, [check], [write])
    return dataclasses.replace(record, row=version)


async def add(table, model, endpoint, replica, memory_mb):
    """Decide a replica: write the rows of model and endpoint together.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    model : ModelRecord
        As read; its version is checked.
    endpoint : EndpointRecord
        As read; its version is checked.
    replica : Replica
    memory_mb : int
        Memory of the endpoint, megabytes.

    Returns
    -------
    (ModelRecord, EndpointRecord)
        As written.

    Raises
    ------
    ConflictError
        If a row changed, or the reservations would exceed the memory.
    PlatformError
    """
    replica = dataclasses.replace(replica, change=uuid.uuid4().hex)
    endpoint = endpoint.put(replica)
    _check_memory(endpoint, memory_mb)
    model = dataclasses.replace(
        model, endpoints=(*model.endpoints, endpoint.name)
    )
    return await _write_both(table, model, endpoint)


async def drop(table, model, endpoint):
    """Take a replica out of the rows of its model and endpoint.

    Raises
    ------
    ConflictError
        If a row changed.
    PlatformError

    Notes
    -----
    Its memory is free again from then on, so the endpoint must have
    confirmed that nothing of it is loaded.
    """
    endpoint = endpoint.without(model.name)
    left = tuple(name for name in model.endpoints if name != endpoint.name)
    model = dataclasses.replace(model, endpoints=left)
    return await _write_both(table, model, endpoint)


async def _write_both(table, model, endpoint):
    checks = [
        tables.Check(ENDPOINTS, endpoint.name, endpoint.row),
        tables.Check(MODELS, model.name, model.row),
    ]
    writes = [
        tables.Write(ENDPOINTS, endpoint.name, endpoint.to_value()),
        tables.Write(MODELS, model.name, model.to_value()),
    ]
    version = await tables.commit_with_retries(table, checks, writes)
    return (
        dataclasses.replace(model, row=version),
        dataclasses.replace(endpoint, row=version),
    )


def _replica(name, fields):
    # A newer program may write fields that this one does not know.
    known = {field.name for field in dataclasses.fields(Replica)}
    kept = {key: item for key, item in fields.items() if key in known}
    return Replica(name=name, **kept)


def _check_memory(record, memory_mb):
    if record.reserved_mb > memory_mb:
        raise exceptions.ConflictError(
            f"{record.name} has {memory_mb} MB, {record.reserved_mb} MB "
            f"would be reserved; choose another endpoint"
        )
