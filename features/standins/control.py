"""The control port of a stand-in, and the harness's client of it."""

import http.client
import json
import sys

import trio

from features.standins import server

__all__ = ["Control", "program", "run"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
TIMEOUT_S = 10.0


class Control:
    """Synchronous client of a control port.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    """

    def __init__(self, address):
        self.address = address

    def call(self, command, **body):
        """Run one command and return its JSON result.

        Raises
        ------
        OSError
            If the stand-in does not answer.
        ValueError
            If it knows no such command or refuses its arguments.
        """
        host, _, port = self.address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        try:
            conn.request("POST", f"/{command}", json.dumps(body))
            reply = conn.getresponse()
            data = json.loads(reply.read())
        finally:
            conn.close()
        if reply.status != OK:
            raise ValueError(f"{command}: {data['error']}")
        return data


def _handler(commands):
    async def handle(exchange):
        command = commands.get(exchange.path.strip("/"))
        if command is None:
            error = f"no command {exchange.path}"
            await exchange.reply(NOT_FOUND, {"error": error})
            return
        try:
            result = command(**exchange.json())
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            await exchange.reply(BAD_REQUEST, {"error": repr(exc)})
            return
        await exchange.reply(OK, {} if result is None else result)

    return handle


async def run(address, commands, *tasks):
    """Serve commands, with other tasks beside.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    commands : dict of str to callable
        Each takes its JSON body as keywords and returns a dict or None.
    *tasks : callable
        Started first, each as ``await task(task_status)``.
    """
    async with trio.open_nursery() as nursery:
        for task in tasks:
            await nursery.start(task)
        await server.Server(_handler(commands)).serve(address)


def program(main, *args):
    """Run the main task of a stand-in until it is ended."""
    try:
        trio.run(main, *args)
    except* KeyboardInterrupt:
        sys.exit(0)
