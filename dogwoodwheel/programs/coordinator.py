"""The program ``dogwoodwheel-coordinator``: one on each entry VM."""

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
from dogwoodwheel.membership import peers as peers_module
from dogwoodwheel.membership import registrar as registrar_module
from dogwoodwheel.membership import rights as rights_module
from dogwoodwheel.membership import sightings
from dogwoodwheel.membership import view as view_module
from dogwoodwheel.membership import vmwatch
from dogwoodwheel.placement import decider as decider_module
from dogwoodwheel.placement import loads as loads_module
from dogwoodwheel.platform import tables
from dogwoodwheel.programs import admin
from dogwoodwheel.programs import gateways as gateways_module
from dogwoodwheel.programs import handlers
from dogwoodwheel.programs import metrics as metrics_module
from dogwoodwheel.programs import report
from dogwoodwheel.programs import running
from dogwoodwheel.programs import settings as settings_module
from dogwoodwheel.requests import admission as admission_module
from dogwoodwheel.requests import inflight
from dogwoodwheel.stores import vms as vms_module
from dogwoodwheel.wire import rpc

__all__ = ["main", "serve"]

LEAVE_TIMEOUT_S = 20.0
GATEWAYS_TIMEOUT_S = 600.0
GAUGES_S = 1.0

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
    rights: rights_module.Rights
    ledger: ledger_module.Ledger
    registry: registry_module.Registry
    decider: decider_module.Decider
    loads: loads_module.Loads
    slots: inflight.InFlightTable
    admission: admission_module.Admission
    gateways: gateways_module.Gateways
    vms: vms_module.VmList

    @classmethod
    def from_settings(cls, cfg, nursery):
        """Build the components; nothing runs yet.

        Parameters
        ----------
        cfg : dogwoodwheel.programs.settings.CoordinatorSettings
        nursery : trio.Nursery
            Where the tasks of the components run.
        """
        fleet = fleet_module.Fleet(
            cfg,
            sightings.next_incarnation("", uuid.uuid4().hex),
            view_module.View(cfg.name),
            metrics_module.Metrics(),
        )
        tbl, objects = tables.open_stores(cfg.dial_address(cfg.store))
        configuration = configuration_module.Configuration(fleet, tbl, objects)
        ledger = ledger_module.Ledger(fleet)
        loads = loads_module.Loads(fleet)
        registry = registry_module.Registry(fleet, tbl, loads)
        decider = decider_module.Decider(fleet, tbl)
        slots = inflight.InFlightTable()
        rights = rights_module.Rights(fleet, ledger, registry, nursery)
        return cls(
            fleet=fleet,
            configuration=configuration,
            registrar=registrar_module.Registrar(fleet, tbl, rights),
            rights=rights,
            ledger=ledger,
            registry=registry,
            decider=decider,
            loads=loads,
            slots=slots,
            admission=admission_module.Admission(fleet, ledger, slots),
            gateways=gateways_module.Gateways(
                fleet, configuration, slots, nursery
            ),
            vms=vms_module.VmList(tbl),
        )

    def ready(self):
        """Tell whether callers may be sent here."""
        return self.fleet.view.settled() and not self.configuration.leaving


@app.default
def run(*, settings: pathlib.Path):
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        YAML file of this process.
    """
    running.run(
        "coordinator", settings_module.CoordinatorSettings, settings, serve
    )


async def serve(cfg):
    """Run a coordinator until a signal, then leave.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.CoordinatorSettings

    Raises
    ------
    SettingsError
        If another VM has this entry's name.
    OSError
        If an address is taken.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            components = Components.from_settings(cfg, nursery)
            await _start(cfg, components, nursery)
            logger.info("coordinator: listens on {}", cfg.peer_bind)
            await signals.__anext__()
            logger.info("coordinator: leaves")
            await _leave(components)
            nursery.cancel_scope.cancel()
    logger.info("coordinator: ended")


async def _start(cfg, components, nursery):
    """Listen first: the port proves that an older process is gone."""
    handle = functools.partial(_handle, components)
    components.fleet.handle = handle
    components.registrar.public = components.gateways.open
    components.gateways.changed = components.registrar.kick
    components.fleet.peers = peers_module.Peers(
        peers_module.hello_of(cfg, components.fleet.incarnation),
        handle,
        cfg.dial_address,
        nursery,
    )
    await nursery.start(
        functools.partial(
            rpc.serve, cfg.peer_bind, handle, components.gateways.serve
        )
    )
    nursery.start_soon(
        admin.serve,
        cfg.admin,
        components.fleet.metrics,
        components.ready,
        functools.partial(report.status, components),
    )
    nursery.start_soon(components.admission.follow)
    nursery.start_soon(components.configuration.run)
    nursery.start_soon(components.registrar.run)
    nursery.start_soon(vmwatch.watch, components.fleet, components.vms)
    nursery.start_soon(components.ledger.run)
    nursery.start_soon(components.registry.run)
    nursery.start_soon(components.decider.run)
    nursery.start_soon(components.loads.run)
    nursery.start_soon(_gauges, components)


async def _handle(components, msg, conn):
    try:
        return await handlers.answer(msg, components, conn)
    except exceptions.DogwoodwheelError as exc:
        logger.warning("coordinator: {} failed; {}", type(msg).__name__, exc)
        return None
    except Exception:
        # A fault in one answer must not end the other ones.
        logger.exception("coordinator: {} failed", type(msg).__name__)
        return None


async def _gauges(components):
    """Bring the gauges up to date, for ever."""
    while True:
        metrics = components.fleet.metrics
        metrics.set_config_version(components.configuration.version)
        traffic = components.fleet.peers.traffic()
        metrics.set_control("out", traffic.sent_bytes, traffic.sent_messages)
        metrics.set_control(
            "in", traffic.received_bytes, traffic.received_messages
        )
        if components.registrar.row is not None:
            metrics.set_shares(len(components.registrar.row.shares))
        await trio.sleep(GAUGES_S)


async def _leave(components):
    """Leave: off the list, wait for the gateways, hand over, go.

    Notes
    -----
    The gateways of this VM are stopped by their own signal; while one
    is connected it may still need slots and tokens from us.
    """
    components.configuration.leaving = True
    components.registrar.leaving = True
    components.registrar.kick()
    with trio.move_on_after(GATEWAYS_TIMEOUT_S):
        while len(components.gateways):
            await trio.sleep(GAUGES_S / 10)
    with trio.move_on_after(LEAVE_TIMEOUT_S):
        while True:
            try:
                await components.registrar.leave()
                return
            except exceptions.PlatformError as exc:
                logger.info("membership: cannot leave yet; {}", exc)
                await trio.sleep(GAUGES_S)
    logger.warning("membership: left without handing over; peers take over")


def main():
    """Run the program."""
    app()
