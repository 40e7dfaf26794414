"""The operators' command line, ``dogwoodwheel``."""

import functools
import importlib.metadata
import pathlib
import re
import secrets
import sys
from typing import Optional

import cyclopts

from dogwoodwheel.declaration import edit
from dogwoodwheel.programs import cli_changes
from dogwoodwheel.programs import cli_common
from dogwoodwheel.programs import cli_reads

__all__ = ["app", "main"]

DEFAULT_TIMEOUT_S = cli_changes.DEFAULT_TIMEOUT_S
KEY_NAME_SUFFIX_BYTES = 3
DEFAULT_OPTIONS = cli_common.Options()
EXIT_CODES = """Exit codes:

0: done.

1: the text has faults, or names what does not exist; nothing was changed.

2: wrong usage or settings; nothing was changed.

3: another operator's change came first; nothing of yours was changed.

4: the platform or the entries cannot be reached; the message says
whether something may have been changed.

5: accepted, but not in force at every live entry yet.
"""

app = cyclopts.App(
    name="dogwoodwheel",
    help="Check, apply and look into the operators' text of a fleet.",
    help_epilogue=EXIT_CODES,
    help_format="markdown",
    version=importlib.metadata.version("dogwoodwheel"),
)
key_app = cyclopts.App(name="key", help="Issue and withdraw keys.")
zone_app = cyclopts.App(name="zone", help="Take a zone out, or in again.")
app.command(key_app)
app.command(zone_app)


@app.command
def check(
    file: pathlib.Path, /, *, options: cli_common.Options = DEFAULT_OPTIONS
):
    """List every fault of a configuration text, with line and remedy.

    Parameters
    ----------
    file
        File with the configuration text.  The command does not contact
        the platform.
    """
    return cli_common.run_command(cli_reads.check, options, file)


@app.command
def diff(
    file: pathlib.Path, /, *, options: cli_common.Options = DEFAULT_OPTIONS
):
    """Show what a file would change in the accepted configuration text.

    Parameters
    ----------
    file
        File with the configuration text.
    """
    return cli_common.run_command(cli_reads.diff, options, file)


@app.command
def apply(
    file: pathlib.Path,
    /,
    *,
    base: Optional[int] = None,
    note: str = "",
    by: Optional[str] = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Apply a configuration text and wait until it is in force.

    The command waits for every live entry.  If several operators apply a
    text at once, exactly one succeeds; the others exit with 3 and a
    message that names the version accepted first.

    Parameters
    ----------
    file
        File with the configuration text.
    base
        Number of the version that the file is based on; if a newer
        version was accepted, the command exits with 3.  The default is
        the version that is accepted when the command starts.
    note
        Reason for the change, recorded in the history.
    by
        Name of the operator for the history; by default the user name.
    timeout
        Seconds to wait for the platform, and as long again for the
        entries.
    """
    return cli_common.run_command(
        cli_changes.apply,
        options,
        file,
        base,
        note,
        by or cli_changes.user_name(),
        timeout,
    )


@app.command
def show(
    *,
    number: Optional[int] = None,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Print the accepted configuration text, to edit and apply it.

    Parameters
    ----------
    number
        Number of an earlier version to print instead.
    """
    return cli_common.run_command(cli_reads.show, options, number)


@app.command
def history(*, limit: int = 20, options: cli_common.Options = DEFAULT_OPTIONS):
    """List accepted versions, the newest first.

    Parameters
    ----------
    limit
        Maximum number of versions to list.
    """
    return cli_common.run_command(cli_reads.history, options, limit)


@app.command
def status(*, options: cli_common.Options = DEFAULT_OPTIONS):
    """Show entries, endpoints and customers as each entry reports them.

    Exits with 5 if the accepted version is not in force at a live entry.
    """
    return cli_common.run_command(cli_reads.status, options)


@app.command
def explain(
    *,
    customer: str,
    model: str,
    entry: Optional[str] = None,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Show where a request would be sent, and why.

    Parameters
    ----------
    customer
        Name of the customer.
    model
        Name of the model or adapter.
    entry
        Entry to query.  By default all entries are queried, and the
        reply of the first entry in order of name is printed.
    """
    return cli_common.run_command(
        cli_reads.explain, options, customer, model, entry
    )


@key_app.command
def issue(
    customer: str,
    /,
    *,
    name: Optional[str] = None,
    by: Optional[str] = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Issue a key to a customer and print it; it is never shown again.

    Parameters
    ----------
    customer
        Name of the customer.
    name
        Public name of the key, of lower-case letters and digits; by
        default the customer's name followed by a random suffix.
    by
        Name of the operator for the history; by default the user name.
    timeout
        Seconds to wait for the platform, and as long again for the
        entries.
    """
    name = name or _generate_key_name(customer)
    return cli_common.run_command(
        cli_changes.issue,
        options,
        customer,
        name,
        by or cli_changes.user_name(),
        timeout,
    )


def _generate_key_name(customer):
    """Return a public name for a new key.

    Notes
    -----
    The random suffix makes the name differ from those of earlier keys.
    """
    prefix = re.sub("[^a-z0-9]", "", customer.lower())
    return prefix + secrets.token_hex(KEY_NAME_SUFFIX_BYTES)


@key_app.command
def withdraw(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Withdraw a key; entries reject it within seconds.

    Parameters
    ----------
    name
        Public name of the key: the part between its first two dashes.
    by
        Name of the operator for the history; by default the user name.
    timeout
        Seconds to wait for the platform, and as long again for the
        entries.
    """
    transform = functools.partial(edit.remove_key, name=name)
    note = f"withdraw key {name}"
    return _apply_edit(options, transform, note, by, timeout)


@zone_app.command(name="out")
def zone_out(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Take an availability zone out: it gets no new work.

    Parameters
    ----------
    name
        Name of the zone.
    by
        Name of the operator for the history; by default the user name.
    timeout
        Seconds to wait for the platform, and as long again for the
        entries.
    """
    return _set_zone_state(options, name, "out", by, timeout)


@zone_app.command(name="in")
def zone_in(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: cli_common.Options = DEFAULT_OPTIONS,
):
    """Bring an availability zone back into service.

    Parameters
    ----------
    name
        Name of the zone.
    by
        Name of the operator for the history; by default the user name.
    timeout
        Seconds to wait for the platform, and as long again for the
        entries.
    """
    return _set_zone_state(options, name, "in", by, timeout)


def _set_zone_state(options, name, state, operator, timeout_s):
    transform = functools.partial(edit.set_zone, name=name, state=state)
    return _apply_edit(
        options, transform, f"zone {name} {state}", operator, timeout_s
    )


def _apply_edit(options, transform, note, operator, timeout_s):
    return cli_common.run_command(
        cli_changes.edit,
        options,
        transform,
        note,
        operator or cli_changes.user_name(),
        timeout_s,
    )


def main():
    """Run the command line."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(cli_common.USAGE)
