"""Status and routing reports of a coordinator for operators."""

import dataclasses

from dogwoodwheel import exceptions

__all__ = ["customer_accounts", "explain", "status"]


def status(components):
    """Return the status of this entry as JSON-serializable values.

    Parameters
    ----------
    components : dogwoodwheel.programs.coordinator.Components

    Returns
    -------
    dict
    """
    fleet = components.fleet
    view = fleet.view
    own_entry = view.entries.get(fleet.me)
    age = components.configuration.age_s()
    return {
        "entry": fleet.me,
        "incarnation": fleet.incarnation,
        "zone": fleet.settings.zone,
        "version": components.configuration.version,
        "digest": components.configuration.digest,
        "config_age_s": round(min(age, 1e9), 1),
        "config_usable": components.configuration.usable(),
        "leaving": components.configuration.leaving,
        "live": sorted(view.live),
        "gateways": len(components.gateways),
        "shares_held": sorted(components.ledger.accounts.partitions),
        "shares": len(own_entry.shares) if own_entry is not None else 0,
        "holdings": len(own_entry.holdings) if own_entry is not None else 0,
        "endpoints": components.registry.status(),
        "customers": customer_accounts(components),
        "endpoints_leaving": sorted(view.leaving),
    }


def customer_accounts(components):
    """Return the token accounts at this entry, by customer."""
    return {
        state.customer: dataclasses.asdict(state)
        for state in components.ledger.accounts.states()
    }


async def explain(components, args):
    """Return where this entry would send a request, and why.

    Parameters
    ----------
    components : dogwoodwheel.programs.coordinator.Components
    args : dict of str to str
        ``customer`` and ``model``.

    Returns
    -------
    dict
    """
    view = components.fleet.view
    if view.declaration is None:
        return {"error": "no configuration yet; apply one"}
    model = args.get("model", "")
    customer = args.get("customer", "")
    declared = view.declaration.models | view.declaration.adapters
    if model not in declared:
        return {"error": f"model {model} is not declared; see check"}
    if customer not in view.declaration.customers:
        return {"error": f"customer {customer} is not declared; see check"}
    decider = view.decider_of(model)
    body = {
        "entry": components.fleet.me,
        "customer": customer,
        "model": model,
        "decider": decider,
        "rate": customer_accounts(components).get(customer, {}),
    }
    body["decided"] = await _decided_endpoints(components, model)
    body["owners"] = {
        name: _describe_owner(view, name) for name in body["decided"]
    }
    return body


async def _decided_endpoints(components, model):
    try:
        return list(await components.decider.decided_endpoints(model))
    except exceptions.PlatformError:
        return []


def _describe_owner(view, name):
    owner, holding = view.owner_of(name)
    if owner is None:
        return "none yet"
    return f"{owner.name} (epoch {holding.epoch})"
