"""Write docs/CONFIGURATION.md from the declaration's own rules.

Run ``python -m dogwoodwheel.declaration.document > docs/CONFIGURATION.md``.
"""

import dataclasses
import inspect
import re

from dogwoodwheel.declaration import model
from dogwoodwheel.declaration import schema

__all__ = ["main", "text"]


def _listed(names):
    return ", ".join(f"`{name}`" for name in names)


SINGLE = ("weight_store", *schema.SCALARS)
HEAD = f"""\
# The operators' text

Written by `python -m dogwoodwheel.declaration.document`; do not edit.

One YAML text declares the whole fleet. `dogwoodwheel check FILE` lists
every fault in it at once, with its line and its remedy; a field that is
not listed here is a fault. The text is UTF-8 and at most
{schema.MAX_TEXT_BYTES // 2**20} MiB; aliases (`*name`) are refused.
Two whole texts stand in `examples/`.

At the top stand maps from a name to that item's fields:

{_listed(schema.SECTIONS)}

and the single items {_listed(SINGLE)}. Of these
{_listed(schema.REQUIRED)} must be there, if need
be as `{{}}`: a text that was cut short must not pass for one that
removes every customer.

A name has letters, digits and `. _ : / @ -`, a letter or digit first,
and at most {schema.MAX_NAME_LENGTH} characters.
"""
ELEMENTS = {
    "services": (
        "An element of `open_routes` and of `once_routes`",
        "open_routes",
        model.Route,
    ),
    "customers": ("An element of `keys`", "keys", model.Key),
}
HEADER = ("| field | type | default | meaning |", "|---|---|---|---|")
RULES = """\
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
    """Return the whole page, as Markdown.

    Examples
    --------
    >>> "## customers" in text()
    True
    """
    parts = [HEAD]
    for section, kind in schema.SECTIONS.items():
        page = _section(section, kind, named=True)
        parts.append(page + _elements(section))
    parts.append(DEFAULT_CLASSES)
    parts.append(_section("weight_store", model.WeightStore, named=False))
    parts.append(_scalars())
    parts.append(RULES)
    return "\n".join(parts)


def _scalars():
    """Return the table of what stands alone at the top."""
    told = _told(model.Declaration)
    fields = schema.fields_of(model.Declaration)
    rows = [_row(name, fields[name], told, name) for name in schema.SCALARS]
    return "\n".join(["## Single values\n", *HEADER, *rows]) + "\n"


def _elements(section):
    """Return the table of what stands in a section's lists, if any."""
    if section not in ELEMENTS:
        return ""
    title, field, kind = ELEMENTS[section]
    table = _table(f"{section}.{field}", kind, named=False)
    return f"\n### {title}\n\n{table}"


def _section(section, kind, named):
    summary = inspect.getdoc(kind).splitlines()[0]
    return f"## {section}\n\n{summary}\n\n" + _table(section, kind, named)


def _table(prefix, kind, named):
    told = _told(kind)
    rows = [
        _row(name, field, told, f"{prefix}.{name}")
        for name, field in schema.fields_of(kind, named).items()
    ]
    return "\n".join([*HEADER, *rows]) + "\n"


def _row(name, field, told, path):
    meaning = " ".join(filter(None, [told.get(name), _bound(path)]))
    cells = [f"`{name}`", _type(field), _default(field), meaning]
    return "| " + " | ".join(cells) + " |"


def _told(kind):
    """Return what the docstring of a data class says of its fields."""
    lines = inspect.getdoc(kind).splitlines()
    told = {}
    names = ()
    for line in lines[2:]:
        head = re.fullmatch(r"(\w[\w, ]*) : .*", line)
        if head:
            names = head[1].split(", ")
        elif line.startswith("    "):
            for name in names:
                told[name] = f"{told.get(name, '')} {line.strip()}".strip()
    return {name: words.replace("``", "`") for name, words in told.items()}


def _type(field):
    if field.type is tuple:
        kind = schema.ELEMENTS[field.name]
        inner = "names" if kind is str else "maps"
        return f"list of {inner}"
    return {"str": "text", "int": "whole number", "float": "number"}.get(
        field.type.__name__, "true or false"
    )


def _default(field):
    if field.default is dataclasses.MISSING:
        return "required"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return "`[]`" if field.default == () else str(field.default)


def _bound(path):
    rule = schema.rule_of(path)
    bounds = []
    if rule.least is not None:
        bounds.append(f"At least {rule.least}")
    if rule.most is not None:
        bounds.append(f"At most {rule.most}")
    if rule.above is not None:
        bounds.append(f"Above {rule.above}")
    if rule.form == "key":
        bounds.append("Lower-case letters and digits")
    if rule.form == "salt":
        bounds.append(f"At least {schema.MIN_SALT_DIGITS} digits")
    return " ".join(f"{bound}." for bound in bounds)


def main():
    """Print the page."""
    print(text(), end="")


if __name__ == "__main__":
    main()
