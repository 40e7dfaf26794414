"""Follows the platform's list of VMs."""

from loguru import logger
import trio

from dogwoodwheel import exceptions

__all__ = ["watch"]

POLL_S = 1.0


async def watch(fleet, vms):
    """Read the list for ever, and tell the fleet which VMs leave.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    vms : dogwoodwheel.stores.vms.VmList
    """
    while True:
        try:
            listed = await vms.list()
        except exceptions.PlatformError as exc:
            logger.debug("membership: no list of VMs; {}", exc)
        else:
            names = fleet.view.entries
            fleet.presence.saw(listed, fleet.me, names, trio.current_time())
        _publish(fleet)
        await trio.sleep(POLL_S)


def _publish(fleet):
    declaration = fleet.view.declaration
    if declaration is None:
        return
    now = trio.current_time()
    leaving = fleet.presence.leaving(now, declaration.vm_list_lag_s)
    fleet.update(leaving=leaving)
