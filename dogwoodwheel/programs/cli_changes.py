"""Commands that move the accepted version: apply and small edits."""

import functools
import getpass

from dogwoodwheel.customers import keys
from dogwoodwheel.declaration import compare
from dogwoodwheel.declaration import edit as edit_module
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.programs import cli_common
from dogwoodwheel.programs import cli_entries
from dogwoodwheel.programs import cli_show
from dogwoodwheel.programs import cli_store
from dogwoodwheel.stores import object_store

__all__ = ["PATIENCE_S", "apply", "edit", "issue", "user"]

PATIENCE_S = 30.0
EDIT_TRIES = 5


def user():
    """Return the operator's name, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def apply(options, path, base, note, by, timeout_s):
    """Apply a file and wait until it is in force.

    Parameters
    ----------
    options : dogwoodwheel.programs.cli_common.Options
    path : pathlib.Path
    base : int or None
        Version that the file was made from.
    note, by : str
    timeout_s : float

    Returns
    -------
    int
        Exit code.
    """
    text = cli_common.read_text(path)
    declaration = parse.parse(text)
    operator = cli_common.Operator.from_options(options)
    current = await operator.store.current()
    if base is not None and base != current.version:
        raise cli_store.conflict(base, current)
    changes = ()
    if current.version:
        before = parse.parse(await operator.store.text(current))
        changes = compare.compare(before, declaration)
    if current.digest != object_store.digest_of(text.encode()):
        current = await operator.store.apply(
            text, current, note, by, timeout_s
        )
    return await _finish(options, operator, current, changes, timeout_s, {})


async def edit(options, change, note, by, timeout_s, extra=None):
    """Change the accepted text and wait until it is in force.

    Parameters
    ----------
    change : callable
        ``change(text)`` returns the new text.
    extra : dict of str to str, optional
        Printed with the result, once the change is accepted.

    Notes
    -----
    A conflict leads to another try with the newer text, since the
    change says what it changes whatever else the text says.
    """
    operator = cli_common.Operator.from_options(options)
    for left in reversed(range(EDIT_TRIES)):
        current = await operator.store.current()
        before = await operator.store.text(current)
        text = change(before)
        changes = compare.compare(parse.parse(before), parse.parse(text))
        if not changes:
            break
        try:
            current = await operator.store.apply(
                text, current, note, by, timeout_s
            )
            break
        except exceptions.ConflictError:
            if not left:
                raise
    return await _finish(
        options, operator, current, changes, timeout_s, extra or {}
    )


async def _finish(options, operator, current, changes, timeout_s, extra):
    """Wait until a version is in force; print and return the exit code."""
    try:
        addresses = await operator.entries()
        spread = await cli_entries.wait_in_force(
            addresses, current.version, timeout_s
        )
        count = len(addresses) - len(spread.missing) - len(spread.down)
    except exceptions.PlatformError as exc:
        # Accepted all the same: nothing may make it look refused.
        reason = f"the list of entries cannot be read: {exc}"
        spread = cli_entries.Spread({"all": reason}, ())
        count = 0
    data = {
        "version": current.version,
        "digest": current.digest,
        "in_force": not spread.missing,
        "entries": count,
        "missing": spread.missing,
        "down": list(spread.down),
        "changes": [str(change) for change in changes],
        **extra,
    }
    cli_show.result(data, _lines(data, extra), options.json)
    return cli_common.NOT_IN_FORCE if spread.missing else cli_common.OK


def _lines(data, extra):
    lines = [f"{name}: {value}" for name, value in extra.items()]
    lines += data["changes"]
    lines.append(f"version {data['version']} is accepted")
    lines.append(f"in force at {data['entries']} entries")
    for entry in data["down"]:
        lines.append(f"{entry} is silent, and gone for the others")
    for entry, reason in data["missing"].items():
        lines.append(f"NOT in force at {entry}: {reason}")
    if data["missing"]:
        lines.append("run 'dogwoodwheel status' again, or end these entries")
    return lines


async def issue(options, customer, name, by, timeout_s):
    """Issue a key and print it."""
    shown, key = keys.issue(name)
    change = functools.partial(edit_module.add_key, customer=customer, key=key)
    note = f"issue key {name} to {customer}"
    extra = {"key": shown, "name": name}
    return await edit(options, change, note, by, timeout_s, extra)
