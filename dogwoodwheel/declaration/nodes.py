"""Read typed values from YAML nodes, and note every fault with its line."""

import dataclasses
import difflib

import yaml

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import scalars
from dogwoodwheel.declaration import schema

__all__ = ["Reader"]


class Reader:
    """Typed values of one text, with the faults met on the way.

    Attributes
    ----------
    faults : list of dogwoodwheel.declaration.check.Fault
    lines : dict of tuple to int
        Line of each place that was read.
    """

    def __init__(self):
        self.faults = []
        self.lines = {}
        self._seen = set()

    def fault(self, node, place, message):
        """Note a fault at a node."""
        path = ".".join(str(name) for name in place) or "text"
        line = node.start_mark.line + 1
        self.faults.append(check.Fault(line, path, message))

    def pairs(self, node, place):
        """Return the nodes of a map as {name: (key node, value node)}."""
        if not isinstance(node, yaml.MappingNode):
            self.fault(node, place, "is not a map; write name: value lines")
            return {}
        if self._is_alias(node, place):
            return {}
        found = {}
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                self.fault(key, place, "has a key that is no text; mend it")
            elif key.value in found:
                first = found[key.value][0].start_mark.line + 1
                self.fault(
                    key,
                    place + (key.value,),
                    f"stands on line {first} already; remove one of both",
                )
            else:
                self.lines[place + (key.value,)] = key.start_mark.line + 1
                found[key.value] = (key, value)
        return found

    def known(self, pairs, place, names):
        """Return the pairs of known names; the others are faults."""
        for name, (key, _) in pairs.items():
            if name not in names:
                self.fault(key, place + (name,), _unknown(name, names))
        return {name: pair for name, pair in pairs.items() if name in names}

    def item(self, node, place, kind, prefix, name=None):
        """Return an item of a data class; None for what is faulty.

        Parameters
        ----------
        node : yaml.Node
        place : tuple
        kind : type
        prefix : str
            Place of the item's fields in `schema.RULES`.
        name : str, optional
            Name of the item where its key in a map gives it.
        """
        fields = schema.fields_of(kind, named=name is not None)
        given = self.pairs(node, place)
        pairs = self.known(given, place, fields)
        values = {} if name is None else {"name": name}
        for field, spec in fields.items():
            where = place + (field,)
            if field in pairs:
                values[field] = self.value(
                    pairs[field][1], where, spec.type, f"{prefix}.{field}"
                )
            elif spec.default is dataclasses.MISSING:
                values[field] = None
                if given and not _misspelt(field, given, fields):
                    self.fault(node, where, "is missing; add it")
        if not given:
            self._no_fields(node, place)
        return kind(**values)

    def _no_fields(self, node, place):
        # What is no map, or an alias, has its fault already.
        if isinstance(node, yaml.MappingNode) and not node.value:
            self.fault(node, place, "is empty; give its fields")

    def value(self, node, place, kind, path):
        """Return a value of a kind, or None after noting its fault.

        Parameters
        ----------
        kind : type
            ``str``, ``int``, ``float``, ``bool`` or ``tuple``.
        path : str
            Path of its rule.
        """
        if kind is tuple:
            return self._elements(node, place, path)
        if self._is_alias(node, place):
            return None
        if not isinstance(node, yaml.ScalarNode):
            self.fault(
                node,
                place,
                f"is not a single value; give {scalars.wanted(kind)}",
            )
            return None
        result = scalars.value_of(kind(), node)
        if result is None:
            self.fault(node, place, scalars.mistyped(node, kind))
            return None
        message = scalars.broken(schema.rule_of(path), result)
        if message:
            self.fault(node, place, message)
            return None
        return result

    def _elements(self, node, place, path):
        if not isinstance(node, yaml.SequenceNode):
            self.fault(node, place, "is not a list; write it as [..]")
            return None
        if self._is_alias(node, place):
            return None
        kind = schema.ELEMENTS[place[-1]]
        elements = []
        for i, element in enumerate(node.value):
            where = place + (i,)
            self.lines[where] = element.start_mark.line + 1
            if kind is str:
                elements.append(self.value(element, where, str, path))
            else:
                elements.append(self.item(element, where, kind, path))
        return tuple(elements)

    def _is_alias(self, node, place):
        # Aliases let a short text stand for an endless one.
        if id(node) in self._seen:
            self.fault(node, place, "is used by an alias; write it out")
            return True
        self._seen.add(id(node))
        return False


def _unknown(name, names):
    near = difflib.get_close_matches(name, list(names), 1)
    if near:
        return f"is not known; did you mean {near[0]!r}?"
    return f"is not known; remove it, or use one of {', '.join(names)}"


def _misspelt(field, given, fields):
    """Tell whether an unknown name was reported as this field's."""
    return any(
        name not in fields
        and difflib.get_close_matches(name, list(fields), 1) == [field]
        for name in given
    )
