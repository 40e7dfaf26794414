"""From an admitted request to its answer: slots, tries, settlement."""

import dataclasses

from loguru import logger
import trio

from dogwoodwheel.customers import keys
from dogwoodwheel import exceptions
from dogwoodwheel.requests import asks
from dogwoodwheel.requests import attempts
from dogwoodwheel.requests import calls
from dogwoodwheel.requests import deadlines
from dogwoodwheel.requests import refusals
from dogwoodwheel.requests import replies
from dogwoodwheel.requests import retries
from dogwoodwheel.requests import streams
from dogwoodwheel.requests import timings
from dogwoodwheel.wire import messages

__all__ = ["Dispatcher", "authorise"]

RESUME_S = 10.0


def authorise(control, authorization):
    """Return the customer of a key, by the newest configuration.

    Parameters
    ----------
    control : dogwoodwheel.requests.control.Control
    authorization : str

    Raises
    ------
    RefusedError
        If there is no such key, or none any more.
    """
    customer = keys.find_customer(control.declaration(), authorization)
    if customer is None:
        raise refusals.refused(
            "invalid_api_key",
            "the key is not known, or was withdrawn; ask the operators "
            "for one and send it as Authorization: Bearer KEY",
            401,
        )
    return customer


class Dispatcher:
    """Serves calls at endpoints that the coordinator grants.

    Parameters
    ----------
    control : dogwoodwheel.requests.control.Control
    http_client : dogwoodwheel.engines.http.HttpClient
    dial_address : callable
        ``dial_address(address)`` returns the address to dial for an endpoint.
    metrics : dogwoodwheel.programs.metrics.Metrics
    """

    def __init__(self, control, http_client, dial_address, metrics):
        self.control = control
        self.http_client = http_client
        self.dial_address = dial_address
        self.metrics = metrics
        self.budget = retries.Budget()

    async def run(self, call, caller=None):
        """Serve a call.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.Call
        caller : dogwoodwheel.requests.callers.Caller, optional
            Where parts of a long reply go; without one the whole
            answer is returned.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer or None
            None where the caller got the whole reply already.

        Raises
        ------
        RefusedError
        """
        self.budget.note()
        tries = retries.Tries()
        run = _Run(self, call, tries)
        with trio.CancelScope(deadline=call.deadline.at) as scope:
            run.delivery = attempts.Delivery(caller, scope)
            if isinstance(call, calls.ModelCall) and call.stream:
                run.delivery.relay = streams.Relay(call, caller, scope)
            try:
                return await run.serve()
            finally:
                run.settle()
        raise run.expired()


