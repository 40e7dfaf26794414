"""Runs calls at endpoints: acquires slots, retries, settles the cost."""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel.customers import keys
from dogwoodwheel import exceptions
from dogwoodwheel.requests import admission_requests
from dogwoodwheel.requests import attempts
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import deadlines
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import replies
from dogwoodwheel.requests import retries
from dogwoodwheel.requests import streams
from dogwoodwheel.requests import timings
from dogwoodwheel.wire import messages

__all__ = ["Dispatcher", "authenticate"]

# Time allowed for an attempt that resumes a stream.
RESUME_TIMEOUT_S = 10.0


def authenticate(coordinator_client, authorization):
    """Return the customer of a key, by the newest configuration.

    Parameters
    ----------
    coordinator_client : CoordinatorClient
        Of `dogwoodwheel.requests.coordinator_client`.
    authorization : str
        Value of the ``Authorization`` header.

    Returns
    -------
    dogwoodwheel.declaration.datatypes.Customer

    Raises
    ------
    RefusedError
        If the key is unknown or was withdrawn, or the configuration may
        be out of date.
    """
    customer = keys.find_customer(
        coordinator_client.declaration(), authorization
    )
    if customer is None:
        raise refusals.refused(
            "invalid_api_key",
            "the key is not known, or was withdrawn; ask the operators "
            "for one and send it as Authorization: Bearer KEY",
            401,
        )
    return customer


