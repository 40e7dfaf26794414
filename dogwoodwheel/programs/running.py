"""How a program runs its tasks, and ends with one clear line."""

import sys

import trio

from dogwoodwheel import exceptions

__all__ = ["run"]


def run(program, serve, cfg):
    """Run a program's main task; exit with one line where it fails.

    Parameters
    ----------
    program : str
        Name of the program, for the line.
    serve : callable
        ``await serve(cfg)``.
    cfg : settings of the program
    """
    faults = []
    try:
        trio.run(serve, cfg)
    except* (exceptions.SettingsError, OSError) as group:
        faults.append(_leaf(group))
    if faults:
        sys.exit(f"{program}: {faults[0]}")


def _leaf(exc):
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
