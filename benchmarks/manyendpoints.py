"""Many idle endpoints in one process, for slopes.

Notes
-----
``python -m benchmarks.manyendpoints ADDRESS...`` answers ``/status`` at
each address as an empty model engine and takes no order.
"""

import functools
import sys

import trio

from features.standins import control
from features.standins import server

__all__ = ["main", "serve"]

OK = 200
NOT_FOUND = 404


async def _handle(name, exchange):
    if exchange.path != "/status":
        await exchange.reply(NOT_FOUND, {"error": "only /status is here"})
        return
    body = {"name": name, "incarnation": "1", "in_flight": 0}
    await exchange.reply(OK, body)


async def serve(addresses):
    """Serve at all addresses for ever."""
    async with trio.open_nursery() as nursery:
        for address in addresses:
            handle = functools.partial(_handle, address)
            await nursery.start(server.Server(handle).serve, address)


def main():
    """Serve until the process ends."""
    control.program(serve, sys.argv[1:])


if __name__ == "__main__":
    main()
