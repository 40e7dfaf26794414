"""Measures for how long tasks hold the event loop.

Notes
-----
All tasks of a process share one thread.  While one of them runs without a
checkpoint, the process serves no request, notices no deadline and sends no
heartbeat.
"""

import time

from loguru import logger
import trio

from dogwoodwheel.requests import callers

__all__ = ["LoopMonitor"]

# Shortest time without a checkpoint that is counted and logged.
SLOW_STEP_S = 0.05
# At most this many lines are logged in each interval.
MAX_LINES = 20
LINES_INTERVAL_S = 60.0


class LoopMonitor(trio.abc.Instrument):
    """Counts and logs the steps of tasks that hold the event loop.

    Parameters
    ----------
    metrics : dogwoodwheel.programs.metrics.Metrics

    Notes
    -----
    A step is what a task runs between two checkpoints.  Measuring one
    takes about a microsecond.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._step_began_at = time.perf_counter()
        self._lines_began_at = 0.0
        self._line_count = 0

    def before_task_step(self, task):
        """Note that a task begins to run."""
        self._step_began_at = time.perf_counter()

    def after_task_step(self, task):
        """Record the step if it was slow."""
        now = time.perf_counter()
        held_s = now - self._step_began_at
        if held_s >= SLOW_STEP_S:
            self._record(task, held_s, now)

    def _record(self, task, held_s, now):
        self._metrics.observe_slow_step(held_s)
        if now - self._lines_began_at >= LINES_INTERVAL_S:
            self._lines_began_at = now
            self._line_count = 0
        self._line_count += 1
        if self._line_count > MAX_LINES:
            return
        logger.warning(
            "event loop: held by one task",
            id=task.context.get(callers.REQUEST_ID, ""),
            task=task.name,
            held_ms=round(held_s * 1000),
            last_logged=self._line_count == MAX_LINES,
        )
