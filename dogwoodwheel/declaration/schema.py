"""Rules for each field of the operators' text."""

import dataclasses
import re

from dogwoodwheel.declaration import model

__all__ = [
    "DEFAULT_CLASSES",
    "ELEMENTS",
    "MAX_TEXT_BYTES",
    "NAME",
    "REQUIRED",
    "RULES",
    "SCALARS",
    "SECTIONS",
    "Rule",
    "fields_of",
    "rule_of",
]

MAX_TEXT_BYTES = 8 * 1024 * 1024
MAX_NAME_LENGTH = 128
MAX_PARTITIONS = 65536
MIN_SALT_DIGITS = 4
DIGEST_DIGITS = 64
DEFAULT_CLASSES = {"urgent": 0, "normal": 10, "batch": 20}

# Names end up in table keys, URL paths and metric labels.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]*")

SECTIONS = {
    "zones": model.Zone,
    "services": model.Service,
    "endpoints": model.Endpoint,
    "models": model.Model,
    "adapters": model.Adapter,
    "customers": model.Customer,
    "classes": model.PriorityClass,
}

# A text cut short must not pass for one that removes every customer.
REQUIRED = ("zones", "services", "endpoints", "customers")

ELEMENTS = {
    "depends": str,
    "open_routes": model.Route,
    "once_routes": model.Route,
    "keys": model.Key,
}


@dataclasses.dataclass(frozen=True)
class Rule:
    """What a value must satisfy beyond its type.

    Parameters
    ----------
    least : float or None
        Smallest number that is taken.
    most : float or None
        Largest number that is taken.
    above : float or None
        The number must be larger than this.
    choices : tuple of str
    form : str
        ``address``, ``digest``, ``key``, ``method``, ``name``,
        ``path``, ``salt`` or empty.
    """

    least: float = None
    most: float = None
    above: float = None
    choices: tuple = ()
    form: str = ""


RULES = {
    "zones.region": Rule(),
    "zones.state": Rule(choices=("in", "out")),
    "services.kind": Rule(choices=("models", "plain")),
    "services.depends": Rule(form="name"),
    "services.deadline_s": Rule(above=0),
    "services.max_deadline_s": Rule(above=0),
    "services.call_tokens": Rule(least=0),
    "services.open_routes.method": Rule(form="method"),
    "services.open_routes.path": Rule(form="path"),
    "services.once_routes.method": Rule(form="method"),
    "services.once_routes.path": Rule(form="path"),
    "endpoints.address": Rule(form="address"),
    "endpoints.memory_mb": Rule(least=0),
    "endpoints.concurrency": Rule(least=1),
    "endpoints.fresh_concurrency": Rule(least=1),
    "models.size_mb": Rule(least=1),
    "models.max_replicas": Rule(least=1),
    "models.idle_s": Rule(least=0),
    "adapters.size_mb": Rule(least=0),
    "customers.rate": Rule(least=0),
    "customers.burst": Rule(least=0),
    "customers.weight": Rule(above=0),
    "customers.keys.name": Rule(form="key"),
    "customers.keys.salt": Rule(form="salt"),
    "customers.keys.digest": Rule(form="digest"),
    "classes.rank": Rule(least=0),
    "weight_store.loads_per_s": Rule(above=0),
    "weight_store.parallel_loads": Rule(least=1),
    "weight_store.parallel_adapters": Rule(least=1),
    "partitions": Rule(least=1, most=MAX_PARTITIONS),
    "vm_list_lag_s": Rule(above=0),
}
SCALARS = {"partitions": int, "vm_list_lag_s": float}


def rule_of(path):
    """Return the rule of a field by its path without the item's name.

    Examples
    --------
    >>> rule_of("customers.rate").least
    0
    """
    return RULES.get(path, Rule())


def fields_of(kind, named=True):
    """Return the fields that the text gives for one item.

    Parameters
    ----------
    kind : type
        A data class of `dogwoodwheel.declaration.model`.
    named : bool
        Whether the item's key in its map is its ``name``.

    Returns
    -------
    dict of str to dataclasses.Field
    """
    return {
        field.name: field
        for field in dataclasses.fields(kind)
        if not (named and field.name == "name")
    }
