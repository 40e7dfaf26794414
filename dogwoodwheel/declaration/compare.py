"""Differences between two versions of the operators' text."""

import dataclasses
import functools

from dogwoodwheel.declaration import model
from dogwoodwheel.declaration import schema

__all__ = ["Change", "compare"]


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference.

    Parameters
    ----------
    path : str
        Names from the top of the text, joined by dots.
    old, new : str
        Values as shown; empty where the item is absent.

    Examples
    --------
    >>> print(Change("zones.a.state", "in", "out"))
    ~ zones.a.state: in -> out
    """

    path: str
    old: str
    new: str

    def __str__(self):
        if not self.old:
            return f"+ {self.path}: {self.new}"
        if not self.new:
            return f"- {self.path}: {self.old}"
        return f"~ {self.path}: {self.old} -> {self.new}"


def compare(old, new):
    """Return what a new declaration changes.

    Parameters
    ----------
    old, new : dogwoodwheel.declaration.model.Declaration

    Returns
    -------
    tuple of Change
        In the order of the text's sections, then by name.

    Notes
    -----
    Linear in the size of both.
    """
    changes = []
    for section in schema.SECTIONS:
        changes += _items(
            section, getattr(old, section), getattr(new, section)
        )
    changes += _fields("weight_store", old.weight_store, new.weight_store)
    for name in schema.SCALARS:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            changes.append(Change(name, str(before), str(after)))
    return tuple(changes)


def _items(section, old, new):
    changes = []
    for name in sorted(set(old) | set(new)):
        path = f"{section}.{name}"
        if name not in old:
            changes.append(Change(path, "", shown(new[name])))
        elif name not in new:
            changes.append(Change(path, shown(old[name]), ""))
        elif old[name] != new[name]:
            changes += _fields(path, old[name], new[name])
    return changes


def _fields(path, old, new):
    changes = []
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            place = f"{path}.{field.name}"
            changes.append(Change(place, shown(before), shown(after)))
    return changes


@functools.singledispatch
def shown(value):
    """Return a value of a declaration as operators read it."""
    fields = [
        f"{field.name}: {shown(getattr(value, field.name))}"
        for field in dataclasses.fields(value)
        if field.name != "name"
    ]
    return "{" + ", ".join(fields) + "}"


@shown.register(str)
@shown.register(int)
@shown.register(float)
def _(value):
    return str(value)


@shown.register
def _(value: bool):
    return "true" if value else "false"


@shown.register
def _(value: tuple):
    return "[" + ", ".join(shown(item) for item in value) + "]"


@shown.register
def _(value: model.Key):
    # The hash tells an operator nothing; a new one has a new name.
    return f"{value.name} ({value.digest[:8]})"


@shown.register
def _(value: model.Route):
    return f"{value.method} {value.path}"
