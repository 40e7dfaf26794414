"""The leader's state of one engine between its reports."""

import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["EngineState", "apply_order"]

# Pause in orders after an order or a report call failed, seconds.
FAILURE_PAUSE_S = 0.3


@dataclasses.dataclass
class EngineState:
    """What the leader knows of one engine.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    report : dogwoodwheel.entry.datatypes.EngineReport or None
        The newest report, updated by the orders accepted since.
    reported_at : float
        Time of the newest report, seconds.
    orders_accepted : int
        Number of orders that the engine has accepted as far as is known;
        -1 while unknown, until the next report.
    ordered_at : float
        Time of the last order that the engine answered, seconds.
    loading_model : str
        Model that is being loaded; empty for none.
    from_store : bool
        Whether that model is loaded from the weight store.
    reports_from : float
        Earliest time at which a report reflects the orders sent so far.
    is_sending : bool
        Whether an order is being sent.
    idle_at : float
        Time of the first report after the last load began that says that
        the engine is idle; infinite if there was none.
    preloaded : set of str
        Models that were loaded before any request needed them.
    """

    endpoint: datatypes.Endpoint
    report: datatypes.EngineReport = None
    reported_at: float = -1e9
    orders_accepted: int = -1
    ordered_at: float = -1e9
    loading_model: str = ""
    from_store: bool = False
    reports_from: float = -1e9
    is_sending: bool = False
    idle_at: float = math.inf
    preloaded: set = dataclasses.field(default_factory=set)

    def pause_orders(self, now):
        """Send no orders for a while, and then only after a new report."""
        self.reports_from = now + FAILURE_PAUSE_S

    def require_new_report(self, now):
        """Invalidate the count of accepted orders until a new report."""
        self.pause_orders(now)
        self.orders_accepted = -1

    def can_take_order(self, now):
        """Return whether the newest report allows another order."""
        return (
            not self.is_sending
            and self.reported_at >= self.reports_from <= now
        )


def apply_order(report, order):
    """Return a copy of a report in which an order is carried out.

    Parameters
    ----------
    report : dogwoodwheel.entry.datatypes.EngineReport
    order : dogwoodwheel.entry.datatypes.Order
        Load or unload of an adapter, or unload of a model.
    """
    models = dict(report.models)
    if not order.adapter:
        models.pop(order.model, None)
    elif order.model in models:
        before = models[order.model].adapters
        change = {order.adapter}
        models[order.model] = datatypes.LoadedModel(
            order.model, before | change if order.load else before - change
        )
    return dataclasses.replace(report, models=models)
