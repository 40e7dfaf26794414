"""Which route a request takes, and to which of its services."""

__all__ = ["find", "service_of"]


def find(config, host, path):
    """Return the route with the longest prefix of a path, or None.

    Parameters
    ----------
    config : dogwoodwheel.entry.datatypes.Configuration
    host : str
        In lower case, without a port.
    path : str
    """
    for route in config.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def service_of(route, fraction):
    """Return the service that a part of a route's requests goes to.

    Parameters
    ----------
    route : dogwoodwheel.entry.datatypes.Route
    fraction : float
        Uniform in 0 to 1; the same one gives the same service.
    """
    total = sum(weight for _, weight in route.services)
    left = fraction * total
    for name, weight in route.services:
        left -= weight
        if left < 0:
            return name
    return route.services[-1][0]
