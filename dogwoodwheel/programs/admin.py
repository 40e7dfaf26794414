"""HTTP server for the metrics and the health of one process."""

import json

import hypercorn.config
import hypercorn.trio

from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.requests import asgi

__all__ = ["serve"]

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
KEEP_ALIVE_S = 5


async def serve(address, metrics, ready, status, task_status=None):
    """Serve metrics and health until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    metrics : dogwoodwheel.programs.metrics.Metrics
    ready : callable
        ``ready()`` returns whether this process may receive work.
    status : callable
        ``status()`` returns a dict for ``/status`` that JSON can hold.
    task_status : trio.TaskStatus, optional

    Notes
    -----
    Serves ``GET /metrics``, ``/healthz``, ``/readyz`` (503 until ready)
    and ``/status``.  Bind it to an address that callers cannot reach.
    """

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            response = _respond(scope, metrics, ready, status)
            await asgi.send_response(send, *response, scope["method"])

    server = hypercorn.config.Config()
    server.bind = [address]
    server.accesslog = None
    server.errorlog = None
    server.keep_alive_timeout = KEEP_ALIVE_S
    options = {} if task_status is None else {"task_status": task_status}
    await hypercorn.trio.serve(app, server, mode="asgi", **options)


def _respond(scope, metrics, ready, status):
    """Return status, content type and body of the response."""
    if scope["method"] not in ("GET", "HEAD"):
        return 405, TEXT_TYPE, b"use GET\n"
    path = scope["path"]
    if path == "/metrics":
        return 200, metrics_module.CONTENT_TYPE, metrics.render()
    if path == "/healthz":
        return 200, TEXT_TYPE, b"ok\n"
    if path == "/readyz":
        return (200, TEXT_TYPE, b"ready\n") if ready() else _not_ready()
    if path == "/status":
        return 200, JSON_TYPE, json.dumps(status()).encode()
    return 404, TEXT_TYPE, b"use /metrics, /healthz, /readyz or /status\n"


def _not_ready():
    return 503, TEXT_TYPE, b"not ready; wait, or read /status\n"
