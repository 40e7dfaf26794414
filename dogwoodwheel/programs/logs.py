"""Logs of one process: text or JSON lines, never a key."""

import atexit
import collections
import json
import re
import sys
import threading

import loguru

__all__ = ["Writer", "mask", "set_up"]

# Lines that wait to be written; more are dropped and counted.
MAX_WAITING = 5000
# Time to write what waits when the process ends, seconds.
FLUSH_S = 1.0

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
    """Send this process's logs to standard output.

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
    Keyword arguments of a call become fields of the line.  A thread
    writes, so that a reader that stopped never blocks the process.
    """
    logger = loguru.logger
    logger.remove()
    logger.configure(
        extra={"program": program, "entry": entry, "request": "-"},
        patcher=_patch,
    )
    writer = Writer(sys.stdout)
    render = _json if format == "json" else _text
    logger.add(
        lambda message: writer.put(render(message)),
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


def _text(message):
    record = message.record
    fields = "".join(
        f" {name}={value!r}" if " " in str(value) else f" {name}={value}"
        for name, value in record["extra"].items()
        if name not in ("program", "entry", "request")
    )
    head, _, rest = str(message).partition("\n")
    # A traceback may quote a key that the message does not.
    return mask(f"{head}{fields}\n{rest}")


def _json(message):
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
    return json.dumps(line) + "\n"


class Writer:
    """Writes lines from a thread of its own, and drops them when late.

    Parameters
    ----------
    stream : text file
    """

    def __init__(self, stream):
        self._stream = stream
        self._lines = collections.deque()
        self._dropped = 0
        self._ready = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._run, daemon=True).start()
        atexit.register(self.flush)

    def put(self, line):
        """Take a line; never blocks."""
        if len(self._lines) >= MAX_WAITING:
            self._dropped += 1
            return
        self._lines.append(line)
        self._idle.clear()
        self._ready.set()

    def flush(self):
        """Wait until all is written, for `FLUSH_S` at most."""
        self._ready.set()
        self._idle.wait(FLUSH_S)

    def _run(self):
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                lines = [
                    self._lines.popleft() for _ in range(len(self._lines))
                ]
                dropped, self._dropped = self._dropped, 0
                if dropped:
                    lines.append(f"logs: {dropped} lines dropped\n")
                try:
                    self._stream.write("".join(lines))
                    self._stream.flush()
                except (OSError, ValueError):
                    # Nobody reads any more; told when somebody does.
                    self._dropped += len(lines)
            self._idle.set()
