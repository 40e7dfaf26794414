"""Fleet-wide permits to load weights and adapters.

Notes
-----
The weight store sustains full speed only for a limited number of
concurrent loads, and a limited number may start per second; adapters
have their own limit.  The issuer of the permits is one entry, the
decider of the name ``permits/KIND``.  Permits only keep loads fast; they
do not decide what may be loaded.  If the issuer cannot be reached, a
load therefore proceeds without a permit.
"""

import collections
import contextlib
import dataclasses
import itertools
import math

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["ADAPTER", "WEIGHTS", "LoadPermits"]

WEIGHTS = "weights"
ADAPTER = "adapter"
PERMIT_WAIT_S = 1.0
CALL_TIMEOUT_S = 1.0
# Frees permits that were never released.
PERMIT_TTL_S = 120.0
EXPIRY_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class GrantedPermit:
    """A permit that an entry holds.

    Parameters
    ----------
    entry : str
        Name of the entry.
    incarnation : str
        Identifies the entry's process instance.
    granted_at : float
        Seconds on trio's clock.
    """

    entry: str
    incarnation: str
    granted_at: float


class Pool:
    """Granted permits of one kind and their waiters, at the issuer."""

    def __init__(self):
        self.granted = []
        self.waiters = {}
        self.next_at = 0.0

    def most_urgent(self):
        """Return the key of the most urgent waiter."""
        return min(self.waiters)

    def release(self, entry):
        """Free the oldest permit of an entry."""
        for grant in self.granted:
            if grant.entry == entry:
                self.granted.remove(grant)
                return

    def expire(self, gone, now):
        """Free permits that are too old or whose entry is gone."""
        self.granted = [
            grant
            for grant in self.granted
            if now - grant.granted_at < PERMIT_TTL_S
            and not gone(grant.entry, grant.incarnation)
        ]


class LoadPermits:
    """Acquires permits, and issues them if this entry is the issuer.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self._pools = collections.defaultdict(Pool)
        self._arrivals = itertools.count(1)

    @contextlib.asynccontextmanager
    async def permit(self, kind, urgency):
        """Hold a permit for the body of an ``async with``.

        Parameters
        ----------
        kind : str
            `WEIGHTS`, `ADAPTER`, or empty if no permit is needed.
        urgency : float
            Number of requests that wait for this load.
        """
        if not kind:
            yield
            return
        issuer = await self._acquire(kind, urgency)
        try:
            yield
        finally:
            if issuer is not None:
                with trio.CancelScope(shield=True):
                    await self._release(issuer, kind)

    async def on_permit(self, msg):
        """Handle `messages.Permit`: wait for a free permit and grant it.

        Returns
        -------
        messages.Ok or messages.Refusal
            The refusal if no permit is free within the deadline.
        """
        pool = self._pools[msg.kind]
        key = (-msg.urgency, next(self._arrivals))
        event = pool.waiters[key] = trio.Event()
        is_granted = False
        try:
            with trio.move_on_after(msg.deadline_s):
                while not is_granted:
                    is_granted = self._try_grant(pool, key, msg)
                    if not is_granted:
                        await self._wait_for_change(pool, event)
                        event = pool.waiters[key] = trio.Event()
        finally:
            del pool.waiters[key]
            self._wake_waiters(pool)
        if is_granted:
            return messages.Ok(0)
        return messages.Refusal(
            id=0,
            code="no_permit",
            message="too many loads run; try again later",
            retry_after_s=PERMIT_WAIT_S,
        )

    async def on_permit_done(self, msg):
        """Handle `messages.PermitDone`: a load with a permit has ended."""
        pool = self._pools[msg.kind]
        pool.release(msg.entry)
        self._wake_waiters(pool)

    async def run(self):
        """Free expired permits periodically, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            for pool in self._pools.values():
                pool.expire(self.fleet.gone, trio.current_time())
                self._wake_waiters(pool)

    async def _acquire(self, kind, urgency):
        """Return the entry that granted a permit, or None without permit.

        Notes
        -----
        Each request to the issuer waits at most `PERMIT_WAIT_S` and is
        then repeated, so that a dead or paused issuer is detected soon.
        The urgency grows by 1 per second, so that no load starves.
        """
        started_at = trio.current_time()
        while True:
            issuer = self.fleet.view.decider_of(f"permits/{kind}")
            aged_urgency = urgency + trio.current_time() - started_at
            msg = messages.Permit(
                0, self.fleet.me, kind, PERMIT_WAIT_S, aged_urgency
            )
            try:
                reply = await self.fleet.call(
                    issuer, msg, PERMIT_WAIT_S + CALL_TIMEOUT_S
                )
            except exceptions.PeerError as exc:
                logger.warning(
                    "placement: issuer unavailable, load without permit: {}",
                    exc,
                )
                return None
            if isinstance(reply, messages.Ok):
                return issuer

    async def _release(self, issuer, kind):
        msg = messages.PermitDone(0, self.fleet.me, kind, 0)
        with trio.move_on_after(CALL_TIMEOUT_S):
            await self.fleet.send(issuer, msg)

    def _try_grant(self, pool, key, msg):
        limit, rate = self._limits(msg.kind)
        now = trio.current_time()
        if key != pool.most_urgent() or len(pool.granted) >= limit:
            return False
        if now < pool.next_at:
            return False
        pool.next_at = now + (1 / rate if rate else 0.0)
        entry = self.fleet.view.entries.get(msg.entry)
        incarnation = entry.incarnation if entry else ""
        pool.granted.append(GrantedPermit(msg.entry, incarnation, now))
        return True

    async def _wait_for_change(self, pool, event):
        now = trio.current_time()
        until = pool.next_at if pool.next_at > now else math.inf
        with trio.move_on_at(until):
            await event.wait()

    def _wake_waiters(self, pool):
        for event in pool.waiters.values():
            event.set()

    def _limits(self, kind):
        """Return the maximum of permits, and of grants per second or 0."""
        store = self.fleet.view.declaration.weight_store
        if kind == ADAPTER:
            return store.parallel_adapters, 0.0
        return store.parallel_loads, store.loads_per_s
