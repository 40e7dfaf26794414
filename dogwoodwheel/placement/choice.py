"""Which endpoint takes a replica, and which replica makes room."""

import dataclasses

from dogwoodwheel.membership import view as views
from dogwoodwheel.placement import records

__all__ = ["Candidate", "Evictions", "endpoints_for", "evictions"]


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that could take a replica, with what ranks it.

    Parameters
    ----------
    name : str
    fits : bool
        Whether the memory is free now.
    cached : bool
        Whether the weights lie on its disk or in its host memory.
    zone_replicas : int
        Replicas of the model in its zone.
    reserved_mb : int
    tie : int
        The same uniform number everywhere.
    """

    name: str
    fits: bool
    cached: bool
    zone_replicas: int
    reserved_mb: int
    tie: int

    @property
    def order(self):
        """Sort key, the best first."""
        return (
            not self.fits,
            self.zone_replicas,
            not self.cached,
            self.reserved_mb,
            self.tie,
        )


def endpoints_for(model, endpoints, found, usable, replicas=()):
    """Return the endpoints that could take a replica, best first.

    Parameters
    ----------
    model : dogwoodwheel.declaration.model.Model
    endpoints : dict of str to dogwoodwheel.declaration.model.Endpoint
    found : dict of str to dogwoodwheel.placement.records.EndpointRecord
        Records that exist; an endpoint without one is empty.
    usable : callable
        ``usable(endpoint)`` tells whether it may get new work.
    replicas : sequence of str
        Endpoints that are decided for the model already.

    Returns
    -------
    tuple of Candidate

    Notes
    -----
    Free memory goes first, since to evict costs another model its
    replica; then a zone without a replica of the model; then weights
    that need not come from the weight store; then the least reserved.
    """
    zones = [endpoints[name].zone for name in replicas if name in endpoints]
    candidates = []
    for endpoint in endpoints.values():
        if endpoint.service != model.service or endpoint.name in replicas:
            continue
        record = found.get(endpoint.name)
        record = record or records.EndpointRecord(endpoint.name)
        too_large = model.size_mb > endpoint.memory_mb
        if too_large or record.down or not usable(endpoint):
            continue
        wanted = sum(replica.memory_mb for replica in record.replicas.values())
        fits = wanted + model.size_mb <= endpoint.memory_mb
        if record.full and not fits:
            continue
        candidates.append(
            Candidate(
                name=endpoint.name,
                fits=fits,
                cached=model.name in record.cached,
                zone_replicas=zones.count(endpoint.zone),
                reserved_mb=wanted,
                tie=views.rank(endpoint.name, model.name),
            )
        )
    return tuple(sorted(candidates, key=lambda c: c.order))


@dataclasses.dataclass(frozen=True)
class Evictions:
    """How a replica finds its memory.

    Parameters
    ----------
    fits_now : bool
        Whether enough is free already.
    names : tuple of str
        Replicas to unload first.
    """

    fits_now: bool
    names: tuple = ()


def evictions(record, memory_mb, replica, used_at, in_use):
    """Return what must be unloaded for a replica, or None.

    Parameters
    ----------
    record : dogwoodwheel.placement.records.EndpointRecord
    memory_mb : int
        Memory of the endpoint, megabytes.
    replica : dogwoodwheel.placement.records.Replica
        The one that needs memory.
    used_at : dict of str to float
        When each replica was used last.
    in_use : callable
        ``in_use(name)`` tells whether a replica serves a request or one
        waits for it.

    Returns
    -------
    Evictions or None
        None where too much is in use.

    Notes
    -----
    The least recently used goes first.  Memory of a replica that is
    being unloaded is on its way and need not be freed again.
    """
    free = memory_mb - record.reserved_mb
    if replica.memory_mb <= free:
        return Evictions(True)
    free += sum(
        other.memory_mb
        for other in record.replicas.values()
        if other.state == records.UNLOAD
    )
    idle = [
        other
        for other in record.replicas.values()
        if other.state == records.LOAD
        and other.name != replica.base
        and not other.base
        and not in_use(other.name)
    ]
    idle.sort(key=lambda other: used_at.get(other.name, 0.0))
    names = []
    for other in idle:
        if free >= replica.memory_mb:
            break
        names.append(other.name)
        free += other.memory_mb
    if free < replica.memory_mb:
        return None
    return Evictions(False, tuple(names))
