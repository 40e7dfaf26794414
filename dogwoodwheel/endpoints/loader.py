"""Orders on their way to one endpoint, and loads that run there."""

import enum

from loguru import logger
import trio

from dogwoodwheel.engines import engine as engines
from dogwoodwheel import exceptions
from dogwoodwheel.placement import load_permits as permits

__all__ = ["Loader", "Outcome"]

FENCE = "dogwoodwheel-fence"
REPEAT_S = 1.0
LOAD_BOUND_S = 600.0
UNKNOWN_S = 10.0
STATUS_S = 2.0
FINISH_S = 12.0
FIRST_POLL_S = 0.02
POLL_PART = 0.1


class Outcome(enum.Enum):
    """What became of an order."""

    TAKEN = "taken"
    NOT_TAKEN = "not taken"
    UNKNOWN = "unknown"


class Loader:
    """Gives orders and runs loads, one task each.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    shown : dogwoodwheel.endpoints.shown.Shown
    book : dogwoodwheel.endpoints.book.Book
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits

    Notes
    -----
    An order whose outcome is unknown may still lie in a buffer on its
    way.  For `UNKNOWN_S` seconds a replica of such a load is not taken
    for gone, whatever the status shows.
    """

    def __init__(self, owner, shown, book, load_permits):
        self.owner = owner
        self.shown = shown
        self.book = book
        self.load_permits = load_permits
        self.took_s = {}
        self._busy_since = {}
        self._tasks = set()
        self._ordering = 0
        self._unknown_at = {}

    def start(self, replica, nursery, may_order):
        """Load a replica in a task of its own, unless one runs.

        Parameters
        ----------
        replica : dogwoodwheel.placement.records.Replica
        nursery : trio.Nursery
        may_order : callable
            ``may_order()`` tells whether orders may be given now.
        """
        if replica.name not in self._tasks:
            self._tasks.add(replica.name)
            nursery.start_soon(self._load, replica, may_order)

    def busy(self, name):
        """Learn that a load or unload goes on."""
        self._busy_since.setdefault(name, trio.current_time())

    def idle(self, name):
        """Learn that no load or unload of it goes on."""
        since = self._busy_since.pop(name, None)
        if since is not None and self.shown.ready(name):
            self.took_s[name] = trio.current_time() - since

    def poll_s(self, usual_s):
        """Return the seconds until the next status call.

        Notes
        -----
        Short at first while a load or unload runs, then a tenth of the
        time that it has taken, so that little is added to a cold start.
        """
        if not self._busy_since:
            return usual_s
        since = max(self._busy_since.values())
        took = trio.current_time() - since
        return min(usual_s, max(FIRST_POLL_S, POLL_PART * took))

    def left_s(self, name):
        """Return the seconds that a load still takes, 0 if unknown."""
        took_s = self.took_s.get(name, 0.0)
        since = self._busy_since.get(name, trio.current_time())
        return max(0.0, took_s - (trio.current_time() - since))

    def settled(self, name):
        """Tell whether no order to load it can be on its way."""
        unknown_at = self._unknown_at.get(name)
        if unknown_at is None:
            return True
        return trio.current_time() - unknown_at >= UNKNOWN_S

    async def finish(self):
        """Return when no order is under way, or `FINISH_S` have passed."""
        with trio.move_on_after(FINISH_S):
            while self._ordering or not self._all_settled():
                await trio.sleep(FIRST_POLL_S)

    async def raise_fence(self):
        """Let the endpoint see our epoch, by an order without effect."""
        await self._give(engines.Order("unload", FENCE, "", self.owner.epoch))

    async def order(self, kind, replica):
        """Give an order for a replica.

        Parameters
        ----------
        kind : str
            ``load`` or ``unload``.
        replica : dogwoodwheel.placement.records.Replica

        Returns
        -------
        Outcome
        """
        outcome = await self._give(
            engines.Order(
                kind=kind,
                model=replica.name,
                version=replica.version,
                epoch=self.owner.epoch,
                base=replica.base,
                memory_mb=replica.memory_mb,
            )
        )
        if outcome is Outcome.UNKNOWN and kind == "load":
            self._unknown_at[replica.name] = trio.current_time()
        if outcome is Outcome.TAKEN:
            self.owner.fleet.metrics.count_order(kind)
            logger.info(
                "placement: ordered kind={} model={} endpoint={}",
                kind,
                replica.name,
                self.owner.endpoint.name,
            )
        self.owner.poll()
        return outcome

    async def _give(self, order):
        self._ordering += 1
        logger.debug(
            "placement: order sent kind={} model={} endpoint={} epoch={}",
            order.kind,
            order.model,
            self.owner.endpoint.name,
            order.epoch,
        )
        try:
            await self.owner.engine.order(order)
            return Outcome.TAKEN
        except exceptions.FencedError as exc:
            logger.warning("placement: order refused: {}", exc)
            self.book.superseded()
            return Outcome.NOT_TAKEN
        except exceptions.NotSentError:
            return Outcome.NOT_TAKEN
        except exceptions.EndpointError as exc:
            logger.warning("placement: order outcome unknown: {}", exc)
            return Outcome.UNKNOWN
        finally:
            self._ordering -= 1

    async def _load(self, replica, may_order):
        urgency = self.owner.slots.waiting_for(replica.name)
        try:
            async with self.load_permits.permit(self._kind(replica), urgency):
                await self._load_permitted(replica, may_order)
        finally:
            self._tasks.discard(replica.name)
            self.idle(replica.name)
            self.owner.orders.wake()

    def _kind(self, replica):
        if replica.base:
            return permits.ADAPTER
        if replica.name in self.shown.status.cached:
            return ""
        return permits.WEIGHTS

    async def _load_permitted(self, replica, may_order):
        if self.book.replicas.get(replica.name) != replica:
            return
        # What somebody else loaded there meanwhile must be seen first.
        if not await self.shown.newer(self.owner.poll, STATUS_S):
            return
        free_mb = self.owner.endpoint.memory_mb
        free_mb -= self.shown.others_mb(replica.name)
        if not may_order() or replica.memory_mb > free_mb:
            await trio.sleep(FIRST_POLL_S)
            return
        incarnation = self.shown.status.incarnation
        self.busy(replica.name)
        outcome = await self.order("load", replica)
        if outcome is Outcome.NOT_TAKEN:
            await trio.sleep(REPEAT_S)
            return
        ordered_at = trio.current_time()
        with trio.move_on_after(LOAD_BOUND_S):
            await self._await_load(replica, incarnation, ordered_at)

    async def _await_load(self, replica, incarnation, ordered_at):
        while self.book.replicas.get(replica.name) == replica:
            await self.shown.changed()
            if self.shown.status.incarnation != incarnation:
                return
            state = self.shown.state(replica.name)
            if state and state != engines.LOADING:
                return
            if not state and self.shown.asked_at > ordered_at:
                # The order was lost on its way; it is given again.
                return

    def _all_settled(self):
        if self.owner.endpoint.fencing:
            return True
        return all(self.settled(name) for name in self._unknown_at)
