"""HTTP server for the metrics and health checks of one process."""

import json

import hypercorn.config
import trio

from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.requests import asgi

__all__ = ["serve"]

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
KEEP_ALIVE_TIMEOUT_S = 5


async def serve(address, metrics, is_ready, make_status, task_status=None):
    """Serve metrics and health until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    metrics : dogwoodwheel.programs.metrics.Metrics
    is_ready : callable
        ``is_ready()`` returns whether this process may receive work.
    make_status : callable
        ``make_status()`` returns the reply to ``/status``, a
        JSON-serializable dict.
    task_status : trio.TaskStatus, optional
        Its ``started()`` is called once connections are accepted.

    Notes
    -----
    The paths are ``/metrics``, ``/healthz``, ``/readyz`` (status 503
    until the process is ready) and ``/status``.  The replies are not for
    callers, so callers must not be able to reach the address.
    """

    async def app(scope, receive, send):
        if scope["type"] == "http":
            response = _respond(scope, metrics, is_ready, make_status)
            await asgi.send_response(send, *response, scope["method"])

    server_config = hypercorn.config.Config()
    server_config.bind = [address]
    server_config.accesslog = None
    server_config.errorlog = None
    server_config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    options = {} if task_status is None else {"task_status": task_status}
    await http_server.serve(app, server_config, trio.sleep_forever, **options)


def _respond(scope, metrics, is_ready, make_status):
    """Return the status code, content type and body of a response."""
    if scope["method"] not in ("GET", "HEAD"):
        return 405, TEXT_TYPE, b"use GET\n"
    path = scope["path"]
    if path == "/metrics":
        return 200, metrics_module.CONTENT_TYPE, metrics.render()
    if path == "/healthz":
        return 200, TEXT_TYPE, b"ok\n"
    if path == "/readyz":
        return (
            (200, TEXT_TYPE, b"ready\n")
            if is_ready()
            else _not_ready_response()
        )
    if path == "/status":
        return 200, JSON_TYPE, json.dumps(make_status()).encode()
    return 404, TEXT_TYPE, b"use /metrics, /healthz, /readyz or /status\n"


def _not_ready_response():
    return 503, TEXT_TYPE, b"not ready; wait, or read /status\n"
