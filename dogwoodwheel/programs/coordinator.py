"""The program ``dogwoodwheel-coordinator``, which runs on each entry VM."""

import dataclasses
import functools
import pathlib
import signal
import uuid

import cyclopts
from loguru import logger
import trio

from dogwoodwheel.customers import ledger as ledger_module
from dogwoodwheel.endpoints import registry as registry_module
from dogwoodwheel import exceptions
from dogwoodwheel.membership import configuration as configuration_module
from dogwoodwheel.membership import fleet as fleet_module
from dogwoodwheel.membership import known_entries
from dogwoodwheel.membership import partition_changes as changes_module
from dogwoodwheel.membership import peers as peers_module
from dogwoodwheel.membership import registrar as registrar_module
from dogwoodwheel.membership import view as view_module
from dogwoodwheel.membership import vm_watch
from dogwoodwheel.placement import decider as decider_module
from dogwoodwheel.placement import load_permits as load_permits_module
from dogwoodwheel.platform import tables
from dogwoodwheel.programs import admin
from dogwoodwheel.programs import gateways as gateways_module
from dogwoodwheel.programs import handlers
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.programs import operator_report
from dogwoodwheel.programs import runner
from dogwoodwheel.programs import settings as settings_module
from dogwoodwheel.requests import admission as admission_module
from dogwoodwheel.requests import inflight
from dogwoodwheel.stores import vms as vms_module
from dogwoodwheel.wire import rpc

__all__ = ["main", "serve"]

HAND_OVER_TIMEOUT_S = 20.0
GATEWAY_DRAIN_TIMEOUT_S = 600.0
GAUGE_INTERVAL_S = 1.0

app = cyclopts.App(
    name="dogwoodwheel-coordinator",
    help="Run the coordinator of an entry VM until SIGTERM.",
)


@dataclasses.dataclass(frozen=True)
class Components:
    """The components of a running coordinator."""

    fleet: fleet_module.Fleet
    configuration: configuration_module.Configuration
    registrar: registrar_module.Registrar
    partition_changes: changes_module.PartitionChanges
    ledger: ledger_module.Ledger
    registry: registry_module.OwnerRegistry
    decider: decider_module.Decider
    load_permits: load_permits_module.LoadPermits
    slots: inflight.InFlightTable
    admission: admission_module.Admission
    gateways: gateways_module.Gateways
    vms: vms_module.VmTable

    @classmethod
    def from_settings(cls, cfg, nursery):
        """Return the components of a coordinator, without starting them.

        Parameters
        ----------
        cfg : dogwoodwheel.programs.settings.CoordinatorSettings
        nursery : trio.Nursery
            Runs the tasks that the components start.
        """
        fleet = fleet_module.Fleet(
            cfg,
            known_entries.next_incarnation("", uuid.uuid4().hex),
            view_module.View(cfg.name),
            metrics_module.Metrics(),
        )
        table_store, object_store = tables.open_stores(
            cfg.dial_address(cfg.store)
        )
        configuration = configuration_module.Configuration(
            fleet, table_store, object_store
        )
        ledger = ledger_module.Ledger(fleet)
        load_permits = load_permits_module.LoadPermits(fleet)
        registry = registry_module.OwnerRegistry(
            fleet, table_store, load_permits
        )
        decider = decider_module.Decider(fleet, table_store)
        slots = inflight.InFlightTable()
        partition_changes = changes_module.PartitionChanges(
            fleet, ledger, registry, nursery
        )
        return cls(
            fleet=fleet,
            configuration=configuration,
            registrar=registrar_module.Registrar(
                fleet, table_store, partition_changes
            ),
            partition_changes=partition_changes,
            ledger=ledger,
            registry=registry,
            decider=decider,
            load_permits=load_permits,
            slots=slots,
            admission=admission_module.Admission(fleet, ledger, slots),
            gateways=gateways_module.Gateways(
                fleet, configuration, slots, nursery
            ),
            vms=vms_module.VmTable(table_store),
        )

    def is_ready(self):
        """Return whether callers may send requests to this entry."""
        return self.fleet.view.can_admit() and not self.configuration.leaving


