"""Ranks endpoints for a new replica and plans evictions."""

import dataclasses

from dogwoodwheel.membership import view as views
from dogwoodwheel.placement import records

__all__ = ["Candidate", "EvictionPlan", "plan_evictions", "rank_endpoints"]


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that could take a replica, with its ranking criteria.

    Parameters
    ----------
    name : str
    fits : bool
        Whether the replica fits beside all replicas that are decided for
        the endpoint.
    cached : bool
        Whether the weights are on its disk or in its host memory.
    zone_replicas : int
        Number of replicas of the model in its zone.
    planned_mb : int
        Memory of all replicas that are decided for the endpoint,
        megabytes.
    tie_breaker : int
        Hash of endpoint and model, equal at all entries.
    """

    name: str
    fits: bool
    cached: bool
    zone_replicas: int
    planned_mb: int
    tie_breaker: int

    @property
    def sort_key(self):
        """Sort key that puts the best candidate first."""
        return (
            not self.fits,
            self.zone_replicas,
            not self.cached,
            self.planned_mb,
            self.tie_breaker,
        )


def rank_endpoints(
    model, endpoints, records_by_name, can_receive_orders, replicas=()
):
    """Return the endpoints that could take a replica, best first.

    Parameters
    ----------
    model : dogwoodwheel.declaration.datatypes.Model
    endpoints : dict of str to dogwoodwheel.declaration.datatypes.Endpoint
    records_by_name : dict of str to EndpointRecord
        The stored records; an endpoint without a record is empty.
    can_receive_orders : callable
        ``can_receive_orders(endpoint)`` returns whether the endpoint may
        receive new work and orders.
    replicas : sequence of str
        Endpoints that are already decided for the model.

    Returns
    -------
    tuple of Candidate

    Notes
    -----
    Endpoints with enough free memory come first, because an eviction
    costs another model its replica.  Further criteria, in this order:
    few replicas of the model in the zone, weights that need not be read
    from the weight store, and little memory planned for other replicas.
    """
    replica_zones = [
        endpoints[name].zone for name in replicas if name in endpoints
    ]
    candidates = []
    for endpoint in endpoints.values():
        if endpoint.service != model.service or endpoint.name in replicas:
            continue
        record = records_by_name.get(endpoint.name)
        record = record or records.EndpointRecord(endpoint.name)
        exceeds_memory = model.size_mb > endpoint.memory_mb
        if exceeds_memory or record.down or not can_receive_orders(endpoint):
            continue
        planned_mb = sum(
            replica.memory_mb for replica in record.replicas.values()
        )
        fits = planned_mb + model.size_mb <= endpoint.memory_mb
        if record.full and not fits:
            continue
        candidates.append(
            Candidate(
                name=endpoint.name,
                fits=fits,
                cached=model.name in record.cached,
                zone_replicas=replica_zones.count(endpoint.zone),
                planned_mb=planned_mb,
                tie_breaker=views.rendezvous_score(endpoint.name, model.name),
            )
        )
    return tuple(sorted(candidates, key=lambda c: c.sort_key))


@dataclasses.dataclass(frozen=True)
class EvictionPlan:
    """How memory is freed for a replica.

    Parameters
    ----------
    fits_now : bool
        Whether enough memory is already free.
    names : tuple of str
        Replicas to unload first.
    """

    fits_now: bool
    names: tuple = ()


def plan_evictions(record, memory_mb, replica, used_at, in_use):
    """Return which replicas to unload so that a replica fits.

    Parameters
    ----------
    record : dogwoodwheel.placement.records.EndpointRecord
    memory_mb : int
        Memory of the endpoint, megabytes.
    replica : dogwoodwheel.placement.records.Replica
        The replica that needs memory.
    used_at : dict of str to float
        Time of the last use by name of the replica, seconds.
    in_use : callable
        ``in_use(name)`` returns whether a replica serves a request or a
        request waits for it.

    Returns
    -------
    EvictionPlan or None
        None if evicting every unused replica would not free enough.

    Notes
    -----
    The least recently used replica is evicted first.  Memory of replicas
    that are already being unloaded counts as free, so that no further
    replica is evicted for it.  Adapters, and the base model of the
    replica, are not evicted.
    """
    free_mb = memory_mb - record.reserved_mb
    if replica.memory_mb <= free_mb:
        return EvictionPlan(True)
    free_mb += sum(
        other.memory_mb
        for other in record.replicas.values()
        if other.state == records.UNLOAD
    )
    evictable = [
        other
        for other in record.replicas.values()
        if other.state == records.LOAD
        and other.name != replica.base
        and not other.base
        and not in_use(other.name)
    ]
    evictable.sort(key=lambda other: used_at.get(other.name, 0.0))
    names = []
    for other in evictable:
        if free_mb >= replica.memory_mb:
            break
        names.append(other.name)
        free_mb += other.memory_mb
    if free_mb < replica.memory_mb:
        return None
    return EvictionPlan(False, tuple(names))
