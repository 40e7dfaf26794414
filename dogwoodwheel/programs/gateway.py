"""The program ``dogwoodwheel-gateway``, an entry's HTTP server for callers."""

import functools
import pathlib
import signal
import uuid

import cyclopts
import hypercorn.config
from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel import exceptions
from dogwoodwheel.platform import tables
from dogwoodwheel.programs import admin
from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.programs import runner
from dogwoodwheel.programs import settings as settings_module
from dogwoodwheel.requests import app as app_module
from dogwoodwheel.requests import coordinator_client as client_module
from dogwoodwheel.requests import detached as detached_module
from dogwoodwheel.requests import dispatch
from dogwoodwheel.requests import idempotency
from dogwoodwheel.requests import services
from dogwoodwheel.requests import stopping as stopping_module
from dogwoodwheel.wire import messages

__all__ = ["main", "serve"]

KEEP_ALIVE_TIMEOUT_S = 75
GRACEFUL_TIMEOUT_S = 60
GAUGE_INTERVAL_S = 1.0
HEADER_MARGIN_BYTES = 64 * 1024

app = cyclopts.App(
    name="dogwoodwheel-gateway",
    help="Run a gateway of an entry VM until SIGTERM.",
)


@app.default
def run(*, settings: pathlib.Path):
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        YAML file with the settings of this process.
    """
    runner.run("gateway", settings_module.GatewaySettings, settings, serve)


async def serve(cfg):
    """Run a gateway until a signal, then shut down gracefully.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.GatewaySettings

    Raises
    ------
    OSError
        If another process on this VM already uses an address.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            components = _make_components(cfg, nursery)
            shutdown = trio.Event()
            stopped = trio.Event()
            await nursery.start(_listen, cfg, components, shutdown, stopped)
            await _start(cfg, components, nursery)
            logger.info("gateway: listening on {}", cfg.bind)
            await signals.__anext__()
            await components.graceful_shutdown.run()
            shutdown.set()
            await stopped.wait()
            nursery.cancel_scope.cancel()
    logger.info("gateway: stopped")


def _make_components(cfg, nursery):
    metrics = metrics_module.Metrics()
    detached_tasks = detached_module.DetachedTasks(nursery)
    hello = messages.Hello(
        0, "gateway", cfg.name, cfg.zone, uuid.uuid4().hex, cfg.bind
    )
    coordinator_client = client_module.CoordinatorClient(
        cfg.dial_address(cfg.coordinator), hello, detached_tasks
    )
    table_store, _ = tables.open_stores(cfg.dial_address(cfg.store))
    return services.Components(
        address=cfg.bind,
        max_body_bytes=cfg.max_body_bytes,
        max_header_bytes=cfg.max_header_bytes,
        coordinator_client=coordinator_client,
        dispatcher=dispatch.Dispatcher(
            coordinator_client, http.HttpClient(), cfg.dial_address, metrics
        ),
        idempotent_calls=idempotency.IdempotentCalls(
            table_store, detached_tasks
        ),
        graceful_shutdown=stopping_module.GracefulShutdown(
            coordinator_client, detached_tasks
        ),
        detached_tasks=detached_tasks,
        metrics=metrics,
    )


async def _start(cfg, components, nursery):
    nursery.start_soon(components.coordinator_client.run)
    nursery.start_soon(
        admin.serve,
        cfg.admin,
        components.metrics,
        functools.partial(_is_ready, components),
        functools.partial(_status, components),
    )
    nursery.start_soon(_update_gauges, components)


async def _listen(cfg, components, shutdown, stopped, task_status):
    """Serve callers until ``shutdown`` is set and all replies are sent."""
    await http_server.serve(
        app_module.App(components),
        _make_server_config(cfg),
        shutdown.wait,
        task_status=task_status,
    )
    stopped.set()


def _make_server_config(cfg):
    server_config = hypercorn.config.Config()
    server_config.bind = [f"fd://{runner.bound_socket_fd(cfg.bind)}"]
    server_config.accesslog = None
    server_config.errorlog = None
    server_config.include_server_header = False
    server_config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    server_config.graceful_timeout = GRACEFUL_TIMEOUT_S
    # The server's limit is above the application's, so that the application
    # can reject large headers with an error body.
    server_config.h11_max_incomplete_size = (
        cfg.max_header_bytes + HEADER_MARGIN_BYTES
    )
    if cfg.certificate_file:
        server_config.certfile = cfg.certificate_file
        server_config.keyfile = cfg.key_file
    return server_config


def _is_ready(components):
    try:
        components.coordinator_client.declaration()
    except exceptions.RefusedError:
        return False
    return (
        components.coordinator_client.connection is not None
        and not components.graceful_shutdown.leaving()
    )


def _status(components):
    configuration = components.coordinator_client.config
    return {
        "address": components.address,
        "version": configuration.version,
        "digest": configuration.digest,
        "linked": components.coordinator_client.connection is not None,
        "leaving": components.graceful_shutdown.leaving(),
        "running": components.graceful_shutdown.running_requests,
        "entries": list(configuration.entries),
    }


async def _update_gauges(components):
    """Update the metrics that are gauges, every `GAUGE_INTERVAL_S`."""
    while True:
        components.metrics.set_config_version(
            components.coordinator_client.config.version
        )
        await trio.sleep(GAUGE_INTERVAL_S)


def main():
    """Run the program."""
    app()
