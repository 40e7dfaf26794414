"""What the leader keeps of one engine between its reports."""

import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["EngineState", "after"]

# Pause after an order or a report that was refused or got no answer, seconds.
REFUSED_PAUSE_S = 0.3


@dataclasses.dataclass
class EngineState:
    """What the leader keeps of one engine.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    report : dogwoodwheel.entry.datatypes.EngineReport or None
    at : float
        Time of the report.
    accepted : int
        Orders that it took as far as is known.
    ordered_at : float
        Time of our last order.
    coming : str
        Model on its way in; empty for none.
    from_store : bool
    fresh_from : float
        Time from which on a report tells what became of our orders.
    sending : bool
        Whether an order is on its way.
    idle_at : float
        Time of the first report after the last load that said that
        nothing goes on.
    ahead : set of str
        Models that were loaded ahead of need.
    """

    endpoint: datatypes.Endpoint
    report: datatypes.EngineReport = None
    at: float = -1e9
    orders_accepted: int = -1
    ordered_at: float = -1e9
    loading_model: str = ""
    from_store: bool = False
    fresh_from: float = -1e9
    sending: bool = False
    idle_at: float = math.inf
    ahead: set = dataclasses.field(default_factory=set)

    def rest(self, now):
        """Leave it alone for a while; a report after it tells how it is."""
        self.fresh_from = now + REFUSED_PAUSE_S

    def doubt(self, now):
        """Let a report that is read from now on tell what orders did."""
        self.rest(now)
        self.orders_accepted = -1

    def can_take_order(self, now):
        """Tell whether its newest report allows another order."""
        return not self.sending and self.at >= self.fresh_from <= now


def after(report, order):
    """Return a report as it is once an order is carried out."""
    models = dict(report.models)
    if not order.adapter:
        models.pop(order.model, None)
    elif order.model in models:
        had = models[order.model].adapters
        change = {order.adapter}
        models[order.model] = datatypes.LoadedModel(
            order.model, had | change if order.load else had - change
        )
    return dataclasses.replace(report, models=models)
