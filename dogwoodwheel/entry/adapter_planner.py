"""Plans which adapters engines should load next.

Notes
-----
Workload: a busy model has more adapters than its engines have adapter
slots; requests for an adapter wait until an engine has loaded it.
"""

import math

from dogwoodwheel.entry import datatypes

__all__ = ["plan"]


def plan(spec, engines, demand, reports, used_at):
    """Return orders for the adapters that requests wait for.

    Parameters
    ----------
    spec : dogwoodwheel.entry.datatypes.EngineSpec
    engines : sequence of dogwoodwheel.entry.planner.EngineView
    demand : dogwoodwheel.entry.planner.Demand
    reports : dict of str to dogwoodwheel.entry.datatypes.EngineReport
    used_at : dict of (str, str, str) to float
        Time of the last order for an adapter, by endpoint, model and
        adapter, seconds.

    Returns
    -------
    list of dogwoodwheel.entry.datatypes.Order
    """
    orders = []
    for name in demand.waiting:
        base, _, adapter = name.partition("/")
        if not adapter:
            continue
        holders = [e for e in engines if base in e.models]
        holders = [e for e in holders if not e.busy] or holders
        if any(
            adapter in e.models[base].adapters
            or name in reports[e.id].loading_adapters
            for e in holders
        ):
            continue
        holders.sort(key=lambda e: sum(e.in_flight.values()))
        for engine in holders:
            order = _order(
                spec, engine, reports[engine.id], base, adapter, used_at
            )
            if order is not None:
                orders.append(order)
                break
    return orders


def _order(spec, engine, report, base, adapter, used_at):
    """Return the next order needed to load an adapter, or None.

    Notes
    -----
    The order loads the adapter if a slot is free; otherwise it unloads
    the least recently ordered adapter that has no requests in flight.
    """
    held = [
        (used_at.get((engine.id, m, a), -math.inf), m, a)
        for m, loaded in engine.models.items()
        for a in loaded.adapters
    ]
    if len(held) + len(report.loading_adapters) < spec.adapter_slots:
        return datatypes.Order(engine.id, True, base, adapter)
    idle = [
        item for item in held if f"{item[1]}/{item[2]}" not in engine.in_flight
    ]
    if not idle:
        return None
    _, victim_model, victim = min(idle)
    return datatypes.Order(engine.id, False, victim_model, victim)
