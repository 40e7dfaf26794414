"""Processes of one test on loopback addresses of their own."""

import atexit
import itertools
import os
import pathlib
import shutil
import sys
import tempfile

from features.standins import control
from features.standins import machines
from features.standins import process

__all__ = ["Processes", "READY_S", "ROOT"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_S = 30.0


class Processes:
    """Processes with their logs, all ended by `stop`.

    Parameters
    ----------
    prefix : str
        Of the folder of logs.
    """

    def __init__(self, prefix):
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix=prefix))
        self.procs = []
        self._hosts = itertools.count(1)
        atexit.register(self.stop)

    def tails(self):
        """Return the ends of all logs, for a failed test."""
        parts = [f"---- {p.name}\n{p.tail()}" for p in self.procs]
        return "\n".join(parts)

    def stop(self):
        """End and reap every process; remove their logs."""
        for proc in reversed(self.procs):
            proc.kill()
        shutil.rmtree(self.dir, ignore_errors=True)
        atexit.unregister(self.stop)

    def _host(self):
        """Return an address that no other process of the tests has."""
        pid = os.getpid()
        number = next(self._hosts)
        return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"

    def _process(self, name, argv):
        log = self.dir / f"{name}.log"
        proc = process.Process(name, argv, log, ROOT)
        self.procs.append(proc)
        return proc

    def _controlled(self, name, module, args, host):
        """Return the process of a module and the client of its control."""
        address = machines.free_address(host)
        argv = [sys.executable, "-m", module, "--control", address, *args]
        return self._process(name, argv), control.Control(address)

    def _await(self, proc, answers):
        """Wait until a process answers; end all if it does not."""
        try:
            process.wait_for(answers, READY_S, f"{proc.name} to answer")
        except AssertionError as exc:
            tail = proc.tail()
            self.stop()
            raise AssertionError(f"{exc}\n{tail}") from exc
