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
    membership_view = fleet.view
    own_entry = membership_view.entries.get(fleet.me)
    config_age_s = components.configuration.age_s()
    return {
        "entry": fleet.me,
        "incarnation": fleet.incarnation,
        "zone": fleet.settings.zone,
        "version": components.configuration.version,
        "digest": components.configuration.digest,
        "config_age_s": round(min(config_age_s, 1e9), 1),
        "config_usable": components.configuration.usable(),
        "leaving": components.configuration.leaving,
        "live": sorted(membership_view.live),
        "gateways": len(components.gateways),
        "shares_held": sorted(components.ledger.accounts.partitions),
        "shares": len(own_entry.shares) if own_entry is not None else 0,
        "holdings": len(own_entry.holdings) if own_entry is not None else 0,
        "endpoints": components.registry.status(),
        "customers": customer_accounts(components),
        "endpoints_leaving": sorted(membership_view.leaving),
    }


def customer_accounts(components):
    """Return the token accounts at this entry, by customer."""
    return {
        account_state.customer: dataclasses.asdict(account_state)
        for account_state in components.ledger.accounts.states()
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
    membership_view = components.fleet.view
    if membership_view.declaration is None:
        return {"error": "no configuration yet; apply one"}
    model = args.get("model", "")
    customer = args.get("customer", "")
    declared_models = (
        membership_view.declaration.models
        | membership_view.declaration.adapters
    )
    if model not in declared_models:
        return {"error": f"model {model} is not declared; see check"}
    if customer not in membership_view.declaration.customers:
        return {"error": f"customer {customer} is not declared; see check"}
    decider = membership_view.decider_of(model)
    report = {
        "entry": components.fleet.me,
        "customer": customer,
        "model": model,
        "decider": decider,
        "rate": customer_accounts(components).get(customer, {}),
    }
    report["decided"] = await _decided_endpoints(components, model)
    report["owners"] = {
        name: _describe_owner(membership_view, name)
        for name in report["decided"]
    }
    return report


async def _decided_endpoints(components, model):
    try:
        return list(await components.decider.decided_endpoints(model))
    except exceptions.PlatformError:
        return []


def _describe_owner(membership_view, name):
    owner, holding = membership_view.owner_of(name)
    if owner is None:
        return "none yet"
    return f"{owner.name} (epoch {holding.epoch})"
