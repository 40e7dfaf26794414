"""The program ``dogwoodwheel-entry``: an entry VM in one process."""

import pathlib
import signal
import sys
import uuid

import cyclopts
import hypercorn.config
from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel.engines import reply_memory
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
from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import logs
from dogwoodwheel.programs import loop_monitor
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.programs import runner
from dogwoodwheel.programs import supervision

__all__ = ["main", "serve"]

# The server's timeout for idle connections, as a multiple of the configured
# one.  Callers reuse an idle connection for up to 0.8 times the configured
# timeout, and the server must not close it earlier.
KEEP_ALIVE_TIMEOUT_FACTOR = 1.5
INITIAL_KEEP_ALIVE_TIMEOUT_S = 30.0
# Part of the memory of the process that replies of endpoints may take; each
# is copied once as it is sent.
REPLY_MEMORY_FRACTION = 0.25
MAINTENANCE_INTERVAL_S = 1.0
MAX_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# Time before the platform kills the process at which requests that still run
# are cancelled.
KILL_MARGIN_S = 0.8
# Time before that at which callers are told that their requests take too long.
ANSWER_MARGIN_S = 0.2
# Time for which a draining entry accepts new connections, since callers use
# directory replies for this time that still list the entry.
ACCEPT_WHILE_DRAINING_S = 2.5

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
        YAML settings file; by default the one that the platform specifies.
    log_level
        Minimum level of log lines that are written.
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
        If another process on this VM already uses an address.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            entry = Entry(cfg)
            trio.lowlevel.add_instrument(
                loop_monitor.LoopMonitor(entry.metrics)
            )
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
    """An entry: its components, HTTP servers and background tasks.

    Parameters
    ----------
    cfg : dogwoodwheel.entry.datatypes.Settings
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.metrics = metrics_module.Metrics()
        memory = reply_memory.ReplyMemory(
            int(REPLY_MEMORY_FRACTION * cfg.memory_bytes)
            or reply_memory.MAX_BYTES
        )
        http_client = http.HttpClient(memory)
        self.components = components_module.Components.from_settings(
            cfg, http_client, self.metrics
        )
        self.store = store_module.Store(cfg.store, http.HttpClient())
        self.member = membership.Member(
            self.components, self.store, uuid.uuid4().hex
        )
        heartbeats = self.components.heartbeats
        heartbeats.compose = self.member.compose
        heartbeats.take_outcomes = self.member.take_outcomes
        heartbeats.on_heartbeat = self.member.receive_heartbeat
        self.lease = lease_module.Lease(
            self.store,
            cfg.name,
            cfg.lease_s,
            heartbeats,
            link_mbps=cfg.link_mbps,
            first_start=cfg.first_start,
        )
        self.leader = leader_module.Leader(
            self.components,
            self.lease,
            engine_client.EngineClient(
                http_client, self.components.record_reply
            ),
        )
        heartbeats.is_leader = lambda: self.lease.is_held
        self.member.lease = self.lease
        self.member.leader_role = self.leader
        self._stop_accepting_callers = trio.Event()
        self._caller_server_ended = trio.Event()
        self.caller_app = app_module.CallerApp(
            self.components, self.member.is_leaving
        )
        self.status_app = app_module.StatusApp(
            self.member.is_ready, self.member.resolve, self.metrics
        )
        self._caller_server_config = _make_server_config([cfg.front])
        self._caller_server_config.graceful_timeout = cfg.grace_s

    async def start(self, nursery):
        """Start all tasks; return once callers can connect."""
        self.components.heartbeats.open()
        fleet_state = self.components.fleet_state
        await nursery.start(self._serve_status)
        await nursery.start(self._serve_callers)
        heartbeats = self.components.heartbeats
        endpoint_watcher = watchers.EndpointWatcher(
            self.store, fleet_state, heartbeats, self.cfg
        )
        operator_watcher = watchers.OperatorWatcher(
            self.store, fleet_state, heartbeats
        )
        tasks = {
            "operator": (operator_watcher.run,),
            "endpoints": (endpoint_watcher.run,),
            "heartbeats": (heartbeats.run,),
            "membership": (self.member.run,),
            "lease": (self.lease.run, self.member.is_ready),
            "lease extension": (self.lease.extend,),
            "leader": (self.leader.run,),
            "maintenance": (self._maintain_periodically,),
        }
        for name, task in tasks.items():
            nursery.start_soon(
                supervision.keep_running, self.metrics, name, *task
            )

    async def stop(self):
        """Leave the directory, release the lease and finish requests."""
        started_at = trio.current_time()
        self.member.leave()
        logger.info("stop: draining", running=self.caller_app.running_requests)
        deadline = started_at + self.cfg.grace_s - KILL_MARGIN_S
        self.caller_app.end_requests_at(deadline - ANSWER_MARGIN_S)
        with trio.move_on_at(deadline):
            await self.lease.release()
            await self.components.heartbeats.send_heartbeat()
            await trio.sleep_until(started_at + ACCEPT_WHILE_DRAINING_S)
            self._stop_accepting_callers.set()
            # Until all connections are closed, a request may still arrive.
            await self._caller_server_ended.wait()
        logger.info(
            "stop: drain ended", running=self.caller_app.running_requests
        )

    async def _serve_callers(self, task_status):
        await http_server.serve(
            self.caller_app,
            self._caller_server_config,
            self._stop_accepting_callers.wait,
            http1_only=True,
            task_status=task_status,
        )
        self._caller_server_ended.set()

    async def _serve_status(self, task_status):
        cfg = self.cfg
        await http_server.serve(
            self.status_app,
            _make_server_config([cfg.readiness, cfg.directory, cfg.metrics]),
            trio.sleep_forever,
            http1_only=True,
            task_status=task_status,
        )

    async def _maintain_periodically(self):
        fleet_state = self.components.fleet_state
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            if fleet_state.config is not None:
                caller_idle_timeout_s = (
                    fleet_state.config.limits.idle_timeout_s
                )
                self._caller_server_config.keep_alive_timeout = (
                    caller_idle_timeout_s * KEEP_ALIVE_TIMEOUT_FACTOR
                )
                self.metrics.set_config_version(fleet_state.config.version)
                self.components.request_durations.retain(
                    route.name
                    for routes in fleet_state.config.routes.values()
                    for route in routes
                )
            self.metrics.set_store_era(self.store.era)
            self.components.outlier_detector.retain(fleet_state.endpoints)
            self.components.endpoint_limits.retain(fleet_state.endpoints)
            self.components.endpoint_waits.expire(trio.current_time())
            fleet_state.leaving.retain(
                fleet_state.endpoints, trio.current_time()
            )
            self.components.query_of_death_detector.expire(trio.current_time())
            addresses = {
                tracked.endpoint.address
                for tracked in fleet_state.endpoints.values()
            }
            for address in self.components.http_client.idle_addresses():
                if address not in addresses:
                    await self.components.http_client.close_idle(address)


def _make_server_config(addresses):
    server_config = hypercorn.config.Config()
    server_config.bind = [
        f"fd://{runner.bound_socket_fd(address)}" for address in addresses
    ]
    server_config.backlog = LISTEN_BACKLOG
    server_config.accesslog = None
    server_config.errorlog = None
    server_config.include_server_header = False
    server_config.keep_alive_timeout = INITIAL_KEEP_ALIVE_TIMEOUT_S
    server_config.keep_alive_max_requests = 1_000_000
    server_config.h11_max_incomplete_size = MAX_HEADER_BYTES
    return server_config


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
