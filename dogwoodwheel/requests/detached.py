"""Tasks that outlive the request that started them."""

from loguru import logger
import trio

__all__ = ["DetachedTasks"]


class TaskState:
    """State of a detached task.

    Attributes
    ----------
    done : trio.Event
        Set when the task has ended.
    result : object
        Value that the task returned.
    error : Exception or None
        Error that the task raised.
    abandoned : bool
        Whether no task is waiting for the result.
    """

    def __init__(self):
        self.done = trio.Event()
        self.result = None
        self.error = None
        self.abandoned = False


class DetachedTasks:
    """Runs tasks that continue when the starting task is cancelled.

    Parameters
    ----------
    nursery : trio.Nursery

    Attributes
    ----------
    running_tasks : int
        Number of tasks that have not ended.
    """

    def __init__(self, nursery):
        self._nursery = nursery
        self.running_tasks = 0

    async def call(self, func, *args, unclaimed=None):
        """Run an asynchronous function and return its result.

        Parameters
        ----------
        func : callable
        args
        unclaimed : callable, optional
            ``unclaimed(result)`` is called with the function's result if
            the waiting task was cancelled.
        """
        state = TaskState()
        self.running_tasks += 1
        self._nursery.start_soon(self._run, state, unclaimed, func, args)
        try:
            await state.done.wait()
        except trio.Cancelled:
            state.abandoned = True
            if state.done.is_set():
                _report_unclaimed(state, unclaimed)
            raise
        if state.error is not None:
            raise state.error
        return state.result

    def start(self, func, *args):
        """Start a task whose result is not awaited."""
        state = TaskState()
        state.abandoned = True
        self.running_tasks += 1
        self._nursery.start_soon(self._run, state, None, func, args)

    async def _run(self, state, unclaimed, func, args):
        try:
            state.result = await func(*args)
        except Exception as exc:
            state.error = exc
        finally:
            self.running_tasks -= 1
        state.done.set()
        if state.abandoned and state.error is not None:
            logger.error("requests: detached task failed: {!r}", state.error)
        elif state.abandoned:
            _report_unclaimed(state, unclaimed)


def _report_unclaimed(state, unclaimed):
    if unclaimed is not None and state.error is None:
        unclaimed(state.result)
