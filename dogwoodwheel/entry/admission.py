"""Which requests are admitted, by what the configuration allows.

Notes
-----
Load pattern: one customer sends many times its rate; what is beyond it
is refused at once, with the time at which the rate allows it.
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

# Deadline of a request that names none, seconds.
DEFAULT_DEADLINE_S = 30.0
MAX_URGENCY = 9
# A customer's rank goes before the routes', which have three.
RANKS_OF_ROUTES = 3


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """A request as it came.

    Parameters
    ----------
    method : str
    path : str
        Without the query.
    target : bytes
    headers : tuple of (bytes, bytes)
    body : bytes
    at : float
        Time of trio's clock at which its head was read.
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
    incoming : Incoming
    asked : dogwoodwheel.platform.http_headers.RequestHeaders
    route : dogwoodwheel.entry.datatypes.Route
    service : dogwoodwheel.entry.datatypes.Service
    customer : dogwoodwheel.entry.datatypes.Customer or None
    until : float
        Time of trio's clock at which it must be answered.
    """

    incoming: IncomingRequest
    request_headers: object
    route: datatypes.Route
    service: datatypes.Service
    customer: datatypes.Customer
    deadline: float

    @property
    def urgency(self):
        """Rank of the request at an engine; 0 goes first."""
        rank = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            rank += RANKS_OF_ROUTES * self.customer.priority
        return min(MAX_URGENCY, rank)


def admit(components, incoming):
    """Check a request and charge its customer.

    Returns
    -------
    Admitted

    Raises
    ------
    RefusedError
    """
    config = components.fleet_state.config
    if config is None:
        raise refusals.refused(
            "starting", "this entry has only just started", 503
        )
    try:
        asked = http_headers.decode(incoming.headers)
    except ValueError as exc:
        raise refusals.refused(
            "header_malformed", f"a header cannot be read: {exc}", 400
        ) from exc
    route = routing.find(config, asked.host, incoming.path)
    if route is None:
        raise _unknown(components, "no_route", "no route has this path", 404)
    customer = _customer(components, config, route, asked)
    service = config.services.get(routing.service_of(route, random.random()))
    if service is None:
        raise refusals.refused(
            "no_service", "the route's service is not configured", 503
        )
    now = trio.current_time()
    deadline_s = min(asked.deadline_s or DEFAULT_DEADLINE_S, route.timeout_s)
    if customer is not None:
        _charge(components, customer, asked, now)
    return AdmittedRequest(
        incoming,
        asked,
        route,
        service,
        customer,
        incoming.received_at + deadline_s,
    )


def _customer(components, config, route, asked):
    name = config.keys.get(asked.key) if asked.key else None
    if name is None and not route.anonymous:
        raise _unknown(components, "key_unknown", "send a valid key", 401)
    return config.customers.get(name)


def _unknown(components, code, message, status):
    """Return the refusal of what this version does not have."""
    newest = max(
        (
            p.heartbeat.config_version
            for p in components.heartbeats.peers.values()
        ),
        default=0,
    )
    if newest > components.fleet_state.config.version:
        return refusals.refused(
            "configuration_old",
            "a newer configuration is on its way",
            503,
            retry_after_s=0.2,
        )
    return refusals.refused(code, message, status)


def _charge(components, customer, asked, now):
    need = quota.request_units(customer, asked)
    wait_s = components.quotas.charge(
        customer, need, now, components.refill_fraction()
    )
    if wait_s > 0:
        logger.info(
            "quota: refused",
            id=asked.id,
            customer=customer.name,
            units=round(need),
            wait_s=round(wait_s, 2),
        )
        raise refusals.refused(
            "rate_limited",
            f"the customer's rate allows this in {wait_s:.1f} s",
            429,
            retry_after_s=wait_s,
        )
    if components.heartbeats.is_large_fleet and components.quotas.is_low(
        customer
    ):
        components.heartbeats.send_soon()
