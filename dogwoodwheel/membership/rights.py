"""What this entry gains and loses, told to the parts that act on it."""

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.wire import messages

__all__ = ["Rights"]

REPORT_TIMEOUT_S = 1.5
HAND_OVER_WAIT_S = 5.0


class Rights:
    """Passes gains and losses of partitions to the parts that use them.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    ledger : dogwoodwheel.customers.ledger.Ledger
    registry : dogwoodwheel.endpoints.registry.OwnerRegistry
    nursery : trio.Nursery
        Where reports of new owners' peers are gathered.
    """

    def __init__(self, fleet, ledger, registry, nursery):
        self.fleet = fleet
        self.ledger = ledger
        self.registry = registry
        self.nursery = nursery
        self._epochs = {}
        self._handed = set()

    def gained(self, shares, full):
        """Take shares of the customers' rates.

        Parameters
        ----------
        shares : dict of int to int
            Epoch by partition.
        full : bool
            Whether nobody has spent of their burst yet.
        """
        if shares:
            self.ledger.add_partitions(dict(shares), full)

    def lost(self, parts):
        """Give up shares and return the levels that move with them."""
        if not parts:
            return {}
        return self.ledger.remove_partitions(set(parts))

    def hand_in(self, levels, parts):
        """Add levels that came with shares."""
        if levels:
            self.ledger.add_transferred(levels, parts)

    async def on_hand_over(self, msg):
        """Take the levels of shares that were handed to us, once.

        Notes
        -----
        A message for shares that we do not come to hold at that epoch is
        for an earlier process or a later owner; its levels are dropped,
        which costs some burst and makes none.
        """
        moved = {tuple(item) for item in msg.shares}
        if moved & self._handed:
            return
        self._handed |= moved
        with trio.move_on_after(HAND_OVER_WAIT_S):
            while not self._hold(moved):
                await self.fleet.changed()
            self.hand_in(msg.levels, [part for part, _ in moved])

    def _hold(self, moved):
        me = self.fleet.view.entries.get(self.fleet.me)
        held = me.shares if me is not None else {}
        return all(held.get(part) == epoch for part, epoch in moved)

    async def release(self, parts):
        """Stop owning the endpoints of partitions; returns when done."""
        if parts:
            await self.registry.release(self._endpoints(parts))

    def resume(self, parts):
        """Own the endpoints of partitions again."""
        if parts:
            self.registry.resume(self._endpoints(parts))

    def published(self):
        """Gather what is in flight where we have become the owner."""
        me = self.fleet.view.entries[self.fleet.me]
        epochs = {part: held.epoch for part, held in me.holdings.items()}
        gained = {
            part
            for part, epoch in epochs.items()
            if self._epochs.get(part) != epoch
        }
        self._epochs = epochs
        # One pass over the endpoints, however many partitions came.
        for endpoint in self._endpoints(gained):
            part = view.partition_of(endpoint, self.fleet.view.partitions)
            self.nursery.start_soon(self._gather, endpoint, epochs[part])

    async def _gather(self, endpoint, epoch):
        query = messages.InFlight(0, self.fleet.me, endpoint, epoch, ())
        async with trio.open_nursery() as nursery:
            for name in self.fleet.view.live:
                nursery.start_soon(self._report, name, query)

    async def _report(self, name, query):
        try:
            reply = await self.fleet.call(name, query, REPORT_TIMEOUT_S)
        except exceptions.PeerError:
            return
        if isinstance(reply, messages.InFlight):
            self.registry.on_in_flight(reply)

    def _endpoints(self, parts):
        current = self.fleet.view
        if not parts or current.declaration is None or not current.partitions:
            return ()
        return tuple(
            name
            for name in current.declaration.endpoints
            if view.partition_of(name, current.partitions) in parts
        )
