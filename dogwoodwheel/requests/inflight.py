"""Slots at endpoints that this entry's gateways hold."""

import collections
import dataclasses

__all__ = ["HeldSlot", "InFlightTable"]


@dataclasses.dataclass(frozen=True)
class HeldSlot:
    """A slot that a gateway holds.

    Parameters
    ----------
    slot : str
        Slot id.
    endpoint : str
    gateway, incarnation : str
        Name and process instance of the gateway that holds the slot.
    """

    slot: str
    endpoint: str
    gateway: str
    incarnation: str


class InFlightTable:
    """All slots that this entry's gateways hold."""

    def __init__(self):
        self._held_slots = {}
        self._counts_by_endpoint = collections.Counter()

    def add(self, held_slot):
        """Add a slot; no effect if the table has this slot already."""
        if held_slot.slot in self._held_slots:
            return
        self._held_slots[held_slot.slot] = held_slot
        self._counts_by_endpoint[held_slot.endpoint] += 1

    def remove(self, slot):
        """Remove a slot and return its `HeldSlot`, or None if unknown."""
        held_slot = self._held_slots.pop(slot, None)
        if held_slot is not None:
            self._counts_by_endpoint[held_slot.endpoint] -= 1
        return held_slot

    def count(self, endpoint):
        """Return the number of slots held at an endpoint."""
        return self._counts_by_endpoint[endpoint]

    def slots_at(self, endpoint):
        """Return the ids of the slots held at an endpoint, as a tuple."""
        return tuple(
            held_slot.slot
            for held_slot in self._held_slots.values()
            if held_slot.endpoint == endpoint
        )

    def slots_of(self, gateway, incarnation):
        """Return the slots of a gateway's process instance.

        Returns
        -------
        tuple of HeldSlot
        """
        return tuple(
            held_slot
            for held_slot in self._held_slots.values()
            if (held_slot.gateway, held_slot.incarnation)
            == (gateway, incarnation)
        )

    def stale_slots_of(self, gateway, incarnation):
        """Return the slots of a gateway's earlier process instances.

        Returns
        -------
        tuple of HeldSlot
        """
        return tuple(
            held_slot
            for held_slot in self._held_slots.values()
            if held_slot.gateway == gateway
            and held_slot.incarnation != incarnation
        )
