"""Sections, fields and validation rules of the configuration text."""

import dataclasses
import re

from dogwoodwheel.declaration import datatypes

__all__ = [
    "DEFAULT_CLASSES",
    "LIST_ELEMENT_TYPES",
    "MAX_TEXT_BYTES",
    "NAME_PATTERN",
    "REQUIRED_SECTIONS",
    "RULES",
    "TOP_LEVEL_SCALARS",
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

# Names are used in table keys, URL paths and metric labels.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]*")

SECTIONS = {
    "zones": datatypes.Zone,
    "services": datatypes.Service,
    "endpoints": datatypes.Endpoint,
    "models": datatypes.Model,
    "adapters": datatypes.Adapter,
    "customers": datatypes.Customer,
    "classes": datatypes.PriorityClass,
}

# These sections are required so that a truncated text is not accepted as
# a text that removes every customer.
REQUIRED_SECTIONS = ("zones", "services", "endpoints", "customers")

LIST_ELEMENT_TYPES = {
    "depends": str,
    "open_routes": datatypes.Route,
    "once_routes": datatypes.Route,
    "keys": datatypes.Key,
}


@dataclasses.dataclass(frozen=True)
class Rule:
    """Constraint on a value in addition to its type.

    Parameters
    ----------
    minimum : float or None
        Smallest number that is accepted.
    maximum : float or None
        Largest number that is accepted.
    exclusive_minimum : float or None
        Bound that the number must exceed.
    choices : tuple of str
        Accepted values; empty if any value is.
    value_format : str
        ``address``, ``digest``, ``key``, ``method``, ``name``,
        ``path``, ``salt``, or empty for any format.
    """

    minimum: float = None
    maximum: float = None
    exclusive_minimum: float = None
    choices: tuple = ()
    value_format: str = ""


RULES = {
    "zones.region": Rule(),
    "zones.state": Rule(choices=("in", "out")),
    "services.kind": Rule(choices=("models", "plain")),
    "services.depends": Rule(value_format="name"),
    "services.deadline_s": Rule(exclusive_minimum=0),
    "services.max_deadline_s": Rule(exclusive_minimum=0),
    "services.call_tokens": Rule(minimum=0),
    "services.open_routes.method": Rule(value_format="method"),
    "services.open_routes.path": Rule(value_format="path"),
    "services.once_routes.method": Rule(value_format="method"),
    "services.once_routes.path": Rule(value_format="path"),
    "endpoints.address": Rule(value_format="address"),
    "endpoints.memory_mb": Rule(minimum=0),
    "endpoints.concurrency": Rule(minimum=1),
    "endpoints.fresh_concurrency": Rule(minimum=1),
    "models.size_mb": Rule(minimum=1),
    "models.max_replicas": Rule(minimum=1),
    "models.idle_s": Rule(minimum=0),
    "adapters.size_mb": Rule(minimum=0),
    "customers.rate": Rule(minimum=0),
    "customers.burst": Rule(minimum=0),
    "customers.weight": Rule(exclusive_minimum=0),
    "customers.keys.name": Rule(value_format="key"),
    "customers.keys.salt": Rule(value_format="salt"),
    "customers.keys.digest": Rule(value_format="digest"),
    "classes.rank": Rule(minimum=0),
    "weight_store.loads_per_s": Rule(exclusive_minimum=0),
    "weight_store.parallel_loads": Rule(minimum=1),
    "weight_store.parallel_adapters": Rule(minimum=1),
    "partitions": Rule(minimum=1, maximum=MAX_PARTITIONS),
    "vm_list_lag_s": Rule(exclusive_minimum=0),
}
TOP_LEVEL_SCALARS = {"partitions": int, "vm_list_lag_s": float}


def rule_of(path):
    """Return the rule of a field by its path without the item name.

    The rule of a field that is not in `RULES` accepts every value.

    Examples
    --------
    >>> rule_of("customers.rate").minimum
    0
    """
    return RULES.get(path, Rule())


def fields_of(kind, named=True):
    """Return the fields that the text may set for one item.

    Parameters
    ----------
    kind : type
        A data class of `dogwoodwheel.declaration.datatypes`.
    named : bool
        Whether the item's name is its key in a map, so that ``name`` is
        not among the fields.

    Returns
    -------
    dict of str to dataclasses.Field
    """
    return {
        field.name: field
        for field in dataclasses.fields(kind)
        if not (named and field.name == "name")
    }
