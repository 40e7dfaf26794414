"""What a coordinator tells operators."""

import dataclasses

from dogwoodwheel import exceptions

__all__ = ["customers", "explain", "status"]


def status(parts):
    """Return an entry's status, ready to print.

    Parameters
    ----------
    parts : dogwoodwheel.programs.coordinator.Parts

    Returns
    -------
    dict
    """
    fleet = parts.fleet
    current = fleet.view
    me = current.entries.get(fleet.me)
    age = parts.configuration.fresh_s()
    return {
        "entry": fleet.me,
        "incarnation": fleet.incarnation,
        "zone": fleet.settings.zone,
        "version": parts.configuration.version,
        "digest": parts.configuration.digest,
        "config_age_s": round(min(age, 1e9), 1),
        "config_usable": parts.configuration.usable(),
        "leaving": parts.configuration.leaving,
        "live": sorted(current.live),
        "gateways": len(parts.gateways),
        "shares_held": sorted(parts.ledger.accounts.partitions),
        "shares": len(me.shares) if me is not None else 0,
        "holdings": len(me.holdings) if me is not None else 0,
        "endpoints": parts.registry.status(),
        "customers": customers(parts),
        "endpoints_leaving": sorted(current.leaving),
    }


def customers(parts):
    """Return each customer's tokens at this entry, by name."""
    return {
        state.customer: dataclasses.asdict(state)
        for state in parts.ledger.accounts.states()
    }


async def explain(parts, args):
    """Return where a request would go, and why.

    Parameters
    ----------
    parts : dogwoodwheel.programs.coordinator.Parts
    args : dict of str to str
        ``customer`` and ``model``.

    Returns
    -------
    dict
    """
    current = parts.fleet.view
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
        "entry": parts.fleet.me,
        "customer": customer,
        "model": model,
        "decider": decider,
        "rate": customers(parts).get(customer, {}),
    }
    body["decided"] = await _decided(parts, model)
    body["owners"] = {name: _owner(current, name) for name in body["decided"]}
    return body


async def _decided(parts, model):
    try:
        return list(await parts.decider.decided(model))
    except exceptions.PlatformError:
        return []


def _owner(current, name):
    owner, held = current.owner_of(name)
    if owner is None:
        return "none yet"
    return f"{owner.name} (epoch {held.epoch})"
