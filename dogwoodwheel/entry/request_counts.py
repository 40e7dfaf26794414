"""Counts of this entry's requests: in flight, waiting and in total."""

import contextlib

from dogwoodwheel.entry import load_balancing

__all__ = ["RequestCounts"]


class RequestCounts:
    """Counts of this entry's requests and of their unprocessed prompts.

    Attributes
    ----------
    request_totals : dict of str to int
        Requests for each model since the start of the process.
    waiting : dict of str to int
        Requests that wait for ``MODEL`` or ``MODEL/ADAPTER``; for a plain
        service, by the name of the service.
    """

    def __init__(self):
        self.request_totals = {}
        self._requested_at = {}
        self.waiting = {}
        self._in_flight = {}
        self._in_flight_by_model = {}

    @contextlib.contextmanager
    def count_in_flight(self, endpoint, tokens, model):
        """Count a request as in flight at an endpoint inside the context.

        Parameters
        ----------
        endpoint : str
        tokens : int
            Tokens of the prompt.
        model : str
            ``MODEL`` or ``MODEL/ADAPTER``.

        Yields
        ------
        callable
            Function without arguments, to be called once the endpoint
            has processed the prompt: it removes the tokens of the prompt
            from the count.
        """
        unprocessed = [tokens]

        def prompt_processed():
            self._add(endpoint, 0, -unprocessed[0], model)
            unprocessed[0] = 0

        self._add(endpoint, 1, tokens, model)
        try:
            yield prompt_processed
        finally:
            self._add(endpoint, -1, -unprocessed[0], model)

    @contextlib.contextmanager
    def count_waiting(self, name):
        """Count a request as waiting inside the context.

        Parameters
        ----------
        name : str
            A key of `waiting`.
        """
        self.waiting[name] = self.waiting.get(name, 0) + 1
        try:
            yield
        finally:
            self.waiting[name] -= 1
            if not self.waiting[name]:
                del self.waiting[name]

    def count_request(self, model, now):
        """Add a request for a model to the totals."""
        self.request_totals[model] = self.request_totals.get(model, 0) + 1
        self._requested_at[model] = now

    def totals_since(self, start):
        """Return the totals of the models requested at or after a time."""
        return {
            model: self.request_totals[model]
            for model, requested_at in self._requested_at.items()
            if requested_at >= start
        }

    def load(self, endpoint):
        """Return the `EndpointLoad` from this entry alone at an endpoint."""
        return load_balancing.EndpointLoad(
            *self._in_flight.get(endpoint, (0, 0))
        )

    def loads(self):
        """Return what this entry has in flight at each endpoint.

        Returns
        -------
        dict of str to (int, int, dict of str to int)
            By endpoint: requests, tokens of unprocessed prompts, and
            requests by ``MODEL`` or ``MODEL/ADAPTER``.
        """
        return {
            endpoint: (*counts, dict(self._in_flight_by_model[endpoint]))
            for endpoint, counts in self._in_flight.items()
        }

    def _add(self, endpoint, requests, tokens, model):
        old = self._in_flight.get(endpoint, (0, 0))
        new = (old[0] + requests, old[1] + tokens)
        models = self._in_flight_by_model.setdefault(endpoint, {})
        models[model] = models.get(model, 0) + requests
        if not models[model]:
            del models[model]
        if new[0] <= 0:
            self._in_flight.pop(endpoint, None)
            self._in_flight_by_model.pop(endpoint, None)
        else:
            self._in_flight[endpoint] = new
