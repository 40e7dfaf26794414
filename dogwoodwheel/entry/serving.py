"""One request of a caller: admission, attempts, answer."""

from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel.entry import events
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import quota
from dogwoodwheel import exceptions
from dogwoodwheel.platform import http_headers
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages

__all__ = ["serve"]

CONNECT_TIMEOUT_S = 0.4
# What is left to a request when it is sent, at least.
MIN_LEFT_S = 0.05
# An endpoint that has not begun to answer a request which may be
# repeated is given up after so many aims, and no sooner than this.
SILENT_AIMS = 2.0
MIN_SILENT_S = 0.8
# Time for which an endpoint that lacked a model is not asked for it.
LACKS_S = 0.5
OK_BELOW = 300
SERVER_ERROR = 500
# Attempts that endpoints refused without running, beyond those counted.
MAX_REFUSED = 4


async def serve(components, admitted, caller):
    """Send a request to endpoints until one answers; pass the answer on.

    Raises
    ------
    RefusedError
        With no answer begun.
    ReplyError
        If a stream that has begun cannot go on.
    """
    run = RequestHandler(components, admitted, caller)
    try:
        with trio.move_on_at(admitted.deadline) as scope:
            await run.serve()
        if scope.cancelled_caught:
            raise run.timed_out()
    except exceptions.RefusedError as exc:
        if exc.refusal.run == messages.NOT_RUN and admitted.customer:
            components.quotas.refund(
                admitted.customer,
                quota.request_units(
                    admitted.customer, admitted.request_headers
                ),
            )
        raise


