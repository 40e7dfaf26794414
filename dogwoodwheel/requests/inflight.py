"""Slots that this entry's gateways hold at endpoints."""

import collections
import dataclasses

__all__ = ["Held", "InFlightTable"]


@dataclasses.dataclass(frozen=True)
class Held:
    """A slot in use.

    Parameters
    ----------
    slot, endpoint : str
    gateway, incarnation : str
        The process that uses it.
    """

    slot: str
    endpoint: str
    gateway: str
    incarnation: str


class InFlightTable:
    """All slots that this entry's gateways hold."""

    def __init__(self):
        self._held = {}
        self._counts = collections.Counter()

    def add(self, held):
        """Take a slot into use; idempotent."""
        if held.slot in self._held:
            return
        self._held[held.slot] = held
        self._counts[held.endpoint] += 1

    def remove(self, slot):
        """Return the `Held` of a slot and forget it, or None."""
        held = self._held.pop(slot, None)
        if held is not None:
            self._counts[held.endpoint] -= 1
        return held

    def count(self, endpoint):
        """Return the number of slots at an endpoint."""
        return self._counts[endpoint]

    def at(self, endpoint):
        """Return the names of the slots at an endpoint, a tuple."""
        return tuple(
            held.slot
            for held in self._held.values()
            if held.endpoint == endpoint
        )

    def of(self, gateway, incarnation):
        """Return the slots of one gateway process, a tuple of `Held`."""
        return tuple(
            held
            for held in self._held.values()
            if (held.gateway, held.incarnation) == (gateway, incarnation)
        )

    def of_older(self, gateway, incarnation):
        """Return the slots of a gateway's earlier processes."""
        return tuple(
            held
            for held in self._held.values()
            if held.gateway == gateway and held.incarnation != incarnation
        )
