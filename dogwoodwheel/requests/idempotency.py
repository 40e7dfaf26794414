"""Idempotency records of calls that must not run twice.

Notes
-----
The records are rows of the platform's table.  A call with an
``Idempotency-Key`` is recorded as started before it is sent.  The write
is conditional, so only one attempt is sent, even if several entries
receive attempts under the same key.  If a call certainly did not run, its
record is released by a write of the state ``free``.  A record is never
deleted: since its version only increases, a delayed write of an earlier
attempt fails its version check.
"""

import dataclasses
import random
import uuid

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import idempotency_records
from dogwoodwheel.requests import refusals
from dogwoodwheel.stores import table_store
from dogwoodwheel.wire import messages

__all__ = ["IdempotentCalls"]

TABLE_NAME = "once"
RETRY_BACKOFF_S = 0.05
MAX_RETRY_BACKOFF_S = 1.0
RELEASE_TIMEOUT_S = 1.0
MAX_RELEASE_TASKS = 10_000


class IdempotentCalls:
    """Runs calls at most once for each idempotency key.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    detached_tasks : dogwoodwheel.requests.detached.DetachedTasks
    """

    def __init__(self, table, detached_tasks):
        self.table = table
        self.detached_tasks = detached_tasks
        self._running_releases = 0

    async def run(self, call, send):
        """Run a call, or return the answer of an earlier attempt.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.PlainCall
        send : callable
            ``await send(call)`` sends the call and returns the complete
            answer.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer

        Raises
        ------
        RefusedError
            If there is no answer.  The refusal's ``run`` says whether any
            attempt under the key may have run.
        """
        claim = await self._claim(call)
        if isinstance(claim, callers.Answer):
            return claim
        try:
            answer = await send(call)
        except exceptions.RefusedError as exc:
            if exc.refusal.run == messages.NOT_RUN:
                await self._release(claim, call.deadline)
            else:
                self.detached_tasks.start(
                    self._write_outcome,
                    claim,
                    idempotency_records.unknown_outcome_value(claim),
                )
            raise
        self.detached_tasks.start(
            self._write_outcome,
            claim,
            idempotency_records.completed_value(claim, answer),
        )
        return answer

    async def _claim(self, call):
        """Return a `Claim`, or the answer of an earlier attempt."""
        claim = idempotency_records.Claim(
            idempotency_records.key_of(call),
            uuid.uuid4().hex,
            idempotency_records.digest_of(call),
            0,
        )
        backoff_s = RETRY_BACKOFF_S
        with trio.move_on_after(call.deadline.left_s()):
            while True:
                if await self._write_claim(claim):
                    return claim
                row = await self._read_record(claim.key)
                if (
                    row.version == 0
                    or row.value["state"] == idempotency_records.FREE
                ):
                    claim = dataclasses.replace(claim, row_version=row.version)
                elif row.value["attempt"] == claim.attempt_id:
                    # The write succeeded, but the commit reported a conflict,
                    # since its confirming read returned an old row.
                    return claim
                else:
                    answer = idempotency_records.recorded_answer(
                        row, claim.request_digest
                    )
                    if answer is not None:
                        return answer
                await trio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(backoff_s * 2, MAX_RETRY_BACKOFF_S)
        raise refusals.refused(
            "in_progress",
            "an earlier try under this Idempotency-Key is under way or "
            "was lost; ask again with the same key",
            409,
            messages.MAY_HAVE_RUN,
            retry_after_s=1,
        )

    async def _write_claim(self, claim):
        """Write a claim and return whether the write took effect."""
        check = table_store.ExpectedVersion(
            TABLE_NAME, claim.key, claim.row_version
        )
        write = table_store.Write(
            TABLE_NAME, claim.key, claim.value(idempotency_records.STARTED)
        )
        is_outcome_known = False
        try:
            await table_store.commit_with_retries(self.table, [check], [write])
            is_outcome_known = True
            return True
        except exceptions.ConflictError:
            is_outcome_known = True
            return False
        except exceptions.OutcomeUnknownError as exc:
            raise _record_unavailable_error() from exc
        except exceptions.PlatformError as exc:
            is_outcome_known = True
            raise _record_unavailable_error() from exc
        finally:
            if not is_outcome_known:
                # The claim may have been written, but the call was not sent.
                # The release lets the next attempt under the key run.
                self._release_in_background(claim)

    async def _read_record(self, key):
        try:
            return await self.table.read(TABLE_NAME, key)
        except exceptions.PlatformError as exc:
            raise _record_unavailable_error() from exc

    async def _release(self, claim, deadline):
        """Release a claim whose call did not run.

        Notes
        -----
        Waits for up to `RELEASE_TIMEOUT_S`, but not beyond the deadline;
        the release then continues in the background.
        """
        with trio.move_on_after(min(RELEASE_TIMEOUT_S, deadline.left_s())):
            await self.detached_tasks.call(self._write_free, claim)

    def _release_in_background(self, claim):
        if self._running_releases < MAX_RELEASE_TASKS:
            self.detached_tasks.start(self._write_free, claim)

    async def _write_free(self, claim):
        """Write state ``free`` until a claim can no longer take effect."""
        self._running_releases += 1
        try:
            await self._retry_write(
                claim, claim.value(idempotency_records.FREE), self._is_void
            )
        finally:
            self._running_releases -= 1

    async def _write_outcome(self, claim, value):
        """Retry writing the outcome of a sent call until it is recorded."""
        await self._retry_write(claim, value, self._is_replaced)

    async def _retry_write(self, claim, value, is_settled):
        backoff_s = RETRY_BACKOFF_S
        while True:
            try:
                row = await self.table.read(TABLE_NAME, claim.key)
                if is_settled(claim, row, value):
                    return
                if self._may_write(claim, row, value):
                    await self._commit(row, value)
                    return
            except exceptions.PlatformError as exc:
                logger.debug("once: record not written yet: {}", exc)
            await trio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(backoff_s * 2, MAX_RETRY_BACKOFF_S)

    async def _commit(self, row, value):
        check = table_store.ExpectedVersion(TABLE_NAME, row.key, row.version)
        write = table_store.Write(TABLE_NAME, row.key, value)
        await table_store.commit_with_retries(self.table, [check], [write])

    def _may_write(self, claim, row, value):
        if row.version and row.value["attempt"] == claim.attempt_id:
            return True
        # The claim's write may still be in flight.  Writing the row now
        # changes the version that the claim checks, so the claim fails.
        return (
            value["state"] == idempotency_records.FREE
            and row.version == claim.row_version
        )

    def _is_void(self, claim, row, value):
        if row.version <= claim.row_version:
            return False
        is_own = row.value["attempt"] == claim.attempt_id
        return not is_own or row.value["state"] == idempotency_records.FREE

    def _is_replaced(self, claim, row, value):
        if row.version <= claim.row_version:
            return False
        return row.value["attempt"] != claim.attempt_id


def _record_unavailable_error():
    return refusals.refused(
        "record_unavailable",
        "the record of this Idempotency-Key cannot be reached; this try "
        "was not sent, an earlier one may have run: ask again with the "
        "same key",
        503,
        messages.MAY_HAVE_RUN,
        retry_after_s=1,
    )
