"""Decides one more replica of a model, and records it."""

from loguru import logger

from dogwoodwheel.placement import choice
from dogwoodwheel.placement import records
from dogwoodwheel.wire import messages

__all__ = ["Placer"]


class Placer:
    """Chooses an endpoint, writes the decision, tells the owner.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    """

    def __init__(self, fleet, table):
        self.fleet = fleet
        self.table = table

    async def add(self, model, base, hosts, record):
        """Decide one more replica.

        Parameters
        ----------
        model : dogwoodwheel.declaration.model.Model
            What to place; an adapter in the form of a model.
        base : str
            Base model of an adapter; empty for a model.
        hosts : sequence of str or None
            Endpoints that hold the base model; None for a model.
        record : dogwoodwheel.placement.records.ModelRecord

        Returns
        -------
        dogwoodwheel.placement.records.ModelRecord or None
            None where no endpoint can take it now.

        Raises
        ------
        ConflictError
            If a row changed meanwhile.
        PlatformError

        Notes
        -----
        Costs one scan of the endpoints' rows and one commit.
        """
        found = await records.scan_endpoints(self.table)
        endpoints = self.fleet.view.declaration.endpoints
        if hosts is not None:
            endpoints = {n: endpoints[n] for n in hosts if n in endpoints}
        candidates = choice.endpoints_for(
            model, endpoints, found, self._orderable, record.endpoints
        )
        for candidate in candidates:
            row = found.get(candidate.name)
            row = row or records.EndpointRecord(candidate.name)
            if base and not _holds(row, base):
                continue
            memory_mb = endpoints[candidate.name].memory_mb
            record, _ = await records.add(
                self.table,
                record,
                row,
                _replica(model, base, row, memory_mb),
                memory_mb,
            )
            self.fleet.metrics.count_decision()
            logger.info(
                "placement: decided model={} endpoint={}",
                model.name,
                candidate.name,
            )
            await self.nudge(candidate.name)
            return record
        return None

    async def unload(self, model, endpoint):
        """Decide that a replica is unloaded; return whether it is new.

        Raises
        ------
        ConflictError
            If the row changed meanwhile.
        PlatformError
        """
        record = await records.read_endpoint(self.table, endpoint)
        replica = record.replicas.get(model)
        if replica is None or replica.state != records.LOAD:
            return False
        marked = record.marked(model, records.UNLOAD)
        await records.save(self.table, marked)
        await self.nudge(endpoint)
        return True

    async def nudge(self, endpoint):
        """Tell the owner of an endpoint that its record changed."""
        entry, _ = self.fleet.view.owner_of(endpoint)
        if entry is not None:
            await self.fleet.tell(entry.name, messages.Nudge(0, endpoint))

    def _orderable(self, endpoint):
        """Tell whether an endpoint may get work, and soon orders too."""
        view = self.fleet.view
        declared = view.declaration.endpoints.get(endpoint.name)
        if declared is None or not view.usable(declared):
            return False
        entry, holding = view.owner_of(endpoint.name)
        if entry is None:
            return False
        return endpoint.fencing or all(
            self.fleet.gone(name, incarnation)
            for name, incarnation in holding.prior
        )


def _holds(row, base):
    replica = row.replicas.get(base)
    return replica is not None and replica.state != records.UNLOAD


def _replica(model, base, row, memory_mb):
    fits = row.reserved_mb + model.size_mb <= memory_mb
    return records.Replica(
        name=model.name,
        version=model.version,
        memory_mb=model.size_mb,
        state=records.LOAD if fits else records.WANT,
        base=base,
    )
