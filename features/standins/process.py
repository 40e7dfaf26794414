"""Processes of a test, each ended by its own id."""

import os
import pathlib
import signal
import subprocess
import time

__all__ = ["Process", "run", "wait_for"]

STOP_S = 15.0
TAIL_LINES = 40
POLL_S = 0.02


def wait_for(condition, timeout_s=10.0, what="the condition"):
    """Poll until a condition holds and return its value.

    Parameters
    ----------
    condition : callable
        A result that is true ends the wait; an `OSError` or an
        `AssertionError` counts as false.
    timeout_s : float
    what : str
        Named in the error.

    Raises
    ------
    AssertionError
        If it does not hold in time.
    """
    until = time.monotonic() + timeout_s
    error = None
    while time.monotonic() < until:
        try:
            value = condition()
        except (OSError, AssertionError) as exc:
            error = exc
        else:
            if value:
                return value
            error = None
        time.sleep(POLL_S)
    raise AssertionError(f"not within {timeout_s} s: {what} ({error})")


def run(argv, cwd, timeout_s):
    """Run a program to its end; return the completed process."""
    return subprocess.run(
        [str(arg) for arg in argv],
        cwd=cwd,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=timeout_s,
    )


class Process:
    """One program, started again and again on the same settings.

    Parameters
    ----------
    name : str
    argv : sequence of str
    log : pathlib.Path
        Takes what it prints; grows over restarts.
    cwd : pathlib.Path
    """

    def __init__(self, name, argv, log, cwd):
        self.name = name
        self.argv = [str(arg) for arg in argv]
        self.log = log
        self.cwd = cwd
        self.popen = None

    def start(self):
        """Start it; it must not be running."""
        assert not self.running(), f"{self.name} runs already"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.argv,
                cwd=self.cwd,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def running(self):
        """Tell whether it runs."""
        return self.popen is not None and self.popen.poll() is None

    def peak_memory_mb(self):
        """Return the most memory that it has occupied, in MB."""
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    def terminate(self):
        """Send SIGTERM and return at once."""
        if self.running():
            self.popen.send_signal(signal.SIGTERM)

    def reload(self):
        """Send SIGHUP."""
        if self.running():
            self.popen.send_signal(signal.SIGHUP)

    def wait(self, timeout_s=STOP_S):
        """Wait until it has ended; return its exit code."""
        return self.popen.wait(timeout_s)

    def stop(self, timeout_s=STOP_S):
        """End it by SIGTERM; return as `finish`."""
        if self.popen is None:
            return None
        self.resume()
        self.terminate()
        return self.finish(timeout_s)

    def finish(self, timeout_s=STOP_S):
        """Wait for its end; return its exit code, or None where it hung."""
        try:
            return self.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def kill(self):
        """End it by SIGKILL and reap it."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self):
        """Pause it by SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused one go on."""
        if self.running():
            self.popen.send_signal(signal.SIGCONT)

    def tail(self, lines=TAIL_LINES):
        """Return the last lines that it printed."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
