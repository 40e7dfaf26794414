"""The state of one engine as the leader knows it."""

import dataclasses
import math

from dogwoodwheel.entry import datatypes

__all__ = ["EngineState", "apply_order"]

# Time for which an engine gets no orders after a failed order or report,
# seconds.
FAILURE_PAUSE_S = 0.3


@dataclasses.dataclass
class EngineState:
    """The state of one engine: its newest report and the orders since.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    report : dogwoodwheel.entry.datatypes.EngineReport or None
        The newest report, updated by the orders accepted since then.
    reported_at : float
        Time of trio's clock at which the newest report was requested.
    orders_accepted : int
        Number of orders that the engine has accepted since its start, as
        far as the leader knows; -1 while unknown, until the next report.
    last_order_at : float
        Time of trio's clock at which the engine answered the last order.
    loading_model : str
        Model that is being loaded; empty for none.
    loading_from_weight_store : bool
        Whether `loading_model` is loaded from the weight store.
    min_reported_at : float
        Reports requested before this time are ignored: they may not yet
        reflect the orders sent so far.
    is_sending_order : bool
        Whether an order is being sent.
    first_idle_at : float
        Time of the first report since the last model load began in which
        the engine is idle; infinite without such a report.
    preloaded_models : set of str
        Models that were loaded before any request needed them.
    """

    endpoint: datatypes.Endpoint
    report: datatypes.EngineReport = None
    reported_at: float = -1e9
    orders_accepted: int = -1
    last_order_at: float = -1e9
    loading_model: str = ""
    loading_from_weight_store: bool = False
    min_reported_at: float = -1e9
    is_sending_order: bool = False
    first_idle_at: float = math.inf
    preloaded_models: set = dataclasses.field(default_factory=set)

    def pause_orders(self, now):
        """Pause orders until a report requested after `FAILURE_PAUSE_S`."""
        self.min_reported_at = now + FAILURE_PAUSE_S

    def require_new_report(self, now):
        """Pause orders, and forget the number of accepted orders."""
        self.pause_orders(now)
        self.orders_accepted = -1

    def can_accept_order(self, now):
        """Return whether the newest report allows another order."""
        return (
            not self.is_sending_order
            and self.reported_at >= self.min_reported_at <= now
        )


def apply_order(report, order):
    """Return a copy of a report that includes the effect of an order.

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
        old_adapters = models[order.model].adapters
        changed_adapters = {order.adapter}
        models[order.model] = datatypes.LoadedModel(
            order.model,
            (
                old_adapters | changed_adapters
                if order.load
                else old_adapters - changed_adapters
            ),
        )
    return dataclasses.replace(report, models=models)
