"""A caller on trio that measures one request."""

import dataclasses
import json

import httpcore
import trio

__all__ = ["NOT_CONNECTED", "Outcome", "pool", "send"]

CONNECTIONS = 1024
DONE = b"data: [DONE]"
EVENT = b"data: "
READ_S = 120.0
NOT_CONNECTED = "not_connected"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller got, with times from the intended start.

    Parameters
    ----------
    status : int
        0 where the connection broke.
    first_s, total_s : float
        Seconds to the first part of the body, and to its end.
    events : int
        Server-sent events, without the end mark.
    whole : bool
        Whether the reply came whole, a stream with its end mark.
    code, run : str
        Of a refusal; ``not_connected`` where nobody listened.
    """

    status: int = 0
    first_s: float = 0.0
    total_s: float = 0.0
    events: int = 0
    whole: bool = False
    code: str = ""
    run: str = ""


def pool(kept=CONNECTIONS):
    """Return connections of a caller; with ``kept`` 0 each is used once."""
    return httpcore.AsyncConnectionPool(
        max_connections=CONNECTIONS, max_keepalive_connections=kept
    )


async def send(connections, address, body, key="", headers=(), start=None):
    """Send one chat request and return its `Outcome`.

    Parameters
    ----------
    connections : httpcore.AsyncConnectionPool
    address : str
        ``IP:PORT``.
    body : dict
    key : str
    headers : iterable of (str, str)
    start : float, optional
        Intended start on trio's clock; now by default.
    """
    start = trio.current_time() if start is None else start
    sent = [("content-type", "application/json"), *headers]
    if key:
        sent.append(("authorization", f"Bearer {key}"))
    try:
        async with connections.stream(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers=sent,
            content=json.dumps(body).encode(),
            extensions={"timeout": {"read": READ_S}},
        ) as reply:
            return await _read(reply, start, body.get("stream", False))
    except httpcore.ConnectError:
        return Outcome(total_s=trio.current_time() - start, code=NOT_CONNECTED)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return Outcome(total_s=trio.current_time() - start)
    except httpcore.TimeoutException:
        return Outcome(total_s=trio.current_time() - start, code="silent")


async def _read(reply, start, stream):
    first_s = None
    parts = []
    async for part in reply.aiter_stream():
        if first_s is None:
            first_s = trio.current_time() - start
        parts.append(part)
    total_s = trio.current_time() - start
    data = b"".join(parts)
    stream = stream and reply.status == 200
    code, run = _refusal(reply.status, data)
    return Outcome(
        status=reply.status,
        first_s=total_s if first_s is None else first_s,
        total_s=total_s,
        events=data.count(EVENT) - data.count(DONE),
        whole=DONE in data if stream else reply.status > 0,
        code=code,
        run=run,
    )


def _refusal(status, data):
    if status < 400:
        return "", ""
    try:
        error = json.loads(data)["error"]
        return str(error.get("code", "")), str(error.get("run", ""))
    except (ValueError, KeyError, TypeError, AttributeError):
        return "unreadable", ""
