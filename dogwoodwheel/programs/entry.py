"""The program ``dogwoodwheel-entry``: an entry that decides alone."""

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
from dogwoodwheel.programs import running

__all__ = ["main", "serve"]

# The server may not close a connection sooner than a caller may use it;
# callers use it up to four fifths of the configured time.
KEEP_ALIVE_FACTOR = 1.5
FIRST_KEEP_ALIVE_S = 30.0
GAUGES_S = 1.0
HEAD_BYTES = 64 * 1024
BACKLOG = 512
# Time before the kill at which requests are cut.
KILL_MARGIN_S = 0.8
# Time for which a leaving entry still takes new connections: answers of
# the directory that name it are in use so long.
LINGER_S = 2.5
POLL_S = 0.05

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
        File of the platform; by default the one that it names.
    log_level
        Lowest level that is logged.
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
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                logger.info("reload: nothing in the settings may change")
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
        self.member.leader = self.leader
        self.front = app_module.CallerApp(
            self.components, self.member.is_leaving
        )
        self.side = app_module.StatusApp(
            self.member.is_ready, self.member.resolve, self.metrics
        )
        self._close_front = trio.Event()
        self._server = _server_config([cfg.front])
        self._server.graceful_timeout = cfg.grace_s

    async def start(self, nursery):
        """Start everything; callers are met as soon as this returns."""
        self.components.heartbeats.open()
        known = self.components.fleet_state
        await nursery.start(self._serve_side)
        await nursery.start(self._serve_front)
        heartbeats = self.components.heartbeats
        nursery.start_soon(
            watchers.watch_operator, self.store, known, heartbeats
        )
        endpoints = watchers.EndpointWatcher(
            self.store, known, heartbeats, self.cfg
        )
        nursery.start_soon(endpoints.run)
        nursery.start_soon(self.components.heartbeats.run)
        nursery.start_soon(self.member.run)
        nursery.start_soon(self.lease.run, self.member.is_ready)
        nursery.start_soon(self.lease.extend)
        nursery.start_soon(self.leader.run)
        nursery.start_soon(self._upkeep)

    async def stop(self):
        """Leave the directory, finish requests, give up the lease."""
        began = trio.current_time()
        self.member.leave()
        logger.info("stop: leaving", running=self.front.running)
        until = began + self.cfg.grace_s - KILL_MARGIN_S
        with trio.move_on_at(until):
            await self.lease.release()
            await self.components.heartbeats.send_heartbeat()
            await trio.sleep_until(began + LINGER_S)
            self._close_front.set()
            while self.front.running:
                await trio.sleep(POLL_S)
        logger.info("stop: ends", running=self.front.running)

    async def _serve_front(self, task_status):
        await hypercorn.trio.serve(
            self.front,
            self._server,
            shutdown_trigger=self._close_front.wait,
            task_status=task_status,
            mode="asgi",
        )

    async def _serve_side(self, task_status):
        cfg = self.cfg
        await hypercorn.trio.serve(
            self.side,
            _server_config([cfg.readiness, cfg.directory, cfg.metrics]),
            shutdown_trigger=trio.sleep_forever,
            task_status=task_status,
            mode="asgi",
        )

    async def _upkeep(self):
        known = self.components.fleet_state
        while True:
            await trio.sleep(GAUGES_S)
            if known.config is not None:
                idle_s = known.config.limits.idle_timeout_s
                self._server.keep_alive_timeout = idle_s * KEEP_ALIVE_FACTOR
                self.metrics.set_config_version(known.config.version)
            self.components.outlier_detector.retain(known.endpoints)
            addresses = {s.endpoint.address for s in known.endpoints.values()}
            for address in self.components.http_client.idle_addresses():
                if address not in addresses:
                    await self.components.http_client.close_idle(address)


def _server_config(addresses):
    server = hypercorn.config.Config()
    server.bind = [
        f"fd://{running.listener(address)}" for address in addresses
    ]
    server.backlog = BACKLOG
    server.accesslog = None
    server.errorlog = None
    server.include_server_header = False
    server.keep_alive_timeout = FIRST_KEEP_ALIVE_S
    server.keep_alive_max_requests = 1_000_000
    server.h11_max_incomplete_size = HEAD_BYTES
    return server


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
