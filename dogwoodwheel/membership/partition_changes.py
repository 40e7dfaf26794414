"""Reports this entry's gained and lost partitions to ledger and registry."""

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
        Runs the tasks that ask the entries for their requests in flight.
    """

    def __init__(self, fleet, ledger, registry, nursery):
        self.fleet = fleet
        self.ledger = ledger
        self.registry = registry
        self.nursery = nursery
        self._gathered_epochs = {}
        self._received_shares = set()

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
        If this entry does not hold the shares at their epochs within
        `HAND_OVER_WAIT_S`, the message was meant for an earlier process
        of this entry or for a later owner.  The levels are then dropped,
        so that customers lose some burst but never gain any.
        """
        shares = {tuple(item) for item in msg.shares}
        if shares & self._received_shares:
            return
        self._received_shares |= shares
        with trio.move_on_after(HAND_OVER_WAIT_S):
            while not self._holds(shares):
                await self.fleet.changed()
            self.add_levels(msg.levels, [partition for partition, _ in shares])

    def _holds(self, shares):
        own_entry = self.fleet.view.entries.get(self.fleet.me)
        own_shares = own_entry.shares if own_entry is not None else {}
        return all(
            own_shares.get(partition) == epoch for partition, epoch in shares
        )

    async def release(self, partitions):
        """Stop acting as owner of the endpoints of partitions."""
        if partitions:
            await self.registry.release(self._endpoints_of(partitions))

    def resume(self, partitions):
        """Own the endpoints of partitions again after `release`."""
        if partitions:
            self.registry.resume(self._endpoints_of(partitions))

    def on_view_published(self):
        """Ask entries for requests in flight at newly owned endpoints."""
        own_entry = self.fleet.view.entries[self.fleet.me]
        epochs = {
            partition: holding.epoch
            for partition, holding in own_entry.holdings.items()
        }
        gained = {
            partition
            for partition, epoch in epochs.items()
            if self._gathered_epochs.get(partition) != epoch
        }
        self._gathered_epochs = epochs
        # A single pass over the endpoints serves all gained partitions.
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
        fleet_view = self.fleet.view
        if (
            not partitions
            or fleet_view.declaration is None
            or not fleet_view.partitions
        ):
            return ()
        return tuple(
            name
            for name in fleet_view.declaration.endpoints
            if view.partition_of(name, fleet_view.partitions) in partitions
        )
