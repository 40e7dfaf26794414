"""Differences between two versions of the configuration text."""

import dataclasses
import functools

from dogwoodwheel.declaration import datatypes
from dogwoodwheel.declaration import schema

__all__ = ["Change", "compare"]


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference between two declarations.

    Parameters
    ----------
    path : str
        Names from the top level to the value, joined by dots.
    old, new : str
        Formatted values; empty if the item does not exist.

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
    """Return the differences between two declarations.

    Parameters
    ----------
    old, new : dogwoodwheel.declaration.datatypes.Declaration

    Returns
    -------
    tuple of Change
        In the order of `schema.SECTIONS`, then by item name; single
        values come last.

    Notes
    -----
    The time is linear in the size of both declarations, apart from
    sorting the names.
    """
    changes = []
    for section in schema.SECTIONS:
        changes += _compare_items(
            section, getattr(old, section), getattr(new, section)
        )
    changes += _compare_fields(
        "weight_store", old.weight_store, new.weight_store
    )
    for name in schema.TOP_LEVEL_SCALARS:
        old_value, new_value = getattr(old, name), getattr(new, name)
        if old_value != new_value:
            changes.append(Change(name, str(old_value), str(new_value)))
    return tuple(changes)


def _compare_items(section, old, new):
    changes = []
    for name in sorted(set(old) | set(new)):
        path = f"{section}.{name}"
        if name not in old:
            changes.append(Change(path, "", format_value(new[name])))
        elif name not in new:
            changes.append(Change(path, format_value(old[name]), ""))
        elif old[name] != new[name]:
            changes += _compare_fields(path, old[name], new[name])
    return changes


def _compare_fields(path, old, new):
    changes = []
    for field in dataclasses.fields(old):
        old_value = getattr(old, field.name)
        new_value = getattr(new, field.name)
        if old_value != new_value:
            field_path = f"{path}.{field.name}"
            changes.append(
                Change(
                    field_path,
                    format_value(old_value),
                    format_value(new_value),
                )
            )
    return changes


@functools.singledispatch
def format_value(value):
    """Return a declaration's value, written as in the configuration text."""
    fields = [
        f"{field.name}: {format_value(getattr(value, field.name))}"
        for field in dataclasses.fields(value)
        if field.name != "name"
    ]
    return "{" + ", ".join(fields) + "}"


@format_value.register(str)
@format_value.register(int)
@format_value.register(float)
def _(value):
    return str(value)


@format_value.register
def _(value: bool):
    return "true" if value else "false"


@format_value.register
def _(value: tuple):
    return "[" + ", ".join(format_value(item) for item in value) + "]"


@format_value.register
def _(value: datatypes.Key):
    # The first digits are enough: a new secret has a new key name, and
    # operators make no use of the digest.
    return f"{value.name} ({value.digest[:8]})"


@format_value.register
def _(value: datatypes.Route):
    return f"{value.method} {value.path}"
