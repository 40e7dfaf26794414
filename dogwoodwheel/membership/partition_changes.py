"""Reports partitions gained and lost to the ledger and the registry."""

import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.wire import messages

__all__ = ["PartitionChanges"]

REPORT_TIMEOUT_S = 1.5
HAND_OVER_WAIT_S = 5.0


class PartitionChanges:
    """Forwards gains and losses of partitions to ledger and registry.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    ledger : dogwoodwheel.customers.ledger.Ledger
    registry : dogwoodwheel.endpoints.registry.OwnerRegistry
    nursery : trio.Nursery
        Runs the tasks that gather requests in flight from the entries.
    """

    def __init__(self, fleet, ledger, registry, nursery):
        self.fleet = fleet
        self.ledger = ledger
        self.registry = registry
        self.nursery = nursery
        self._gathered_epochs = {}
        self._received = set()

    def add_shares(self, shares, full):
        """Start using shares of the customers' rates.

        Parameters
        ----------
        shares : dict of int to int
            Epoch by partition.
        full : bool
            Whether the buckets start with their full burst, since no
            entry has held the shares before.
        """
        if shares:
            self.ledger.add_partitions(dict(shares), full)

    def remove_shares(self, partitions):
        """Stop using shares, and return the bucket levels to transfer."""
        if not partitions:
            return {}
        return self.ledger.remove_partitions(set(partitions))

    def add_levels(self, levels, partitions):
        """Add bucket levels that were transferred with shares."""
        if levels:
            self.ledger.add_transferred(levels, partitions)

    async def on_hand_over(self, msg):
        """Add the bucket levels of shares handed over to this entry, once.

        Notes
        -----
        A message whose shares this entry does not hold at their epochs
        within `HAND_OVER_WAIT_S` was meant for an earlier process or a
        later owner.  Its levels are dropped, so that customers lose some
        burst but never gain any.
        """
        shares = {tuple(item) for item in msg.shares}
        if shares & self._received:
            return
        self._received |= shares
        with trio.move_on_after(HAND_OVER_WAIT_S):
            while not self._holds(shares):
                await self.fleet.changed()
            self.add_levels(msg.levels, [partition for partition, _ in shares])

    def _holds(self, shares):
        me = self.fleet.view.entries.get(self.fleet.me)
        own_shares = me.shares if me is not None else {}
        return all(
            own_shares.get(partition) == epoch for partition, epoch in shares
        )

    async def release(self, partitions):
        """Stop owning the endpoints of partitions, and wait until done."""
        if partitions:
            await self.registry.release(self._endpoints_of(partitions))

    def resume(self, partitions):
        """Own the endpoints of partitions again after `release`."""
        if partitions:
            self.registry.resume(self._endpoints_of(partitions))

    def on_view_published(self):
        """Gather requests in flight at endpoints that are newly owned."""
        me = self.fleet.view.entries[self.fleet.me]
        epochs = {
            partition: holding.epoch
            for partition, holding in me.holdings.items()
        }
        gained = {
            partition
            for partition, epoch in epochs.items()
            if self._gathered_epochs.get(partition) != epoch
        }
        self._gathered_epochs = epochs
        # One pass over the endpoints for all gained partitions.
        for endpoint in self._endpoints_of(gained):
            partition = view.partition_of(endpoint, self.fleet.view.partitions)
            self.nursery.start_soon(
                self._gather_in_flight, endpoint, epochs[partition]
            )

    async def _gather_in_flight(self, endpoint, epoch):
        query = messages.InFlight(0, self.fleet.me, endpoint, epoch, ())
        async with trio.open_nursery() as nursery:
            for name in self.fleet.view.live:
                nursery.start_soon(self._request_report, name, query)

    async def _request_report(self, name, query):
        try:
            reply = await self.fleet.call(name, query, REPORT_TIMEOUT_S)
        except exceptions.PeerError:
            return
        if isinstance(reply, messages.InFlight):
            self.registry.on_in_flight(reply)

    def _endpoints_of(self, partitions):
        current = self.fleet.view
        if (
            not partitions
            or current.declaration is None
            or not current.partitions
        ):
            return ()
        return tuple(
            name
            for name in current.declaration.endpoints
            if view.partition_of(name, current.partitions) in partitions
        )
