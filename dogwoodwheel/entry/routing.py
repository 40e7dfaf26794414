"""Finds the route of a request, and picks one of the route's services."""

__all__ = ["find_route", "pick_service"]


def find_route(config, host, path):
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


def pick_service(route, fraction):
    """Return one of a route's services, chosen by their weights.

    Parameters
    ----------
    route : dogwoodwheel.entry.datatypes.Route
    fraction : float
        Uniformly distributed in 0 to 1; equal values give equal services.
    """
    total = sum(weight for _, weight in route.services)
    left = fraction * total
    for name, weight in route.services:
        left -= weight
        if left < 0:
            return name
    return route.services[-1][0]
