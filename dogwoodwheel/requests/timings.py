"""How long a request took, for the histograms."""

import trio

__all__ = ["Timing"]


class Timing:
    """Notes the times of one request.

    Parameters
    ----------
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, metrics):
        self.metrics = metrics
        self.began_at = trio.current_time()

    def waited(self, call, grant, asked_at):
        """Note the wait for a slot, or for a load."""
        observe = self.metrics.observe_queue_wait
        if grant.cold:
            observe = self.metrics.observe_cold_start
        wait_s = trio.current_time() - asked_at
        observe(call.customer, call.priority, wait_s)

    def ended(self, call, relay):
        """Note the times of an answer.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.Call
        relay : dogwoodwheel.requests.streams.Relay or None
        """
        labels = (call.customer, call.priority)
        self.metrics.observe_total_time(
            *labels, trio.current_time() - self.began_at
        )
        if relay is None:
            return
        if relay.first_at is not None:
            self.metrics.observe_first_token(
                *labels, relay.first_at - self.began_at
            )
        for gap_s in relay.gaps:
            self.metrics.observe_token_gap(*labels, gap_s)
