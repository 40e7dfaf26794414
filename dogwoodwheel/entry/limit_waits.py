"""Decides whether a request waits for the limits that endpoints name.

Notes
-----
Workload: as for `rate_limits`, with more requests than the limits allow.  If
all of them waited, each would be answered late; so a request waits until its
route's target latency at most, and is otherwise refused at once with the time
at which the limits allow it.
"""

from dogwoodwheel.entry import load_waits
from dogwoodwheel.requests import refusals

__all__ = ["check_wait", "max_wait_s"]

# Minimum time for which a request may wait for limits, seconds.
MIN_WAIT_S = 0.4
# Maximum Retry-After of a request that limits hold back, seconds.
MAX_RETRY_AFTER_S = 5.0


def max_wait_s(target_latency_s):
    """Return for how long a request may wait for limits, seconds.

    Parameters
    ----------
    target_latency_s : float
        Time within which the answer should begin, seconds.
    """
    return max(MIN_WAIT_S, target_latency_s)


def check_wait(name, wait_s, left_s):
    """Refuse a request that the limits of endpoints would make late.

    Parameters
    ----------
    name : str
        Model or service that the request waits for.
    wait_s : float
        Expected time until the limits allow the request, seconds.
    left_s : float
        Time for which the request may still wait, seconds.

    Raises
    ------
    RefusedError
        If the request would wait for longer.
    """
    if wait_s <= left_s:
        return
    raise refusals.refused(
        "endpoint_limited",
        f"the endpoints of {name} name a limit that allows this in "
        f"{wait_s:.1f} s; come back then",
        503,
        retry_after_s=min(
            MAX_RETRY_AFTER_S, max(wait_s, load_waits.MIN_RETRY_AFTER_S)
        ),
    )
