"""Edit the configuration text in place, keeping comments and layout."""

import dataclasses

import yaml

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions

__all__ = ["add_key", "remove_key", "set_zone"]


@dataclasses.dataclass(frozen=True)
class Splice:
    """A replacement of one range of a text.

    Parameters
    ----------
    start, end : int
        Character indexes of the replaced range; ``end`` is exclusive.
    text : str
        Replacement.
    """

    start: int
    end: int
    text: str


def add_key(text, customer, key):
    """Add a key to a customer.

    Parameters
    ----------
    text : str
    customer : str
    key : dogwoodwheel.declaration.datatypes.Key

    Returns
    -------
    str

    Raises
    ------
    DeclarationError
        If the text has faults, the customer is unknown or the key
        cannot be added by an edit in place.
    """
    declaration = parse.parse(text)
    if customer not in declaration.customers:
        raise _declaration_error(
            "customers", f"no customer {customer!r}; see the text"
        )
    item_node = _find_node(_compose_root(text), "customers", customer)
    key_entry = (
        f'{{name: "{key.name}", salt: "{key.salt}", digest: "{key.digest}"}}'
    )
    keys = _find_node(item_node, "keys")
    if keys is None:
        splice = _insert_field(text, item_node, f"keys: [{key_entry}]")
    elif keys.flow_style:
        comma = ", " if keys.value else ""
        offset = keys.start_mark.index + 1
        splice = Splice(offset, offset, key_entry + comma)
    else:
        offset = keys.start_mark.index
        indent = " " * keys.start_mark.column
        splice = Splice(offset, offset, f"- {key_entry}\n{indent}")
    owner = declaration.customers[customer]
    owner = dataclasses.replace(owner, keys=owner.keys + (key,))
    customers = declaration.customers | {customer: owner}
    expected = dataclasses.replace(declaration, customers=customers)
    return _verify_edit(_apply_splices(text, splice), expected)


def remove_key(text, name):
    """Remove a key from the customer that has it.

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
        If the text has faults, no customer has the key or the key
        cannot be removed by an edit in place.
    """
    declaration = parse.parse(text)
    for owner in declaration.customers.values():
        names = [key.name for key in owner.keys]
        if name in names:
            break
    else:
        raise _declaration_error(
            "customers", f"no key {name!r}; it may be withdrawn"
        )
    item_node = _find_node(_compose_root(text), "customers", owner.name)
    splices = _removal_splices(text, item_node, names.index(name))
    remaining_keys = tuple(key for key in owner.keys if key.name != name)
    customers = dict(declaration.customers)
    customers[owner.name] = dataclasses.replace(owner, keys=remaining_keys)
    expected = dataclasses.replace(declaration, customers=customers)
    return _verify_edit(_apply_splices(text, *splices), expected)


def set_zone(text, name, state):
    """Set the state of an availability zone.

    Parameters
    ----------
    text : str
    name : str
    state : str
        ``in`` or ``out``.

    Returns
    -------
    str
        Unchanged if the zone already has the state.

    Raises
    ------
    DeclarationError
        If the text has faults, the zone is unknown or the state cannot
        be set by an edit in place.
    """
    declaration = parse.parse(text)
    if name not in declaration.zones:
        known = ", ".join(declaration.zones)
        raise _declaration_error(
            "zones", f"no zone {name!r}; name one of {known}"
        )
    zone = declaration.zones[name]
    if zone.state == state:
        return text
    item_node = _find_node(_compose_root(text), "zones", name)
    value = _find_node(item_node, "state")
    if value is None:
        splice = _insert_field(text, item_node, f"state: {state}")
    else:
        splice = Splice(value.start_mark.index, value.end_mark.index, state)
    zone = dataclasses.replace(zone, state=state)
    zones = declaration.zones | {name: zone}
    expected = dataclasses.replace(declaration, zones=zones)
    return _verify_edit(_apply_splices(text, splice), expected)


def _declaration_error(path, message):
    return exceptions.DeclarationError([check.Fault(0, path, message)])


def _compose_root(text):
    return yaml.compose(text, Loader=parse.Loader)


def _find_node(node, *names):
    """Return the node at a path of map keys, or None if it is absent."""
    for name in names:
        child = None
        for key, value in node.value:
            if key.value == name:
                child = value
        if child is None:
            return None
        node = child
    return node


def _insert_field(text, item_node, field):
    """Return a splice that inserts a field at the start of a non-empty map."""
    offset = item_node.start_mark.index
    if item_node.flow_style:
        return Splice(offset + 1, offset + 1, f"{field}, ")
    indent = " " * item_node.start_mark.column
    return Splice(offset, offset, f"{field}\n{indent}")


def _removal_splices(text, item_node, position):
    """Return the splices that remove one of a customer's keys."""
    keys = _find_node(item_node, "keys")
    element = keys.value[position]
    is_last = position == len(keys.value) - 1
    if keys.flow_style:
        start, end = element.start_mark.index, element.end_mark.index
        if not is_last:
            end = keys.value[position + 1].start_mark.index
        elif position:
            start = keys.value[position - 1].end_mark.index
        return [Splice(start, end, "")]
    start = _line_start(text, element.start_mark.index)
    end = _line_end(text, _last_scalar_end(element))
    splices = [Splice(start, end, "")]
    if is_last and not position:
        # A block list cannot be empty: write [] in place of the last key.
        name = next(key for key, value in item_node.value if value is keys)
        offset = text.index(":", name.end_mark.index) + 1
        splices.insert(0, Splice(offset, offset, " []"))
    return splices


def _line_start(text, index):
    return text.rfind("\n", 0, index) + 1


def _line_end(text, index):
    end = text.find("\n", index)
    return len(text) if end < 0 else end + 1


def _last_scalar_end(node):
    """Return the index of the end of a node's last value.

    YAML's end mark of a block map may lie behind comments that follow the
    map; an edit must not remove these comments.
    """
    if isinstance(node, yaml.MappingNode) and not node.flow_style:
        return _last_scalar_end(node.value[-1][1])
    return node.end_mark.index


def _apply_splices(text, *splices):
    pieces = []
    offset = 0
    for splice in splices:
        pieces += [text[offset : splice.start], splice.text]
        offset = splice.end
    return "".join(pieces) + text[offset:]


def _verify_edit(text, expected):
    """Return the edited text if it parses to the expected declaration.

    Raises
    ------
    DeclarationError
        If the text has faults or parses to another declaration.
    """
    try:
        edited = parse.parse(text)
    except exceptions.DeclarationError as exc:
        raise _declaration_error(
            "text",
            f"cannot be changed line by line ({exc}); edit and apply it",
        ) from exc
    if _with_sorted_keys(edited) != _with_sorted_keys(expected):
        raise _declaration_error(
            "text", "cannot be changed line by line; edit and apply it"
        )
    return text


def _with_sorted_keys(declaration):
    """Return a declaration with each customer's keys sorted by name."""
    customers = {
        name: dataclasses.replace(
            customer, keys=tuple(sorted(customer.keys, key=_key_name))
        )
        for name, customer in declaration.customers.items()
    }
    return dataclasses.replace(declaration, customers=customers)


def _key_name(key):
    return key.name
