"""Sends an admitted request to endpoints until one answers the caller."""

from loguru import logger
import trio

from dogwoodwheel.engines import http
from dogwoodwheel.entry import crash_guard
from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel.entry import events
from dogwoodwheel.entry import load_balancing
from dogwoodwheel.entry import quota
from dogwoodwheel.entry import request_parts
from dogwoodwheel import exceptions
from dogwoodwheel.platform import http_headers
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages

__all__ = ["serve"]

CONNECT_TIMEOUT_S = 0.4
# A request is not sent if less time is left until its deadline.
MIN_TIME_LEFT_S = 0.05
# A retryable request is sent to another endpoint if no reply has come within
# SILENCE_FACTOR times the route's target latency, but at least MIN_SILENCE_S.
SILENCE_FACTOR = 2.0
MIN_SILENCE_S = 0.8
# Time after which a caller may come back to another entry as this one stops.
STOPPING_RETRY_AFTER_S = 0.1
# Time for which an endpoint gets no requests for a model after it refused a
# request because it does not hold the model.
MISSING_MODEL_PAUSE_S = 0.5
MIN_FAILURE_STATUS = 300
MIN_SERVER_ERROR_STATUS = 500
# Maximum number of attempts of one request that endpoints did not run.  The
# route's maximum number of attempts does not include them.
MAX_NOT_RUN = 4


