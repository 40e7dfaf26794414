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

# Processor time that a reply takes before it waits for its next turn; the
# shorter one holds while all replies together use more than `PROCESSOR_SHARE`.
TURN_S = 0.005
BUSY_TURN_S = 0.001
# Share of the processor time that each reply may use without a further turn.
REPLY_SHARE = 0.02
# Share of the processor time that all further turns take together.
PROCESSOR_SHARE = 0.25
# Processor time above this share from which replies use more than it.
BUSY_S = 0.05
# Processor time for receiving bytes, before they are parsed.
RECEIVE_WORK_S = 0.0001
# A step that takes longer is one in which the process did not run, or in which
# the consumer of a chunk waited.
MAX_STEP_S = 0.05


class TurnLimiter:
    """Lets one reply of a process at a time have further turns.

    Replies that arrive more slowly than they are handled need none.
    """

    def __init__(self):
        self._lock = trio.Lock()
        self._used_s = 0.0
        self._used_at = time.perf_counter()

    def charge(self, used_s, now):
        """Add processor time that a reply has used until now, seconds."""
        idle_s = PROCESSOR_SHARE * (now - self._used_at)
        self._used_s = max(0.0, self._used_s - idle_s) + used_s
        self._used_at = now

    @property
    def turn_s(self):
        """Processor time of a turn, seconds."""
        return BUSY_TURN_S if self._used_s > BUSY_S else TURN_S

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
    turn.  A stream of 70 events a second, each handled as it arrives, uses
    half of `REPLY_SHARE`.
    """

    def __init__(self, limiter):
        self._limiter = limiter
        self._used_s = 0.0
        self._last_at = time.perf_counter()

    def begin_step(self):
        """Note that the connection goes on with a chunk."""
        now = time.perf_counter()
        elapsed_s = now - self._last_at
        self._last_at = now
        if elapsed_s < MAX_STEP_S:
            self.charge(elapsed_s)

    def end_step(self):
        """Note that a chunk has been taken from the received bytes."""
        now = time.perf_counter()
        elapsed_s = now - self._last_at
        self._last_at = now
        self.charge(min(elapsed_s, MAX_STEP_S))

    def charge(self, used_s):
        """Add processor time that was used for the connection, seconds."""
        self._used_s += used_s
        self._limiter.charge(used_s, self._last_at)

    def begin_wait(self):
        """Note that all received bytes have been handled."""
        self._last_at = time.perf_counter()

    def end_wait(self):
        """Note that further bytes have arrived."""
        now = time.perf_counter()
        idle_s = now - self._last_at
        self._last_at = now
        self._used_s = max(0.0, self._used_s - REPLY_SHARE * idle_s)
        self.charge(RECEIVE_WORK_S)

    @property
    def is_over(self):
        """Whether other tasks must run before the next chunk."""
        return self._used_s >= self._limiter.turn_s

    async def wait_next(self):
        """Wait for the next turn."""
        used_s, self._used_s = self._used_s, 0.0
        await self._limiter.wait_next(used_s)
        self._last_at = time.perf_counter()
