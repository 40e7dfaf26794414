"""Client that reads an endpoint's status and sends it orders.

Notes
-----
The protocol is JSON over HTTP.  ``GET /status`` returns an
`EndpointStatus`.  ``POST /orders`` sends an `Order`; the status 202
means that the endpoint accepted the order, and 409 that the endpoint
knows a newer fencing token than the order's.  Orders are idempotent.
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
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
LOADING = "loading"
LOADED = "loaded"
UNLOADING = "unloading"
FAILED = "failed"
JSON_HEADERS = (("content-type", "application/json"),)
NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@dataclasses.dataclass(frozen=True)
class ModelStatus:
    """Status of a model or adapter at an endpoint.

    Parameters
    ----------
    name : str
    version : str
        Version of the weights.
    state : str
        ``loading``, ``loaded``, ``unloading`` or ``failed``.
    memory_mb : int
        Memory that the model or adapter uses, MB.
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
    """Status that an endpoint reports.

    Parameters
    ----------
    incarnation : str
        Identifies the process instance; changes with each restart.
    in_flight : int
        Number of requests in flight; may be out of date.
    memory_mb : int
        Memory that the weights of all models use, MB.
    speed : float
        Current speed as a fraction of the endpoint's full speed, 0 to
        1; may be out of date.
    models : tuple of ModelStatus
        Models and adapters that are loaded or being loaded or unloaded,
        or whose load failed.
    cached_models : tuple of str
        Names of models whose weights are on the disk or in the host
        memory of the endpoint.
    """

    incarnation: str
    in_flight: int = 0
    memory_mb: int = 0
    speed: float = 1.0
    models: tuple = ()
    cached_models: tuple = ()


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an endpoint to load or unload a model or adapter.

    Parameters
    ----------
    kind : str
        ``load`` or ``unload``.
    model : str
        Model or adapter.
    version : str
        Version of the weights.
    epoch : int
        Fencing token of the endpoint's owner.
    base : str
        Base model of an adapter; empty for a model.
    memory_mb : int
        Memory that the model or adapter uses, MB.
    """

    kind: str
    model: str
    version: str
    epoch: int
    base: str = ""
    memory_mb: int = 0


class EndpointClient:
    """Interface for reading an endpoint's status and sending it orders."""

    async def status(self):
        """Return the `EndpointStatus`.

        Raises
        ------
        EndpointError
            If the endpoint does not answer or the answer is invalid.
        """
        raise NotImplementedError

    async def order(self, order):
        """Send an order and wait until the endpoint has accepted it.

        Parameters
        ----------
        order : Order

        Raises
        ------
        FencedError
            If the endpoint knows a newer fencing token.
        NotSentError
            If the endpoint cannot be reached.
        EndpointError
            If it is unknown whether the endpoint accepted the order.
        """
        raise NotImplementedError


class HttpEndpointClient(EndpointClient):
    """Client of an endpoint over HTTP.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    """

    def __init__(self, address):
        self.url = f"http://{address}"
        self.connection_pool = httpcore.AsyncConnectionPool(max_connections=4)

    @classmethod
    def from_endpoint(cls, endpoint):
        """Return a client for an endpoint of the configuration."""
        return cls(endpoint.address)

    async def status(self):
        reply = await self._send_request(
            "GET", "/status", None, STATUS_TIMEOUT_S
        )
        if reply.status != HTTP_OK:
            raise exceptions.EndpointError(
                f"{self.url}/status replied {reply.status}; "
                f"look at the endpoint's log"
            )
        try:
            return _parse_status(json.loads(reply.content))
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.EndpointError(
                f"{self.url}/status is malformed; upgrade the endpoint"
            ) from exc

    async def order(self, order):
        data = json.dumps(dataclasses.asdict(order)).encode()
        reply = await self._send_request(
            "POST", "/orders", data, ORDER_TIMEOUT_S
        )
        if reply.status == HTTP_CONFLICT:
            raise exceptions.FencedError(
                f"{self.url} refused fencing token {order.epoch}; "
                f"the endpoint has a newer owner"
            )
        if reply.status != HTTP_ACCEPTED:
            raise exceptions.EndpointError(
                f"{self.url}/orders replied {reply.status}; "
                f"look at the endpoint's log"
            )

    async def _send_request(self, method, path, data, timeout_s):
        url = self.url + path
        with trio.move_on_after(timeout_s):
            try:
                return await self.connection_pool.request(
                    method, url, headers=JSON_HEADERS, content=data
                )
            except NOT_SENT_ERRORS as exc:
                raise exceptions.NotSentError(
                    f"{url} cannot be reached; is it up?"
                ) from exc
            except TRANSPORT_ERRORS as exc:
                raise exceptions.EndpointError(
                    f"the connection to {url} broke before the reply was "
                    f"complete; read the endpoint's status"
                ) from exc
        raise exceptions.EndpointError(
            f"{url} did not reply within {timeout_s:.1f} s; "
            f"read the endpoint's status"
        )


def _parse_status(body):
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
        cached_models=tuple(body.get("cached", ())),
    )
