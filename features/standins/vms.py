"""The stand-in of the platform's list of VMs, which lags and goes back."""

import time

__all__ = ["VmList"]


class VmList:
    """Every list that was set, and which of them is shown."""

    def __init__(self):
        self.lists = [(0.0, [])]
        self.lag_s = 0.0
        self.back = 0

    def set(self, vms):
        """Set the list; it is shown after the lag that holds now."""
        self.lists.append((time.monotonic() + self.lag_s, vms))
        self.back = 0

    def lag(self, seconds):
        """Set the lag, in seconds, of the lists that are set from now on."""
        self.lag_s = seconds

    def rewind(self, back):
        """Show the list that is ``back`` settings older, until reset."""
        self.back = back

    def shown(self):
        """Return the list that a reader gets now."""
        now = time.monotonic()
        seen = [vms for due, vms in self.lists if due <= now]
        return seen[max(0, len(seen) - 1 - self.back)]
