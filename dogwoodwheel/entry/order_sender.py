"""Sends the leader's orders to engines and retries them if needed."""

from loguru import logger
import trio

from dogwoodwheel.entry import engine_state
from dogwoodwheel import exceptions

__all__ = ["OrderSender"]

# Maximum number of unanswered attempts to send an order.
MAX_ATTEMPTS = 4
# Pause before an order is sent again to an engine that refused it as busy,
# seconds.  The order that keeps the engine busy usually ends soon.
BUSY_RETRY_PAUSE_S = 0.04
# Time, seconds, for which an engine may refuse an order as busy.  The sender
# then gives the order up, and the leader waits for a new report.
BUSY_TIMEOUT_S = 0.8
# Time after which an ordered adapter is assumed to be loaded, seconds.
ADAPTER_LOAD_S = 0.02
# Time in which an engine unloads a model without requests, seconds.
MODEL_UNLOAD_S = 0.06


class OrderSender:
    """Sends orders to engines while the lease is held.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    engine_client : dogwoodwheel.platform.engine_client.EngineClient
    publish_holdings : callable
        ``publish_holdings(name, engine, observed_at)`` is called when an
        order has changed which models or adapters an engine holds.
    """

    def __init__(self, components, lease, engine_client, publish_holdings):
        self._components = components
        self._lease = lease
        self._engine_client = engine_client
        self._publish_holdings = publish_holdings

    async def send(self, engine, orders, reason):
        """Send orders one after the other; stop after a failed order.

        Parameters
        ----------
        engine : dogwoodwheel.entry.engine_state.EngineState
        orders : sequence of dogwoodwheel.entry.datatypes.Order
        reason : str
            Why the orders are sent, for the log.
        """
        try:
            for order in orders:
                if not await self._send_with_retries(engine, order, reason):
                    break
        finally:
            engine.is_sending_order = False
            self._components.fleet_state.notify_change()

    async def _send_with_retries(self, engine, order, reason):
        """Send an order, with retries; return whether it succeeded."""
        began_at = trio.current_time()
        expected_count = engine.orders_accepted
        outcome = "busy"
        unanswered_attempts = 0
        while outcome in ("busy", "no answer"):
            if not self._lease.may_order:
                outcome = "no lease"
                break
            if self._components.fleet_state.leaving.is_leaving(
                engine.endpoint
            ):
                outcome = "leaving"
                break
            if self._components.endpoint_waits.wait_s(
                engine.endpoint, trio.current_time()
            ):
                # An earlier attempt may have been accepted.
                engine.require_new_report(trio.current_time())
                outcome = "wants nothing"
                break
            outcome = await self._send_once(engine, order)
            if outcome == "no answer":
                unanswered_attempts += 1
                if unanswered_attempts >= MAX_ATTEMPTS:
                    engine.require_new_report(trio.current_time())
                    break
            elif outcome == "busy":
                waited_s = trio.current_time() - began_at
                if (
                    order.adapter
                    or unanswered_attempts
                    or waited_s > BUSY_TIMEOUT_S
                ):
                    engine.require_new_report(trio.current_time())
                    break
                await trio.sleep(BUSY_RETRY_PAUSE_S)
        if outcome not in ("taken", "holds") and not order.adapter:
            # An adapter order may fail because a model load, sent before, is
            # still under way.
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
            token=self._lease.fencing_token,
            expected=expected_count,
            why=reason,
            outcome=outcome,
            took_ms=round((trio.current_time() - began_at) * 1000),
        )
        return outcome in ("taken", "holds")

    async def _send_once(self, engine, order):
        """Send an order once; return its outcome, as it is logged."""
        try:
            accepted = await self._engine_client.send_order(
                engine.endpoint,
                order,
                self._lease.fencing_token,
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
        engine.last_order_at = trio.current_time()
        unloads_adapter = order.adapter and not order.load
        # An engine that unloads an unused adapter does so at once and counts
        # the order, although it answers that the order changed nothing.
        if accepted or unloads_adapter:
            engine.orders_accepted += 1
        if unloads_adapter and accepted:
            # The adapter has requests in flight; the engine unloads the
            # adapter when these requests have ended.
            engine.require_new_report(trio.current_time())
            return "waits"
        if order.adapter or not order.load:
            await trio.sleep(
                ADAPTER_LOAD_S if order.adapter else MODEL_UNLOAD_S
            )
            engine.report = engine_state.apply_order(engine.report, order)
            engine.preloaded_models.discard(order.model)
            self._publish_holdings(order.endpoint, engine, trio.current_time())
        return "taken" if accepted else "holds"
