"""Read-only commands."""

import dataclasses

from dogwoodwheel.declaration import compare
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.programs import cli_common
from dogwoodwheel.programs import cli_entries
from dogwoodwheel.programs import cli_show

__all__ = ["check", "diff", "explain", "history", "show", "status"]


async def check(options, path):
    """Print a summary of a valid file; raises DeclarationError."""
    declaration = parse.parse(cli_common.read_text(path))
    counts = {
        section: len(getattr(declaration, section))
        for section in ("endpoints", "models", "adapters", "customers")
    }
    summary = ", ".join(f"{number} {name}" for name, number in counts.items())
    data = {"ok": True, **counts}
    cli_show.print_result(data, [f"no faults: {summary}"], options.json)
    return cli_common.OK


async def diff(options, path):
    """Print what a file would change in the accepted configuration text."""
    new_declaration = parse.parse(cli_common.read_text(path))
    context = cli_common.CommandContext.from_options(options)
    current_version = await context.store.read_current()
    old_declaration = parse.parse(
        await context.store.read_version_text(current_version)
    )
    changes = compare.compare(old_declaration, new_declaration)
    data = {
        "base": current_version.version,
        "changes": [dataclasses.asdict(change) for change in changes],
    }
    lines = [f"against {current_version}"]
    lines += [str(change) for change in changes] or ["nothing to change"]
    lines.append(f"to apply just this: --base {current_version.version}")
    cli_show.print_result(data, lines, options.json)
    return cli_common.OK


async def show(options, number):
    """Print the accepted configuration text, or an earlier one."""
    context = cli_common.CommandContext.from_options(options)
    accepted_version = await context.store.read_version(number)
    text = await context.store.read_version_text(accepted_version)
    data = {"version": accepted_version.version, "text": text}
    cli_show.print_result(data, [text.removesuffix("\n")], options.json)
    return cli_common.OK


async def history(options, limit):
    """Print the accepted versions, newest first."""
    context = cli_common.CommandContext.from_options(options)
    versions = (await context.store.read_history())[:limit]
    rows = [("VERSION", "AT", "BY", "DIGEST", "WRITE", "NOTE")]
    for accepted_version in versions:
        rows.append(
            (
                str(accepted_version.version),
                accepted_version.at,
                accepted_version.by,
                accepted_version.digest[:12],
                accepted_version.write[:8],
                accepted_version.note,
            )
        )
    data = {
        "versions": [
            accepted_version.row_value() for accepted_version in versions
        ]
    }
    cli_show.print_result(data, cli_show.align_columns(rows), options.json)
    return cli_common.OK


async def status(options):
    """Print the status that each entry reports."""
    context = cli_common.CommandContext.from_options(options)
    current_version = await context.store.read_current()
    addresses = await context.coordinator_addresses()
    replies = await cli_entries.query_all(addresses, "status", {})
    down_entries = {
        reply.entry for reply in replies if cli_entries.is_down(reply, replies)
    }
    in_force = all(
        reply.body.get("version", 0) >= current_version.version
        for reply in replies
        if reply.entry not in down_entries
    )
    data = {
        "version": current_version.version,
        "digest": current_version.digest,
        "in_force": in_force,
        "down": sorted(down_entries),
        "entries": {
            reply.entry: reply.body or {"error": reply.error}
            for reply in replies
        },
    }
    lines = cli_show.status_lines(current_version, replies, down_entries)
    cli_show.print_result(data, lines, options.json)
    return cli_common.OK if in_force else cli_common.NOT_IN_FORCE


async def explain(options, customer, model, entry):
    """Print where an entry would send a request, and why."""
    context = cli_common.CommandContext.from_options(options)
    addresses = await context.coordinator_addresses()
    if entry is not None:
        if entry not in addresses:
            raise exceptions.PeerError(
                f"no entry {entry!r}; see 'dogwoodwheel status'"
            )
        addresses = {entry: addresses[entry]}
    args = {"customer": customer, "model": model}
    replies = await cli_entries.query_all(addresses, "explain", args)
    bodies = [reply.body for reply in replies if reply.body]
    if not bodies:
        raise exceptions.PeerError(
            "no entry answers; see 'dogwoodwheel status'"
        )
    body = bodies[0]
    cli_show.print_result(body, cli_show.explain_lines(body), options.json)
    return cli_common.FAULTS if "error" in body else cli_common.OK
