"""What the operators' command line prints."""

import json
import sys

__all__ = ["columns", "error", "explained", "result", "status"]


def result(data, lines, as_json):
    """Print a result, for a script or for a person.

    Parameters
    ----------
    data : dict
        Ready for JSON.
    lines : sequence of str
    as_json : bool
    """
    if as_json:
        print(json.dumps(data))
        return
    for line in lines:
        print(line)


def error(exc, code, as_json):
    """Print an error on standard error; as JSON on standard output."""
    faults = getattr(exc, "faults", ())
    if as_json:
        shown = [str(fault) for fault in faults]
        print(json.dumps({"error": str(exc), "faults": shown, "exit": code}))
        return
    print(exc, file=sys.stderr)


def columns(rows):
    """Return rows of texts as lines with aligned columns.

    Examples
    --------
    >>> columns([("a", "bb"), ("ccc", "d")])
    ['a    bb', 'ccc  d']
    """
    if not rows:
        return []
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return lines


def status(current, answers, down):
    """Return the lines of ``dogwoodwheel status``.

    Parameters
    ----------
    current : dogwoodwheel.programs.cli_store.Accepted
    answers : sequence of dogwoodwheel.programs.cli_entries.Answer
    down : set of str
        Entries that the others take for gone.
    """
    rows = [("ENTRY", "ZONE", "VERSION", "SHARES", "ENDPOINTS", "STATE")]
    for answer in answers:
        rows.append(_entry_row(answer, answer.entry in down))
    lines = [f"accepted: {current}", "", *columns(rows)]
    lines += _section("ENDPOINT", "endpoints", answers)
    lines += _section("CUSTOMER", "customers", answers)
    return lines


def _entry_row(answer, down):
    body = answer.body
    if not body:
        state = "down" if down else f"no answer: {answer.error}"
        return (answer.entry, "-", "-", "-", "-", state)
    return (
        answer.entry,
        str(body.get("zone", "-")),
        str(body["version"]),
        str(body.get("shares", "-")),
        str(len(body["endpoints"])),
        _state(body),
    )


def _state(body):
    if body["leaving"]:
        return "leaving"
    if not body.get("config_usable", True):
        return "refuses keyed work: does not know the newest version"
    return "live"


def _section(title, field, answers):
    """Return a table of what each entry says of its items."""
    rows = [
        (str(name), answer.entry, _flat(item, name))
        for answer in answers
        for name, item in sorted(_named(answer.body.get(field)).items())
    ]
    if not rows:
        return []
    return ["", *columns([(title, "ENTRY", "STATE"), *sorted(rows)])]


def _named(items):
    """Return items by name, whether they came by name or in a list."""
    if isinstance(items, dict):
        return items
    return {item["name"]: item for item in items or ()}


def _flat(item, name=None):
    """Return an item of a status on one line, without its own name."""
    if not isinstance(item, dict):
        return str(item)
    return " ".join(
        f"{field}={_short(value)}"
        for field, value in item.items()
        if value != name
    )


def _short(value):
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, (list, tuple)):
        return ",".join(_short(item) for item in value) or "-"
    if isinstance(value, dict):
        return "{" + _flat(value) + "}" if value else "-"
    return str(value) or "-"


def explained(body):
    """Return the lines of ``dogwoodwheel explain``."""
    return [f"{name}: {_short(value)}" for name, value in body.items()]
