"""Logging of one process: text or JSON lines, with keys masked."""

import atexit
import collections
import json
import re
import sys
import threading

import loguru

__all__ = ["LineWriter", "mask", "set_up"]

# If the queue has this length, new lines are dropped and counted.
MAX_QUEUED_LINES = 5000
# Maximum time to write the queued lines when the process ends.
FLUSH_TIMEOUT_S = 1.0

KEY_PATTERN = re.compile(
    r"(?i:\b(bearer)\s+)[^\s\"',;)]+|\bdw-[A-Za-z0-9._:/@]+-[A-Za-z0-9_\-]+"
)
TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} "
    "{extra[program]} {extra[entry]} {extra[request]} {message}"
)


def mask(text):
    """Return a text in which everything that looks like a key is masked.

    Examples
    --------
    >>> mask("got Bearer abc and dw-frost1-0123abcd")
    'got Bearer *** and ***'
    """
    return KEY_PATTERN.sub(_mask_match, text)


def _mask_match(match):
    return f"{match[1]} ***" if match[1] else "***"


def set_up(format, min_level, program, entry):
    """Configure logging of this process to standard output.

    Parameters
    ----------
    format : str
        ``text`` or ``json``.
    min_level : str
        Minimum level of log lines that are written.
    program : str
        ``coordinator``, ``gateway`` or ``entry``.
    entry : str
        Name of the entry VM.

    Notes
    -----
    ``logger.contextualize(request=...)`` adds the request id.  Keyword
    arguments of a logger call become fields of the line.  A separate
    thread writes the lines, so that the process is not blocked if the
    reader of its output stops reading.
    """
    logger = loguru.logger
    logger.remove()
    logger.configure(
        extra={"program": program, "entry": entry, "request": "-"},
        patcher=_mask_record,
    )
    writer = LineWriter(sys.stdout)
    render = _render_json if format == "json" else _render_text
    logger.add(
        lambda message: writer.put(render(message)),
        level=min_level.upper(),
        format=TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def _mask_record(record):
    record["message"] = mask(record["message"])
    for name, value in record["extra"].items():
        if isinstance(value, str):
            record["extra"][name] = mask(value)


def _render_text(message):
    record = message.record
    fields = "".join(
        f" {name}={value!r}" if " " in str(value) else f" {name}={value}"
        for name, value in record["extra"].items()
        if name not in ("program", "entry", "request")
    )
    head, _, rest = str(message).partition("\n")
    # The message is masked already, but the traceback may contain a key.
    return mask(f"{head}{fields}\n{rest}")


def _render_json(message):
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


class LineWriter:
    """Writes lines in a separate thread; drops lines if its queue is full.

    Parameters
    ----------
    stream : text file
        Output of the lines.
    """

    def __init__(self, stream):
        self._stream = stream
        self._lines = collections.deque()
        self._dropped_lines = 0
        self._has_lines = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        threading.Thread(target=self._write_lines, daemon=True).start()
        atexit.register(self.flush)

    def put(self, line):
        """Queue a line without blocking."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._lines.append(line)
        self._all_written.clear()
        self._has_lines.set()

    def flush(self):
        """Wait until all lines are written, at most `FLUSH_TIMEOUT_S`."""
        self._has_lines.set()
        self._all_written.wait(FLUSH_TIMEOUT_S)

    def _write_lines(self):
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                lines = [
                    self._lines.popleft() for _ in range(len(self._lines))
                ]
                dropped, self._dropped_lines = self._dropped_lines, 0
                if dropped:
                    lines.append(f"logs: {dropped} lines dropped\n")
                try:
                    self._stream.write("".join(lines))
                    self._stream.flush()
                except (OSError, ValueError):
                    # The number of dropped lines is logged as soon as the
                    # output can be written again.
                    self._dropped_lines += len(lines)
            self._all_written.set()
