"""Formatting and printing of the results of the operators' commands."""

import json
import sys

__all__ = [
    "align_columns",
    "explain_lines",
    "print_error",
    "print_result",
    "status_lines",
]


def print_result(data, lines, as_json):
    """Print a result, as JSON or as text.

    Parameters
    ----------
    data : dict
        The result as JSON-serializable values.
    lines : sequence of str
        The result as text.
    as_json : bool
        Whether to print ``data`` as JSON instead of ``lines``.
    """
    if as_json:
        print(json.dumps(data))
        return
    for line in lines:
        print(line)


def print_error(exc, exit_code, as_json):
    """Print an error as text to stderr, or as JSON to stdout."""
    faults = getattr(exc, "faults", ())
    if as_json:
        fault_texts = [str(fault) for fault in faults]
        print(
            json.dumps(
                {"error": str(exc), "faults": fault_texts, "exit": exit_code}
            )
        )
        return
    print(exc, file=sys.stderr)


def align_columns(rows):
    """Return one line per row of strings, with aligned columns.

    Examples
    --------
    >>> align_columns([("a", "bb"), ("ccc", "d")])
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


def status_lines(current_version, replies, down_entries):
    """Return the lines of ``dogwoodwheel status``.

    Parameters
    ----------
    current_version : dogwoodwheel.programs.cli_store.AcceptedVersion
    replies : sequence of dogwoodwheel.programs.cli_entries.EntryReply
    down_entries : set of str
        Entries that do not reply and that all others consider gone.
    """
    rows = [("ENTRY", "ZONE", "VERSION", "SHARES", "ENDPOINTS", "STATE")]
    for reply in replies:
        rows.append(_entry_row(reply, reply.entry in down_entries))
    lines = [f"accepted: {current_version}", "", *align_columns(rows)]
    lines += _state_table("ENDPOINT", "endpoints", replies)
    lines += _state_table("CUSTOMER", "customers", replies)
    return lines


def _entry_row(reply, is_down):
    body = reply.body
    if not body:
        state = "down" if is_down else f"no answer: {reply.error}"
        return (reply.entry, "-", "-", "-", "-", state)
    return (
        reply.entry,
        str(body.get("zone", "-")),
        str(body["version"]),
        str(body.get("shares", "-")),
        str(len(body["endpoints"])),
        _entry_state(body),
    )


def _entry_state(body):
    if body["leaving"]:
        return "leaving"
    if not body.get("config_usable", True):
        return "refuses keyed work: does not know the newest version"
    return "live"


def _state_table(title, field, replies):
    """Return a table of one field of all replies, with a row per item."""
    rows = [
        (str(name), reply.entry, _format_item(item, name))
        for reply in replies
        for name, item in sorted(_items_by_name(reply.body.get(field)).items())
    ]
    if not rows:
        return []
    return ["", *align_columns([(title, "ENTRY", "STATE"), *sorted(rows)])]


def _items_by_name(items):
    """Return a dict of items by name, from such a dict or from a list."""
    if isinstance(items, dict):
        return items
    return {item["name"]: item for item in items or ()}


def _format_item(item, name=None):
    """Return an item as ``FIELD=VALUE`` pairs, without the item's name."""
    if not isinstance(item, dict):
        return str(item)
    return " ".join(
        f"{field}={_format_value(value)}"
        for field, value in item.items()
        if value != name
    )


def _format_value(value):
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, (list, tuple)):
        return ",".join(_format_value(item) for item in value) or "-"
    if isinstance(value, dict):
        return "{" + _format_item(value) + "}" if value else "-"
    return str(value) or "-"


def explain_lines(body):
    """Return the lines of ``dogwoodwheel explain``."""
    return [f"{name}: {_format_value(value)}" for name, value in body.items()]