@app.default
def run(*, settings: pathlib.Path):
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        YAML file with the settings of this process.
    """
    runner.run(
        "coordinator", settings_module.CoordinatorSettings, settings, serve
    )


async def serve(cfg):
    """Run a coordinator until a signal, drain it and hand partitions over.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.CoordinatorSettings

    Raises
    ------
    SettingsError
        If another VM uses this entry's name.
    OSError
        If another process on this VM already uses an address.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            components = Components.from_settings(cfg, nursery)
            await _start(cfg, components, nursery)
            logger.info("coordinator: listening on {}", cfg.peer_bind)
            await signals.__anext__()
            logger.info("coordinator: draining")
            await _drain(components)
            nursery.cancel_scope.cancel()
    logger.info("coordinator: stopped")


async def _start(cfg, components, nursery):
    """Start the tasks of a coordinator.

    Notes
    -----
    The coordinator listens before it starts other tasks: that its port
    can be bound proves that an older process of this entry has ended.
    """
    handler = functools.partial(_handle_message, components)
    components.fleet.handle = handler
    components.registrar.public = components.gateways.usable_addresses
    components.gateways.on_change = components.registrar.request_tick
    components.fleet.peers = peers_module.Peers(
        peers_module.hello_of(cfg, components.fleet.incarnation),
        handler,
        cfg.dial_address,
        nursery,
    )
    await nursery.start(
        functools.partial(
            rpc.serve, cfg.peer_bind, handler, components.gateways.serve
        )
    )
    nursery.start_soon(
        admin.serve,
        cfg.admin,
        components.fleet.metrics,
        components.is_ready,
        functools.partial(operator_report.status, components),
    )
    nursery.start_soon(components.admission.watch_configuration)
    nursery.start_soon(components.configuration.run)
    nursery.start_soon(components.registrar.run)
    nursery.start_soon(vm_watch.watch, components.fleet, components.vms)
    nursery.start_soon(components.ledger.run)
    nursery.start_soon(components.registry.run)
    nursery.start_soon(components.decider.run)
    nursery.start_soon(components.load_permits.run)
    nursery.start_soon(_update_gauges, components)


async def _handle_message(components, msg, conn):
    try:
        return await handlers.handle_message(msg, components, conn)
    except exceptions.DogwoodwheelError as exc:
        logger.warning("coordinator: {} failed; {}", type(msg).__name__, exc)
        return None
    except Exception:
        # An error in one handler must not end the handlers of other
        # messages.
        logger.exception("coordinator: {} failed", type(msg).__name__)
        return None


async def _update_gauges(components):
    """Update the metrics that are gauges, every `GAUGE_INTERVAL_S`."""
    while True:
        metrics = components.fleet.metrics
        metrics.set_config_version(components.configuration.version)
        traffic = components.fleet.peers.traffic()
        metrics.set_control_traffic(
            "out", traffic.sent_bytes, traffic.sent_messages
        )
        metrics.set_control_traffic(
            "in", traffic.received_bytes, traffic.received_messages
        )
        if components.registrar.own_entry is not None:
            metrics.set_shares(len(components.registrar.own_entry.shares))
        await trio.sleep(GAUGE_INTERVAL_S)


async def _drain(components):
    """Leave the list of entries, wait for gateways, hand partitions over.

    Notes
    -----
    Each gateway of this VM stops when it gets a signal itself.  As long
    as a gateway is connected, it may need slots and tokens from this
    process.
    """
    components.configuration.leaving = True
    components.registrar.leaving = True
    components.registrar.request_tick()
    with trio.move_on_after(GATEWAY_DRAIN_TIMEOUT_S):
        while len(components.gateways):
            await trio.sleep(GAUGE_INTERVAL_S / 10)
    with trio.move_on_after(HAND_OVER_TIMEOUT_S):
        while True:
            try:
                await components.registrar.leave()
                return
            except exceptions.PlatformError as exc:
                logger.info(
                    "membership: hand-over failed, trying again; {}", exc
                )
                await trio.sleep(GAUGE_INTERVAL_S)
    logger.warning("membership: hand-over timed out; peers will take over")


def main():
    """Run the program."""
    app()
