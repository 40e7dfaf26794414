"""Commands that change the accepted version: apply and single edits."""

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

__all__ = ["DEFAULT_TIMEOUT_S", "apply", "edit", "issue", "user_name"]

DEFAULT_TIMEOUT_S = 30.0
MAX_EDIT_ATTEMPTS = 5


def user_name():
    """Return the operator's user name, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def apply(options, path, base, note, operator, timeout_s):
    """Apply a configuration text and wait until it is in force.

    Parameters
    ----------
    options : dogwoodwheel.programs.cli_common.Options
    path : pathlib.Path
    base : int or None
        Number of the version that the file is based on; None for the
        accepted version.
    note, operator : str
        Reason for the change and name of the operator, for the history.
    timeout_s : float
        Maximum time to wait for the platform, and as long again for the
        entries, seconds.

    Returns
    -------
    int
        Exit code.
    """
    text = cli_common.read_text(path)
    declaration = parse.parse(text)
    context = cli_common.CommandContext.from_options(options)
    current_version = await context.store.read_current()
    if base is not None and base != current_version.version:
        raise cli_store.conflict_error(base, current_version)
    changes = ()
    if current_version.version:
        old_declaration = parse.parse(
            await context.store.read_version_text(current_version)
        )
        changes = compare.compare(old_declaration, declaration)
    if current_version.digest != object_store.digest_of(text.encode()):
        current_version = await context.store.apply(
            text, current_version, note, operator, timeout_s
        )
    return await _wait_and_report(
        options, context, current_version, changes, timeout_s, {}
    )


async def edit(options, transform, note, operator, timeout_s, extra=None):
    """Change the accepted configuration text and wait until it is in force.

    Parameters
    ----------
    transform : callable
        ``transform(text)`` returns the new text.
    extra : dict of str to str, optional
        Printed with the result, once the change is accepted.

    Notes
    -----
    If another operator's change is accepted first, the edit is applied to
    the newer text: a single edit does not depend on the rest of the text.
    """
    context = cli_common.CommandContext.from_options(options)
    for attempts_left in reversed(range(MAX_EDIT_ATTEMPTS)):
        current_version = await context.store.read_current()
        old_text = await context.store.read_version_text(current_version)
        text = transform(old_text)
        changes = compare.compare(parse.parse(old_text), parse.parse(text))
        if not changes:
            break
        try:
            current_version = await context.store.apply(
                text, current_version, note, operator, timeout_s
            )
            break
        except exceptions.ConflictError:
            if not attempts_left:
                raise
    return await _wait_and_report(
        options,
        context,
        current_version,
        changes,
        timeout_s,
        extra or {},
    )


async def _wait_and_report(
    options, context, current_version, changes, timeout_s, extra
):
    """Wait until a version is in force and print the result.

    Returns
    -------
    int
        Exit code.
    """
    try:
        addresses = await context.coordinator_addresses()
        rollout = await cli_entries.wait_in_force(
            addresses, current_version.version, timeout_s
        )
        in_force_count = (
            len(addresses)
            - len(rollout.pending_reasons)
            - len(rollout.down_entries)
        )
    except exceptions.PlatformError as exc:
        # The version is accepted; if the exception left the command, the
        # message would look as if it had been rejected.
        reason = f"the list of entries cannot be read: {exc}"
        rollout = cli_entries.RolloutStatus({"all": reason}, ())
        in_force_count = 0
    data = {
        "version": current_version.version,
        "digest": current_version.digest,
        "in_force": not rollout.pending_reasons,
        "entries": in_force_count,
        "missing": rollout.pending_reasons,
        "down": list(rollout.down_entries),
        "changes": [str(change) for change in changes],
        **extra,
    }
    cli_show.print_result(data, _result_lines(data, extra), options.json)
    return (
        cli_common.NOT_IN_FORCE if rollout.pending_reasons else cli_common.OK
    )


def _result_lines(data, extra):
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


async def issue(options, customer, name, operator, timeout_s):
    """Issue a key, add it to the configuration text and print it."""
    key_text, key = keys.issue(name)
    transform = functools.partial(
        edit_module.add_key, customer=customer, key=key
    )
    note = f"issue key {name} to {customer}"
    extra = {"key": key_text, "name": name}
    return await edit(options, transform, note, operator, timeout_s, extra)
