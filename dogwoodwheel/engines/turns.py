"""Shares the event loop between replies that arrive faster than handled.

Notes
-----
Workload: faulty endpoints that send bytes without end, in pieces so small
that each byte takes microseconds of processor time.  Unread bytes wait in
the sockets, so that such endpoints are slowed down, while all other tasks of
the process keep most of its processor time.
"""

import time

import trio

__all__ = ["Turn", "TurnLimiter"]

# Longest processor time that a reply takes before other tasks run.
TURN_S = 0.01
# Share of the processor time that all replies take together which need more
# than this share each.
PROCESSOR_SHARE = 0.25
# A consumer of chunks that takes longer has waited for something else.
MAX_CONSUMER_STEP_S = 0.05


class TurnLimiter:
    """Lets one reply of a process at a time have further turns.

    Replies that arrive more slowly than they are handled need none.
    """

    def __init__(self):
        self._lock = trio.Lock()

    async def wait_next(self, used_s):
        """Wait for the next turn.

        Parameters
        ----------
        used_s : float
            Processor time that the last turn has taken, seconds.
        """
        async with self._lock:
            await trio.sleep(used_s * (1 / PROCESSOR_SHARE - 1))


class Turn:
    """The processor time that one connection takes.

    Parameters
    ----------
    limiter : TurnLimiter

    Notes
    -----
    Time that the connection does not use counts in its favour, up to one
    turn.  A stream of events that arrive as they are made uses a hundredth
    of `PROCESSOR_SHARE`.
    """

    def __init__(self, limiter):
        self._limiter = limiter
        self._used_s = 0.0
        self._last_at = time.perf_counter()

    def begin_step(self):
        """Note that the connection goes on with a chunk."""
        now = time.perf_counter()
        elapsed_s = now - self._last_at
        if elapsed_s < MAX_CONSUMER_STEP_S:
            self._used_s += elapsed_s
        self._last_at = now

    def end_step(self):
        """Note that a chunk has been taken from the received bytes."""
        now = time.perf_counter()
        self._used_s += now - self._last_at
        self._last_at = now

    def begin_wait(self):
        """Note that all received bytes have been handled."""
        self._last_at = time.perf_counter()

    def end_wait(self):
        """Note that further bytes have arrived."""
        now = time.perf_counter()
        idle_s = now - self._last_at
        self._used_s = max(0.0, self._used_s - PROCESSOR_SHARE * idle_s)
        self._last_at = now

    @property
    def is_rested(self):
        """Whether the connection has used less than its share for a while."""
        return not self._used_s

    @property
    def is_over(self):
        """Whether other tasks must run before the next chunk."""
        return self._used_s >= TURN_S

    async def wait_next(self):
        """Wait for the next turn."""
        used_s, self._used_s = self._used_s, 0.0
        await self._limiter.wait_next(used_s)
        self._last_at = time.perf_counter()
