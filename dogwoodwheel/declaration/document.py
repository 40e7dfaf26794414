"""Generate docs/CONFIGURATION.md from the schema and its docstrings.

Run ``python -m dogwoodwheel.declaration.document > docs/CONFIGURATION.md``.
"""

import dataclasses
import inspect
import re

from dogwoodwheel.declaration import datatypes
from dogwoodwheel.declaration import schema

__all__ = ["main", "text"]


def _code_list(names):
    return ", ".join(f"`{name}`" for name in names)


SINGLE_ITEMS = ("weight_store", *schema.TOP_LEVEL_SCALARS)
INTRODUCTION = f"""\
# The operators' text

Written by `python -m dogwoodwheel.declaration.document`; do not edit.

One YAML text declares the whole fleet. `dogwoodwheel check FILE` lists
every fault in it at once, with its line and its remedy; a field that is
not listed here is a fault. The text is UTF-8 and at most
{schema.MAX_TEXT_BYTES // 2**20} MiB; aliases (`*name`) are refused.
Two whole texts stand in `examples/`.

At the top stand maps from a name to that item's fields:

{_code_list(schema.SECTIONS)}

and the single items {_code_list(SINGLE_ITEMS)}. Of these
{_code_list(schema.REQUIRED_SECTIONS)} must be there, if need
be as `{{}}`: a text that was cut short must not pass for one that
removes every customer.

A name has letters, digits and `. _ : / @ -`, a letter or digit first,
and at most {schema.MAX_NAME_LENGTH} characters.
"""
ELEMENT_TABLES = {
    "services": (
        "An element of `open_routes` and of `once_routes`",
        "open_routes",
        datatypes.Route,
    ),
    "customers": ("An element of `keys`", "keys", datatypes.Key),
}
TABLE_HEADER = ("| field | type | default | meaning |", "|---|---|---|---|")
RULES_SECTION = """\
## Rules between the parts

- What an item names must be declared: zone and service of an endpoint,
  service of a model, base of an adapter, priority of a customer, what a
  service depends on. No service may depend on itself by any way.
- No two endpoints have one address, no two keys one name, and no
  adapter has the name of a model.
- A model belongs to a service of kind `models`, and with its adapter it
  must fit on an endpoint of that service if the service has any.
- `open_routes` and `once_routes` are for services of kind `plain`.
- Once a text is applied, `partitions` stays as it is.
- `deadline_s` is at most `max_deadline_s`, `fresh_concurrency` at most
  `concurrency`, and an endpoint of a service of kind `models` has memory.
"""
DEFAULT_CLASSES = (
    "Where `classes` is absent it has "
    + ", ".join(
        f"`{name}` (rank {rank})"
        for name, rank in schema.DEFAULT_CLASSES.items()
    )
    + ".\n"
)


def text():
    """Return the page as Markdown.

    Examples
    --------
    >>> "## customers" in text()
    True
    """
    parts = [INTRODUCTION]
    for section, kind in schema.SECTIONS.items():
        page = _section(section, kind, named=True)
        parts.append(page + _element_table(section))
    parts.append(DEFAULT_CLASSES)
    parts.append(_section("weight_store", datatypes.WeightStore, named=False))
    parts.append(_scalar_table())
    parts.append(RULES_SECTION)
    return "\n".join(parts)


def _scalar_table():
    """Return the table of the scalar values at the top level."""
    descriptions = _field_descriptions(datatypes.Declaration)
    fields = schema.fields_of(datatypes.Declaration)
    rows = [
        _table_row(name, fields[name], descriptions, name)
        for name in schema.TOP_LEVEL_SCALARS
    ]
    return "\n".join(["## Single values\n", *TABLE_HEADER, *rows]) + "\n"


def _element_table(section):
    """Return the table for the elements of a section's list field.

    Empty if the section has no list of items.
    """
    if section not in ELEMENT_TABLES:
        return ""
    title, field, kind = ELEMENT_TABLES[section]
    table = _table(f"{section}.{field}", kind, named=False)
    return f"\n### {title}\n\n{table}"


def _section(section, kind, named):
    summary = inspect.getdoc(kind).splitlines()[0]
    return f"## {section}\n\n{summary}\n\n" + _table(section, kind, named)


def _table(prefix, kind, named):
    descriptions = _field_descriptions(kind)
    rows = [
        _table_row(name, field, descriptions, f"{prefix}.{name}")
        for name, field in schema.fields_of(kind, named).items()
    ]
    return "\n".join([*TABLE_HEADER, *rows]) + "\n"


def _table_row(name, field, descriptions, path):
    meaning = " ".join(
        filter(None, [descriptions.get(name), _bounds_text(path)])
    )
    cells = [f"`{name}`", _type_name(field), _default_text(field), meaning]
    return "| " + " | ".join(cells) + " |"


def _field_descriptions(kind):
    """Return the descriptions of fields in a data class's docstring."""
    lines = inspect.getdoc(kind).splitlines()
    descriptions = {}
    names = ()
    for line in lines[2:]:
        field_line = re.fullmatch(r"(\w[\w, ]*) : .*", line)
        if field_line:
            names = field_line[1].split(", ")
        elif line.startswith("    "):
            for name in names:
                descriptions[name] = (
                    f"{descriptions.get(name, '')} {line.strip()}".strip()
                )
    return {
        name: description.replace("``", "`")
        for name, description in descriptions.items()
    }


def _type_name(field):
    if field.type is tuple:
        kind = schema.LIST_ELEMENT_TYPES[field.name]
        inner = "names" if kind is str else "maps"
        return f"list of {inner}"
    return {"str": "text", "int": "whole number", "float": "number"}.get(
        field.type.__name__, "true or false"
    )


def _default_text(field):
    if field.default is dataclasses.MISSING:
        return "required"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return "`[]`" if field.default == () else str(field.default)


def _bounds_text(path):
    rule = schema.rule_of(path)
    bounds = []
    if rule.minimum is not None:
        bounds.append(f"At least {rule.minimum}")
    if rule.maximum is not None:
        bounds.append(f"At most {rule.maximum}")
    if rule.exclusive_minimum is not None:
        bounds.append(f"Above {rule.exclusive_minimum}")
    if rule.value_format == "key":
        bounds.append("Lower-case letters and digits")
    if rule.value_format == "salt":
        bounds.append(f"At least {schema.MIN_SALT_DIGITS} digits")
    return " ".join(f"{bound}." for bound in bounds)


def main():
    """Print the page to standard output."""
    print(text(), end="")


if __name__ == "__main__":
    main()
