"""Calls of engines besides requests: reports and orders."""

import json

from dogwoodwheel.engines import http
from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import registrations

__all__ = ["EngineClient"]

# A report takes 3 ms and an order 10 ms as a rule.  An order that gets no
# answer is given again, which its count of orders makes safe.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.15
OK = 200
ACCEPTED = 202
CONFLICT = 409
FENCED = 412
EXPECTED_HEADER = b"x-expect-instance"


class EngineClient:
    """Reports from engines and orders to them.

    Parameters
    ----------
    http_client : dogwoodwheel.engines.http.HttpClient
    """

    def __init__(self, http_client):
        self._http_client = http_client

    async def fetch_report(self, endpoint):
        """Return an endpoint's `EngineReport`.

        Raises
        ------
        EndpointError
        """
        req = http.Request("", "GET", b"/api/report", _expect(endpoint))
        status, data = await self._http_client.call(
            endpoint.address, req, REPORT_TIMEOUT_S
        )
        if status != OK:
            raise exceptions.EndpointError(
                f"{endpoint.id} replied {status} to a report call"
            )
        try:
            return _report(json.loads(data))
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.EndpointError(
                f"the report of {endpoint.id} is malformed ({exc!r})"
            ) from exc

    async def send_order(self, endpoint, order, token, holder, accepted):
        """Give an order.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        order : dogwoodwheel.entry.datatypes.Order
        token : int
            Fencing token.
        holder : str
        accepted : int
            Orders that the endpoint must have taken before.

        Returns
        -------
        bool
            Whether it is being carried out; False where it holds already.

        Raises
        ------
        BusyError
            If another order goes on, or others were taken since.
        FencedError
            If a newer holder has given orders.
        EndpointError
            If it was refused, or nothing came back; then it may be
            carried out later if no other one is taken before.
        """
        body = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "holder": holder,
            "fencingToken": token,
            # The endpoint compares it with its count of orders.
            "expected": accepted,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        req = http.Request(
            "",
            "POST",
            b"/api/order",
            _expect(endpoint) + ((b"content-type", b"application/json"),),
            json.dumps(body).encode(),
        )
        status, _ = await self._http_client.call(
            endpoint.address, req, ORDER_TIMEOUT_S
        )
        if status == CONFLICT:
            raise exceptions.BusyError(
                f"{endpoint.id} carries out another order; try again"
            )
        if status == FENCED:
            raise exceptions.FencedError(
                f"{endpoint.id} refused fencing token {token}; "
                f"a newer holder gives the orders"
            )
        if status not in (OK, ACCEPTED):
            raise exceptions.EndpointError(
                f"{endpoint.id} replied {status} to an order"
            )
        return status == ACCEPTED


def _expect(endpoint):
    return ((EXPECTED_HEADER, endpoint.id.encode()),)


def _report(body):
    at_hand = body.get("atHand") or {}
    return datatypes.EngineReport(
        models=registrations.loaded(body.get("models") or ()),
        busy=bool(body["busy"]),
        # Counts the orders taken since the engine's start.
        orders_accepted=int(body["sequence"]),
        queued=int(body.get("queued", 0)),
        active=int(body.get("active", 0)),
        cache_used=int(body.get("kvUsed", 0)),
        loading_adapters=frozenset(
            name.partition("@")[0] for name in body.get("coming") or ()
        ),
        in_memory=frozenset(at_hand.get("inMemory") or ()),
        on_disk=frozenset(at_hand.get("onDisk") or ()),
    )
