"""How a program starts, and ends with one clear line."""

import sys

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.programs import logs

__all__ = ["run"]


def run(program, kind, path, serve):
    """Run a program until it ends; exit with one line where it fails.

    Parameters
    ----------
    program : str
        ``coordinator`` or ``gateway``.
    kind : type
        Class of its settings.
    path : pathlib.Path
        File of its settings.
    serve : callable
        ``await serve(cfg)`` runs until a signal.
    """
    try:
        cfg = kind.from_file(path)
    except exceptions.SettingsError as exc:
        sys.exit(f"dogwoodwheel-{program}: {exc}")
    logs.set_up(cfg.log_format, cfg.log_level, program, cfg.name)
    faults = []
    try:
        trio.run(serve, cfg)
    except* (exceptions.SettingsError, OSError) as group:
        faults.append(_leaf(group))
    if faults:
        sys.exit(f"dogwoodwheel-{program}: {faults[0]}")


def _leaf(exc):
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
