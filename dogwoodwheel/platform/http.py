"""JSON calls over HTTP, with errors that tell what may have happened."""

import json

import httpcore
import trio

from dogwoodwheel import exceptions

__all__ = ["Client"]

CONNECTIONS = 16
OK = 200
NOT_FOUND = 404
CONFLICT = 409


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
        reply = None
        with trio.move_on_after(timeout_s):
            try:
                reply = await self.pool.request(
                    method, self.url + path, headers=headers, content=data
                )
            except (
                httpcore.ConnectError,
                httpcore.ConnectTimeout,
                httpcore.PoolTimeout,
            ) as exc:
                raise exceptions.PlatformError(
                    f"{self.url} cannot be reached; is it up?"
                ) from exc
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                OSError,
            ) as exc:
                raise exceptions.OutcomeUnknownError(
                    f"{self.url} broke off a reply; read back"
                ) from exc
        if reply is None:
            raise exceptions.OutcomeUnknownError(
                f"{self.url} did not reply within {timeout_s:.1f} s; "
                f"read back"
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
