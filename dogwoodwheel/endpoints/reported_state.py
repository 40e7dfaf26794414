"""Last reported status of an endpoint."""

import trio

from dogwoodwheel.engines import engine as engine_module

__all__ = ["ReportedState"]


class ReportedState:
    """Last status of an endpoint, and the replicas that a restart lost.

    Attributes
    ----------
    status : dogwoodwheel.engines.engine.EndpointStatus or None
    asked_at : float
        When the status call was sent; seconds, trio's clock.
    lost : set of str
        Replicas that were loaded in an earlier process instance of the
        endpoint and are not reported by the present one.
    """

    def __init__(self):
        self.status = None
        self.asked_at = 0.0
        self.lost = set()
        self._models = {}
        self._seen = set()
        self._changed = trio.Event()

    @property
    def model_names(self):
        """Names of the reported models and adapters, in any state."""
        return self._models.keys()

    def update(self, status, asked_at):
        """Store a newer status."""
        last = self.status
        if last is not None and last.incarnation != status.incarnation:
            self.mark_lost(self._seen)
        self.status = status
        self.asked_at = asked_at
        self._models = {item.name: item for item in status.models}
        self._seen.update(self._models)
        self.lost.difference_update(self._models)
        self.notify()

    def mark_lost(self, names):
        """Count replicas as lost until a status reports them again."""
        self.lost.update(names)

    def forget(self, name):
        """Discard a replica that is no longer in the endpoint's record."""
        self.lost.discard(name)
        self._seen.discard(name)

    def find(self, name):
        """Return the `ModelStatus` of a model or adapter, or None."""
        return self._models.get(name)

    def state(self, name):
        """Return the reported state of a model; empty if not reported."""
        found = self._models.get(name)
        return found.state if found else ""

    def is_loaded(self, name, version=None):
        """Return whether a model is loaded, in the version if given."""
        found = self._models.get(name)
        if found is None or found.state != engine_module.LOADED:
            return False
        return version is None or found.version == version

    def others_mb(self, name):
        """Return the memory of all models but one, megabytes."""
        return sum(
            item.memory_mb
            for item in (self.status.models if self.status else ())
            if item.name != name
        )

    def notify(self):
        """Wake the tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_newer(self, poll, timeout_s):
        """Wait for the answer to a status call sent from now on.

        Parameters
        ----------
        poll : callable
            ``poll()`` triggers the next status call at once.
        timeout_s : float

        Returns
        -------
        bool
            False if no answer came in time.
        """
        since = trio.current_time()
        poll()
        with trio.move_on_after(timeout_s):
            while self.asked_at < since:
                await self._changed.wait()
        return self.asked_at >= since

    async def wait_for_change(self):
        """Return when the next status arrives."""
        await self._changed.wait()
