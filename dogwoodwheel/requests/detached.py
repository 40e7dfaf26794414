"""Tasks that outlive the request that started them."""

from loguru import logger
import trio

__all__ = ["Detached"]


class Box:
    """The result of a detached task, and who still waits for it."""

    def __init__(self):
        self.done = trio.Event()
        self.result = None
        self.error = None
        self.left = False


class Detached:
    """Run tasks that go on when their caller is cancelled.

    Parameters
    ----------
    nursery : trio.Nursery

    Attributes
    ----------
    running : int
        Tasks that have not ended.
    """

    def __init__(self, nursery):
        self._nursery = nursery
        self.running = 0

    async def call(self, func, *args, unclaimed=None):
        """Return what an asynchronous function returns.

        Parameters
        ----------
        func : callable
        args
        unclaimed : callable, optional
            ``unclaimed(result)`` is called in place of a return if the
            waiting task was cancelled meanwhile.
        """
        box = Box()
        self.running += 1
        self._nursery.start_soon(self._run, box, unclaimed, func, args)
        try:
            await box.done.wait()
        except trio.Cancelled:
            box.left = True
            if box.done.is_set():
                _give_back(box, unclaimed)
            raise
        if box.error is not None:
            raise box.error
        return box.result

    def start(self, func, *args):
        """Start a task whose result nobody awaits."""
        box = Box()
        box.left = True
        self.running += 1
        self._nursery.start_soon(self._run, box, None, func, args)

    async def _run(self, box, unclaimed, func, args):
        try:
            box.result = await func(*args)
        except Exception as exc:
            box.error = exc
        finally:
            self.running -= 1
        box.done.set()
        if box.left and box.error is not None:
            logger.error("requests: detached task failed: {!r}", box.error)
        elif box.left:
            _give_back(box, unclaimed)


def _give_back(box, unclaimed):
    if unclaimed is not None and box.error is None:
        unclaimed(box.result)