class RequestHandler:
    """The attempts of one request."""

    def __init__(self, components, admitted, caller):
        self.components = components
        self.admitted = admitted
        self.caller = caller
        self.avoid = set()
        self.sent = 0
        self.refused = 0
        self.may_have_run = False
        self.full = False
        self.unsent = False
        self.splitter = None
        self.version = b""
        self.begun = None
        self.need = endpoint_selection.Requirements(
            admitted.service,
            admitted.request_headers,
            min(
                admitted.deadline,
                admitted.incoming.received_at
                + admitted.route.caller_timeout_s,
            ),
        )
        route = admitted.route
        if route.kind == datatypes.RouteKind.STREAM:
            asked = admitted.request_headers
            last = asked.last_event_id if asked.resumes_stream else None
            self.splitter = events.EventSplitter(http_headers.event_id, last)

    async def serve(self):
        """Make attempts until one has answered."""
        admitted = self.admitted
        components = self.components
        components.retry_budget.record_request(
            admitted.service.name, trio.current_time()
        )
        if admitted.request_headers.model:
            components.request_counts.ask(
                admitted.request_headers.model, trio.current_time()
            )
        failed = None
        while True:
            tracked_endpoint = None
            if failed is not None:
                self._check_again(failed)
                tracked_endpoint = endpoint_selection.select_endpoint(
                    components, self.need, self.avoid
                )
                if tracked_endpoint is None and self.full:
                    raise failed
                if tracked_endpoint is None:
                    # The only endpoint left is better than none.
                    self.avoid.clear()
            if tracked_endpoint is None:
                tracked_endpoint = await self._select_endpoint(failed)
            self.full = False
            failed = await self._attempt(tracked_endpoint)
            if failed is None:
                return

    async def _select_endpoint(self, failed):
        """Return the tracked endpoint for the next attempt.

        Notes
        -----
        Where an earlier attempt may have run, its failure is the answer:
        a refusal would say that the request has not run.
        """
        try:
            return await endpoint_selection.wait_for_endpoint(
                self.components, self.need, self.avoid
            )
        except exceptions.RefusedError as exc:
            if self.may_have_run:
                raise failed from exc
            raise

    def _check_again(self, failed):
        """Raise if the request may not be sent again."""
        route = self.admitted.route
        again = not self.may_have_run or route.is_retryable
        left = self.refused < MAX_REFUSED and self.sent < max(
            1, route.max_attempts
        )
        if again and left and (self.unsent or self._take_retry()):
            self.unsent = False
            return
        raise failed

    def _take_retry(self):
        self.components.metrics.count_retry()
        return self.components.retry_budget.try_acquire(
            self.admitted.service.name,
            trio.current_time(),
            len(self.components.entries()),
        )

    def timed_out(self):
        """Return the error of a request that ran out of time."""
        return self._gave_up("deadline", "it could not be answered in time")

    def _gave_up(self, code, message):
        if self.caller.started:
            return exceptions.ReplyError(message)
        if self.may_have_run:
            return refusals.refused(code, message, 504, messages.MAY_HAVE_RUN)
        return refusals.refused(code, message, 503, retry_after_s=0.3)

    async def _attempt(self, tracked_endpoint):
        """Send the request to one endpoint.

        Returns
        -------
        Exception or None
            What to raise if the request is not sent again; None once
            the caller is answered.
        """
        endpoint = tracked_endpoint.endpoint
        admitted = self.admitted
        left_s = admitted.deadline - trio.current_time()
        if left_s < MIN_LEFT_S:
            return self.timed_out()
        req = http.Request(
            id=admitted.request_headers.id,
            method=admitted.incoming.method,
            target=admitted.incoming.target,
            headers=self._headers(endpoint, left_s),
            body=admitted.incoming.body,
        )
        self.avoid.add(endpoint.id)
        tokens = admitted.request_headers.prompt_tokens
        began = trio.current_time()
        outcome = "?"
        try:
            load = self.components.load(endpoint.id)
            with self.components.request_counts.flying(
                endpoint.id, tokens, self.need.name
            ) as begun:
                self.begun = begun
                outcome, failed = await self._exchange(endpoint, req, load)
        except trio.Cancelled:
            outcome = "cancelled"
            raise
        finally:
            logger.info(
                "attempt",
                id=admitted.request_headers.id,
                route=admitted.route.name,
                endpoint=endpoint.id,
                model=self.need.name,
                tokens=tokens,
                load=load.requests,
                load_tokens=load.tokens,
                since_ms=round((began - admitted.incoming.received_at) * 1000),
                outcome=outcome,
                took_ms=round((trio.current_time() - began) * 1000),
                left_ms=round(left_s * 1000),
                config=self.components.fleet_state.config.version,
                seen_age_s=round(
                    trio.current_time()
                    - self.components.fleet_state.scanned_at,
                    1,
                ),
            )
        return failed

    def _headers(self, endpoint, left_s):
        admitted = self.admitted
        splitter = self.splitter
        resumed = splitter is not None and splitter.count
        return http_headers.for_endpoint(
            admitted.incoming.headers,
            endpoint.id,
            admitted.customer.name if admitted.customer else "",
            left_s,
            admitted.urgency if admitted.request_headers.model else None,
            splitter.last_number if resumed else None,
            self.version if resumed else b"",
        )

    async def _exchange(self, endpoint, req, load):
        """Return the attempt's outcome for the log, and `_attempt`'s."""
        name = endpoint.id
        ran_before = self.may_have_run
        self.may_have_run = True
        silent = trio.CancelScope()
        try:
            with silent:
                silent.deadline = self._silent_at(load)
                async with self.components.http_client.stream(
                    endpoint.address, req, CONNECT_TIMEOUT_S
                ) as reply:
                    return await self._take(
                        endpoint, reply, ran_before, silent
                    )
        except exceptions.NotSentError as exc:
            self.may_have_run = ran_before
            self.refused += 1
            self.unsent = True
            self.components.fail(name)
            await self.components.http_client.close_idle(endpoint.address)
            return "unreached", self._gave_up("unreached", str(exc))
        except exceptions.ReplyError as exc:
            self.sent += 1
            self.components.note(name, False)
            if self.splitter is not None:
                self.splitter.restart()
            return f"broken: {exc}", self._broken(str(exc))
        # The endpoint was silent for too long.
        self.sent += 1
        self.components.note(name, False)
        return "silent", self._broken("the endpoint did not answer")

    def _silent_at(self, load):
        """Return when an endpoint that has not answered is given up.

        Notes
        -----
        One that has much to read is not silent, and without another one
        there is nothing to gain.
        """
        admitted = self.admitted
        route = admitted.route
        more = route.is_retryable and self.sent + 1 < route.max_attempts
        if not more or not endpoint_selection.select_endpoint(
            self.components, self.need, self.avoid
        ):
            return float("inf")
        wait_s = max(MIN_SILENT_S, SILENT_AIMS * route.target_latency_s)
        wait_s += load_balancing.time_to_first_event_s(
            load, admitted.request_headers.prompt_tokens
        )
        return trio.current_time() + wait_s

    def _broken(self, message):
        if self.caller.started:
            return exceptions.ReplyError(message)
        return refusals.refused(
            "endpoint_failed", message, 502, messages.MAY_HAVE_RUN
        )

    async def _take(self, endpoint, reply, ran_before, silent):
        """Pass a reply on, or tell why not."""
        if http_headers.was_not_executed(reply):
            self.may_have_run = ran_before
            return await self._not_run(endpoint, reply)
        if reply.status >= OK_BELOW:
            return await self._failure(endpoint, reply)
        if not http_headers.server_seal(reply) or reply.header(
            b"content-encoding"
        ):
            raise exceptions.ReplyError("a reply without a valid signature")
        if self.splitter is not None:
            await self._relay(reply, silent)
        else:
            body = await reply.read()
            silent.deadline = float("inf")
            await self.caller.answer(
                callers.Answer(
                    reply.status, http_headers.for_caller(reply.headers), body
                )
            )
        self.components.note(endpoint.id, True)
        return "ok", None

    async def _not_run(self, endpoint, reply):
        self.refused += 1
        if reply.status == http_headers.MISDIRECTED:
            self.components.lacks(endpoint.id, self.need.name, LACKS_S)
            # It may hold it by the time that others were tried.
            self.avoid.discard(endpoint.id)
        else:
            self.full = True
        if self.may_have_run:
            failed = self._broken("no endpoint is left")
        else:
            failed = refusals.refused(
                "endpoint_full",
                "the endpoints are full; come back",
                503,
                retry_after_s=0.3,
            )
        return f"not_run {reply.status}", failed

    async def _failure(self, endpoint, reply):
        """Take a failure of the endpoint itself; pass it on at last."""
        body = await reply.read()
        self.sent += 1
        self.components.note(endpoint.id, reply.status < SERVER_ERROR)
        outcome = f"failed {reply.status}"
        if self.caller.started:
            return outcome, exceptions.ReplyError("the stream cannot go on")
        answer = callers.Answer(
            reply.status, http_headers.for_caller(reply.headers), body
        )
        return outcome, exceptions.HttpStatusError(answer)

    async def _relay(self, reply, silent):
        """Pass a stream's events on as they come."""
        caller = self.caller
        splitter = self.splitter
        pending = bytearray()

        async def flush():
            if pending:
                data = bytes(pending)
                pending.clear()
                self.begun()
                if not caller.started:
                    await self._start(reply)
                silent.deadline = float("inf")
                await caller.send(data)

        async for part in reply.iter_chunks(flush):
            pending += splitter.feed(part)
        if splitter.has_partial_event:
            raise exceptions.ReplyError("a stream ended within an event")
        await flush()
        if not caller.started:
            await self._start(reply)
        await caller.send(b"", more=False)

    async def _start(self, reply):
        self.version = http_headers.weights_version(reply)
        await self.caller.start(
            reply.status, http_headers.for_caller(reply.headers)
        )
