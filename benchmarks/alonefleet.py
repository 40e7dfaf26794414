"""A fleet in which every entry decides for itself, as a baseline."""

from benchmarks import countedfleet

__all__ = ["AloneFleet"]


class AloneFleet(countedfleet.CountedFleet):
    """A `Fleet` whose entries share endpoints but no table.

    Notes
    -----
    Each entry has a platform stand-in of its own, so it knows no other
    entry and owns every endpoint.  The weight store stays shared.
    """

    def __init__(self):
        self.platforms = []
        super().__init__()

    def add_entry(self, name, zone=countedfleet.ZONES[0], gateways=1):
        entry = super().add_entry(name, zone, gateways)
        address, ctl = self._stand_in("platform", [])
        self.platforms.append((address, ctl))
        entry.extra["platform"] = {"store": address}
        return entry

    def publish(self, text, version=None):
        shared = self.platform_address
        for address, _ in self.platforms:
            self.platform_address = address
            found = super().publish(text, version)
        self.platform_address = shared
        return found

    def set_vms(self, leaving=(), gone=()):
        shared = self.platform
        for _, ctl in self.platforms:
            self.platform = ctl
            super().set_vms(leaving, gone)
        self.platform = shared
