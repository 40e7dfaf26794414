"""How the stand-in of the platform fails."""

import dataclasses
import math

__all__ = ["MODES", "OBJECTS", "SERVICES", "TABLE", "VMS", "Outage"]

TABLE = "table"
OBJECTS = "objects"
VMS = "vms"
SERVICES = (TABLE, OBJECTS, VMS)
MODES = ("off", "refuse", "hang", "mute", "lose", "late")


@dataclasses.dataclass
class Outage:
    """How calls fail.

    Parameters
    ----------
    mode : str
        ``refuse`` replies 503; ``hang`` holds calls until the outage
        ends, then drops them; ``mute`` never answers them; ``lose``
        takes a write and resets the connection; ``late`` takes a write
        after ``delay_s``, also when the client has gone.
    services : sequence of str
    count : int
        Calls that fail before the outage ends by itself.
    delay_s : float
    hosts : sequence of str
        Hosts whose calls fail; empty for all.
    """

    mode: str = "off"
    services: tuple = SERVICES
    count: float = math.inf
    delay_s: float = 0.0
    hosts: tuple = ()

    def take(self, service, write, host):
        """Return the mode of one call, and count it."""
        if service not in self.services or self.count <= 0:
            return "off"
        if self.hosts and host not in self.hosts:
            return "off"
        if self.mode in ("lose", "late") and not write:
            return "off"
        if self.mode != "off":
            self.count -= 1
        return self.mode
