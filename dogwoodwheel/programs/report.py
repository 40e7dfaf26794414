"""What a coordinator tells operators."""

import dataclasses

from dogwoodwheel import exceptions

__all__ = ["customers", "explain", "status"]


def status(components):
    """Return an entry's status, ready to print.

    Parameters
    ----------
    components : dogwoodwheel.programs.coordinator.Components

    Returns
    -------
    dict
    """
    fleet = components.fleet
    current = fleet.view
    me = current.entries.get(fleet.me)
    age = components.configuration.fresh_s()
    return {
        "entry": fleet.me,
        "incarnation": fleet.incarnation,
        "zone": fleet.settings.zone,
        "version": components.configuration.version,
        "digest": components.configuration.digest,
        "config_age_s": round(min(age, 1e9), 1),
        "config_usable": components.configuration.usable(),
        "leaving": components.configuration.leaving,
        "live": sorted(current.live),
        "gateways": len(components.gateways),
        "shares_held": sorted(components.ledger.accounts.partitions),
        "shares": len(me.shares) if me is not None else 0,
        "holdings": len(me.holdings) if me is not None else 0,
        "endpoints": components.registry.status(),
        "customers": customers(components),
        "endpoints_leaving": sorted(current.leaving),
    }


def customers(components):
    """Return each customer's tokens at this entry, by name."""
    return {
        state.customer: dataclasses.asdict(state)
        for state in components.ledger.accounts.states()
    }


async def explain(components, args):
    """Return where a request would go, and why.

    Parameters
    ----------
    components : dogwoodwheel.programs.coordinator.Components
    args : dict of str to str
        ``customer`` and ``model``.

    Returns
    -------
    dict
    """
    current = components.fleet.view
    if current.declaration is None:
        return {"error": "no configuration yet; apply one"}
    model = args.get("model", "")
    customer = args.get("customer", "")
    known = current.declaration.models | current.declaration.adapters
    if model not in known:
        return {"error": f"model {model} is not declared; see check"}
    if customer not in current.declaration.customers:
        return {"error": f"customer {customer} is not declared; see check"}
    decider = current.decider_of(model)
    body = {
        "entry": components.fleet.me,
        "customer": customer,
        "model": model,
        "decider": decider,
        "rate": customers(components).get(customer, {}),
    }
    body["decided"] = await _decided(components, model)
    body["owners"] = {name: _owner(current, name) for name in body["decided"]}
    return body


async def _decided(components, model):
    try:
        return list(await components.decider.decided(model))
    except exceptions.PlatformError:
        return []


def _owner(current, name):
    owner, held = current.owner_of(name)
    if owner is None:
        return "none yet"
    return f"{owner.name} (epoch {held.epoch})"
