"""Admits or refuses requests according to the configuration in force.

Notes
-----
Workload: one customer sends many times its permitted rate.  Requests above
the rate are refused at once, with the time after which the rate allows them.
"""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import quota
from dogwoodwheel.entry import routing
from dogwoodwheel.platform import http_headers
from dogwoodwheel.requests import refusals

__all__ = ["AdmittedRequest", "IncomingRequest", "admit"]

# Time limit of a request whose headers state no time limit, seconds.
DEFAULT_TIME_LIMIT_S = 30.0
# Largest value of the header that states a request's priority to engines.
MAX_URGENCY = 9
# Number of different priorities of routes.  The customer's priority is
# multiplied by this number, to take precedence over the route's priority.
ROUTE_PRIORITY_COUNT = 3


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """A request as received from the caller.

    Parameters
    ----------
    method : str
    path : str
        Path without the query.
    target : bytes
        Path and query, as received.
    headers : tuple of (bytes, bytes)
        Names and values.
    body : bytes
    received_at : float
        Time of trio's clock at which request line and headers were read.
    """

    method: str
    path: str
    target: bytes
    headers: tuple
    body: bytes
    received_at: float


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be sent to an endpoint.

    Parameters
    ----------
    incoming : IncomingRequest
    request_headers : dogwoodwheel.platform.http_headers.RequestHeaders
    route : dogwoodwheel.entry.datatypes.Route
    service : dogwoodwheel.entry.datatypes.Service
    customer : dogwoodwheel.entry.datatypes.Customer or None
    deadline : float
        Time of trio's clock by which the request must be answered.
    """

    incoming: IncomingRequest
    request_headers: object
    route: datatypes.Route
    service: datatypes.Service
    customer: datatypes.Customer
    deadline: float

    @property
    def urgency(self):
        """Priority of the request at an engine; 0 is the highest."""
        priority = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            priority += ROUTE_PRIORITY_COUNT * self.customer.priority
        return min(MAX_URGENCY, priority)


def admit(components, incoming):
    """Check a request, and charge it to its customer's quota.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    incoming : IncomingRequest

    Returns
    -------
    AdmittedRequest

    Raises
    ------
    RefusedError
        If the request is malformed or not allowed.
    """
    config = components.fleet_state.config
    if config is None:
        raise refusals.refused(
            "starting", "this entry has only just started", 503
        )
    try:
        request_headers = http_headers.decode(incoming.headers)
    except ValueError as exc:
        raise refusals.refused(
            "header_malformed", f"a header cannot be read: {exc}", 400
        ) from exc
    route = routing.find_route(config, request_headers.host, incoming.path)
    if route is None:
        raise _unknown_refusal(
            components, "no_route", "no route has this path", 404
        )
    customer = _authenticated_customer(
        components, config, route, request_headers
    )
    service = config.services.get(routing.pick_service(route, random.random()))
    if service is None:
        raise refusals.refused(
            "no_service", "the route's service is not configured", 503
        )
    now = trio.current_time()
    time_limit_s = min(
        request_headers.deadline_s or DEFAULT_TIME_LIMIT_S, route.timeout_s
    )
    if customer is not None:
        _charge_quota(components, customer, request_headers, now)
    return AdmittedRequest(
        incoming,
        request_headers,
        route,
        service,
        customer,
        incoming.received_at + time_limit_s,
    )


def _authenticated_customer(components, config, route, request_headers):
    customer_name = (
        config.keys.get(request_headers.key) if request_headers.key else None
    )
    if customer_name is None and not route.anonymous:
        raise _unknown_refusal(
            components, "key_unknown", "send a valid key", 401
        )
    return config.customers.get(customer_name)


def _unknown_refusal(components, code, message, status):
    """Return the refusal of a request whose route or key is unknown.

    Notes
    -----
    A peer may have a newer configuration that contains the route or the
    key.  In this case the refusal asks the caller to retry soon.
    """
    newest_version = max(
        (
            peer.heartbeat.config_version
            for peer in components.heartbeats.peers.values()
        ),
        default=0,
    )
    if newest_version > components.fleet_state.config.version:
        return refusals.refused(
            "configuration_old",
            "a newer configuration is on its way",
            503,
            retry_after_s=0.2,
        )
    return refusals.refused(code, message, status)


def _charge_quota(components, customer, request_headers, now):
    units = quota.request_units(customer, request_headers)
    wait_s = components.quotas.charge(
        customer, units, now, components.refill_fraction()
    )
    if wait_s > 0:
        logger.info(
            "quota: refused",
            id=request_headers.id,
            customer=customer.name,
            units=round(units),
            wait_s=round(wait_s, 2),
        )
        raise refusals.refused(
            "rate_limited",
            f"the customer's rate allows this in {wait_s:.1f} s",
            429,
            retry_after_s=wait_s,
        )
    if (
        components.heartbeats.is_large_fleet
        and components.quotas.has_low_balance(customer)
    ):
        components.heartbeats.send_soon()
