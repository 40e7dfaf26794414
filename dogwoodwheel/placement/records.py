"""Records of placement decisions in the table service.

Notes
-----
Rows of the table ``models`` list the endpoints decided for a model; rows
of the table ``endpoints`` list the replicas of an endpoint and the memory
reserved for each.  One transaction that checks the versions of both rows
changes both, so the tables stay consistent.  An order is sent to an
endpoint only if these rows record the decision.
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
    "add_replica",
    "read_endpoint",
    "read_model",
    "remove_replica",
    "save_endpoint",
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
    name : str
    version : str
        Version of the weights.
    memory_mb : int
        Memory of the replica, megabytes.
    state : str
        ``want`` (no memory reserved yet), ``load`` (memory reserved, may
        be loaded) or ``unload`` (memory reserved until the engine
        confirms the unload).
    base : str
        Base model of an adapter; empty for a model.
    change : str
        Unique identifier of the decision.
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
    row_version : int
        Version of the row; 0 if the row does not exist.
    replicas : dict of str to Replica
    epoch : int
        Epoch of the owner that last claimed the row.
    warm_incarnation : str
        Incarnation of the endpoint that completed its warm-up, so that
        it starts at its full limit of concurrent requests.
    cached : tuple of str
        Models whose weights are on its disk or in its host memory.
    down : bool
        Whether the endpoint has not answered for some seconds.
    full : bool
        Whether a replica could not be loaded because the others were in
        use.
    """

    name: str
    row_version: int = 0
    replicas: dict = dataclasses.field(default_factory=dict)
    epoch: int = 0
    warm_incarnation: str = ""
    cached: tuple = ()
    down: bool = False
    full: bool = False

    @classmethod
    def from_row(cls, row):
        """Return the record of a row as read."""
        value = row.value or {}
        replicas = {
            name: _replica_from_fields(name, fields)
            for name, fields in value.get("models", {}).items()
        }
        return cls(
            name=row.key,
            row_version=row.version,
            replicas=replicas,
            epoch=value.get("epoch", 0),
            warm_incarnation=value.get("warm", ""),
            cached=tuple(value.get("cached", ())),
            down=value.get("down", False),
            full=value.get("full", False),
        )

    def to_value(self):
        """Return the value to store in the row, as JSON data."""
        models = {}
        for replica in self.replicas.values():
            fields = dataclasses.asdict(replica)
            del fields["name"]
            models[replica.name] = fields
        return {
            "models": models,
            "epoch": self.epoch,
            "warm": self.warm_incarnation,
            "cached": list(self.cached),
            "down": self.down,
            "full": self.full,
        }

    @property
    def reserved_mb(self):
        """Memory reserved for replicas, megabytes."""
        return sum(
            replica.memory_mb
            for replica in self.replicas.values()
            if replica.state != WANT
        )

    def with_replica(self, replica):
        """Return a copy with a replica added or replaced."""
        replicas = {**self.replicas, replica.name: replica}
        return dataclasses.replace(self, replicas=replicas)

    def without_replica(self, name):
        """Return a copy without a replica."""
        replicas = {k: v for k, v in self.replicas.items() if k != name}
        return dataclasses.replace(self, replicas=replicas)

    def with_state(self, name, state):
        """Return a copy in which a replica has another state.

        Notes
        -----
        If a base model is to be unloaded, so are its adapters.
        """
        record = self
        for replica in self.replicas.values():
            is_dependent = state == UNLOAD and replica.base == name
            if replica.name == name or is_dependent:
                record = record.with_replica(
                    dataclasses.replace(replica, state=state)
                )
        return record


@dataclasses.dataclass(frozen=True)
class ModelRecord:
    """Row of a model: the endpoints decided for it."""

    name: str
    row_version: int = 0
    endpoints: tuple = ()

    @classmethod
    def from_row(cls, row):
        """Return the record of a row as read."""
        value = row.value or {}
        return cls(row.key, row.version, tuple(value.get("endpoints", ())))

    def to_value(self):
        """Return the value to store in the row, as JSON data."""
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


async def save_endpoint(table, record, memory_mb=None):
    """Write an endpoint's row if its version is still the one read.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    record : EndpointRecord
    memory_mb : int, optional
        Memory of the endpoint, megabytes; required if the record
        reserves more than before.

    Returns
    -------
    EndpointRecord
        The record with the new version of its row.

    Raises
    ------
    ConflictError
        If the row has changed, or the reservations exceed the memory.
    PlatformError
    """
    if memory_mb is not None:
        _check_memory(record, memory_mb)
    check = tables.ExpectedVersion(ENDPOINTS, record.name, record.row_version)
    write = tables.Write(ENDPOINTS, record.name, record.to_value())
    version = await tables.commit_with_retries(table, [check], [write])
    return dataclasses.replace(record, row_version=version)


async def add_replica(table, model, endpoint, replica, memory_mb):
    """Add a replica to the rows of its model and endpoint.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    model : ModelRecord
        The record as read; the version of its row is checked.
    endpoint : EndpointRecord
        The record as read; the version of its row is checked.
    replica : Replica
    memory_mb : int
        Memory of the endpoint, megabytes.

    Returns
    -------
    (ModelRecord, EndpointRecord)
        The records as written.

    Raises
    ------
    ConflictError
        If a row has changed, or the reservations exceed the memory.
    PlatformError
    """
    replica = dataclasses.replace(replica, change=uuid.uuid4().hex)
    endpoint = endpoint.with_replica(replica)
    _check_memory(endpoint, memory_mb)
    model = dataclasses.replace(
        model, endpoints=(*model.endpoints, endpoint.name)
    )
    return await _write_both(table, model, endpoint)


async def remove_replica(table, model, endpoint):
    """Remove a replica from the rows of its model and endpoint.

    Raises
    ------
    ConflictError
        If a row has changed since it was read.
    PlatformError

    Notes
    -----
    This releases the reserved memory, so the endpoint must have confirmed
    before that the replica is not loaded.
    """
    endpoint = endpoint.without_replica(model.name)
    remaining = tuple(
        name for name in model.endpoints if name != endpoint.name
    )
    model = dataclasses.replace(model, endpoints=remaining)
    return await _write_both(table, model, endpoint)


async def _write_both(table, model, endpoint):
    checks = [
        tables.ExpectedVersion(ENDPOINTS, endpoint.name, endpoint.row_version),
        tables.ExpectedVersion(MODELS, model.name, model.row_version),
    ]
    writes = [
        tables.Write(ENDPOINTS, endpoint.name, endpoint.to_value()),
        tables.Write(MODELS, model.name, model.to_value()),
    ]
    version = await tables.commit_with_retries(table, checks, writes)
    return (
        dataclasses.replace(model, row_version=version),
        dataclasses.replace(endpoint, row_version=version),
    )


def _replica_from_fields(name, fields):
    # Newer versions of the program may store fields unknown to this one.
    field_names = {field.name for field in dataclasses.fields(Replica)}
    known_fields = {
        key: item for key, item in fields.items() if key in field_names
    }
    return Replica(name=name, **known_fields)


def _check_memory(record, memory_mb):
    if record.reserved_mb > memory_mb:
        raise exceptions.ConflictError(
            f"{record.name} has {memory_mb} MB, but {record.reserved_mb} MB "
            f"would be reserved; choose another endpoint"
        )