class _Run:
    """One call on its way, over all its tries."""

    def __init__(self, dispatcher, call, tries):
        self.dispatcher = dispatcher
        self.control = dispatcher.control
        self.metrics = dispatcher.metrics
        self.call = call
        self.tries = tries
        self.delivery = None
        self.grant = None
        self.running = False
        self.served = None
        self.timing = timings.Timing(dispatcher.metrics)

    async def serve(self):
        while True:
            await self._take_slot()
            result = await self._try()
            if isinstance(result, replies.Served):
                self.served = result
                self.timing.ended(self.call, self.delivery.relay)
                return result.answer
            last = await self._prepare_retry(result)
            if last is not None:
                return last

    def expired(self):
        """Return the refusal of a call whose deadline has passed."""
        if self.delivery.started:
            return _broken("it took too long")
        run = messages.MAY_HAVE_RUN if self.running else self.tries.run
        never = "" if run == messages.MAY_HAVE_RUN else "; it did not run"
        return refusals.refused(
            "deadline_exceeded",
            f"no answer came within {self.call.deadline.allowed_s:.3f} s"
            f"{never}; allow more by X-Deadline-Ms",
            504,
            run,
            retry_after_s=0 if run == messages.MAY_HAVE_RUN else 1,
        )

    def settle(self):
        """Settle the charge; also where the call was given up.

        Notes
        -----
        What a whole answer that nobody waited for would have cost is
        not known: the estimate of the charge stands.
        """
        if self.grant is None:
            return
        model_call = isinstance(self.call, calls.ModelCall)
        if self.running and model_call and not self.call.stream:
            return
        output = self._output()
        self.control.settle(
            self.grant,
            self.call.customer,
            getattr(self.call, "model", ""),
            asks.cost_of(self.call, output, self._may_have_run()),
            output,
        )

    async def _take_slot(self):
        call = self.call
        asked_at = trio.current_time()
        charge = self.grant.charge if self.grant else 0
        ask = asks.ask_of(call, self.tries.avoid, charge)
        try:
            grant = await self.control.ask(ask, call.deadline)
        except exceptions.RefusedError as exc:
            raise self._refused(exc.refusal) from exc
        self.grant = grant
        self.timing.waited(call, self.grant, asked_at)
        try:
            self._check_key()
        except exceptions.RefusedError as exc:
            self.control.done(grant, "unused")
            raise self._refused(exc.refusal) from exc

    def _check_key(self):
        # The key may have been withdrawn while the request waited.
        call = self.call
        if call.customer:
            customer = authorise(self.control, call.authorization)
            if customer.name != call.customer:
                raise refusals.refused(
                    "invalid_api_key", "the key passed to another", 401
                )

    async def _try(self):
        address = self.dispatcher.dial_address(self.grant.address)
        began_at = trio.current_time()
        outcome = "cancelled"
        output = 0
        self.running = True
        try:
            result = await attempts.attempt(
                self.call, self.dispatcher.http_client, address, self.delivery
            )
            if isinstance(result, replies.Served):
                outcome, output = "ok", result.output
            else:
                outcome = result.outcome
            self.running = False
            return result
        except trio.Cancelled:
            if self.delivery.scope.cancel_called:
                outcome = "late"
            raise
        finally:
            took_s = trio.current_time() - began_at
            self.control.done(self.grant, outcome, took_s, output)

    async def _prepare_retry(self, failed):
        """Wait for the next try, or end the tries.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer or None
            The endpoint's own last reply, where there is no further
            try and the caller can read it.

        Raises
        ------
        RefusedError
            If there is no further try.
        """
        call = self.call
        tries = self.tries
        tries.failed(self.grant.endpoint, failed)
        logger.info(
            "requests: try failed endpoint={} run={} cause={}",
            self.grant.endpoint,
            failed.run,
            failed.message,
        )
        if self.delivery.started:
            call = dataclasses.replace(
                call, deadline=deadlines.Deadline(RESUME_S)
            )
        allowed = retries.may_retry(call, failed, self.delivery, tries)
        if not allowed or not self.dispatcher.budget.take():
            if failed.answer and isinstance(call, calls.PlainCall):
                return failed.answer
            raise self._gave_up(failed)
        self.call = call
        self.metrics.count_retry()
        pause_s = retries.pause_s(tries.count)
        await trio.sleep(min(pause_s, call.deadline.left_s()))
        return None

    def _gave_up(self, failed):
        if self.delivery.started:
            return _broken(failed.message)
        unknown = self.tries.run == messages.MAY_HAVE_RUN
        return refusals.refused(
            "endpoint_failed",
            f"{failed.message}; "
            + ("it may have run" if unknown else "it did not run, try again"),
            502 if unknown else 503,
            self.tries.run,
            retry_after_s=0 if unknown else 1,
        )

    def _refused(self, refusal):
        """Return the error of a refusal, true over all tries."""
        if self.delivery.started:
            return _broken(refusal.message)
        if self.tries.run == messages.MAY_HAVE_RUN:
            refusal = dataclasses.replace(refusal, run=messages.MAY_HAVE_RUN)
        return exceptions.RefusedError(refusal)

    def _may_have_run(self):
        if self.served is not None or self.running:
            return True
        return self.tries.run == messages.MAY_HAVE_RUN

    def _output(self):
        if self.served is not None:
            return self.served.output
        relay = self.delivery.relay
        return relay.output if relay is not None else 0


def _broken(cause):
    return refusals.refused(
        "stream_broken",
        f"the answer broke off and could not be resumed: {cause}; "
        f"ask again",
        502,
        messages.MAY_HAVE_RUN,
    )
