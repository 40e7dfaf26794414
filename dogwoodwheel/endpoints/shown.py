"""What an endpoint's status shows."""

import trio

from dogwoodwheel.engines import engine as engines

__all__ = ["Shown"]


class Shown:
    """The last status of an endpoint, and what a restart lost.

    Attributes
    ----------
    status : dogwoodwheel.engines.engine.EndpointStatus or None
    asked_at : float
        When that status was asked for; seconds, trio's clock.
    lost : set of str
        Replicas that were there and went with an earlier process.
    """

    def __init__(self):
        self.status = None
        self.asked_at = 0.0
        self.lost = set()
        self._models = {}
        self._seen = set()
        self._changed = trio.Event()

    @property
    def names(self):
        """Names of all that is there, in any state."""
        return self._models.keys()

    def learn(self, status, asked_at):
        """Take a newer status."""
        last = self.status
        if last is not None and last.incarnation != status.incarnation:
            self.lose_all(self._seen)
        self.status = status
        self.asked_at = asked_at
        self._models = {item.name: item for item in status.models}
        self._seen.update(self._models)
        self.lost.difference_update(self._models)
        self.notify()

    def lose_all(self, names):
        """Take replicas for lost, until they are shown again."""
        self.lost.update(names)

    def forget(self, name):
        """Forget a replica that is not decided any more."""
        self.lost.discard(name)
        self._seen.discard(name)

    def find(self, name):
        """Return the `ModelStatus` of a model or adapter, or None."""
        return self._models.get(name)

    def state(self, name):
        """Return the state of a model or adapter; empty if not there."""
        found = self._models.get(name)
        return found.state if found else ""

    def ready(self, name, version=None):
        """Tell whether it is loaded, in that version where one is given."""
        found = self._models.get(name)
        if found is None or found.state != engines.LOADED:
            return False
        return version is None or found.version == version

    def others_mb(self, name):
        """Return the memory of all but one, megabytes."""
        return sum(
            item.memory_mb
            for item in (self.status.models if self.status else ())
            if item.name != name
        )

    def notify(self):
        """Wake those that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def newer(self, poll, timeout_s):
        """Wait for a status that is asked for from now on.

        Parameters
        ----------
        poll : callable
            ``poll()`` makes the next status call come at once.
        timeout_s : float

        Returns
        -------
        bool
            False where none came in time.
        """
        since = trio.current_time()
        poll()
        with trio.move_on_after(timeout_s):
            while self.asked_at < since:
                await self._changed.wait()
        return self.asked_at >= since

    async def changed(self):
        """Return when a newer status came."""
        await self._changed.wait()
