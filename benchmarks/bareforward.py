"""A bare forward from hypercorn to httpcore, the baseline of a gateway.

Notes
-----
``python -m benchmarks.bareforward BIND TARGET`` passes each request on
to one endpoint and its reply back, part by part, and does nothing else:
no key, no limit, no queue, no record.
"""

import functools
import sys

import httpcore
import hypercorn.config
import hypercorn.trio
import trio

__all__ = ["main"]

CONNECTIONS = 1024
READ_TIMEOUT_S = 60.0
OWN = (b"host", b"connection", b"transfer-encoding")


async def _app(pool, target, scope, receive, send):
    if scope["type"] == "lifespan":
        await _live(receive, send)
    else:
        await _forward(pool, target, scope, receive, send)


async def _live(receive, send):
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _forward(pool, target, scope, receive, send):
    body = bytearray()
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
    url = f"http://{target}{scope['path']}"
    headers = [(k, v) for k, v in scope["headers"] if k not in OWN]
    headers.append((b"host", target.encode()))
    reply = pool.stream(
        scope["method"],
        url,
        headers=headers,
        content=bytes(body),
        extensions={"timeout": {"read": READ_TIMEOUT_S}},
    )
    async with reply as response:
        await send(_head(response))
        async for part in response.aiter_stream():
            await send(_part(part, True))
        await send(_part(b"", False))


def _head(response):
    headers = [
        (k.lower(), v) for k, v in response.headers if k.lower() not in OWN
    ]
    return {
        "type": "http.response.start",
        "status": response.status,
        "headers": headers,
    }


def _part(data, more):
    return {"type": "http.response.body", "body": data, "more_body": more}


def main():
    """Forward until the process ends."""
    bind, target = sys.argv[1:3]
    cfg = hypercorn.config.Config()
    cfg.bind = [bind]
    cfg.accesslog = None
    cfg.errorlog = None
    pool = httpcore.AsyncConnectionPool(
        max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS
    )
    app = functools.partial(_app, pool, target)
    trio.run(functools.partial(hypercorn.trio.serve, app, cfg, mode="asgi"))


if __name__ == "__main__":
    main()
