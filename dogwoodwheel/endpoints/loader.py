"""Sends orders to one endpoint and follows the loads there."""

import enum

from loguru import logger
import trio

from dogwoodwheel.engines import engine as engine_module
from dogwoodwheel import exceptions
from dogwoodwheel.placement import load_permits as permits

__all__ = ["Loader", "OrderOutcome"]

FENCE_MODEL_NAME = "dogwoodwheel-fence"
RETRY_DELAY_S = 1.0
LOAD_TIMEOUT_S = 600.0
ORDER_LIFETIME_S = 10.0
STATUS_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 12.0
MIN_POLL_S = 0.02
POLL_FRACTION = 0.1


class OrderOutcome(enum.Enum):
    """Outcome of an order to an engine."""

    ACCEPTED = "taken"
    NOT_ACCEPTED = "not taken"
    UNKNOWN = "unknown"


class Loader:
    """Sends orders and runs each load in a task of its own.

    Parameters
    ----------
    owner : dogwoodwheel.endpoints.owner.Owner
    reported : dogwoodwheel.endpoints.reported_state.ReportedState
    record_store : dogwoodwheel.endpoints.record_store.RecordStore
    load_permits : dogwoodwheel.placement.load_permits.LoadPermits

    Attributes
    ----------
    load_durations_s : dict of str to float
        Duration of each model's last load.

    Notes
    -----
    An order with an unknown outcome may still be in a buffer on its way
    to the endpoint.  For `ORDER_LIFETIME_S` after a load with an unknown
    outcome, its replica is not considered gone, whatever the status
    reports.
    """

    def __init__(self, owner, reported, record_store, load_permits):
        self.owner = owner
        self.reported = reported
        self.record_store = record_store
        self.load_permits = load_permits
        self.load_durations_s = {}
        self._busy_since = {}
        self._load_tasks = set()
        self._orders_in_flight = 0
        self._outcome_unknown_at = {}

    def start_load(self, replica, nursery, may_order):
        """Load a replica in a new task, unless such a task runs already.

        Parameters
        ----------
        replica : dogwoodwheel.placement.records.Replica
        nursery : trio.Nursery
        may_order : callable
            ``may_order()`` returns whether orders may be sent now.
        """
        if replica.name not in self._load_tasks:
            self._load_tasks.add(replica.name)
            nursery.start_soon(self._load, replica, may_order)

    def mark_busy(self, name):
        """Record that a load or unload of a replica is in progress."""
        self._busy_since.setdefault(name, trio.current_time())

    def mark_idle(self, name):
        """Record that no load or unload of a replica is in progress."""
        since = self._busy_since.pop(name, None)
        if since is not None and self.reported.is_loaded(name):
            self.load_durations_s[name] = trio.current_time() - since

    def poll_interval_s(self, idle_interval_s):
        """Return the seconds until the next status call.

        Parameters
        ----------
        idle_interval_s : float
            Interval while no load or unload is in progress.

        Notes
        -----
        When a load or unload starts, the interval is short.  It grows to
        a tenth of the time elapsed, so that polling delays a cold start
        by a small fraction only.
        """
        if not self._busy_since:
            return idle_interval_s
        since = max(self._busy_since.values())
        elapsed_s = trio.current_time() - since
        return min(idle_interval_s, max(MIN_POLL_S, POLL_FRACTION * elapsed_s))

    def remaining_s(self, name):
        """Estimate the remaining seconds of a load; 0 if unknown."""
        duration_s = self.load_durations_s.get(name, 0.0)
        since = self._busy_since.get(name, trio.current_time())
        return max(0.0, duration_s - (trio.current_time() - since))

    def no_late_load(self, name):
        """Return whether no order to load a replica can still arrive."""
        unknown_at = self._outcome_unknown_at.get(name)
        if unknown_at is None:
            return True
        return trio.current_time() - unknown_at >= ORDER_LIFETIME_S

    async def drain(self):
        """Wait until no order is on its way, at most `DRAIN_TIMEOUT_S`."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while self._orders_in_flight or not self._no_late_loads():
                await trio.sleep(MIN_POLL_S)

    async def raise_fencing_token(self):
        """Present this owner's fencing token to the endpoint.

        Notes
        -----
        The token is sent with an order to unload a model that does not
        exist, which has no other effect.
        """
        await self._send(
            engine_module.Order(
                "unload", FENCE_MODEL_NAME, "", self.owner.epoch
            )
        )

    async def send_order(self, kind, replica):
        """Send an order for a replica.

        Parameters
        ----------
        kind : str
            ``load`` or ``unload``.
        replica : dogwoodwheel.placement.records.Replica

        Returns
        -------
        OrderOutcome
        """
        outcome = await self._send(
            engine_module.Order(
                kind=kind,
                model=replica.name,
                version=replica.version,
                epoch=self.owner.epoch,
                base=replica.base,
                memory_mb=replica.memory_mb,
            )
        )
        if outcome is OrderOutcome.UNKNOWN and kind == "load":
            self._outcome_unknown_at[replica.name] = trio.current_time()
        if outcome is OrderOutcome.ACCEPTED:
            self.owner.fleet.metrics.count_order(kind)
            logger.info(
                "placement: ordered kind={} model={} endpoint={}",
                kind,
                replica.name,
                self.owner.endpoint.name,
            )
        self.owner.request_poll()
        return outcome

    async def _send(self, order):
        self._orders_in_flight += 1
        logger.debug(
            "placement: order sent kind={} model={} endpoint={} epoch={}",
            order.kind,
            order.model,
            self.owner.endpoint.name,
            order.epoch,
        )
        try:
            await self.owner.client.order(order)
            return OrderOutcome.ACCEPTED
        except exceptions.FencedError as exc:
            logger.warning("placement: order refused: {}", exc)
            self.record_store.mark_superseded()
            return OrderOutcome.NOT_ACCEPTED
        except exceptions.NotSentError:
            return OrderOutcome.NOT_ACCEPTED
        except exceptions.EndpointError as exc:
            logger.warning("placement: order outcome unknown: {}", exc)
            return OrderOutcome.UNKNOWN
        finally:
            self._orders_in_flight -= 1

    async def _load(self, replica, may_order):
        urgency = self.owner.slots.waiting_for(replica.name)
        try:
            async with self.load_permits.permit(
                self._permit_kind(replica), urgency
            ):
                await self._load_with_permit(replica, may_order)
        finally:
            self._load_tasks.discard(replica.name)
            self.mark_idle(replica.name)
            self.owner.reconciler.wake()

    def _permit_kind(self, replica):
        """Return the kind of permit; empty if the weights are cached."""
        if replica.base:
            return permits.ADAPTER
        if replica.name in self.reported.status.cached_models:
            return ""
        return permits.WEIGHTS

    async def _load_with_permit(self, replica, may_order):
        if self.record_store.replicas.get(replica.name) != replica:
            return
        # While this task waited for its permit, other models may have been
        # loaded there; the free memory is computed from a newer status.
        if not await self.reported.wait_for_newer(
            self.owner.request_poll, STATUS_TIMEOUT_S
        ):
            return
        free_mb = self.owner.endpoint.memory_mb
        free_mb -= self.reported.others_mb(replica.name)
        if not may_order() or replica.memory_mb > free_mb:
            await trio.sleep(MIN_POLL_S)
            return
        incarnation = self.reported.status.incarnation
        self.mark_busy(replica.name)
        outcome = await self.send_order("load", replica)
        if outcome is OrderOutcome.NOT_ACCEPTED:
            await trio.sleep(RETRY_DELAY_S)
            return
        ordered_at = trio.current_time()
        with trio.move_on_after(LOAD_TIMEOUT_S):
            await self._wait_for_load(replica, incarnation, ordered_at)

    async def _wait_for_load(self, replica, incarnation, ordered_at):
        while self.record_store.replicas.get(replica.name) == replica:
            await self.reported.wait_for_change()
            if self.reported.status.incarnation != incarnation:
                return
            state = self.reported.state(replica.name)
            if state and state != engine_module.LOADING:
                return
            if not state and self.reported.asked_at > ordered_at:
                # The order was lost; the reconciler sends another one.
                return

    def _no_late_loads(self):
        if self.owner.endpoint.fencing:
            return True
        return all(
            self.no_late_load(name) for name in self._outcome_unknown_at
        )
