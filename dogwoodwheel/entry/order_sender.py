"""How the leader's orders reach an engine, and what became of them."""

from loguru import logger
import trio

from dogwoodwheel.entry import engine_state
from dogwoodwheel import exceptions

__all__ = ["OrderSender"]

# Times that an order is sent while it gets no answer.
TRIES = 4
# Pause after one that met another order, which mostly ends at once.
BUSY_PAUSE_S = 0.04
# Time for which such an order is repeated before a report is read.
BUSY_S = 0.8
# Time after which an adapter that was ordered is taken to be there.
ADAPTER_S = 0.02
# Time that an unload of a model without requests takes, seconds.
UNLOAD_S = 0.06


class OrderSender:
    """Gives orders to engines while the lease is held.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    lease : dogwoodwheel.entry.lease.Lease
    client : dogwoodwheel.platform.engine_client.EngineClient
    show : callable
        ``show(name, engine, at)`` tells what an engine holds since an
        order changed it.
    """

    def __init__(self, components, lease, client, show):
        self._components = components
        self._lease = lease
        self._client = client
        self._show = show

    async def give(self, engine, orders, why):
        """Give orders one after the other while they are taken.

        Parameters
        ----------
        engine : dogwoodwheel.entry.engine_state.EngineState
        orders : sequence of dogwoodwheel.entry.datatypes.Order
        why : str
            For the log.
        """
        try:
            for order in orders:
                if not await self._deliver(engine, order, why):
                    break
        finally:
            engine.sending = False
            self._components.fleet_state.notify_change()

    async def _deliver(self, engine, order, why):
        """Give an order; return whether it was taken."""
        began = trio.current_time()
        expected = engine.orders_accepted
        outcome = "busy"
        lost = 0
        while outcome in ("busy", "no answer"):
            if not self._lease.may_order:
                outcome = "no lease"
                break
            outcome = await self._send_once(engine, order)
            if outcome == "no answer":
                lost += 1
                if lost >= TRIES:
                    engine.doubt(trio.current_time())
                    break
            elif outcome == "busy":
                waited_s = trio.current_time() - began
                if order.adapter or lost or waited_s > BUSY_S:
                    engine.doubt(trio.current_time())
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
            why=why,
            outcome=outcome,
            took_ms=round((trio.current_time() - began) * 1000),
        )
        return outcome in ("taken", "holds")

    async def _send_once(self, engine, order):
        """Send an order once; return the outcome for the log."""
        try:
            taken = await self._client.send_order(
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
            self._lease.fenced()
            return f"fenced: {exc}"
        except exceptions.ReplyError as exc:
            logger.debug(
                "order: no answer", endpoint=order.endpoint, why=str(exc)
            )
            return "no answer"
        except exceptions.EndpointError as exc:
            engine.doubt(trio.current_time())
            return f"failed: {exc}"
        engine.ordered_at = trio.current_time()
        unloads_adapter = order.adapter and not order.load
        # An adapter that nothing uses goes at once, which counts as an order
        # though it is answered like one that holds already.
        if taken or unloads_adapter:
            engine.orders_accepted += 1
        if unloads_adapter and taken:
            # It is in use, and goes when that ends.
            engine.doubt(trio.current_time())
            return "waits"
        if order.adapter or not order.load:
            await trio.sleep(ADAPTER_S if order.adapter else UNLOAD_S)
            engine.report = engine_state.after(engine.report, order)
            engine.ahead.discard(order.model)
            self._show(order.endpoint, engine, trio.current_time())
        return "taken" if taken else "holds"
