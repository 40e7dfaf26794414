"""Client of an endpoint's orders and status.

Notes
-----
The protocol is HTTP with JSON.  ``GET /status`` tells what is loaded,
the load and the incarnation.  ``POST /orders`` takes one order; the
reply 202 means that it was taken, 409 that its fencing number is old.
Taking the same order twice is harmless.
"""

import dataclasses
import json

import httpcore
import trio

from dogwoodwheel import exceptions

__all__ = [
    "EndpointClient",
    "EndpointStatus",
    "HttpEndpointClient",
    "ModelStatus",
    "Order",
]

STATUS_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 3.0
OK = 200
ACCEPTED = 202
CONFLICT = 409
LOADING = "loading"
LOADED = "loaded"
UNLOADING = "unloading"
FAILED = "failed"
HEADERS = (("content-type", "application/json"),)
UNREACHED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@dataclasses.dataclass(frozen=True)
class ModelStatus:
    """A model or adapter at an endpoint.

    Parameters
    ----------
    name : str
    version : str
    state : str
        ``loading``, ``loaded``, ``unloading`` or ``failed``.
    memory_mb : int
    base : str
        Name of the base model of an adapter; empty for a model.
    """

    name: str
    version: str
    state: str
    memory_mb: int = 0
    base: str = ""


@dataclasses.dataclass(frozen=True)
class EndpointStatus:
    """What an endpoint reports of itself.

    Parameters
    ----------
    incarnation : str
        Another one after each restart.
    in_flight : int
        Requests, with a lag.
    memory_mb : int
        Memory taken by weights.
    speed : float
        Part of its full speed, 0 to 1, with a lag.
    models : tuple of ModelStatus
    cached : tuple of str
        Models whose weights lie on its disk or in its host memory.
    """

    incarnation: str
    in_flight: int = 0
    memory_mb: int = 0
    speed: float = 1.0
    models: tuple = ()
    cached: tuple = ()


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an endpoint.

    Parameters
    ----------
    kind : str
        ``load`` or ``unload``.
    model : str
        Model or adapter.
    version : str
    epoch : int
        Fencing number.
    base : str
        Base model of an adapter; empty for a model.
    memory_mb : int
    """

    kind: str
    model: str
    version: str
    epoch: int
    base: str = ""
    memory_mb: int = 0


class EndpointClient:
    """The calls that this system makes of an endpoint besides requests."""

    async def status(self):
        """Return the endpoint's `EndpointStatus`.

        Raises
        ------
        EndpointError
        """
        raise NotImplementedError

    async def order(self, order):
        """Give an order; returning means that it was taken.

        Raises
        ------
        FencedError
            If the fencing number is old.
        NotSentError
            If the endpoint cannot be reached.
        EndpointError
            If the outcome is unknown.
        """
        raise NotImplementedError


class HttpEndpointClient(EndpointClient):
    """An endpoint met by HTTP."""

    def __init__(self, address):
        self.url = f"http://{address}"
        self.pool = httpcore.AsyncConnectionPool(max_connections=4)

    @classmethod
    def from_endpoint(cls, endpoint):
        """Return the client of a declared endpoint VM."""
        return cls(endpoint.address)

    async def status(self):
        reply = await self._request("GET", "/status", None, STATUS_TIMEOUT_S)
        if reply.status != OK:
            raise exceptions.EndpointError(
                f"{self.url}/status replied {reply.status}; "
                f"look at the endpoint's log"
            )
        try:
            return _status(json.loads(reply.content))
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.EndpointError(
                f"{self.url}/status is malformed; upgrade the endpoint"
            ) from exc

    async def order(self, order):
        data = json.dumps(dataclasses.asdict(order)).encode()
        reply = await self._request("POST", "/orders", data, ORDER_TIMEOUT_S)
        if reply.status == CONFLICT:
            raise exceptions.FencedError(
                f"{self.url} refused fencing number {order.epoch}; "
                f"a newer owner gives the orders"
            )
        if reply.status != ACCEPTED:
            raise exceptions.EndpointError(
                f"{self.url}/orders replied {reply.status}; "
                f"look at the endpoint's log"
            )

    async def _request(self, method, path, data, timeout_s):
        url = self.url + path
        with trio.move_on_after(timeout_s):
            try:
                return await self.pool.request(
                    method, url, headers=HEADERS, content=data
                )
            except UNREACHED as exc:
                raise exceptions.NotSentError(
                    f"{url} cannot be reached; is it up?"
                ) from exc
            except BROKEN as exc:
                raise exceptions.EndpointError(
                    f"{url} broke off a reply; read its status"
                ) from exc
        raise exceptions.EndpointError(
            f"{url} did not reply within {timeout_s:.1f} s; read its status"
        )


def _status(body):
    return EndpointStatus(
        incarnation=body["incarnation"],
        in_flight=body["in_flight"],
        memory_mb=body.get("memory_mb", 0),
        speed=body.get("speed", 1.0),
        models=tuple(
            ModelStatus(
                name=item["name"],
                version=item["version"],
                state=item["state"],
                memory_mb=item.get("memory_mb", 0),
                base=item.get("base", ""),
            )
            for item in body.get("models", ())
        ),
        cached=tuple(body.get("cached", ())),
    )
