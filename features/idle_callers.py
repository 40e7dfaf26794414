"""Callers whose requests meet the end of their idle connections."""

import random

import hypercorn.config
import trio

from dogwoodwheel.programs import http_server
from dogwoodwheel.programs import runner
from dogwoodwheel.requests import asgi
from features.standins import machines

__all__ = ["IdleCallers"]

CALLERS = 60
# Idle limit of the server, and how far from it requests arrive, seconds.
IDLE_S = 0.3
SPREAD_S = 0.002
# Number of times that the other tasks run before the server is stopped.
MAX_CHECKPOINTS = 12
ANSWER_S = 0.05
TIMEOUT_S = 2.0
FIRST_PATH = "/first"


class IdleCallers:
    """Callers of one HTTP server, each on a connection that it keeps.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    passed_on, answered : set of str
        Paths of the requests that reached the application, and of those
        that were answered.
    """

    def __init__(self, seed):
        self.passed_on = set()
        self.answered = set()
        self._random = random.Random(seed)
        self._address = machines.free_address("127.0.0.1")
        self._first_answers_at = []
        self._go = trio.Event()
        self._stop = trio.Event()

    async def meet_idle_limit(self):
        """Send each caller's second request as its connection runs out."""
        await self._run(self._wait_for_idle_limit, lambda: None)

    async def meet_stop(self):
        """Send each caller's second request as the server stops."""
        await self._run(self._go.wait, self._stop.set)

    async def _run(self, wait, stop):
        async with trio.open_nursery() as server_nursery:
            await server_nursery.start(self._serve)
            async with trio.open_nursery() as nursery:
                for number in range(CALLERS):
                    nursery.start_soon(self._call, f"/{number}", wait)
                while len(self._first_answers_at) < CALLERS:
                    await trio.sleep(0.001)
                self._go.set()
                for _ in range(self._random.randrange(MAX_CHECKPOINTS)):
                    await trio.lowlevel.checkpoint()
                stop()
            self._stop.set()

    async def _serve(self, task_status):
        cfg = hypercorn.config.Config()
        cfg.bind = [f"fd://{runner.bound_socket_fd(self._address)}"]
        cfg.keep_alive_timeout = IDLE_S
        await http_server.serve(
            self._app,
            cfg,
            self._stop.wait,
            http1_only=True,
            task_status=task_status,
        )

    async def _app(self, scope, receive, send):
        if scope["path"] != FIRST_PATH:
            self.passed_on.add(scope["path"])
            await trio.sleep(ANSWER_S)
        await asgi.send_response(send, 200, "text/plain", b"ok")

    async def _wait_for_idle_limit(self):
        await self._go.wait()
        middle_at = sorted(self._first_answers_at)[CALLERS // 2]
        offset_s = self._random.uniform(-SPREAD_S, SPREAD_S)
        await trio.sleep_until(middle_at + IDLE_S + offset_s)

    async def _call(self, path, wait):
        host, _, port = self._address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await _exchange(stream, FIRST_PATH)
            self._first_answers_at.append(trio.current_time())
            await wait()
            with trio.move_on_after(TIMEOUT_S):
                if await _exchange(stream, path):
                    self.answered.add(path)


async def _exchange(stream, path):
    """Send a request; return whether its answer came."""
    reply = b""
    try:
        await stream.send_all(
            f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        )
        while not reply.endswith(b"ok"):
            data = await stream.receive_some()
            if not data:
                return False
            reply += data
    except trio.BrokenResourceError:
        return False
    return True
