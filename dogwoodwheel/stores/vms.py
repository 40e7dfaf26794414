"""Client of the platform's list of VMs."""

import dataclasses
import json

from dogwoodwheel.stores import http

__all__ = ["LEAVING", "LIVE", "HttpVms", "Vm", "Vms"]

LIVE = "live"
LEAVING = "leaving"
TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM of the list: an entry or an endpoint, by name."""

    name: str
    state: str


class Vms:
    """The calls that this system makes of the list of VMs."""

    async def list(self):
        """Return a tuple of `Vm`; it lags, and may go back."""
        raise NotImplementedError


class HttpVms(Vms):
    """A list of VMs met by HTTP: ``GET /vms``."""

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_address(cls, address):
        """Return the client of the service at ``IP:PORT``."""
        return cls(http.Client(address))

    async def list(self):
        data = await self.client.request("GET", "/vms", None, [], TIMEOUT_S)
        return tuple(
            Vm(vm["name"], vm["state"]) for vm in json.loads(data)["vms"]
        )
