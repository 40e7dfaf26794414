"""Durations of requests, for the histograms."""

import trio

__all__ = ["Timing"]


class Timing:
    """Records the durations of one request.

    Parameters
    ----------
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, metrics):
        self.metrics = metrics
        self.started_at = trio.current_time()

    def record_wait(self, call, grant, requested_at):
        """Record the time from the slot request to the grant.

        If the grant had to wait for a model load, the time counts as a
        cold start, otherwise as a wait in the queue.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.Call
        grant : dogwoodwheel.wire.messages.Grant
        requested_at : float
            Time of trio's clock at which the slot was requested.
        """
        observe = self.metrics.observe_queue_wait
        if grant.cold:
            observe = self.metrics.observe_cold_start
        wait_s = trio.current_time() - requested_at
        observe(call.customer, call.priority, wait_s)

    def record_end(self, call, relay):
        """Record the durations of an answered request.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.Call
        relay : dogwoodwheel.requests.streams.Relay or None
            None if the answer was not streamed.
        """
        labels = (call.customer, call.priority)
        self.metrics.observe_total_time(
            *labels, trio.current_time() - self.started_at
        )
        if relay is None:
            return
        if relay.first_relayed_at is not None:
            self.metrics.observe_first_token(
                *labels, relay.first_relayed_at - self.started_at
            )
        for gap_s in relay.write_gaps_s:
            self.metrics.observe_token_gap(*labels, gap_s)
