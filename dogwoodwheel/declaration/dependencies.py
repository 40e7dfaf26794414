"""Cycles in what services depend on."""

__all__ = ["in_cycles"]


def in_cycles(services):
    """Return the services that depend on themselves, by any way.

    Notes
    -----
    Services that neither depend on a cycle nor stand in one are taken
    off from both ends; what remains holds a cycle.
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
