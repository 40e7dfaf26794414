"""A thread that watches which version each process shows."""

import threading

from features.standins import caller

__all__ = ["VersionWatch"]

POLL_S = 0.02
TIMEOUT_S = 1.0


class VersionWatch:
    """Polls the status of processes and keeps every version shown.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:PORT`` of each process's admin port, by its name.

    Attributes
    ----------
    seen : dict of (str, str) to list of int
        Versions in order, by process and its incarnation.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self.seen = {}
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,))
            for name in addresses
        ]

    def start(self):
        """Begin."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def steps_back(self):
        """Return each process that showed an older version again."""
        return [
            name
            for name, versions in self.seen.items()
            if versions != sorted(versions)
        ]

    def status(self, name):
        """Return the status of a process; empty without an answer."""
        address = self.addresses[name]
        reply = caller.Caller(address, timeout_s=TIMEOUT_S).get("/status")
        return reply.json if reply.done else {}

    def _watch(self, name):
        while not self._ended.wait(POLL_S):
            status = self.status(name)
            if "version" not in status:
                continue
            key = name, status.get("incarnation", "")
            versions = self.seen.setdefault(key, [])
            if not versions or versions[-1] != status["version"]:
                versions.append(status["version"])
