"""Client that fetches reports from engines and sends them orders."""

import functools
import json

from dogwoodwheel.engines import http
from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import decoding
from dogwoodwheel.platform import registrations

__all__ = ["EngineClient"]

# Engines usually reply to a report call within 3 ms and to an order within
# 10 ms.  The sender repeats an order that got no reply.  The engine does not
# carry out the order twice: each order states how many orders the engine must
# have accepted before, so an engine that accepted it rejects the second copy.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.15
# Maximum size of a report; parsing one of this size takes some 10 ms.
MAX_REPLY_BYTES = 512 * 1024
OK = 200
ACCEPTED = 202
CONFLICT = 409
# HTTP status of an engine that has received a newer fencing token.
FENCED = 412
EXPECT_INSTANCE_HEADER = b"x-expect-instance"


class EngineClient:
    """Fetches reports from engines and sends orders to them.

    Parameters
    ----------
    http_client : dogwoodwheel.engines.http.HttpClient
    on_reply : callable
        ``on_reply(endpoint, reply)`` is called with the head of each reply.
    """

    def __init__(self, http_client, on_reply=lambda endpoint, reply: None):
        self._http_client = http_client
        self._on_reply = on_reply

    async def fetch_report(self, endpoint):
        """Return the `EngineReport` of an endpoint.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint

        Raises
        ------
        EndpointError
            If the engine does not reply, or replies with an error status
            or a malformed report.
        """
        request = http.Request(
            "", "GET", b"/api/report", _instance_headers(endpoint)
        )
        status, data = await self._call(endpoint, request, REPORT_TIMEOUT_S)
        if status != OK:
            raise exceptions.EndpointError(
                f"{endpoint.id} replied with status {status} to a report call"
            )
        try:
            return _parse_report(data, endpoint.id)
        except exceptions.DeclarationError as exc:
            raise exceptions.EndpointError(str(exc)) from exc

    async def send_order(
        self, endpoint, order, fencing_token, lease_holder, orders_accepted
    ):
        """Send an order to load or unload a model or an adapter.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        order : dogwoodwheel.entry.datatypes.Order
        fencing_token : int
            Token of the lease; increases with each take-over.
        lease_holder : str
            Name of the entry that holds the lease.
        orders_accepted : int
            Number of orders that the engine must have accepted before
            this order.

        Returns
        -------
        bool
            True if the engine accepted the order and carries it out now;
            False if it was already in the requested state.

        Raises
        ------
        BusyError
            If the engine carries out another order, or has accepted
            more than `orders_accepted` orders.
        FencedError
            If the engine has received a newer fencing token.
        EndpointError
            If the engine refused the order or did not reply.  Without a
            reply, the engine may still carry out the order later,
            unless it accepts another order first.
        """
        body = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "holder": lease_holder,
            "fencingToken": fencing_token,
            # The engine rejects the order if this number differs from its own.
            "expected": orders_accepted,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        request = http.Request(
            "",
            "POST",
            b"/api/order",
            _instance_headers(endpoint)
            + ((b"content-type", b"application/json"),),
            json.dumps(body).encode(),
        )
        status, _ = await self._call(endpoint, request, ORDER_TIMEOUT_S)
        if status == CONFLICT:
            raise exceptions.BusyError(
                f"{endpoint.id} carries out another order or has accepted one "
                f"since its last report; try again"
            )
        if status == FENCED:
            raise exceptions.FencedError(
                f"{endpoint.id} refused fencing token {fencing_token}; "
                f"a newer lease holder sends orders now"
            )
        if status not in (OK, ACCEPTED):
            raise exceptions.EndpointError(
                f"{endpoint.id} replied with status {status} to an order"
            )
        return status == ACCEPTED

    async def _call(self, endpoint, request, timeout_s):
        return await self._http_client.call(
            endpoint.address,
            request,
            timeout_s,
            max_bytes=MAX_REPLY_BYTES,
            on_reply=functools.partial(self._on_reply, endpoint),
        )


def _instance_headers(endpoint):
    return ((EXPECT_INSTANCE_HEADER, endpoint.id.encode()),)


def _parse_report(data, endpoint_id):
    body = decoding.JsonObject.from_json(data, f"the report of {endpoint_id}")
    memory_weights, disk_weights = registrations.cached_weights(body)
    return datatypes.EngineReport(
        models=registrations.parse_loaded_models(body),
        busy=body.flag("busy"),
        # Number of orders that the engine has accepted since its start.
        orders_accepted=body.integer("sequence"),
        queued_requests=body.integer("queued", 0),
        running_requests=body.integer("active", 0),
        cache_used_tokens=body.integer("kvUsed", 0),
        # The engine reports MODEL/ADAPTER@SUFFIX; `loading_adapters` does not
        # contain the suffix.
        loading_adapters=frozenset(
            name.partition("@")[0] for name in body.texts("coming", ())
        ),
        memory_weights=memory_weights,
        disk_weights=disk_weights,
    )
