"""Commands that change nothing."""

import dataclasses

from dogwoodwheel.declaration import compare
from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions
from dogwoodwheel.programs import cli_common
from dogwoodwheel.programs import cli_entries
from dogwoodwheel.programs import cli_show

__all__ = ["check", "diff", "explain", "history", "show", "status"]


async def check(options, path):
    """Print that a file has no faults; raises DeclarationError."""
    declaration = parse.parse(cli_common.read_text(path))
    counts = {
        section: len(getattr(declaration, section))
        for section in ("endpoints", "models", "adapters", "customers")
    }
    shown = ", ".join(f"{number} {name}" for name, number in counts.items())
    data = {"ok": True, **counts}
    cli_show.result(data, [f"no faults: {shown}"], options.json)
    return cli_common.OK


async def diff(options, path):
    """Print what a file would change in the accepted text."""
    new = parse.parse(cli_common.read_text(path))
    operator = cli_common.Operator.from_options(options)
    current = await operator.store.current()
    old = parse.parse(await operator.store.text(current))
    changes = compare.compare(old, new)
    data = {
        "base": current.version,
        "changes": [dataclasses.asdict(change) for change in changes],
    }
    lines = [f"against {current}"]
    lines += [str(change) for change in changes] or ["nothing to change"]
    lines.append(f"to apply just this: --base {current.version}")
    cli_show.result(data, lines, options.json)
    return cli_common.OK


async def show(options, number):
    """Print the accepted text, or an earlier one."""
    operator = cli_common.Operator.from_options(options)
    accepted = await operator.store.version(number)
    text = await operator.store.text(accepted)
    data = {"version": accepted.version, "text": text}
    cli_show.result(data, [text.removesuffix("\n")], options.json)
    return cli_common.OK


async def history(options, limit):
    """Print the accepted versions, the newest first."""
    operator = cli_common.Operator.from_options(options)
    versions = (await operator.store.history())[:limit]
    rows = [("VERSION", "AT", "BY", "DIGEST", "WRITE", "NOTE")]
    for one in versions:
        rows.append(
            (
                str(one.version),
                one.at,
                one.by,
                one.digest[:12],
                one.write[:8],
                one.note,
            )
        )
    data = {"versions": [one.value() for one in versions]}
    cli_show.result(data, cli_show.columns(rows), options.json)
    return cli_common.OK


async def status(options):
    """Print what every entry says of itself."""
    operator = cli_common.Operator.from_options(options)
    current = await operator.store.current()
    addresses = await operator.entries()
    answers = await cli_entries.ask_all(addresses, "status", {})
    down = {
        answer.entry
        for answer in answers
        if cli_entries.is_down(answer, answers)
    }
    in_force = all(
        answer.body.get("version", 0) >= current.version
        for answer in answers
        if answer.entry not in down
    )
    data = {
        "version": current.version,
        "digest": current.digest,
        "in_force": in_force,
        "down": sorted(down),
        "entries": {a.entry: a.body or {"error": a.error} for a in answers},
    }
    lines = cli_show.status(current, answers, down)
    cli_show.result(data, lines, options.json)
    return cli_common.OK if in_force else cli_common.NOT_IN_FORCE


async def explain(options, customer, model, entry):
    """Print where a request would go, as one entry sees it."""
    operator = cli_common.Operator.from_options(options)
    addresses = await operator.entries()
    if entry is not None:
        if entry not in addresses:
            raise exceptions.PeerError(
                f"no entry {entry!r}; see 'dogwoodwheel status'"
            )
        addresses = {entry: addresses[entry]}
    args = {"customer": customer, "model": model}
    answers = await cli_entries.ask_all(addresses, "explain", args)
    bodies = [answer.body for answer in answers if answer.body]
    if not bodies:
        raise exceptions.PeerError(
            "no entry answers; see 'dogwoodwheel status'"
        )
    body = bodies[0]
    cli_show.result(body, cli_show.explained(body), options.json)
    return cli_common.FAULTS if "error" in body else cli_common.OK
