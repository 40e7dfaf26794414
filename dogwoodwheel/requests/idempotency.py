"""Records of calls that must not be repeated, in the platform's table.

Notes
-----
A call with an ``Idempotency-Key`` is recorded as started before it is
sent, by a conditional write, so of all tries at all entries one alone is
sent.  What surely did not run is released by a write of the state
``free``; a record is never deleted, so its version only grows and a late
write of an earlier try cannot take effect any more.
"""

import dataclasses
import random
import uuid

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import callers
from dogwoodwheel.requests import records
from dogwoodwheel.requests import refusals
from dogwoodwheel.stores import table_store as platform_table
from dogwoodwheel.wire import messages

__all__ = ["Records"]

TABLE = "once"
PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
RELEASE_S = 1.0
MAX_RESOLVING = 10_000


class Records:
    """Runs calls that must not be repeated, at most once a key.

    Parameters
    ----------
    table : dogwoodwheel.stores.table_store.TableStore
    detached : dogwoodwheel.requests.detached.Detached
    """

    def __init__(self, table, detached):
        self.table = table
        self.detached = detached
        self._resolving = 0

    async def run(self, call, send):
        """Return the answer to a call, of this try or an earlier one.

        Parameters
        ----------
        call : dogwoodwheel.requests.calls.PlainCall
        send : callable
            ``await send(call)`` sends it and returns the whole answer.

        Returns
        -------
        dogwoodwheel.requests.callers.Answer

        Raises
        ------
        RefusedError
            Without an answer; ``run`` tells of all tries of the key.
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
                self.detached.start(
                    self._finish, claim, records.unknown(claim)
                )
            raise
        self.detached.start(self._finish, claim, records.done(claim, answer))
        return answer

    async def _claim(self, call):
        """Return a `Claim`, or the answer of an earlier try."""
        claim = records.Claim(
            records.key_of(call), uuid.uuid4().hex, records.digest_of(call), 0
        )
        pause_s = PAUSE_S
        with trio.move_on_after(call.deadline.left_s()):
            while True:
                if await self._start(claim):
                    return claim
                row = await self._read(claim.key)
                if row.version == 0 or row.value["state"] == records.FREE:
                    claim = dataclasses.replace(claim, version=row.version)
                elif row.value["attempt"] == claim.attempt:
                    # An old copy was read when the write was confirmed.
                    return claim
                else:
                    answer = records.answer_in(row, claim.digest)
                    if answer is not None:
                        return answer
                await trio.sleep(pause_s * random.uniform(0.5, 1.5))
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
        raise refusals.refused(
            "in_progress",
            "an earlier try under this Idempotency-Key is under way or "
            "was lost; ask again with the same key",
            409,
            messages.MAY_HAVE_RUN,
            retry_after_s=1,
        )

    async def _start(self, claim):
        """Write a claim; return whether it is ours."""
        check = platform_table.Check(TABLE, claim.key, claim.version)
        write = platform_table.Write(
            TABLE, claim.key, claim.value(records.STARTED)
        )
        known = False
        try:
            await platform_table.commit_with_retries(
                self.table, [check], [write]
            )
            known = True
            return True
        except exceptions.ConflictError:
            known = True
            return False
        except exceptions.OutcomeUnknownError as exc:
            raise _no_record() from exc
        except exceptions.PlatformError as exc:
            known = True
            raise _no_record() from exc
        finally:
            if not known:
                # Nothing was sent under it, so whether or not it took
                # effect it must not stand in the way of the next try.
                self._resolve_later(claim)

    async def _read(self, key):
        try:
            return await self.table.read(TABLE, key)
        except exceptions.PlatformError as exc:
            raise _no_record() from exc

    async def _release(self, claim, deadline):
        """Release a claim that was not sent; wait for it a while."""
        with trio.move_on_after(min(RELEASE_S, deadline.left_s())):
            await self.detached.call(self._resolve, claim)

    def _resolve_later(self, claim):
        if self._resolving < MAX_RESOLVING:
            self.detached.start(self._resolve, claim)

    async def _resolve(self, claim):
        """Write until a claim that was not sent is void."""
        self._resolving += 1
        try:
            await self._until_written(
                claim, claim.value(records.FREE), self._is_void
            )
        finally:
            self._resolving -= 1

    async def _finish(self, claim, value):
        """Write until the outcome of a call that was sent is recorded."""
        await self._until_written(claim, value, self._is_others)

    async def _until_written(self, claim, value, over):
        pause_s = PAUSE_S
        while True:
            try:
                row = await self.table.read(TABLE, claim.key)
                if over(claim, row, value):
                    return
                if self._may_write(claim, row, value):
                    await self._write(row, value)
                    return
            except exceptions.PlatformError as exc:
                logger.debug("once: record not written yet: {}", exc)
            await trio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    async def _write(self, row, value):
        check = platform_table.Check(TABLE, row.key, row.version)
        write = platform_table.Write(TABLE, row.key, value)
        await platform_table.commit_with_retries(self.table, [check], [write])

    def _may_write(self, claim, row, value):
        if row.version and row.value["attempt"] == claim.attempt:
            return True
        # The claim has not taken effect; what replaces its base first
        # keeps it from doing so.
        return value["state"] == records.FREE and row.version == claim.version

    def _is_void(self, claim, row, value):
        if row.version <= claim.version:
            return False
        ours = row.value["attempt"] == claim.attempt
        return not ours or row.value["state"] == records.FREE

    def _is_others(self, claim, row, value):
        if row.version <= claim.version:
            return False
        return row.value["attempt"] != claim.attempt


def _no_record():
    return refusals.refused(
        "record_unavailable",
        "the record of this Idempotency-Key cannot be reached; this try "
        "was not sent, an earlier one may have run: ask again with the "
        "same key",
        503,
        messages.MAY_HAVE_RUN,
        retry_after_s=1,
    )
