"""Finds the route of a request, and selects one of its services."""

__all__ = ["find_route", "pick_service"]


def find_route(config, host, path):
    """Return the route with the longest prefix that matches, or None.

    Parameters
    ----------
    config : dogwoodwheel.entry.datatypes.Configuration
    host : str
        Host of the request, in lower case and without a port.
    path : str
        Path of the request, without the query.
    """
    for route in config.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route, random_fraction):
    """Return the name of one of a route's services, chosen by weight.

    Parameters
    ----------
    route : dogwoodwheel.entry.datatypes.Route
    random_fraction : float
        Random number from 0 to 1.  The same number selects the same service.
    """
    total_weight = sum(weight for _, weight in route.services)
    remaining_weight = random_fraction * total_weight
    for service_name, weight in route.services:
        remaining_weight -= weight
        if remaining_weight < 0:
            return service_name
    return route.services[-1][0]
