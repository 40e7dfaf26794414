"""Faults of the operators' text, and the rules between its parts."""

import dataclasses

from dogwoodwheel.declaration import dependencies

__all__ = ["Fault", "check"]


@dataclasses.dataclass(frozen=True, order=True)
class Fault:
    """One fault of the text.

    Parameters
    ----------
    line : int
        From 1; 0 where the text was not read from lines.
    path : str
        Names from the top of the text, joined by dots.
    message : str
        Names the remedy.

    Examples
    --------
    >>> print(Fault(12, "customers.frost.rate", "is missing; add it"))
    line 12: customers.frost.rate: is missing; add it
    """

    line: int
    path: str
    message: str

    def __str__(self):
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.path}: {self.message}"


class Report:
    """Faults found so far, each with the line of its place.

    Parameters
    ----------
    lines : dict of tuple to int
        Line of each path, as a tuple of names.
    """

    def __init__(self, lines):
        self.lines = lines
        self.faults = []

    def add(self, place, message):
        """Note a fault at a place or, if it has no line, around it."""
        around = place
        while around and around not in self.lines:
            around = around[:-1]
        line = self.lines.get(around, 0)
        path = ".".join(str(name) for name in place)
        self.faults.append(Fault(line, path, message))


def check(declaration, lines=None):
    """Return the faults between the parts of a declaration.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.model.Declaration
        A field that is None is skipped: its fault is known already.
    lines : dict of tuple to int, optional

    Returns
    -------
    tuple of Fault

    Notes
    -----
    Linear in the size of the declaration.
    """
    report = Report(lines or {})
    _check_services(declaration, report)
    _check_endpoints(declaration, report)
    _check_models(declaration, report)
    _check_adapters(declaration, report)
    _check_customers(declaration, report)
    return tuple(report.faults)


def _known(report, place, name, section, items):
    """Note a fault if a name is not one of a section's."""
    if name is None or name in items:
        return name is not None
    report.add(
        place, f"{name!r} is not among the {section}; add it there or mend it"
    )
    return False


def _check_services(declaration, report):
    services = declaration.services
    for name, service in services.items():
        place = ("services", name)
        for i, other in enumerate(service.depends or ()):
            _known(report, place + ("depends", i), other, "services", services)
        if _above(service.deadline_s, service.max_deadline_s):
            report.add(
                place + ("deadline_s",),
                "is above max_deadline_s; lower it or raise that",
            )
        if service.kind == "models":
            _check_no_routes(service, report, place)
    for name in dependencies.in_cycles(services):
        report.add(
            ("services", name, "depends"),
            "leads back to the service itself; remove one dependency",
        )


def _check_no_routes(service, report, place):
    for field in ("open_routes", "once_routes"):
        if getattr(service, field):
            report.add(
                place + (field,),
                "is only for a plain service; remove it",
            )


def _above(number, limit):
    return number is not None and limit is not None and number > limit


def _check_endpoints(declaration, report):
    taken = {}
    for name, endpoint in declaration.endpoints.items():
        place = ("endpoints", name)
        _known(
            report,
            place + ("zone",),
            endpoint.zone,
            "zones",
            declaration.zones,
        )
        if _known(
            report,
            place + ("service",),
            endpoint.service,
            "services",
            declaration.services,
        ):
            kind = declaration.services[endpoint.service].kind
            if kind == "models" and endpoint.memory_mb == 0:
                report.add(
                    place + ("memory_mb",),
                    "is 0 on an endpoint for models; give its memory",
                )
        if _above(endpoint.fresh_concurrency, endpoint.concurrency):
            report.add(
                place + ("fresh_concurrency",),
                "is above concurrency; lower it or raise that",
            )
        first = taken.setdefault(endpoint.address, name)
        if endpoint.address is not None and first != name:
            report.add(
                place + ("address",),
                f"{endpoint.address} is the address of {first!r} too; "
                f"give each endpoint its own",
            )


def _check_models(declaration, report):
    largest = _largest_memory(declaration)
    for name, item in declaration.models.items():
        place = ("models", name)
        if not _known(
            report,
            place + ("service",),
            item.service,
            "services",
            declaration.services,
        ):
            continue
        if declaration.services[item.service].kind == "plain":
            report.add(
                place + ("service",),
                f"{item.service!r} is a plain service; "
                f"name one of kind models",
            )
        elif _above(item.size_mb, largest.get(item.service)):
            report.add(
                place + ("size_mb",),
                f"is above the memory of every endpoint of "
                f"{item.service!r} ({largest[item.service]} MB at most); "
                f"add a larger endpoint or mend the size",
            )


def _largest_memory(declaration):
    """Return the largest memory of an endpoint by service, in MB."""
    largest = {}
    for endpoint in declaration.endpoints.values():
        memory = endpoint.memory_mb
        if memory:
            known = largest.get(endpoint.service, 0)
            largest[endpoint.service] = max(known, memory)
    return largest


def _check_adapters(declaration, report):
    models = declaration.models
    largest = _largest_memory(declaration)
    for name, adapter in declaration.adapters.items():
        place = ("adapters", name)
        if name in models:
            report.add(place, "is the name of a model too; rename one of both")
        if not _known(
            report, place + ("base",), adapter.base, "models", models
        ):
            continue
        base = models[adapter.base]
        sizes = (adapter.size_mb, base.size_mb)
        if None in sizes or base.size_mb > largest.get(base.service, 0):
            continue
        if sum(sizes) > largest[base.service]:
            report.add(
                place + ("size_mb",),
                f"does not fit beside its base {adapter.base!r} on any "
                f"endpoint; add a larger endpoint or mend the size",
            )


def _check_customers(declaration, report):
    owners = {}
    for name, customer in declaration.customers.items():
        place = ("customers", name)
        _known(
            report,
            place + ("priority",),
            customer.priority,
            "classes",
            declaration.classes,
        )
        for i, key in enumerate(customer.keys or ()):
            if key.name is None:
                continue
            if key.name in owners:
                report.add(
                    place + ("keys", i, "name"),
                    f"{key.name!r} is a key of {owners[key.name]!r} too; "
                    f"give each key its own name",
                )
            owners.setdefault(key.name, name)
