"""Counts this entry's requests: in flight, waiting and in total."""

import contextlib

from dogwoodwheel.entry import load_balancing

__all__ = ["RequestCounts"]


class RequestCounts:
    """Counts this entry's requests, and their unprocessed prompt tokens.

    Attributes
    ----------
    request_totals : dict of str to int
        Number of requests since the start of the process, by model.
    waiting : dict of str to int
        Number of requests that wait for an endpoint, by ``MODEL`` or
        ``MODEL/ADAPTER``, or by service if the service has no models.
    """

    def __init__(self):
        self.request_totals = {}
        self._requested_at = {}
        self.waiting = {}
        self._in_flight = {}
        self._in_flight_by_model = {}

    @contextlib.contextmanager
    def count_in_flight(self, endpoint, prompt_tokens, model):
        """Count a request as in flight at an endpoint inside the context.

        Parameters
        ----------
        endpoint : str
        prompt_tokens : int
        model : str
            ``MODEL`` or ``MODEL/ADAPTER``.

        Yields
        ------
        callable
            Function without arguments, which removes the tokens of the
            prompt from the count.  The caller calls the function once the
            endpoint has processed the prompt.
        """
        unprocessed_tokens = [prompt_tokens]

        def mark_prompt_processed():
            self._add_in_flight(endpoint, 0, -unprocessed_tokens[0], model)
            unprocessed_tokens[0] = 0

        self._add_in_flight(endpoint, 1, prompt_tokens, model)
        try:
            yield mark_prompt_processed
        finally:
            self._add_in_flight(endpoint, -1, -unprocessed_tokens[0], model)

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

    def totals_since(self, earliest_at):
        """Return the `request_totals` of models requested since a time."""
        return {
            model: self.request_totals[model]
            for model, requested_at in self._requested_at.items()
            if requested_at >= earliest_at
        }

    def endpoint_load(self, endpoint):
        """Return this entry's requests and tokens in flight at an endpoint."""
        return load_balancing.EndpointLoad(
            *self._in_flight.get(endpoint, (0, 0))
        )

    def endpoint_loads(self):
        """Return this entry's requests and tokens in flight at each endpoint.

        Returns
        -------
        dict of str to (int, int, dict of str to int)
            By endpoint: number of requests, number of unprocessed prompt
            tokens, and number of requests by ``MODEL`` or
            ``MODEL/ADAPTER``.
        """
        return {
            endpoint: (*counts, dict(self._in_flight_by_model[endpoint]))
            for endpoint, counts in self._in_flight.items()
        }

    def _add_in_flight(self, endpoint, requests, tokens, model):
        previous_counts = self._in_flight.get(endpoint, (0, 0))
        updated_counts = (
            previous_counts[0] + requests,
            previous_counts[1] + tokens,
        )
        requests_by_model = self._in_flight_by_model.setdefault(endpoint, {})
        requests_by_model[model] = requests_by_model.get(model, 0) + requests
        if not requests_by_model[model]:
            del requests_by_model[model]
        if updated_counts[0] <= 0:
            self._in_flight.pop(endpoint, None)
            self._in_flight_by_model.pop(endpoint, None)
        else:
            self._in_flight[endpoint] = updated_counts
