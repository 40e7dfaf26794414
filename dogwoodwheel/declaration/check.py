"""Faults of the configuration text, and checks across its sections."""

import dataclasses

from dogwoodwheel.declaration import dependencies

__all__ = ["Fault", "check"]


@dataclasses.dataclass(frozen=True, order=True)
class Fault:
    """One fault of the configuration text.

    Parameters
    ----------
    line : int
        Line number, from 1; 0 if the fault has no line.
    path : str
        Names from the top level to the faulty value, joined by dots.
    message : str
        What is wrong and how to correct it.

    Examples
    --------
    >>> print(Fault(12, "customers.frost.rate", "is missing; add it"))
    line 12: customers.frost.rate: is missing; add it
    """

    line: int
    path: str
    message: str

    def __str__(self):
        prefix = f"line {self.line}: " if self.line else ""
        return f"{prefix}{self.path}: {self.message}"


class FaultCollector:
    """Collects faults and looks up the line of each.

    Parameters
    ----------
    lines : dict of tuple to int
        Line numbers by location; a location is the tuple of names and
        list indexes from the top level to a value.
    """

    def __init__(self, lines):
        self.lines = lines
        self.faults = []

    def add(self, location, message):
        """Record a fault, with the line of the nearest known ancestor.

        A missing value has no line, so the line of the innermost
        enclosing value with a line is used.
        """
        ancestor = location
        while ancestor and ancestor not in self.lines:
            ancestor = ancestor[:-1]
        line = self.lines.get(ancestor, 0)
        path = ".".join(str(name) for name in location)
        self.faults.append(Fault(line, path, message))


def check(declaration, lines=None):
    """Return the faults in references and limits across sections.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.datatypes.Declaration
        A field that is None is skipped, because parsing has already
        reported its fault.
    lines : dict of tuple to int, optional
        Line numbers by location, see `FaultCollector`.

    Returns
    -------
    tuple of Fault

    Notes
    -----
    The time is linear in the size of the declaration.
    """
    collector = FaultCollector(lines or {})
    _check_services(declaration, collector)
    _check_endpoints(declaration, collector)
    _check_models(declaration, collector)
    _check_adapters(declaration, collector)
    _check_customers(declaration, collector)
    return tuple(collector.faults)


def _check_reference(collector, location, name, section, items):
    """Return whether a section has the name; record a fault if not.

    A name of None, whose fault is already recorded, returns False.
    """
    if name is None or name in items:
        return name is not None
    collector.add(
        location,
        f"{name!r} is not among the {section}; add it there or mend it",
    )
    return False


def _check_services(declaration, collector):
    services = declaration.services
    for name, service in services.items():
        location = ("services", name)
        for i, other in enumerate(service.depends or ()):
            _check_reference(
                collector,
                location + ("depends", i),
                other,
                "services",
                services,
            )
        if _exceeds(service.deadline_s, service.max_deadline_s):
            collector.add(
                location + ("deadline_s",),
                "is above max_deadline_s; lower it or raise that",
            )
        if service.kind == "models":
            _check_no_routes(service, collector, location)
    for name in dependencies.services_in_cycles(services):
        collector.add(
            ("services", name, "depends"),
            "leads back to the service itself; remove one dependency",
        )


def _check_no_routes(service, collector, location):
    for field in ("open_routes", "once_routes"):
        if getattr(service, field):
            collector.add(
                location + (field,),
                "is only for a plain service; remove it",
            )


def _exceeds(number, limit):
    return number is not None and limit is not None and number > limit


def _check_endpoints(declaration, collector):
    name_by_address = {}
    for name, endpoint in declaration.endpoints.items():
        location = ("endpoints", name)
        _check_reference(
            collector,
            location + ("zone",),
            endpoint.zone,
            "zones",
            declaration.zones,
        )
        if _check_reference(
            collector,
            location + ("service",),
            endpoint.service,
            "services",
            declaration.services,
        ):
            kind = declaration.services[endpoint.service].kind
            if kind == "models" and endpoint.memory_mb == 0:
                collector.add(
                    location + ("memory_mb",),
                    "is 0 on an endpoint for models; give its memory",
                )
        if _exceeds(endpoint.fresh_concurrency, endpoint.concurrency):
            collector.add(
                location + ("fresh_concurrency",),
                "is above concurrency; lower it or raise that",
            )
        first_name = name_by_address.setdefault(endpoint.address, name)
        if endpoint.address is not None and first_name != name:
            collector.add(
                location + ("address",),
                f"{endpoint.address} is the address of {first_name!r} too; "
                f"give each endpoint its own",
            )


def _check_models(declaration, collector):
    max_mb = _max_memory_by_service(declaration)
    for name, item in declaration.models.items():
        location = ("models", name)
        if not _check_reference(
            collector,
            location + ("service",),
            item.service,
            "services",
            declaration.services,
        ):
            continue
        if declaration.services[item.service].kind == "plain":
            collector.add(
                location + ("service",),
                f"{item.service!r} is a plain service; "
                f"name one of kind models",
            )
        elif _exceeds(item.size_mb, max_mb.get(item.service)):
            collector.add(
                location + ("size_mb",),
                f"is above the memory of every endpoint of "
                f"{item.service!r} ({max_mb[item.service]} MB at most); "
                f"add a larger endpoint or mend the size",
            )


def _max_memory_by_service(declaration):
    """Return the memory of each service's largest endpoint, in MB."""
    max_mb = {}
    for endpoint in declaration.endpoints.values():
        memory = endpoint.memory_mb
        if memory:
            previous_mb = max_mb.get(endpoint.service, 0)
            max_mb[endpoint.service] = max(previous_mb, memory)
    return max_mb


def _check_adapters(declaration, collector):
    models = declaration.models
    max_mb = _max_memory_by_service(declaration)
    for name, adapter in declaration.adapters.items():
        location = ("adapters", name)
        if name in models:
            collector.add(
                location, "is the name of a model too; rename one of both"
            )
        if not _check_reference(
            collector, location + ("base",), adapter.base, "models", models
        ):
            continue
        base = models[adapter.base]
        sizes = (adapter.size_mb, base.size_mb)
        if None in sizes or base.size_mb > max_mb.get(base.service, 0):
            continue
        if sum(sizes) > max_mb[base.service]:
            collector.add(
                location + ("size_mb",),
                f"does not fit beside its base {adapter.base!r} on any "
                f"endpoint; add a larger endpoint or mend the size",
            )


def _check_customers(declaration, collector):
    owner_by_key = {}
    for name, customer in declaration.customers.items():
        location = ("customers", name)
        _check_reference(
            collector,
            location + ("priority",),
            customer.priority,
            "classes",
            declaration.classes,
        )
        for i, key in enumerate(customer.keys or ()):
            if key.name is None:
                continue
            if key.name in owner_by_key:
                collector.add(
                    location + ("keys", i, "name"),
                    f"{key.name!r} is a key of "
                    f"{owner_by_key[key.name]!r} too; "
                    f"give each key its own name",
                )
            owner_by_key.setdefault(key.name, name)
