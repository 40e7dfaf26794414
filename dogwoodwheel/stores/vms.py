"""The list of VMs, kept in a table by whatever creates and removes them."""

import dataclasses

from loguru import logger

__all__ = ["LEAVING", "LIVE", "TABLE", "Vm", "VmList"]

TABLE = "vms"
LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM of the list: an entry or an endpoint, by name."""

    name: str
    state: str


class VmList:
    """The list of VMs.

    Parameters
    ----------
    tbl : dogwoodwheel.stores.table_store.TableStore

    Notes
    -----
    A VM has a row with its name as the key and its ``state``.
    """

    def __init__(self, tbl):
        self.tbl = tbl

    async def list(self):
        """Return a tuple of `Vm`; the list lags, and may go back.

        Raises
        ------
        PlatformError
        """
        found = []
        for row in await self.tbl.scan(TABLE):
            state = row.value.get("state")
            if state in (LIVE, LEAVING):
                found.append(Vm(row.key, state))
            else:
                logger.warning("vms: {} has no known state", row.key)
        return tuple(found)
