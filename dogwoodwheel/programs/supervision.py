"""Background tasks whose errors do not end the process."""

from loguru import logger
import trio

__all__ = ["keep_running"]

RESTART_PAUSE_S = 0.5


async def keep_running(metrics, name, func, *args):
    """Run a background task; after an error, log it and start again.

    Parameters
    ----------
    metrics : dogwoodwheel.programs.metrics.Metrics
        Counts the errors by task.
    name : str
        Name of the task for the log.
    func : callable
        ``await func(*args)`` runs until cancelled.

    Notes
    -----
    An error in a task is a fault of this program or an input that it
    should have refused.  To end the process would also end the connections
    of all callers, whose requests the task does not serve.
    """
    while True:
        try:
            return await func(*args)
        except Exception:
            metrics.count_task_error(name)
            logger.exception("task failed, starting it again", task=name)
        await trio.sleep(RESTART_PAUSE_S)
