"""Retry policy: which attempts are retried, the backoff and the budget."""

import dataclasses
import functools
import random

import trio

from dogwoodwheel.requests import calls
from dogwoodwheel.wire import messages

__all__ = ["RetryBudget", "AttemptHistory", "may_retry", "backoff_s"]

MAX_ATTEMPTS = 5
BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Limit on the retries of all requests of this process together.

    Parameters
    ----------
    retries_per_request : float
        Number of retries that each request adds to the budget.
    min_retries_per_s : float
        Number of retries per second that are allowed even without
        requests.
    max_available_retries : float
        Maximum number of retries that accumulate.

    Notes
    -----
    Retries increase the endpoints' load when endpoints fail.  The budget
    is a token bucket that limits the retries of a period to
    ``retries_per_request`` for each request plus ``min_retries_per_s``
    for each second.
    """

    def __init__(
        self,
        retries_per_request=0.1,
        min_retries_per_s=2.0,
        max_available_retries=20.0,
    ):
        self.retries_per_request = retries_per_request
        self.min_retries_per_s = min_retries_per_s
        self.max_available_retries = max_available_retries
        self.available_retries = max_available_retries
        self.refilled_at = None

    def record_request(self):
        """Add ``retries_per_request`` to the budget for a request."""
        self.available_retries = min(
            self.max_available_retries,
            self.available_retries + self.retries_per_request,
        )

    def try_acquire(self):
        """Return whether the budget allows a retry, and count the retry."""
        now = trio.current_time()
        if self.refilled_at is not None:
            refill = (now - self.refilled_at) * self.min_retries_per_s
            self.available_retries = min(
                self.max_available_retries, self.available_retries + refill
            )
        self.refilled_at = now
        if self.available_retries < 1:
            return False
        self.available_retries -= 1
        return True


@dataclasses.dataclass
class AttemptHistory:
    """Failed attempts of one request.

    Parameters
    ----------
    failed_attempts : int
        Number of failed attempts.
    failed_endpoints : tuple of str
        Endpoints at which an attempt failed.
    run_state : str
        ``unknown`` once an attempt may have run, before that ``not_run``.
    """

    failed_attempts: int = 0
    failed_endpoints: tuple = ()
    run_state: str = messages.NOT_RUN

    def record_failure(self, endpoint, failed):
        """Record a failed attempt."""
        self.failed_attempts += 1
        if endpoint not in self.failed_endpoints:
            self.failed_endpoints += (endpoint,)
        if failed.run_state == messages.MAY_HAVE_RUN:
            self.run_state = messages.MAY_HAVE_RUN


def may_retry(call, failed, delivery, history):
    """Return whether another attempt may follow a failed attempt.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    failed : dogwoodwheel.requests.replies.FailedAttempt
    delivery : dogwoodwheel.requests.attempts.Delivery
    history : AttemptHistory

    Notes
    -----
    An attempt that certainly did not run may always be retried, within the
    deadline and `MAX_ATTEMPTS`.  An attempt that may have run is retried
    only if running the request twice does no harm.
    """
    if history.failed_attempts >= MAX_ATTEMPTS or call.deadline.passed():
        return False
    return _is_retryable(call, failed, delivery)


@functools.singledispatch
def _is_retryable(call, failed, delivery):
    raise NotImplementedError(type(call))


@_is_retryable.register
def _is_model_retryable(call: calls.ModelCall, failed, delivery):
    if not delivery.reply_started:
        return True
    return call.single_choice and not delivery.relay.exceeded_token_limit


@_is_retryable.register
def _is_plain_retryable(call: calls.PlainCall, failed, delivery):
    if delivery.reply_started:
        return False
    return failed.run_state == messages.NOT_RUN or not call.at_most_once


def backoff_s(failed_attempts):
    """Return the seconds to wait before the next attempt, with jitter.

    Parameters
    ----------
    failed_attempts : int
        Number of failed attempts.
    """
    delay_s = min(BACKOFF_S * 2**failed_attempts, MAX_BACKOFF_S)
    return delay_s * random.uniform(0.5, 1.5)
