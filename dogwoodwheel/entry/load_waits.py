"""Decides whether a request waits until its model is loaded.

Notes
-----
Workload: requests ask for more models than the engines hold, and the weight
store serves only a few loads at a time.  A request waits for its model only
if the request can be answered in time afterwards.  Otherwise the request is
refused at once, with the time that the load is expected to take.
"""

import dataclasses
import math

__all__ = ["ModelLoad", "expected_load_s", "retry_after_s", "time_needed_s"]

# Time that the order for a model load adds to the load time, seconds.
ORDER_OVERHEAD_S = 0.3
# A request is refused if the time that it has waited exceeds its remaining
# time by more than this, seconds, whatever model load time is expected.
OVERDUE_MARGIN_S = 0.5
# A request no longer waits for a model load that takes longer than LONG_LOAD_S
# and has not begun MAX_LOAD_START_DELAY_S after the request began to wait.
LONG_LOAD_S = 2.0
MAX_LOAD_START_DELAY_S = 0.6
# A model load that takes this many times its expected time counts as failed.
MODEL_LOAD_TIMEOUT_FACTOR = 1.5
# Retry-After if other models must be loaded before the requested model,
# seconds; about half the duration of a load from the weight store.
LOADS_PENDING_RETRY_AFTER_S = 3.0
# Minimum Retry-After, seconds.  Also sent if the time at which an endpoint can
# take the request is unknown.
MIN_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True)
class ModelLoad:
    """The load of a model that no engine holds, as far as an entry knows.

    Parameters
    ----------
    load_s : float
        Shortest time in which an engine can load the model, seconds.
    elapsed_s : float or None
        Seconds since a load of the model began; None if none is under way.
    """

    load_s: float
    elapsed_s: float = None


def expected_load_s(load, waited_s):
    """Return the expected time until a model is loaded, in seconds.

    Parameters
    ----------
    load : ModelLoad
    waited_s : float
        Seconds that the request has waited.

    Returns
    -------
    float
        Infinite if the load is not expected to begin in time.

    Notes
    -----
    A load from the weight store that does not begin soon after the request
    is unlikely to begin in time, since loads of other models precede it.

    Examples
    --------
    >>> expected_load_s(ModelLoad(load_s=7.8, elapsed_s=5.0), waited_s=2.0)
    2.8
    >>> expected_load_s(ModelLoad(load_s=7.8), waited_s=2.0)
    inf
    """
    timeout_s = MODEL_LOAD_TIMEOUT_FACTOR * load.load_s + ORDER_OVERHEAD_S
    if load.elapsed_s is not None and load.elapsed_s < timeout_s:
        return round(max(0.0, load.load_s - load.elapsed_s), 3)
    is_late = waited_s > MAX_LOAD_START_DELAY_S and load.load_s > LONG_LOAD_S
    return math.inf if is_late else load.load_s + ORDER_OVERHEAD_S


def time_needed_s(expected_s, waited_s):
    """Return the time that a waiting request must still have left, seconds.

    Parameters
    ----------
    expected_s : float
        Expected time until an endpoint can take the request, seconds.
    waited_s : float
        Seconds that the request has waited.
    """
    return max(expected_s, waited_s - OVERDUE_MARGIN_S)


def retry_after_s(needed_s):
    """Return the Retry-After for a request that cannot wait, in seconds.

    Parameters
    ----------
    needed_s : float
        Result of `time_needed_s`.
    """
    if needed_s == math.inf:
        return LOADS_PENDING_RETRY_AFTER_S
    return max(needed_s, MIN_RETRY_AFTER_S)
