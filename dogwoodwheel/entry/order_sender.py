"""Sends the leader's orders to engines and follows up their outcomes."""

from loguru import logger
import trio

from dogwoodwheel.entry import engine_state
from dogwoodwheel import exceptions

__all__ = ["OrderSender"]

# Maximum number of attempts to send an order that gets no answer.
MAX_ATTEMPTS = 4
# Pause before an order is repeated that the engine refused as busy; the
# order that the engine carries out mostly ends soon, seconds.
BUSY_PAUSE_S = 0.04
# Time for which an order is repeated while the engine is busy, before a
# report of the engine is read, seconds.
BUSY_TIMEOUT_S = 0.8
# Time after which an ordered adapter is assumed to be loaded, seconds.
ADAPTER_LOAD_S = 0.02
# Time to unload a model that has no requests, seconds.
UNLOAD_S = 0.06


class OrderSender:
    """Sends orders to engines while the lease is held.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    client : dogwoodwheel.platform.engine_client.EngineClient
    publish : callable
        ``publish(name, engine, at)`` is called when an order has changed
        what an engine holds.
    """

    def __init__(self, components, lease, client, publish):
        self._components = components
        self._lease = lease
        self._client = client
        self._publish = publish

    async def send(self, engine, orders, reason):
        """Send orders one after the other until one is not accepted.

        Parameters
        ----------
        engine : dogwoodwheel.entry.engine_state.EngineState
        orders : sequence of dogwoodwheel.entry.datatypes.Order
        reason : str
            Why the orders are sent, for the log.
        """
        try:
            for order in orders:
                if not await self._deliver(engine, order, reason):
                    break
        finally:
            engine.is_sending = False
            self._components.fleet_state.notify_change()

    async def _deliver(self, engine, order, reason):
        """Send an order, with retries; return whether it was accepted."""
        began = trio.current_time()
        expected = engine.orders_accepted
        outcome = "busy"
        unanswered = 0
        while outcome in ("busy", "no answer"):
            if not self._lease.may_order:
                outcome = "no lease"
                break
            outcome = await self._send_once(engine, order)
            if outcome == "no answer":
                unanswered += 1
                if unanswered >= MAX_ATTEMPTS:
                    engine.require_new_report(trio.current_time())
                    break
            elif outcome == "busy":
                waited_s = trio.current_time() - began
                if order.adapter or unanswered or waited_s > BUSY_TIMEOUT_S:
                    engine.require_new_report(trio.current_time())
                    break
                await trio.sleep(BUSY_PAUSE_S)
        if outcome not in ("taken", "holds"):
            engine.loading_model = ""
        self._components.metrics.count_order(
            "load" if order.load else "unload"
        )
        logger.info(
            "order",
            endpoint=order.endpoint,
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            token=self._lease.token,
            expected=expected,
            why=reason,
            outcome=outcome,
            took_ms=round((trio.current_time() - began) * 1000),
        )
        return outcome in ("taken", "holds")

    async def _send_once(self, engine, order):
        """Send an order once; return the outcome for the log."""
        try:
            accepted = await self._client.send_order(
                engine.endpoint,
                order,
                self._lease.token,
                self._components.settings.name,
                engine.orders_accepted,
            )
        except exceptions.BusyError as exc:
            logger.debug("order: busy", endpoint=order.endpoint, why=str(exc))
            return "busy"
        except exceptions.FencedError as exc:
            self._lease.on_fenced()
            return f"fenced: {exc}"
        except exceptions.ReplyError as exc:
            logger.debug(
                "order: no answer", endpoint=order.endpoint, why=str(exc)
            )
            return "no answer"
        except exceptions.EndpointError as exc:
            engine.require_new_report(trio.current_time())
            return f"failed: {exc}"
        engine.ordered_at = trio.current_time()
        unloads_adapter = order.adapter and not order.load
        # The engine unloads an unused adapter at once and counts the order,
        # although it answers as for an order that changes nothing.
        if accepted or unloads_adapter:
            engine.orders_accepted += 1
        if unloads_adapter and accepted:
            # The adapter is in use; the engine unloads it when its
            # requests have ended.
            engine.require_new_report(trio.current_time())
            return "waits"
        if order.adapter or not order.load:
            await trio.sleep(ADAPTER_LOAD_S if order.adapter else UNLOAD_S)
            engine.report = engine_state.apply_order(engine.report, order)
            engine.preloaded.discard(order.model)
            self._publish(order.endpoint, engine, trio.current_time())
        return "taken" if accepted else "holds"
