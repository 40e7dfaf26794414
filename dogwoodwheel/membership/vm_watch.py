"""Polls the platform's list of VMs."""

from loguru import logger
import trio

from dogwoodwheel import exceptions

__all__ = ["watch"]

POLL_INTERVAL_S = 1.0


async def watch(fleet, vms):
    """Poll the list of VMs, and publish which are leaving, until cancelled.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    vms : dogwoodwheel.stores.vms.VmTable
    """
    while True:
        try:
            listed_vms = await vms.list()
        except exceptions.PlatformError as exc:
            logger.debug("membership: cannot read the list of VMs; {}", exc)
        else:
            names = fleet.view.entries
            fleet.vm_presence.record_list(
                listed_vms, fleet.me, names, trio.current_time()
            )
        _update_leaving(fleet)
        await trio.sleep(POLL_INTERVAL_S)


def _update_leaving(fleet):
    declaration = fleet.view.declaration
    if declaration is None:
        return
    now = trio.current_time()
    leaving_vms = fleet.vm_presence.leaving(now, declaration.vm_list_lag_s)
    fleet.update(leaving=leaving_vms)