async def serve(components, admitted, caller, deadline_scope):
    """Send a request to endpoints until one answers the caller.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    admitted : dogwoodwheel.entry.admission.AdmittedRequest
    caller : dogwoodwheel.requests.callers.Caller
    deadline_scope : trio.CancelScope
        Ends the request at its deadline, or earlier if this entry stops.

    Raises
    ------
    RefusedError, HttpStatusError
        If no attempt succeeded.  A request that has not run is refunded.
    ReplyError
        If the caller has received a part of the answer but not the rest.
    """
    handler = RequestHandler(components, admitted, caller, deadline_scope)
    try:
        with deadline_scope:
            await handler.serve()
        if deadline_scope.cancelled_caught:
            raise handler.timeout_error()
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
    """Sends one request to endpoints, in one or more attempts."""

    def __init__(self, components, admitted, caller, deadline_scope):
        self.components = components
        self.admitted = admitted
        self.caller = caller
        self._deadline_scope = deadline_scope
        self.excluded_endpoints = set()
        # Numbers of attempts that an endpoint may have run, and has not run.
        self.attempts = 0
        self.not_run_count = 0
        self.may_have_run = False
        self.endpoint_full = False
        # Whether the next attempt is not charged to the retry budget.
        self.free_retry = False
        # Whether the request may have crashed an endpoint.
        self.is_crash_suspect = False
        self.crash_guard = crash_guard.CrashGuard(
            components,
            admitted.request_headers.id,
            request_parts.parts_of(admitted),
        )
        # Requests per second that the last endpoint named as its limit.
        self.rate_limit = None
        self.splitter = None
        self.weights_version = b""
        # Status and media type of the stream that the caller receives.
        self.started_reply = None
        self.mark_prompt_processed = None
        self.requirements = endpoint_selection.Requirements(
            admitted.service,
            admitted.request_headers,
            min(
                admitted.deadline,
                deadline_scope.deadline,
                admitted.incoming.received_at
                + admitted.route.caller_timeout_s,
            ),
            admitted.route.target_latency_s,
        )
        route = admitted.route
        if route.kind == datatypes.RouteKind.STREAM:
            headers = admitted.request_headers
            last = headers.last_event_id if headers.resumes_stream else None
            self.splitter = events.EventSplitter(http_headers.event_id, last)

    async def serve(self):
        """Make attempts until one of them has answered the caller."""
        admitted = self.admitted
        components = self.components
        components.retry_budget.record_request(
            admitted.service.name, trio.current_time()
        )
        engine = admitted.service.engine
        if engine and admitted.request_headers.model in engine.models:
            components.request_counts.count_request(
                admitted.request_headers.model, trio.current_time()
            )
        failure = None
        self._check_stop()
        self.crash_guard.check()
        while True:
            tracked_endpoint = None
            if failure is not None:
                self._check_retry(failure)
                tracked_endpoint = endpoint_selection.select_endpoint(
                    components, self.requirements, self.excluded_endpoints
                )
                if (
                    tracked_endpoint is None
                    and self.endpoint_full
                    and not endpoint_selection.named_wait_s(
                        components, self.requirements
                    )
                ):
                    raise failure
                if tracked_endpoint is None:
                    # Every endpoint has been tried; each may be tried again.
                    self.excluded_endpoints.clear()
            if tracked_endpoint is None:
                tracked_endpoint = await self._select_endpoint(failure)
            self.endpoint_full = False
            # A part may have been quarantined while the request waited.
            self._check_quarantine(failure)
            if not self.may_have_run:
                self._check_stop()
            failure = await self._attempt(tracked_endpoint)
            if failure is None:
                components.request_durations.record(
                    admitted.route.name,
                    trio.current_time() - admitted.incoming.received_at,
                )
                return

    async def _select_endpoint(self, failure):
        """Return the endpoint for the next attempt, and wait if necessary.

        If no endpoint is available and an earlier attempt may have run,
        the failure of the last attempt is raised, because a refusal would
        state that the request has not run.
        """
        try:
            return await endpoint_selection.wait_for_endpoint(
                self.components, self.requirements, self.excluded_endpoints
            )
        except exceptions.RefusedError as exc:
            if self.may_have_run:
                raise failure from exc
            raise

    def _check_quarantine(self, failure):
        """Refuse a quarantined request, or raise the failure if it ran."""
        try:
            self.crash_guard.check()
        except exceptions.RefusedError as exc:
            if self.may_have_run:
                raise failure from exc
            raise

    def _check_stop(self):
        """Refuse a request that takes longer than this entry goes on.

        Raises
        ------
        RefusedError
            Another entry can answer the request.
        """
        if self._deadline_scope.deadline >= self.admitted.deadline:
            return
        route = self.admitted.route
        expected_s = self.components.request_durations.expected_s(
            route.name, route.target_latency_s
        )
        if expected_s > self._time_left_s():
            raise refusals.refused(
                "stopping",
                f"this entry stops, and such requests take {expected_s:.1f} "
                f"s; ask another entry",
                503,
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )

    def _check_retry(self, failure):
        """Raise the failure of the last attempt unless a retry is allowed."""
        if self.is_crash_suspect:
            raise failure
        route = self.admitted.route
        is_safe = not self.may_have_run or route.is_retryable
        in_limit = self.not_run_count < MAX_NOT_RUN and self.attempts < max(
            1, route.max_attempts
        )
        if is_safe and in_limit and (self.free_retry or self._acquire_retry()):
            self.free_retry = False
            return
        raise failure

    def _acquire_retry(self):
        self.components.metrics.count_retry()
        return self.components.retry_budget.try_acquire(
            self.admitted.service.name,
            trio.current_time(),
            len(self.components.entry_names()),
        )

    def _time_left_s(self):
        """Return the seconds until the deadline, or the end of this entry."""
        return (
            min(self.admitted.deadline, self._deadline_scope.deadline)
            - trio.current_time()
        )

    def timeout_error(self):
        """Return the error for a request that has reached its deadline."""
        return self._no_answer_error(
            "deadline", "it could not be answered in time"
        )

    def _no_answer_error(self, code, message):
        """Return the error for a request to which no endpoint has replied."""
        if self.caller.reply_started:
            return exceptions.ReplyError(message)
        if self.may_have_run:
            return refusals.refused(code, message, 504, messages.MAY_HAVE_RUN)
        return refusals.refused(code, message, 503, retry_after_s=0.3)

    async def _attempt(self, tracked_endpoint):
        """Send the request to one endpoint and log the attempt.

        Returns
        -------
        Exception or None
            Failure of the attempt, to be raised if no retry follows;
            None if the caller has received the answer.
        """
        endpoint = tracked_endpoint.endpoint
        admitted = self.admitted
        time_left_s = self._time_left_s()
        if time_left_s < MIN_TIME_LEFT_S:
            return self.timeout_error()
        if self.splitter is not None:
            self.splitter.reset()
        request = http.Request(
            id=admitted.request_headers.id,
            method=admitted.incoming.method,
            target=admitted.incoming.target,
            headers=self._endpoint_headers(endpoint, time_left_s),
            body=admitted.incoming.body,
        )
        self.excluded_endpoints.add(endpoint.id)
        self.caller.endpoints.append(endpoint.id)
        tokens = admitted.request_headers.prompt_tokens
        began = trio.current_time()
        outcome = "?"
        try:
            endpoint_load = self.components.endpoint_load(endpoint.id)
            with self.components.request_counts.count_in_flight(
                endpoint.id, tokens, self.requirements.model_and_adapter
            ) as mark_prompt_processed:
                self.mark_prompt_processed = mark_prompt_processed
                outcome, failure = await self._send(
                    endpoint, request, endpoint_load
                )
        except trio.Cancelled:
            outcome = "cancelled"
            raise
        finally:
            logger.info(
                "attempt",
                id=admitted.request_headers.id,
                route=admitted.route.name,
                endpoint=endpoint.id,
                model=self.requirements.model_and_adapter,
                tokens=tokens,
                load=endpoint_load.requests,
                load_tokens=endpoint_load.tokens,
                since_ms=round((began - admitted.incoming.received_at) * 1000),
                prefix=",".join(
                    name for name, _ in admitted.request_headers.prompt_prefix
                ),
                digest=self.crash_guard.whole,
                outcome=outcome,
                limit=self.rate_limit,
                wait_s=round(
                    self.components.endpoint_waits.wait_s(
                        endpoint, trio.current_time()
                    ),
                    3,
                ),
                leaving=self.components.fleet_state.leaving.is_leaving(
                    endpoint
                ),
                events=self.splitter.event_count if self.splitter else 0,
                took_ms=round((trio.current_time() - began) * 1000),
                left_ms=round(time_left_s * 1000),
                config=self.components.fleet_state.config.version,
                seen_age_s=round(
                    trio.current_time()
                    - self.components.fleet_state.scanned_at,
                    1,
                ),
            )
        return failure

    def _endpoint_headers(self, endpoint, time_left_s):
        admitted = self.admitted
        splitter = self.splitter
        is_resumption = splitter is not None and splitter.event_count
        return http_headers.for_endpoint(
            admitted.incoming.headers,
            endpoint.id,
            admitted.customer.name if admitted.customer else "",
            time_left_s,
            admitted.urgency if admitted.request_headers.model else None,
            splitter.last_number if is_resumption else None,
            self.weights_version if is_resumption else b"",
        )

    async def _send(self, endpoint, request, endpoint_load):
        """Send a request; return its outcome for the log, and its failure."""
        endpoint_id = endpoint.id
        ran_before = self.may_have_run
        self.may_have_run = True
        self.crash_guard.begin_attempt()
        self.rate_limit = None
        self.components.record_sent(endpoint_id)
        silence_scope = trio.CancelScope()
        try:
            with silence_scope:
                silence_scope.deadline = self._silence_deadline(endpoint_load)
                async with self.components.http_client.stream(
                    endpoint.address, request, CONNECT_TIMEOUT_S
                ) as reply:
                    return await self._handle_reply(
                        endpoint, reply, ran_before, silence_scope
                    )
        except exceptions.NotSentError as exc:
            self.may_have_run = ran_before
            self.not_run_count += 1
            self.free_retry = True
            self.components.record_unreachable(endpoint_id)
            await self.components.http_client.close_idle(endpoint.address)
            return "unreached", self._no_answer_error("unreached", str(exc))
        except exceptions.ReplyError as exc:
            self.attempts += 1
            self.components.record_outcome(endpoint_id, False)
            self.is_crash_suspect = await self.crash_guard.record_break(
                endpoint
            )
            return f"broken: {exc}", self._attempt_error(str(exc))
        # `silence_scope` was cancelled, since no reply came in time.
        self.attempts += 1
        self.components.record_outcome(endpoint_id, False)
        return "silent", self._attempt_error("the endpoint did not answer")

    def _silence_deadline(self, endpoint_load):
        """Return the time at which an attempt without a reply is cancelled.

        Allows time for prompts that the endpoint processes first.  Infinite
        if no retry is possible, as a cancellation then gains nothing.
        """
        admitted = self.admitted
        route = admitted.route
        retry = route.is_retryable and self.attempts + 1 < route.max_attempts
        if not retry or not endpoint_selection.select_endpoint(
            self.components, self.requirements, self.excluded_endpoints
        ):
            return float("inf")
        wait_s = max(MIN_SILENCE_S, SILENCE_FACTOR * route.target_latency_s)
        wait_s += load_balancing.time_to_first_event_s(
            endpoint_load, admitted.request_headers.prompt_tokens
        )
        return trio.current_time() + wait_s

    def _attempt_error(self, message):
        """Return the error for a failed attempt that may have run."""
        if self.caller.reply_started:
            return exceptions.ReplyError(message)
        return refusals.refused(
            "endpoint_failed", message, 502, messages.MAY_HAVE_RUN
        )

    async def _handle_reply(self, endpoint, reply, ran_before, silence_scope):
        """Handle a reply; return the outcome for the log, and the failure."""
        self._record_limit(endpoint, reply)
        self.components.record_reply(endpoint, reply)
        if http_headers.was_not_executed(reply):
            self.may_have_run = ran_before
            return await self._handle_not_run(endpoint, reply)
        if reply.status >= MIN_FAILURE_STATUS:
            return await self._handle_failure_status(endpoint, reply)
        if not http_headers.server_seal(reply) or reply.header(
            b"content-encoding"
        ):
            raise exceptions.ReplyError("a reply without a valid signature")
        if self.started_reply not in (None, http_headers.reply_form(reply)):
            raise exceptions.ReplyError("a reply that is no such stream")
        self.crash_guard.record_head()
        if self.splitter is not None:
            await self._relay_stream(endpoint, reply, silence_scope)
        else:
            body = await reply.read()
            await self._check_end(endpoint, reply, bool(body))
            await _end_silence_limit(silence_scope)
            await self.caller.answer(
                callers.Answer(
                    reply.status, http_headers.for_caller(reply.headers), body
                )
            )
        self.components.record_outcome(endpoint.id, True)
        self.crash_guard.record_end()
        return "ok", None

    def _record_limit(self, endpoint, reply):
        self.rate_limit = http_headers.request_rate_limit(reply)
        if self.rate_limit is None and http_headers.was_not_executed(reply):
            # Another process may have sent the reply.
            return
        self.components.endpoint_limits.record_answer(
            endpoint.id, self.rate_limit, trio.current_time()
        )

    async def _handle_not_run(self, endpoint, reply):
        self.not_run_count += 1
        if reply.status == http_headers.MISDIRECTED:
            self.components.mark_missing(
                endpoint.id,
                self.requirements.model_and_adapter,
                MISSING_MODEL_PAUSE_S,
            )
            # The endpoint may hold the model by the time of a later attempt.
            self.excluded_endpoints.discard(endpoint.id)
        else:
            self.endpoint_full = True
        if self.may_have_run:
            failure = self._attempt_error("no endpoint is left")
        else:
            failure = refusals.refused(
                "endpoint_full",
                "the endpoints are full; come back",
                503,
                retry_after_s=max(
                    0.3,
                    endpoint_selection.named_wait_s(
                        self.components, self.requirements
                    ),
                ),
            )
        return f"not_run {reply.status}", failure

    async def _handle_failure_status(self, endpoint, reply):
        """Handle an error reply; return the logged outcome and the failure."""
        body = await reply.read()
        self.attempts += 1
        if not http_headers.retry_after_s(reply):
            self.components.record_outcome(
                endpoint.id, reply.status < MIN_SERVER_ERROR_STATUS
            )
        outcome = f"failed {reply.status}"
        if (
            self.caller.reply_started
            or reply.status in http_headers.NOT_RUN_STATUSES
        ):
            # A caller may repeat a request that got one of these statuses,
            # and the endpoint does not state that it did not run it.
            return outcome, self._attempt_error(
                f"the endpoint replied with status {reply.status}"
            )
        # The caller receives this reply if no other attempt follows.
        answer = callers.Answer(
            reply.status, http_headers.for_caller(reply.headers), body
        )
        return outcome, exceptions.HttpStatusError(answer)

    async def _check_end(self, endpoint, reply, has_content):
        """Check whether an answer that ended with its connection is whole.

        Raises
        ------
        ReplyError
            If the answer has no content, or its endpoint has crashed.
        """
        if not reply.ends_with_connection:
            return
        if not has_content:
            raise exceptions.ReplyError("an answer ended before its content")
        if await self.crash_guard.has_crashed(endpoint):
            raise exceptions.ReplyError(
                "the endpoint crashed as its answer without a length ended"
            )

    async def _relay_stream(self, endpoint, reply, silence_scope):
        """Send the events of a stream to the caller as they arrive."""
        caller = self.caller
        splitter = self.splitter
        pending_events = bytearray()

        async def send_pending_events():
            if pending_events:
                await _end_silence_limit(silence_scope)
                # From here on, nothing but the end of the whole request
                # keeps these events from the caller.
                splitter.mark_sent()
                data = bytes(pending_events)
                pending_events.clear()
                self.mark_prompt_processed()
                if not caller.reply_started:
                    await self._start_answer(reply)
                await caller.send(data)

        events_before = splitter.event_count
        async for chunk in reply.iter_chunks(send_pending_events):
            pending_events += splitter.feed(chunk)
            reply.hold(splitter.buffered_bytes)
            self.crash_guard.record_events(
                splitter.event_count - events_before
            )
        if splitter.has_partial_event:
            raise exceptions.ReplyError("a stream ended within an event")
        has_events = splitter.event_count > events_before
        await self._check_end(endpoint, reply, has_events)
        await send_pending_events()
        await _end_silence_limit(silence_scope)
        if not caller.reply_started:
            await self._start_answer(reply)
        await caller.send(b"", more=False)

    async def _start_answer(self, reply):
        self.weights_version = http_headers.weights_version(reply)
        self.started_reply = http_headers.reply_form(reply)
        await self.caller.start(
            reply.status, http_headers.for_caller(reply.headers)
        )


async def _end_silence_limit(silence_scope):
    """Let the attempt go on, unless it has been cancelled already.

    The caller's answer must not be cancelled once it has begun: the next
    attempt would begin it again.
    """
    await trio.lowlevel.checkpoint_if_cancelled()
    silence_scope.deadline = float("inf")