class Dispatcher:
    """Runs calls at the endpoints at which the coordinator grants slots.

    Parameters
    ----------
    coordinator_client : CoordinatorClient
        Of `dogwoodwheel.requests.coordinator_client`.
    http_client : dogwoodwheel.engines.http.HttpClient
    dial_address : callable
        ``dial_address(address)`` returns the address to dial for an endpoint.
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, coordinator_client, http_client, dial_address, metrics):
        self.coordinator_client = coordinator_client
        self.http_client = http_client
        self.dial_address = dial_address
        self.metrics = metrics
        self.retry_budget = retries.RetryBudget()

    async def run(self, call, caller=None):
        """Run a call, with retries, until its deadline.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.Call
        caller : dogwoodwheel.requests.callers.Caller, optional
            Receives a long reply or a stream while the endpoint sends it.
            If None, the complete answer is returned.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer or None
            None if the complete reply has been sent to the caller.

        Raises
        ------
        RefusedError
        """
        self.retry_budget.record_request()
        history = retries.AttemptHistory()
        call_run = _CallRun(self, call, history)
        with trio.CancelScope(deadline=call.deadline.stop_at) as scope:
            call_run.delivery = attempts.Delivery(caller, scope)
            if isinstance(call, calls.ModelCall) and call.stream:
                call_run.delivery.relay = streams.Relay(call, caller, scope)
            try:
                return await call_run.serve()
            finally:
                call_run.settle()
        raise call_run.deadline_error()


class _CallRun:
    """State of a call in flight, shared by all attempts of the call."""

    def __init__(self, dispatcher, call, history):
        self.dispatcher = dispatcher
        self.coordinator_client = dispatcher.coordinator_client
        self.metrics = dispatcher.metrics
        self.call = call
        self.history = history
        self.delivery = None
        self.grant = None
        self.in_flight = False
        self.completed_attempt = None
        self.timing = timings.Timing(dispatcher.metrics)

    async def serve(self):
        while True:
            await self._acquire_slot()
            result = await self._run_attempt()
            if isinstance(result, replies.CompletedAttempt):
                self.completed_attempt = result
                self.timing.record_end(self.call, self.delivery.relay)
                return result.answer
            last_answer = await self._prepare_retry(result)
            if last_answer is not None:
                return last_answer

    def deadline_error(self):
        """Return the error for a call whose deadline has passed."""
        if self.delivery.reply_started:
            return _broken_stream_error("it took too long")
        run = (
            messages.MAY_HAVE_RUN if self.in_flight else self.history.run_state
        )
        not_run_text = (
            "" if run == messages.MAY_HAVE_RUN else "; it did not run"
        )
        return refusals.refused(
            "deadline_exceeded",
            f"no answer came within {self.call.deadline.allowed_s:.3f} s"
            f"{not_run_text}; allow more by X-Deadline-Ms",
            504,
            run,
            retry_after_s=0 if run == messages.MAY_HAVE_RUN else 1,
        )

    def settle(self):
        """Settle the charge with the actual cost, also after cancellation.

        Notes
        -----
        If a call is cancelled while an engine runs it and its answer is
        not streamed, the actual cost is unknown.  The charge, the tokens
        reserved by estimate, then stays.
        """
        if self.grant is None:
            return
        model_call = isinstance(self.call, calls.ModelCall)
        if self.in_flight and model_call and not self.call.stream:
            return
        output_tokens = self._output_tokens()
        self.coordinator_client.settle(
            self.grant,
            self.call.customer,
            getattr(self.call, "model", ""),
            admission_requests.token_cost(
                self.call, output_tokens, self._may_have_run()
            ),
            output_tokens,
        )

    async def _acquire_slot(self):
        call = self.call
        requested_at = trio.current_time()
        charge = self.grant.charge if self.grant else 0
        ask = admission_requests.make_ask(
            call, self.history.failed_endpoints, charge
        )
        try:
            grant = await self.coordinator_client.acquire_slot(
                ask, call.deadline
            )
        except exceptions.RefusedError as exc:
            raise self._refusal_error(exc.refusal) from exc
        self.grant = grant
        self.timing.record_wait(call, self.grant, requested_at)
        try:
            self._check_key()
        except exceptions.RefusedError as exc:
            self.coordinator_client.release_slot(grant, "unused")
            raise self._refusal_error(exc.refusal) from exc

    def _check_key(self):
        # The key may have been withdrawn while the request was queued.
        call = self.call
        if call.customer:
            customer = authenticate(
                self.coordinator_client, call.authorization
            )
            if customer.name != call.customer:
                raise refusals.refused(
                    "invalid_api_key", "the key passed to another", 401
                )

    async def _run_attempt(self):
        address = self.dispatcher.dial_address(self.grant.address)
        started_at = trio.current_time()
        outcome = "cancelled"
        output_tokens = 0
        self.in_flight = True
        try:
            result = await attempts.attempt(
                self.call, self.dispatcher.http_client, address, self.delivery
            )
            if isinstance(result, replies.CompletedAttempt):
                outcome, output_tokens = "ok", result.output_tokens
            else:
                outcome = result.outcome
            self.in_flight = False
            return result
        except trio.Cancelled:
            if self.delivery.scope.cancel_called:
                outcome = "late"
            raise
        finally:
            took_s = trio.current_time() - started_at
            self.coordinator_client.release_slot(
                self.grant, outcome, took_s, output_tokens
            )

    async def _prepare_retry(self, failed):
        """Prepare the next attempt after a failed attempt, or give up.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer or None
            None if another attempt follows; otherwise the endpoint's last
            reply, which only a service without models may return.

        Raises
        ------
        RefusedError
            If no attempt follows and there is no reply to return.
        """
        call = self.call
        history = self.history
        history.record_failure(self.grant.endpoint, failed)
        logger.info(
            "requests: attempt failed endpoint={} run={} cause={}",
            self.grant.endpoint,
            failed.run_state,
            failed.message,
        )
        if self.delivery.reply_started:
            call = dataclasses.replace(
                call, deadline=deadlines.Deadline(RESUME_TIMEOUT_S)
            )
        may_retry = retries.may_retry(call, failed, self.delivery, history)
        if not may_retry or not self.dispatcher.retry_budget.try_acquire():
            if failed.answer and isinstance(call, calls.PlainCall):
                return failed.answer
            raise self._failure_error(failed)
        self.call = call
        self.metrics.count_retry()
        wait_s = retries.backoff_s(history.failed_attempts)
        await trio.sleep(min(wait_s, call.deadline.left_s()))
        return None

    def _failure_error(self, failed):
        if self.delivery.reply_started:
            return _broken_stream_error(failed.message)
        may_have_run = self.history.run_state == messages.MAY_HAVE_RUN
        return refusals.refused(
            "endpoint_failed",
            f"{failed.message}; "
            + (
                "it may have run"
                if may_have_run
                else "it did not run, try again"
            ),
            502 if may_have_run else 503,
            self.history.run_state,
            retry_after_s=0 if may_have_run else 1,
        )

    def _refusal_error(self, refusal):
        """Return the error for a refusal, with ``run`` for all attempts."""
        if self.delivery.reply_started:
            return _broken_stream_error(refusal.message)
        if self.history.run_state == messages.MAY_HAVE_RUN:
            refusal = dataclasses.replace(refusal, run=messages.MAY_HAVE_RUN)
        return exceptions.RefusedError(refusal)

    def _may_have_run(self):
        if self.completed_attempt is not None or self.in_flight:
            return True
        return self.history.run_state == messages.MAY_HAVE_RUN

    def _output_tokens(self):
        if self.completed_attempt is not None:
            return self.completed_attempt.output_tokens
        relay = self.delivery.relay
        return relay.output_tokens if relay is not None else 0


def _broken_stream_error(cause):
    return refusals.refused(
        "stream_broken",
        f"the answer broke off and could not be resumed: {cause}; "
        f"ask again",
        502,
        messages.MAY_HAVE_RUN,
    )
