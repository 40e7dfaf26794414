"""JSON calls over HTTP, with errors that tell what may have happened."""

import dataclasses
import json

import httpcore
import trio

from dogwoodwheel import exceptions

__all__ = ["Client", "Kinds", "Request", "send"]

CONNECTIONS = 16
OK = 200
CONFLICT = 409
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
class Kinds:
    """Which error stands for which failure of a request.

    Parameters
    ----------
    unreached : type
        Nothing was sent.
    unknown : type
        It may have been sent, and no reply came.
    """

    unreached: type
    unknown: type


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as `send` takes it.

    Parameters
    ----------
    method, url : str
    headers : sequence of (str, str)
    data : bytes or None
    """

    method: str
    url: str
    headers: tuple
    data: bytes


KINDS = Kinds(exceptions.PlatformError, exceptions.OutcomeUnknownError)


async def send(pool, req, timeout_s, kinds):
    """Send a request over a pool and return the whole reply.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
    req : Request
    timeout_s : float
    kinds : Kinds

    Returns
    -------
    httpcore.Response

    Raises
    ------
    DogwoodwheelError
        Of the kind that tells what may have happened.
    """
    url = req.url
    with trio.move_on_after(timeout_s):
        try:
            return await pool.request(
                req.method, req.url, headers=req.headers, content=req.data
            )
        except UNREACHED as exc:
            raise kinds.unreached(
                f"{url} cannot be reached; is it up?"
            ) from exc
        except BROKEN as exc:
            raise kinds.unknown(
                f"{url} broke off a reply; read back what it holds"
            ) from exc
    raise kinds.unknown(
        f"{url} did not reply within {timeout_s:.1f} s; "
        f"read back what it holds"
    )


class Client:
    """Calls of one HTTP server.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    """

    def __init__(self, address):
        self.url = f"http://{address}"
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS, keepalive_expiry=30
        )

    async def post(self, path, body, timeout_s):
        """Post JSON and return the JSON of the reply.

        Raises
        ------
        ConflictError
            On status 409.
        OutcomeUnknownError
            If the request may have been sent and no reply came.
        PlatformError
            If it was not sent, or refused.
        """
        data = json.dumps(body).encode()
        headers = [("content-type", "application/json")]
        reply = await self.request("POST", path, data, headers, timeout_s)
        return json.loads(reply)

    async def request(self, method, path, data, headers, timeout_s):
        """Send one request and return the body of the reply."""
        reply = await send(
            self.pool,
            Request(method, self.url + path, headers, data),
            timeout_s,
            KINDS,
        )
        if reply.status == CONFLICT:
            raise exceptions.ConflictError(
                "a row has another version; read it and try again"
            )
        if reply.status != OK:
            raise exceptions.PlatformError(
                f"{self.url}{path} replied {reply.status}; "
                f"try again when it is up"
            )
        return reply.content
