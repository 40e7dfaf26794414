"""Read typed values from YAML nodes and record faults with their lines."""

import dataclasses
import difflib

import yaml

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import scalars
from dogwoodwheel.declaration import schema

__all__ = ["NodeReader"]


class NodeReader:
    """Reads typed values from the nodes of one text and records faults.

    A location is the tuple of names and list indexes from the top level
    to a value.

    Attributes
    ----------
    faults : list of dogwoodwheel.declaration.check.Fault
    lines : dict of tuple to int
        Line number of each location that was read, from 1.
    """

    def __init__(self):
        self.faults = []
        self.lines = {}
        self._visited_ids = set()

    def add_fault(self, node, location, message):
        """Record a fault with the line of a node."""
        path = ".".join(str(name) for name in location) or "text"
        line = node.start_mark.line + 1
        self.faults.append(check.Fault(line, path, message))

    def read_pairs(self, node, location):
        """Return the nodes of a map as {name: (key node, value node)}.

        If the node is not a map, a fault is recorded and the result is
        empty. A key that is a duplicate or not a scalar is left out, and
        a fault is recorded.
        """
        if not isinstance(node, yaml.MappingNode):
            self.add_fault(
                node, location, "is not a map; write name: value lines"
            )
            return {}
        if self._reject_alias(node, location):
            return {}
        nodes_by_name = {}
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                self.add_fault(
                    key, location, "has a key that is no text; mend it"
                )
            elif key.value in nodes_by_name:
                first = nodes_by_name[key.value][0].start_mark.line + 1
                self.add_fault(
                    key,
                    location + (key.value,),
                    f"stands on line {first} already; remove one of both",
                )
            else:
                self.lines[location + (key.value,)] = key.start_mark.line + 1
                nodes_by_name[key.value] = (key, value)
        return nodes_by_name

    def select_known(self, pairs, location, names):
        """Return the pairs with known names; record a fault for each other."""
        for name, (key, _) in pairs.items():
            if name not in names:
                self.add_fault(
                    key, location + (name,), _unknown_name_message(name, names)
                )
        return {name: pair for name, pair in pairs.items() if name in names}

    def read_item(self, node, location, kind, prefix, name=None):
        """Return an item as an instance of a data class.

        A field with a fault is None.

        Parameters
        ----------
        node : yaml.Node
        location : tuple
        kind : type
            The data class.
        prefix : str
            Prefix of the item's fields in `schema.RULES`.
        name : str, optional
            Name of the item, if it is the item's key in its map.
        """
        fields = schema.fields_of(kind, named=name is not None)
        given_pairs = self.read_pairs(node, location)
        pairs = self.select_known(given_pairs, location, fields)
        values = {} if name is None else {"name": name}
        for field, spec in fields.items():
            child_location = location + (field,)
            if field in pairs:
                values[field] = self.read_value(
                    pairs[field][1],
                    child_location,
                    spec.type,
                    f"{prefix}.{field}",
                )
            elif spec.default is dataclasses.MISSING:
                values[field] = None
                if given_pairs and not _is_misspelling(
                    field, given_pairs, fields
                ):
                    self.add_fault(node, child_location, "is missing; add it")
        if not given_pairs:
            self._check_not_empty(node, location)
        return kind(**values)

    def _check_not_empty(self, node, location):
        # A node that is not a map, or is an alias, already has a fault.
        if isinstance(node, yaml.MappingNode) and not node.value:
            self.add_fault(node, location, "is empty; give its fields")

    def read_value(self, node, location, kind, path):
        """Return a value of a type, or record a fault and return None.

        Parameters
        ----------
        kind : type
            ``str``, ``int``, ``float``, ``bool`` or ``tuple``.
        path : str
            Path of the value's rule in `schema.RULES`.
        """
        if kind is tuple:
            return self._elements(node, location, path)
        if self._reject_alias(node, location):
            return None
        if not isinstance(node, yaml.ScalarNode):
            self.add_fault(
                node,
                location,
                f"is not a single value; give {scalars.describe_type(kind)}",
            )
            return None
        result = scalars.parse_scalar(kind(), node)
        if result is None:
            self.add_fault(
                node, location, scalars.type_error_message(node, kind)
            )
            return None
        message = scalars.rule_violation(schema.rule_of(path), result)
        if message:
            self.add_fault(node, location, message)
            return None
        return result

    def _elements(self, node, location, path):
        if not isinstance(node, yaml.SequenceNode):
            self.add_fault(node, location, "is not a list; write it as [..]")
            return None
        if self._reject_alias(node, location):
            return None
        kind = schema.LIST_ELEMENT_TYPES[location[-1]]
        elements = []
        for i, element in enumerate(node.value):
            child_location = location + (i,)
            self.lines[child_location] = element.start_mark.line + 1
            if kind is str:
                elements.append(
                    self.read_value(element, child_location, str, path)
                )
            else:
                elements.append(
                    self.read_item(element, child_location, kind, path)
                )
        return tuple(elements)

    def _reject_alias(self, node, location):
        # Nested aliases could expand a short text without limit.
        if id(node) in self._visited_ids:
            self.add_fault(node, location, "is used by an alias; write it out")
            return True
        self._visited_ids.add(id(node))
        return False


def _unknown_name_message(name, names):
    matches = difflib.get_close_matches(name, list(names), 1)
    if matches:
        return f"is not known; did you mean {matches[0]!r}?"
    return f"is not known; remove it, or use one of {', '.join(names)}"


def _is_misspelling(field, given_pairs, fields):
    """Return whether an unknown name looks like this field misspelt."""
    return any(
        name not in fields
        and difflib.get_close_matches(name, list(fields), 1) == [field]
        for name in given_pairs
    )
