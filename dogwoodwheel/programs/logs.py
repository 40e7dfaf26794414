"""Logs of one process: text or JSON lines, never a key."""

import json
import re
import sys

import loguru

__all__ = ["mask", "set_up"]

KEYS = re.compile(
    r"(?i:\b(bearer)\s+)[^\s\"',;)]+|\bdw-[A-Za-z0-9._:/@]+-[A-Za-z0-9_\-]+"
)
TEXT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} "
    "{extra[program]} {extra[entry]} {extra[request]} {message}"
)


def mask(text):
    """Return a text with all that looks like a key masked.

    Examples
    --------
    >>> mask("got Bearer abc and dw-frost1-0123abcd")
    'got Bearer *** and ***'
    """
    return KEYS.sub(_masked, text)


def _masked(match):
    return f"{match[1]} ***" if match[1] else "***"


def set_up(format, level, program, entry):
    """Send this process's logs to standard error.

    Parameters
    ----------
    format : str
        ``text`` or ``json``.
    level : str
        Lowest level that is written.
    program : str
    entry : str
        Name of the entry VM.

    Notes
    -----
    The request's id is added by ``logger.contextualize(request=...)``.
    Writing is synchronous, so the last lines before an end are there;
    a thread of its own would lose them.
    """
    logger = loguru.logger
    logger.remove()
    logger.configure(
        extra={"program": program, "entry": entry, "request": "-"},
        patcher=_patch,
    )
    write = _write_json if format == "json" else _write_text
    logger.add(
        write,
        level=level.upper(),
        format=TEXT,
        backtrace=False,
        diagnose=False,
    )


def _patch(record):
    record["message"] = mask(record["message"])
    for name, value in record["extra"].items():
        if isinstance(value, str):
            record["extra"][name] = mask(value)


def _write_text(message):
    # A traceback may quote a key that the message does not.
    sys.stderr.write(mask(str(message)))


def _write_json(message):
    record = message.record
    line = {
        "time": record["time"].timestamp(),
        "level": record["level"].name.lower(),
        "message": record["message"],
    }
    line.update(
        (name, value if isinstance(value, (int, float)) else str(value))
        for name, value in record["extra"].items()
    )
    if record["exception"] is not None:
        line["exception"] = mask(str(message).partition("\n")[2].strip())
    sys.stderr.write(json.dumps(line) + "\n")
