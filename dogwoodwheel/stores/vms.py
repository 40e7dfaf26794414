"""Reads the list of VMs from the table of the system that manages them."""

import dataclasses

from loguru import logger

__all__ = ["LEAVING", "LIVE", "TABLE", "Vm", "VmTable"]

TABLE = "vms"
LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Vm:
    """An entry or endpoint VM in the list.

    Parameters
    ----------
    name : str
    state : str
        `LIVE` or `LEAVING`.
    """

    name: str
    state: str


class VmTable:
    """Reads the list of VMs.

    Parameters
    ----------
    table_store : dogwoodwheel.stores.table_store.TableStore

    Notes
    -----
    The table has one row for each VM.  The key is the name of the VM, and
    field ``state`` of the value is its state.
    """

    def __init__(self, table_store):
        self.table_store = table_store

    async def list(self):
        """Return the VMs as a tuple of `Vm`.

        Each call reads the table again.  The table lags behind the actual
        VMs, and a later call may return older data.  VMs with an unknown
        state are left out.

        Raises
        ------
        PlatformError
            If the table cannot be read.
        """
        vms = []
        for row in await self.table_store.scan(TABLE):
            state = row.value.get("state")
            if state in (LIVE, LEAVING):
                vms.append(Vm(row.key, state))
            else:
                logger.warning(
                    "vms: ignored {}, which has an unknown state", row.key
                )
        return tuple(vms)
