"""Which requests are tried again, when, and how many."""

import dataclasses
import functools
import random

import trio

from dogwoodwheel.requests import calls
from dogwoodwheel.wire import messages

__all__ = ["Budget", "Tries", "may_retry", "pause_s"]

MAX_TRIES = 5
BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


class Budget:
    """Bound on retries, over the whole load of this process.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    floor_per_s : float
        Retries a second that are there without any load.
    most : float
        Retries that may be saved up.

    Notes
    -----
    Retries multiply the load just when endpoints fail; with a budget
    they add at most ``ratio`` to it.
    """

    def __init__(self, ratio=0.1, floor_per_s=2.0, most=20.0):
        self.ratio = ratio
        self.floor_per_s = floor_per_s
        self.most = most
        self.level = most
        self.at = None

    def note(self):
        """Note a request."""
        self.level = min(self.most, self.level + self.ratio)

    def take(self):
        """Take one retry; return whether there was one."""
        now = trio.current_time()
        if self.at is not None:
            gained = (now - self.at) * self.floor_per_s
            self.level = min(self.most, self.level + gained)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclasses.dataclass
class Tries:
    """What became of the tries of one request.

    Parameters
    ----------
    count : int
    avoid : tuple of str
        Endpoints at which it failed.
    run : str
        ``unknown`` once a try may have run.
    """

    count: int = 0
    avoid: tuple = ()
    run: str = messages.NOT_RUN

    def failed(self, endpoint, failed):
        """Note a try that failed."""
        self.count += 1
        if endpoint not in self.avoid:
            self.avoid += (endpoint,)
        if failed.run == messages.MAY_HAVE_RUN:
            self.run = messages.MAY_HAVE_RUN


def may_retry(call, failed, delivery, tries):
    """Tell whether a failed try may be followed by another one.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    failed : dogwoodwheel.requests.replies.Failed
    delivery : dogwoodwheel.requests.attempts.Delivery
    tries : Tries

    Notes
    -----
    What surely did not run may always be tried again; what may have
    run only where running twice is harmless.
    """
    if tries.count >= MAX_TRIES or call.deadline.passed():
        return False
    return _allowed(call, failed, delivery)


@functools.singledispatch
def _allowed(call, failed, delivery):
    raise NotImplementedError(type(call))


@_allowed.register
def _model_allowed(call: calls.ModelCall, failed, delivery):
    if not delivery.started:
        return True
    return call.single and not delivery.relay.overrun


@_allowed.register
def _plain_allowed(call: calls.PlainCall, failed, delivery):
    if delivery.started:
        return False
    return failed.run == messages.NOT_RUN or not call.once


def pause_s(count):
    """Return how long to wait before another try, with jitter.

    Parameters
    ----------
    count : int
        Tries that failed.
    """
    pause = min(BACKOFF_S * 2**count, MAX_BACKOFF_S)
    return pause * random.uniform(0.5, 1.5)
