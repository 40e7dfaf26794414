"""Fleet-wide permits to load weights and adapters.

Notes
-----
The weight store is at full speed for a number of loads at once, and
starts some a second; adapters have a limit of their own.  One entry, the
decider of the name ``permits/KIND``, hands out the permits.  They bound
how long loads take, not what may be loaded: where that entry cannot be
reached, a load goes ahead.
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

__all__ = ["ADAPTER", "WEIGHTS", "Loads"]

WEIGHTS = "weights"
ADAPTER = "adapter"
WAIT_S = 1.0
REACH_S = 1.0
HELD_S = 120.0
TICK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Held:
    """A permit that was handed out.

    Parameters
    ----------
    entry, incarnation : str
    since : float
        Seconds, trio's clock.
    """

    entry: str
    incarnation: str
    since: float


class Pool:
    """Permits of one kind, at the entry that hands them out."""

    def __init__(self):
        self.held = []
        self.waiting = {}
        self.next_at = 0.0

    def first(self):
        """Return the key of the most urgent waiter."""
        return min(self.waiting)

    def give_back(self, entry):
        """Free the oldest permit of an entry."""
        for held in self.held:
            if held.entry == entry:
                self.held.remove(held)
                return

    def expire(self, gone, now):
        """Free permits of entries that are gone, and forgotten ones."""
        self.held = [
            held
            for held in self.held
            if now - held.since < HELD_S
            and not gone(held.entry, held.incarnation)
        ]


class Loads:
    """Asks for permits, and hands them out where this entry does so.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self._pools = collections.defaultdict(Pool)
        self._numbers = itertools.count(1)

    @contextlib.asynccontextmanager
    async def permit(self, kind, urgency):
        """Hold a permit for the body of an ``async with``.

        Parameters
        ----------
        kind : str
            `WEIGHTS`, `ADAPTER`, or empty where none is needed.
        urgency : float
            Requests that wait for this load.
        """
        if not kind:
            yield
            return
        holder = await self._ask(kind, urgency)
        try:
            yield
        finally:
            if holder is not None:
                with trio.CancelScope(shield=True):
                    await self._give_back(holder, kind)

    async def on_permit(self, msg):
        """Answer `messages.Permit` once a permit is free.

        Returns
        -------
        messages.Ok or messages.Refusal
        """
        pool = self._pools[msg.kind]
        key = (-msg.urgency, next(self._numbers))
        event = pool.waiting[key] = trio.Event()
        given = False
        try:
            with trio.move_on_after(msg.deadline_s):
                while not given:
                    given = self._try(pool, key, msg)
                    if not given:
                        await self._wait(pool, event)
                        event = pool.waiting[key] = trio.Event()
        finally:
            del pool.waiting[key]
            self._wake(pool)
        if given:
            return messages.Ok(0)
        return messages.Refusal(
            id=0,
            code="no_permit",
            message="too many loads run; try again later",
            retry_after_s=WAIT_S,
        )

    async def on_permit_done(self, msg):
        """Take `messages.PermitDone`: a permitted load has ended."""
        pool = self._pools[msg.kind]
        pool.give_back(msg.entry)
        self._wake(pool)

    async def run(self):
        """Free the permits of entries that are gone, until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            for pool in self._pools.values():
                pool.expire(self.fleet.gone, trio.current_time())
                self._wake(pool)

    async def _ask(self, kind, urgency):
        """Return the holder that gave a permit, None without one.

        Notes
        -----
        Asks again every `WAIT_S`, so that a holder that died or was
        paused is found soon; the urgency grows by 1 a second, so that
        no load waits for ever.
        """
        begun = trio.current_time()
        while True:
            holder = self.fleet.view.decider_of(f"permits/{kind}")
            aged = urgency + trio.current_time() - begun
            msg = messages.Permit(0, self.fleet.me, kind, WAIT_S, aged)
            try:
                reply = await self.fleet.call(holder, msg, WAIT_S + REACH_S)
            except exceptions.PeerError as exc:
                logger.warning("placement: load without permit: {}", exc)
                return None
            if isinstance(reply, messages.Ok):
                return holder

    async def _give_back(self, holder, kind):
        msg = messages.PermitDone(0, self.fleet.me, kind, 0)
        with trio.move_on_after(REACH_S):
            await self.fleet.tell(holder, msg)

    def _try(self, pool, key, msg):
        limit, rate = self._limits(msg.kind)
        now = trio.current_time()
        if key != pool.first() or len(pool.held) >= limit:
            return False
        if now < pool.next_at:
            return False
        pool.next_at = now + (1 / rate if rate else 0.0)
        entry = self.fleet.view.entries.get(msg.entry)
        incarnation = entry.incarnation if entry else ""
        pool.held.append(Held(msg.entry, incarnation, now))
        return True

    async def _wait(self, pool, event):
        now = trio.current_time()
        until = pool.next_at if pool.next_at > now else math.inf
        with trio.move_on_at(until):
            await event.wait()

    def _wake(self, pool):
        for event in pool.waiting.values():
            event.set()

    def _limits(self, kind):
        store = self.fleet.view.declaration.weight_store
        if kind == ADAPTER:
            return store.parallel_adapters, 0.0
        return store.parallel_loads, store.loads_per_s
