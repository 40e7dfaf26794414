"""Chooses endpoints for new replicas and records the decisions."""

from loguru import logger

from dogwoodwheel.placement import records
from dogwoodwheel.placement import replica_selection
from dogwoodwheel.wire import messages

__all__ = ["Placer"]


class Placer:
    """Records decisions to load or unload and notifies endpoint owners.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    table : dogwoodwheel.stores.table_store.TableStore
    """

    def __init__(self, fleet, table):
        self.fleet = fleet
        self.table = table

    async def add_replica(self, model, base, base_endpoints, record):
        """Decide an additional replica of a model or adapter.

        Parameters
        ----------
        model : dogwoodwheel.declaration.datatypes.Model
            Model to place, or an adapter as `Catalog.model` returns it.
        base : str
            Base model of an adapter; empty for a model.
        base_endpoints : sequence of str or None
            Endpoints that hold the base model; None for a model.
        record : dogwoodwheel.placement.records.ModelRecord

        Returns
        -------
        dogwoodwheel.placement.records.ModelRecord or None
            None if no endpoint can take the replica now.

        Raises
        ------
        ConflictError
            If a row has changed since it was read.
        PlatformError

        Notes
        -----
        Takes one scan of the endpoints' rows and one commit.
        """
        records_by_name = await records.scan_endpoints(self.table)
        endpoints = self.fleet.view.declaration.endpoints
        if base_endpoints is not None:
            endpoints = {
                n: endpoints[n] for n in base_endpoints if n in endpoints
            }
        candidates = replica_selection.rank_endpoints(
            model,
            endpoints,
            records_by_name,
            self._can_receive_orders,
            record.endpoints,
        )
        for candidate in candidates:
            endpoint_record = records_by_name.get(candidate.name)
            endpoint_record = endpoint_record or records.EndpointRecord(
                candidate.name
            )
            if base and not _has_replica(endpoint_record, base):
                continue
            memory_mb = endpoints[candidate.name].memory_mb
            record, _ = await records.add_replica(
                self.table,
                record,
                endpoint_record,
                _new_replica(model, base, endpoint_record, memory_mb),
                memory_mb,
            )
            self.fleet.metrics.count_decision()
            logger.info(
                "placement: decided model={} endpoint={}",
                model.name,
                candidate.name,
            )
            await self.notify_owner(candidate.name)
            return record
        return None

    async def mark_unload(self, model, endpoint):
        """Decide to unload a replica.

        Returns
        -------
        bool
            False if the replica is absent or is not in the state ``load``.

        Raises
        ------
        ConflictError
            If the row has changed since it was read.
        PlatformError
        """
        record = await records.read_endpoint(self.table, endpoint)
        replica = record.replicas.get(model)
        if replica is None or replica.state != records.LOAD:
            return False
        marked = record.with_state(model, records.UNLOAD)
        await records.save_endpoint(self.table, marked)
        await self.notify_owner(endpoint)
        return True

    async def notify_owner(self, endpoint):
        """Notify the owner of an endpoint that its record changed."""
        entry, _ = self.fleet.view.owner_of(endpoint)
        if entry is not None:
            await self.fleet.send(entry.name, messages.Nudge(0, endpoint))

    def _can_receive_orders(self, endpoint):
        """Return whether an endpoint may receive new work and orders.

        Notes
        -----
        An endpoint that ignores fencing tokens would also execute late
        orders of an earlier owner, so it receives none until all earlier
        owners are known to be gone.
        """
        view = self.fleet.view
        declared_endpoint = view.declaration.endpoints.get(endpoint.name)
        if declared_endpoint is None or not view.usable(declared_endpoint):
            return False
        entry, holding = view.owner_of(endpoint.name)
        if entry is None:
            return False
        return endpoint.fencing or all(
            self.fleet.gone(name, incarnation)
            for name, incarnation in holding.earlier_holders
        )


def _has_replica(endpoint_record, base):
    replica = endpoint_record.replicas.get(base)
    return replica is not None and replica.state != records.UNLOAD


def _new_replica(model, base, endpoint_record, memory_mb):
    fits = endpoint_record.reserved_mb + model.size_mb <= memory_mb
    return records.Replica(
        name=model.name,
        version=model.version,
        memory_mb=model.size_mb,
        state=records.LOAD if fits else records.WANT,
        base=base,
    )
