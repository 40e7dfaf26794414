"""Plans which adapters engines load and unload next.

Notes
-----
Workload: a busy model has more adapters than its engines have adapter
slots.  Requests for an adapter wait until an engine has loaded the adapter.
An engine that loads a model takes no order, so adapters go to other engines
with the same base model, or wait.
"""

import math

from dogwoodwheel.entry import datatypes

__all__ = ["plan"]


def plan(spec, engines, demand, reports, ordered_at):
    """Return the next orders for adapters that requests wait for.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : sequence of dogwoodwheel.entry.planner.EngineView
        Engines that may receive requests.
    demand : dogwoodwheel.entry.planner.Demand
    reports : dict of str to dogwoodwheel.entry.datatypes.EngineReport
        Newest report of each engine, by endpoint.
    ordered_at : dict of (str, str, str) to float
        Time of trio's clock of the last order for an adapter, by endpoint,
        model and adapter.

    Returns
    -------
    list of dogwoodwheel.entry.datatypes.Order
    """
    orders = []
    for requested_name in demand.waiting:
        model_name, _, adapter = requested_name.partition("/")
        if not adapter:
            continue
        model_holders = [e for e in engines if model_name in e.models]
        if any(
            adapter in e.models[model_name].adapters
            or requested_name in reports[e.id].loading_adapters
            for e in model_holders
        ):
            continue
        # A busy engine refuses all orders.
        free_holders = [e for e in model_holders if not e.busy]
        free_holders.sort(key=lambda e: sum(e.in_flight.values()))
        for engine in free_holders:
            order = _next_order(
                spec,
                engine,
                reports[engine.id],
                model_name,
                adapter,
                ordered_at,
            )
            if order is not None:
                orders.append(order)
                break
    return orders


def _next_order(spec, engine, report, model_name, adapter, ordered_at):
    """Return the next order needed to load an adapter, or None.

    Notes
    -----
    The order loads the adapter if an adapter slot is free.  Otherwise the
    order unloads the least recently ordered adapter without requests in
    flight.  None is returned if all adapters have requests in flight.
    """
    loaded_adapters = [
        (
            ordered_at.get((engine.id, model, loaded_adapter), -math.inf),
            model,
            loaded_adapter,
        )
        for model, loaded_model in engine.models.items()
        for loaded_adapter in loaded_model.adapters
    ]
    if (
        len(loaded_adapters) + len(report.loading_adapters)
        < spec.adapter_slots
    ):
        return datatypes.Order(engine.id, True, model_name, adapter)
    idle_adapters = [
        item
        for item in loaded_adapters
        if f"{item[1]}/{item[2]}" not in engine.in_flight
    ]
    if not idle_adapters:
        return None
    _, victim_model, victim_adapter = min(idle_adapters)
    return datatypes.Order(engine.id, False, victim_model, victim_adapter)
