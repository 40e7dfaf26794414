"""Runs a program and prints a fatal error as one line."""

import socket
import sys

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.programs import logs

__all__ = ["bound_socket_fd", "run"]

# A caller that accepts no data for this time is disconnected.
STALLED_CALLER_TIMEOUT_S = 30


def run(program, settings_class, settings_path, serve):
    """Run a program until it ends; after an error, exit with one line.

    Parameters
    ----------
    program : str
        ``coordinator`` or ``gateway``.
    settings_class : type
        Class of the program's settings.
    settings_path : pathlib.Path
        YAML file with the settings.
    serve : callable
        ``await serve(cfg)`` runs until a signal arrives.
    """
    try:
        cfg = settings_class.from_file(settings_path)
    except exceptions.SettingsError as exc:
        sys.exit(f"dogwoodwheel-{program}: {exc}")
    logs.set_up(cfg.log_format, cfg.log_level, program, cfg.name)
    errors = []
    try:
        trio.run(serve, cfg)
    except* (exceptions.SettingsError, OSError) as group:
        errors.append(_first_error(group))
    if errors:
        sys.exit(f"dogwoodwheel-{program}: {errors[0]}")


def _first_error(exc):
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def bound_socket_fd(address):
    """Return the file descriptor of a socket bound to ``IP:PORT``.

    Notes
    -----
    Connections inherit the socket's TCP user timeout, by which the kernel
    closes the connection of a caller that stops reading.  The HTTP server
    has no timeout for that.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        STALLED_CALLER_TIMEOUT_S * 1000,
    )
    try:
        sock.bind((host, int(port)))
    except OSError as exc:
        sock.close()
        raise OSError(
            f"cannot listen on {address} ({exc.strerror}); does another "
            f"process of this VM use it?"
        ) from exc
    return sock.detach()
