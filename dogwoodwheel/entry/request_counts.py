"""Requests in flight from this entry."""

import contextlib

from dogwoodwheel.entry import load_balancing

__all__ = ["RequestCounts"]


class RequestCounts:
    """Requests in flight at each endpoint, and prompts to be read there.

    Attributes
    ----------
    request_totals : dict of str to int
        Requests for each model since the start.
    waiting : dict of str to int
        Requests that wait for ``MODEL`` or ``MODEL/ADAPTER``.
    """

    def __init__(self):
        self.request_totals = {}
        self._asked_at = {}
        self.waiting = {}
        self._flying = {}
        self._models = {}

    @contextlib.contextmanager
    def flying(self, endpoint, tokens, model):
        """Count a request at an endpoint while the context lasts.

        Parameters
        ----------
        endpoint : str
        tokens : int
            Tokens of its prompt.
        model : str
            ``MODEL`` or ``MODEL/ADAPTER``.

        Yields
        ------
        callable
            To be called when its prompt has been read.
        """
        left = [tokens]

        def begun():
            self._add(endpoint, 0, -left[0], model)
            left[0] = 0

        self._add(endpoint, 1, tokens, model)
        try:
            yield begun
        finally:
            self._add(endpoint, -1, -left[0], model)

    @contextlib.contextmanager
    def count_waiting(self, name):
        """Count a request that waits while the context lasts."""
        self.waiting[name] = self.waiting.get(name, 0) + 1
        try:
            yield
        finally:
            self.waiting[name] -= 1
            if not self.waiting[name]:
                del self.waiting[name]

    def ask(self, name, now):
        """Count a request for a model or an adapter."""
        self.request_totals[name] = self.request_totals.get(name, 0) + 1
        self._asked_at[name] = now

    def totals_since(self, at):
        """Return the counts of those that were asked for since a time."""
        return {
            name: self.request_totals[name]
            for name, asked_at in self._asked_at.items()
            if asked_at >= at
        }

    def load(self, endpoint):
        """Return this entry's own `EndpointLoad` at an endpoint."""
        return load_balancing.EndpointLoad(*self._flying.get(endpoint, (0, 0)))

    def loads(self):
        """Return by endpoint requests, tokens and requests by model."""
        return {
            endpoint: (*totals, dict(self._models[endpoint]))
            for endpoint, totals in self._flying.items()
        }

    def _add(self, endpoint, requests, tokens, model):
        had = self._flying.get(endpoint, (0, 0))
        has = (had[0] + requests, had[1] + tokens)
        models = self._models.setdefault(endpoint, {})
        models[model] = models.get(model, 0) + requests
        if not models[model]:
            del models[model]
        if has[0] <= 0:
            self._flying.pop(endpoint, None)
            self._models.pop(endpoint, None)
        else:
            self._flying[endpoint] = has
