"""The operators' program ``dogwoodwheel``."""

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

PATIENCE_S = cli_changes.PATIENCE_S
NAME_SUFFIX_BYTES = 3
DEFAULTS = cli_common.Options()
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
def check(file: pathlib.Path, /, *, options: cli_common.Options = DEFAULTS):
    """List every fault of a text, with its line and remedy.

    Parameters
    ----------
    file
        The operators' text; the platform is not asked.
    """
    return cli_common.run(cli_reads.check, options, file)


@app.command
def diff(file: pathlib.Path, /, *, options: cli_common.Options = DEFAULTS):
    """Show what a text would change in the accepted one.

    Parameters
    ----------
    file
        The operators' text.
    """
    return cli_common.run(cli_reads.diff, options, file)


@app.command
def apply(
    file: pathlib.Path,
    /,
    *,
    base: Optional[int] = None,
    note: str = "",
    by: Optional[str] = None,
    timeout: float = PATIENCE_S,
    options: cli_common.Options = DEFAULTS,
):
    """Accept a text, and wait until it is in force at every live entry.

    Of operators who race each other exactly one wins; the other exits
    with 3 and is told which version came first.

    Parameters
    ----------
    file
        The operators' text.
    base
        Version that the file was made from; a newer one is a conflict.
        By default the version that is accepted when the command starts.
    note
        Why, for the history.
    by
        Who, for the history; the user's name by default.
    timeout
        Seconds to wait for the platform, and for the entries.
    """
    return cli_common.run(
        cli_changes.apply,
        options,
        file,
        base,
        note,
        by or cli_changes.user(),
        timeout,
    )


@app.command
def show(
    *,
    number: Optional[int] = None,
    options: cli_common.Options = DEFAULTS,
):
    """Print the accepted text, to edit and apply it.

    Parameters
    ----------
    number
        An earlier version, by its number.
    """
    return cli_common.run(cli_reads.show, options, number)


@app.command
def history(*, limit: int = 20, options: cli_common.Options = DEFAULTS):
    """List accepted versions, the newest first.

    Parameters
    ----------
    limit
        Number of versions.
    """
    return cli_common.run(cli_reads.history, options, limit)


@app.command
def status(*, options: cli_common.Options = DEFAULTS):
    """Show entries, endpoints and customers as every entry sees them.

    Exits with 5 if the accepted version is not in force everywhere.
    """
    return cli_common.run(cli_reads.status, options)


@app.command
def explain(
    *,
    customer: str,
    model: str,
    entry: Optional[str] = None,
    options: cli_common.Options = DEFAULTS,
):
    """Show where a request would go, and why.

    Parameters
    ----------
    customer
        Name of the customer.
    model
        Name of the model or adapter.
    entry
        Entry that is asked; by default the first that answers.
    """
    return cli_common.run(cli_reads.explain, options, customer, model, entry)


@key_app.command
def issue(
    customer: str,
    /,
    *,
    name: Optional[str] = None,
    by: Optional[str] = None,
    timeout: float = PATIENCE_S,
    options: cli_common.Options = DEFAULTS,
):
    """Issue a key to a customer, and print it this one time.

    Parameters
    ----------
    customer
        Name of the customer.
    name
        Public name of the key, of lower-case letters and digits.
    by
        Who, for the history; the user's name by default.
    timeout
        Seconds to wait for the platform, and for the entries.
    """
    name = name or _key_name(customer)
    return cli_common.run(
        cli_changes.issue,
        options,
        customer,
        name,
        by or cli_changes.user(),
        timeout,
    )


def _key_name(customer):
    """Return a public name that no key had before."""
    letters = re.sub("[^a-z0-9]", "", customer.lower())
    return letters + secrets.token_hex(NAME_SUFFIX_BYTES)


@key_app.command
def withdraw(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = PATIENCE_S,
    options: cli_common.Options = DEFAULTS,
):
    """Withdraw a key; it stops working within seconds.

    Parameters
    ----------
    name
        Public name of the key: what stands between its first two dashes.
    by
        Who, for the history; the user's name by default.
    timeout
        Seconds to wait for the platform, and for the entries.
    """
    change = functools.partial(edit.remove_key, name=name)
    note = f"withdraw key {name}"
    return _edit(options, change, note, by, timeout)


@zone_app.command(name="out")
def zone_out(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = PATIENCE_S,
    options: cli_common.Options = DEFAULTS,
):
    """Take an availability zone out: no new work goes there.

    Parameters
    ----------
    name
        Name of the zone.
    by
        Who, for the history; the user's name by default.
    timeout
        Seconds to wait for the platform, and for the entries.
    """
    return _zone(options, name, "out", by, timeout)


@zone_app.command(name="in")
def zone_in(
    name: str,
    /,
    *,
    by: Optional[str] = None,
    timeout: float = PATIENCE_S,
    options: cli_common.Options = DEFAULTS,
):
    """Bring an availability zone back.

    Parameters
    ----------
    name
        Name of the zone.
    by
        Who, for the history; the user's name by default.
    timeout
        Seconds to wait for the platform, and for the entries.
    """
    return _zone(options, name, "in", by, timeout)


def _zone(options, name, state, by, timeout):
    change = functools.partial(edit.set_zone, name=name, state=state)
    return _edit(options, change, f"zone {name} {state}", by, timeout)


def _edit(options, change, note, by, timeout):
    return cli_common.run(
        cli_changes.edit,
        options,
        change,
        note,
        by or cli_changes.user(),
        timeout,
    )


def main():
    """Run the program."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(cli_common.USAGE)
