"""Find cycles in the dependencies between services."""

__all__ = ["in_cycles"]


def in_cycles(services):
    """Return the names of services on a dependency cycle or between two.

    Parameters
    ----------
    services : dict of str to dogwoodwheel.declaration.model.Service

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
    needs = {
        name: {other for other in service.depends or () if other in services}
        for name, service in services.items()
    }
    remains = _without_ends(needs)
    users = {name: set() for name in remains}
    for name, others in remains.items():
        for other in others:
            users[other].add(name)
    remains = _without_ends(users)
    return [name for name in services if name in remains]


def _without_ends(needs):
    """Remove, again and again, what needs nothing that remains."""
    users = {name: [] for name in needs}
    for name, others in needs.items():
        for other in others:
            users[other].append(name)
    count = {name: len(others) for name, others in needs.items()}
    ends = [name for name, number in count.items() if number == 0]
    gone = set()
    while ends:
        end = ends.pop()
        gone.add(end)
        for user in users[end]:
            count[user] -= 1
            if count[user] == 0:
                ends.append(user)
    return {
        name: others - gone
        for name, others in needs.items()
        if name not in gone
    }
