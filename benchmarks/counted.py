"""A program that counts its own messages, for benches.

Notes
-----
``python -m benchmarks.counted MODULE COUNTS ARGUMENT...`` runs ``main()``
of a module.  On SIGUSR1 it writes what it has used and sent so far to
the file COUNTS, as JSON.  Bytes of the platform are those of the bodies,
without the heads of HTTP.
"""

import importlib
import json
import os
import pathlib
import resource
import signal
import sys
import time

from dogwoodwheel.platform import store
from dogwoodwheel.wire import codec

__all__ = ["Counts", "main"]


class Counts:
    """Messages and bytes by kind, each ``[number, bytes]``."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.number = 0
        self.sent = {}
        self.received = {}
        self.platform = {}

    def install(self):
        """Count every frame and every call of the platform."""
        self._count_sent()
        self._count_received()
        self._count_platform()
        signal.signal(signal.SIGUSR1, self._dump)

    def _count_sent(self):
        encode = codec.encode

        def counted(msg, reply=False):
            frame = encode(msg, reply)
            _add(self.sent, type(msg).__name__, len(frame))
            return frame

        codec.encode = counted

    def _count_received(self):
        decode = codec.decode

        def counted(body):
            msg, reply = decode(body)
            size = codec.LENGTH_PREFIX.size + len(body)
            _add(self.received, type(msg).__name__, size)
            return msg, reply

        codec.decode = counted

    def _count_platform(self):
        send = store.Store._send

        async def counted(client, method, target, body, timeout_s):
            reply = await send(client, method, target, body, timeout_s)
            what = target.decode().split("/")[2].partition("?")[0]
            _add(self.platform, what, len(body) + len(reply))
            return reply

        store.Store._send = counted

    def _dump(self, signum, frame):
        self.number += 1
        body = {
            "number": self.number,
            "at_s": time.monotonic(),
            "cpu_s": time.process_time(),
            "peak_mb": _peak_mb(),
            "sent": self.sent,
            "received": self.received,
            "platform": self.platform,
        }
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(body))
        os.replace(part, self.path)


def _peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def _add(counts, kind, size):
    count = counts.setdefault(kind, [0, 0])
    count[0] += 1
    count[1] += size


def main():
    """Run a module with its messages counted."""
    module, path = sys.argv[1:3]
    Counts(path).install()
    del sys.argv[:2]
    importlib.import_module(module).main()


if __name__ == "__main__":
    main()
