"""Parse the configuration text into a validated declaration."""

import yaml

from dogwoodwheel.declaration import check
from dogwoodwheel.declaration import datatypes
from dogwoodwheel.declaration import nodes
from dogwoodwheel.declaration import scalars
from dogwoodwheel.declaration import schema
from dogwoodwheel import exceptions

__all__ = ["parse"]

Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
TOP_LEVEL_NAMES = (
    tuple(schema.SECTIONS)
    + ("weight_store",)
    + tuple(schema.TOP_LEVEL_SCALARS)
)


def parse(text):
    """Return the declaration that a configuration text describes.

    Parameters
    ----------
    text : str
        Configuration text, in YAML.

    Returns
    -------
    dogwoodwheel.declaration.datatypes.Declaration

    Raises
    ------
    DeclarationError
        Contains every fault of the text, ordered by line.

    Notes
    -----
    The time is linear in the length of the text.  Aliases are refused,
    because nested aliases could expand without limit.

    Examples
    --------
    >>> from dogwoodwheel import exceptions
    >>> try:
    ...     parse("zones: {a: {regoin: b}}")
    ... except exceptions.DeclarationError as exc:
    ...     print(exc.faults[0])
    line 1: customers: is missing; add it, if need be as {}
    """
    reader = nodes.NodeReader()
    root = _compose(text)
    given_pairs = reader.read_pairs(root, ())
    pairs = reader.select_known(given_pairs, (), TOP_LEVEL_NAMES)
    for name in schema.REQUIRED_SECTIONS:
        if given_pairs and name not in pairs:
            reader.add_fault(
                root, (name,), "is missing; add it, if need be as {}"
            )
    declaration = _read_declaration(reader, pairs)
    faults = reader.faults + list(check.check(declaration, reader.lines))
    if faults:
        raise exceptions.DeclarationError(sorted(faults))
    return declaration


def _compose(text):
    size = len(text.encode("utf-8", "replace"))
    if size > schema.MAX_TEXT_BYTES:
        message = (
            f"is {size} bytes long, above {schema.MAX_TEXT_BYTES}; shorten it"
        )
        raise exceptions.DeclarationError([check.Fault(1, "text", message)])
    loader = None
    try:
        loader = Loader(text)
        root = loader.get_single_node()
    except (yaml.YAMLError, RecursionError) as exc:
        raise exceptions.DeclarationError([_yaml_fault(exc)]) from exc
    finally:
        if loader is not None:
            loader.dispose()
    if root is None:
        message = "is empty; an example is examples/frostline.yaml"
        raise exceptions.DeclarationError([check.Fault(1, "text", message)])
    return root


def _yaml_fault(exc):
    mark = getattr(exc, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(exc, "problem", None) or str(exc)
    problem = " ".join(problem.split())
    return check.Fault(line, "text", f"is no YAML: {problem}; mend it")


def _read_declaration(reader, pairs):
    sections = {
        section: _read_section(reader, pairs, section, kind)
        for section, kind in schema.SECTIONS.items()
    }
    if "classes" not in pairs:
        sections["classes"] = {
            name: datatypes.PriorityClass(name, rank)
            for name, rank in schema.DEFAULT_CLASSES.items()
        }
    single_items = {}
    if "weight_store" in pairs:
        single_items["weight_store"] = reader.read_item(
            pairs["weight_store"][1],
            ("weight_store",),
            datatypes.WeightStore,
            "weight_store",
        )
    for name, kind in schema.TOP_LEVEL_SCALARS.items():
        if name in pairs:
            single_items[name] = reader.read_value(
                pairs[name][1], (name,), kind, name
            )
    return datatypes.Declaration(**sections, **single_items)


def _read_section(reader, pairs, section, kind):
    if section not in pairs:
        return {}
    items = {}
    location = (section,)
    for name, (key, node) in reader.read_pairs(
        pairs[section][1], location
    ).items():
        if not scalars.has_format(name, "name"):
            reader.add_fault(
                key,
                location + (name[:40],),
                f"is no name; {scalars.FORMAT_HINTS['name']}",
            )
        items[name] = reader.read_item(
            node, location + (name,), kind, section, name
        )
    return items
