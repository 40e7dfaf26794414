"""Finds cycles in the dependencies between services."""

__all__ = ["services_in_cycles"]


def services_in_cycles(services):
    """Return the names of services on a dependency cycle or between two.

    Parameters
    ----------
    services : dict of str to dogwoodwheel.declaration.datatypes.Service

    Returns
    -------
    list of str
        In the order of ``services``; empty if there is no cycle.

    Notes
    -----
    The first pass removes services from which no cycle can be reached,
    the second removes services that no cycle can reach. A service that
    lies on a path from one cycle to another therefore remains too.
    """
    dependencies = {
        name: {other for other in service.depends or () if other in services}
        for name, service in services.items()
    }
    remaining = _prune_leaves(dependencies)
    dependents = {name: set() for name in remaining}
    for name, others in remaining.items():
        for other in others:
            dependents[other].add(name)
    remaining = _prune_leaves(dependents)
    return [name for name in services if name in remaining]


def _prune_leaves(graph):
    """Repeatedly remove the nodes that have no outgoing edges.

    Parameters
    ----------
    graph : dict of str to set of str
        Successors of each node.

    Returns
    -------
    dict of str to set of str
        The nodes that remain, with their successors that remain.
    """
    predecessors = {name: [] for name in graph}
    for name, others in graph.items():
        for other in others:
            predecessors[other].append(name)
    out_degree = {name: len(others) for name, others in graph.items()}
    leaves = [name for name, number in out_degree.items() if number == 0]
    removed = set()
    while leaves:
        leaf = leaves.pop()
        removed.add(leaf)
        for predecessor in predecessors[leaf]:
            out_degree[predecessor] -= 1
            if out_degree[predecessor] == 0:
                leaves.append(predecessor)
    return {
        name: others - removed
        for name, others in graph.items()
        if name not in removed
    }
