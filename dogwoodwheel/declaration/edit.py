"""Small changes of the operators' text that keep all the rest of it."""

import dataclasses

import yaml

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions

__all__ = ["add_key", "remove_key", "set_zone"]


@dataclasses.dataclass(frozen=True)
class Splice:
    """A part of a text, by index of characters, and what replaces it."""

    start: int
    end: int
    text: str


def add_key(text, customer, key):
    """Add a key to a customer.

    Parameters
    ----------
    text : str
    customer : str
    key : dogwoodwheel.declaration.model.Key

    Returns
    -------
    str

    Raises
    ------
    DeclarationError
        If the customer is unknown or the result would have faults.
    """
    declaration = parse.parse(text)
    if customer not in declaration.customers:
        raise _fault("customers", f"no customer {customer!r}; see the text")
    item = _find(_root(text), "customers", customer)
    line = (
        f'{{name: "{key.name}", salt: "{key.salt}", digest: "{key.digest}"}}'
    )
    keys = _find(item, "keys")
    if keys is None:
        splice = _insert_field(text, item, f"keys: [{line}]")
    elif keys.flow_style:
        comma = ", " if keys.value else ""
        at = keys.start_mark.index + 1
        splice = Splice(at, at, line + comma)
    else:
        at = keys.start_mark.index
        indent = " " * keys.start_mark.column
        splice = Splice(at, at, f"- {line}\n{indent}")
    owner = declaration.customers[customer]
    owner = dataclasses.replace(owner, keys=owner.keys + (key,))
    customers = declaration.customers | {customer: owner}
    expected = dataclasses.replace(declaration, customers=customers)
    return _checked(_spliced(text, splice), expected)


def remove_key(text, name):
    """Remove a key, whichever customer has it.

    Parameters
    ----------
    text : str
    name : str
        Public name of the key.

    Returns
    -------
    str

    Raises
    ------
    DeclarationError
        If there is no such key.
    """
    declaration = parse.parse(text)
    for owner in declaration.customers.values():
        names = [key.name for key in owner.keys]
        if name in names:
            break
    else:
        raise _fault("customers", f"no key {name!r}; it may be withdrawn")
    item = _find(_root(text), "customers", owner.name)
    splices = _without(text, item, names.index(name))
    left = tuple(key for key in owner.keys if key.name != name)
    customers = dict(declaration.customers)
    customers[owner.name] = dataclasses.replace(owner, keys=left)
    expected = dataclasses.replace(declaration, customers=customers)
    return _checked(_spliced(text, *splices), expected)


def set_zone(text, name, state):
    """Take an availability zone out or in.

    Parameters
    ----------
    text : str
    name : str
    state : str
        ``in`` or ``out``.

    Returns
    -------
    str
        The same text where the zone has that state already.
    """
    declaration = parse.parse(text)
    if name not in declaration.zones:
        known = ", ".join(declaration.zones)
        raise _fault("zones", f"no zone {name!r}; name one of {known}")
    zone = declaration.zones[name]
    if zone.state == state:
        return text
    item = _find(_root(text), "zones", name)
    value = _find(item, "state")
    if value is None:
        splice = _insert_field(text, item, f"state: {state}")
    else:
        splice = Splice(value.start_mark.index, value.end_mark.index, state)
    zone = dataclasses.replace(zone, state=state)
    zones = declaration.zones | {name: zone}
    expected = dataclasses.replace(declaration, zones=zones)
    return _checked(_spliced(text, splice), expected)


def _fault(path, message):
    return exceptions.DeclarationError([check.Fault(0, path, message)])


def _root(text):
    return yaml.compose(text, Loader=parse.Loader)


def _find(node, *names):
    """Return the node below a map, or None."""
    for name in names:
        found = None
        for key, value in node.value:
            if key.value == name:
                found = value
        if found is None:
            return None
        node = found
    return node


def _insert_field(text, item, field):
    """Put a field first in a map that has others."""
    at = item.start_mark.index
    if item.flow_style:
        return Splice(at + 1, at + 1, f"{field}, ")
    indent = " " * item.start_mark.column
    return Splice(at, at, f"{field}\n{indent}")


def _without(text, item, number):
    """Return the splices that remove an element of a customer's keys."""
    keys = _find(item, "keys")
    element = keys.value[number]
    last = number == len(keys.value) - 1
    if keys.flow_style:
        start, end = element.start_mark.index, element.end_mark.index
        if not last:
            end = keys.value[number + 1].start_mark.index
        elif number:
            start = keys.value[number - 1].end_mark.index
        return [Splice(start, end, "")]
    start = _line_start(text, element.start_mark.index)
    end = _line_end(text, _leaf_end(element))
    splices = [Splice(start, end, "")]
    if last and not number:
        # A block list cannot be empty.
        name = next(key for key, value in item.value if value is keys)
        at = text.index(":", name.end_mark.index) + 1
        splices.insert(0, Splice(at, at, " []"))
    return splices


def _line_start(text, index):
    return text.rfind("\n", 0, index) + 1


def _line_end(text, index):
    end = text.find("\n", index)
    return len(text) if end < 0 else end + 1


def _leaf_end(node):
    """Return where a node's last scalar ends; comments follow it."""
    if isinstance(node, yaml.MappingNode) and not node.flow_style:
        return _leaf_end(node.value[-1][1])
    return node.end_mark.index


def _spliced(text, *splices):
    parts = []
    at = 0
    for splice in splices:
        parts += [text[at : splice.start], splice.text]
        at = splice.end
    return "".join(parts) + text[at:]


def _checked(text, expected):
    """Return an edited text that means what it should, or raise."""
    try:
        result = parse.parse(text)
    except exceptions.DeclarationError as exc:
        raise _fault(
            "text",
            f"cannot be changed line by line ({exc}); edit and apply it",
        ) from exc
    if _sorted(result) != _sorted(expected):
        raise _fault(
            "text", "cannot be changed line by line; edit and apply it"
        )
    return text


def _sorted(declaration):
    """Return a declaration with each customer's keys in one order."""
    customers = {
        name: dataclasses.replace(
            customer, keys=tuple(sorted(customer.keys, key=_key_name))
        )
        for name, customer in declaration.customers.items()
    }
    return dataclasses.replace(declaration, customers=customers)


def _key_name(key):
    return key.name
