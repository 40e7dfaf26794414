"""The program ``dogwoodwheel-entry``: an entry VM in one process."""

import pathlib
import signal
import sys
import uuid

import cyclopts
import hypercorn.config
import hypercorn.trio
from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel.entry import app as app_module
from dogwoodwheel.entry import components as components_module
from dogwoodwheel.entry import leader as leader_module
from dogwoodwheel.entry import lease as lease_module
from dogwoodwheel.entry import membership
from dogwoodwheel.entry import watchers
from dogwoodwheel import exceptions
from dogwoodwheel.platform import engine_client
from dogwoodwheel.platform import settings_file
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.programs import logs
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.programs import runner

__all__ = ["main", "serve"]

# Callers reuse an idle connection for up to four fifths of the configured
# time; the server must not close it before.
KEEP_ALIVE_FACTOR = 1.5
INITIAL_KEEP_ALIVE_S = 30.0
GAUGE_INTERVAL_S = 1.0
MAX_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# Requests that still run this long before the kill are cut off.
KILL_MARGIN_S = 0.8
# A draining entry accepts new connections for this time, since callers
# use directory replies that list the entry for as long.
LINGER_S = 2.5
POLL_INTERVAL_S = 0.05

app = cyclopts.App(
    name="dogwoodwheel-entry",
    help="Run an entry on the operators' platform until SIGTERM.",
)


@app.default
def run(*, settings: pathlib.Path = None, log_level: str = "info"):
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        Settings file; by default the one that the platform specifies.
    log_level
        Minimum level that is logged.
    """
    try:
        cfg = settings_file.read(settings or settings_file.path())
    except exceptions.SettingsError as exc:
        sys.exit(f"dogwoodwheel-entry: {exc}")
    logs.set_up("json", log_level, "entry", cfg.name)
    trio.run(serve, cfg)


async def serve(cfg):
    """Run an entry until a signal, then stop gracefully.

    Parameters
    ----------
    cfg : dogwoodwheel.entry.datatypes.Settings

    Raises
    ------
    OSError
        If an address is taken.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            entry = Entry(cfg)
            await entry.start(nursery)
            logger.info(
                "start",
                name=cfg.name,
                zone=cfg.zone,
                front=cfg.front,
                incarnation=entry.member.incarnation,
                first=cfg.first_start,
            )
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                logger.info(
                    "reload: ignored, settings are read at the start only"
                )
            await entry.stop()
            nursery.cancel_scope.cancel()
    logger.info("stop", name=cfg.name)


class Entry:
    """The running components of an entry."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.metrics = metrics_module.Metrics()
        http_client = http.HttpClient()
        self.components = components_module.Components.from_settings(
            cfg, http_client, self.metrics
        )
        self.store = store_module.Store(cfg.store, http.HttpClient())
        self.member = membership.Member(
            self.components, self.store, uuid.uuid4().hex
        )
        heartbeats = self.components.heartbeats
        heartbeats.compose = self.member.compose
        heartbeats.on_heartbeat = self.member.receive_heartbeat
        self.lease = lease_module.Lease(
            self.store,
            cfg.name,
            cfg.lease_s,
            heartbeats,
            link_mbps=cfg.link_mbps,
        )
        self.leader = leader_module.Leader(
            self.components,
            self.lease,
            engine_client.EngineClient(http_client),
        )
        heartbeats.is_leader = lambda: self.lease.is_held
        self.member.lease = self.lease
        self.member.leader_role = self.leader
        self.caller_app = app_module.CallerApp(
            self.components, self.member.is_leaving
        )
        self.status_app = app_module.StatusApp(
            self.member.is_ready, self.member.resolve, self.metrics
        )
        self._close_callers = trio.Event()
        self._caller_server = _server_config([cfg.front])
        self._caller_server.graceful_timeout = cfg.grace_s

    async def start(self, nursery):
        """Start all tasks; return once callers can connect."""
        self.components.heartbeats.open()
        fleet_state = self.components.fleet_state
        await nursery.start(self._serve_status)
        await nursery.start(self._serve_callers)
        heartbeats = self.components.heartbeats
        nursery.start_soon(
            watchers.watch_operator, self.store, fleet_state, heartbeats
        )
        endpoint_watcher = watchers.EndpointWatcher(
            self.store, fleet_state, heartbeats, self.cfg
        )
        nursery.start_soon(endpoint_watcher.run)
        nursery.start_soon(self.components.heartbeats.run)
        nursery.start_soon(self.member.run)
        nursery.start_soon(self.lease.run, self.member.is_ready)
        nursery.start_soon(self.lease.extend)
        nursery.start_soon(self.leader.run)
        nursery.start_soon(self._maintain)

    async def stop(self):
        """Drain: leave the directory, release the lease, finish requests."""
        started_at = trio.current_time()
        self.member.leave()
        logger.info("stop: draining", running=self.caller_app.running_requests)
        deadline = started_at + self.cfg.grace_s - KILL_MARGIN_S
        with trio.move_on_at(deadline):
            await self.lease.release()
            await self.components.heartbeats.send_heartbeat()
            await trio.sleep_until(started_at + LINGER_S)
            self._close_callers.set()
            while self.caller_app.running_requests:
                await trio.sleep(POLL_INTERVAL_S)
        logger.info(
            "stop: drain ended", running=self.caller_app.running_requests
        )

    async def _serve_callers(self, task_status):
        await hypercorn.trio.serve(
            self.caller_app,
            self._caller_server,
            shutdown_trigger=self._close_callers.wait,
            task_status=task_status,
            mode="asgi",
        )

    async def _serve_status(self, task_status):
        cfg = self.cfg
        await hypercorn.trio.serve(
            self.status_app,
            _server_config([cfg.readiness, cfg.directory, cfg.metrics]),
            shutdown_trigger=trio.sleep_forever,
            task_status=task_status,
            mode="asgi",
        )

    async def _maintain(self):
        fleet_state = self.components.fleet_state
        while True:
            await trio.sleep(GAUGE_INTERVAL_S)
            if fleet_state.config is not None:
                idle_s = fleet_state.config.limits.idle_timeout_s
                self._caller_server.keep_alive_timeout = (
                    idle_s * KEEP_ALIVE_FACTOR
                )
                self.metrics.set_config_version(fleet_state.config.version)
            self.components.outlier_detector.retain(fleet_state.endpoints)
            addresses = {
                tracked.endpoint.address
                for tracked in fleet_state.endpoints.values()
            }
            for address in self.components.http_client.idle_addresses():
                if address not in addresses:
                    await self.components.http_client.close_idle(address)


def _server_config(addresses):
    server = hypercorn.config.Config()
    server.bind = [
        f"fd://{runner.bound_socket_fd(address)}" for address in addresses
    ]
    server.backlog = LISTEN_BACKLOG
    server.accesslog = None
    server.errorlog = None
    server.include_server_header = False
    server.keep_alive_timeout = INITIAL_KEEP_ALIVE_S
    server.keep_alive_max_requests = 1_000_000
    server.h11_max_incomplete_size = MAX_HEADER_BYTES
    return server


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
