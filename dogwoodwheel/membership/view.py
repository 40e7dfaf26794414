"""Immutable snapshot of the fleet, as known to one entry."""

import dataclasses
import functools
import hashlib

__all__ = ["Entry", "Holding", "View", "partition_of", "rendezvous_score"]

DECIDER_CACHE_SIZE = 32_768


@dataclasses.dataclass(frozen=True)
class Holding:
    """State of a partition of endpoints at the entry that holds it.

    Parameters
    ----------
    epoch : int
        Fencing token; increases whenever the partition is transferred.
    earlier_holders : tuple of (str, str)
        Entry and incarnation of each earlier holder that is not proved
        gone and may still send orders.  An endpoint that ignores fencing
        tokens gets no order until this tuple is empty.
    """

    epoch: int
    earlier_holders: tuple = ()


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry VM, as described by its row in the table.

    Parameters
    ----------
    name, zone : str
    incarnation : str
        Id of the process instance, see `known_entries.start_number`.
    peer : str
        ``IP:PORT`` of the entry's coordinator.
    public : tuple of str
        ``IP:PORT`` of each of the entry's gateways.
    leaving : bool
        Whether the entry hands over its partitions and leaves.
    shares : dict of int to int
        Epoch by partition of the customers' rates.
    holdings : dict of int to Holding
        State by partition of endpoints.
    row_version : int
        Version of the row; 0 if the entry has no row yet.
    """

    name: str
    zone: str
    incarnation: str
    peer: str
    public: tuple
    leaving: bool = False
    shares: dict = dataclasses.field(default_factory=dict)
    holdings: dict = dataclasses.field(default_factory=dict)
    row_version: int = 0


@dataclasses.dataclass(frozen=True)
class View:
    """Snapshot of the fleet, as known to one entry.

    Parameters
    ----------
    me : str
        Name of this entry.
    version : int
        Version of the configuration in force; 0 before the first
        configuration.
    declaration : dogwoodwheel.declaration.datatypes.Declaration or None
    entries : dict of str to Entry
        Entries that have a row.
    live : frozenset of str
        Names of the entries that are not leaving and whose heartbeat is
        not overdue.
    leaving : frozenset of str
        Names of the endpoint VMs that the platform's list shows as
        leaving.
    partitions : int
        Number of partitions, stored in the table at the fleet's first
        start; 0 until it is known.
    """

    me: str
    version: int = 0
    declaration: object = None
    entries: dict = dataclasses.field(default_factory=dict)
    live: frozenset = frozenset()
    leaving: frozenset = frozenset()
    partitions: int = 0

    @functools.cached_property
    def holders(self):
        """Dict from each partition of endpoints to its (Entry, Holding).

        Notes
        -----
        A scan may see only one of the two rows that a transfer writes,
        so a partition may appear in two entries; the entry with the
        higher epoch is used.  The dict is built once for each view, in
        time linear in the number of partitions.
        """
        holders = {}
        for entry in self.entries.values():
            for partition, holding in entry.holdings.items():
                known = holders.get(partition)
                if known is None or known[1].epoch < holding.epoch:
                    holders[partition] = (entry, holding)
        return holders

    def can_admit(self):
        """Return whether requests can be admitted at this entry.

        Notes
        -----
        Before the first configuration, and until all partitions are
        claimed at the fleet's first start, some endpoints have no owner
        and no entry may spend some of the customers' tokens.
        """
        if not self.version or not self.partitions:
            return False
        all_held = len(self.holders) >= self.partitions
        return self.me in self.entries and all_held

    def holder_of(self, partition):
        """Return the holder of a partition of endpoints and its `Holding`.

        Returns
        -------
        (Entry, Holding) or (None, None)
        """
        return self.holders.get(partition, (None, None))

    def owner_of(self, endpoint):
        """Return the owner of an endpoint and its `Holding`.

        Returns
        -------
        (Entry, Holding) or (None, None)
        """
        if not self.partitions:
            return None, None
        return self.holder_of(partition_of(endpoint, self.partitions))

    def decider_of(self, model):
        """Return the name of the entry that decides a model's replicas.

        Notes
        -----
        Uses rendezvous hashing over the live entries (Thaler and
        Ravishankar, 1998).  Entries whose views differ may temporarily
        select different deciders; if both decide, the version checks on
        the rows let only one of the two decisions be written.
        """
        return _decider(self.live or frozenset([self.me]), model)

    def usable(self, endpoint):
        """Return whether an endpoint may receive new requests."""
        zone = self.declaration.zones[endpoint.zone]
        return zone.state == "in" and endpoint.name not in self.leaving


@functools.lru_cache(maxsize=DECIDER_CACHE_SIZE)
def _decider(live, model):
    return max(live, key=lambda name: rendezvous_score(name, model))


def rendezvous_score(name, key):
    """Return a hash of a name and a key that is the same at all entries.

    Examples
    --------
    >>> rendezvous_score("a", "k") == rendezvous_score("a", "k")
    True
    """
    data = f"{name}\0{key}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def partition_of(name, count):
    """Return the partition, from 0 to ``count - 1``, of a name.

    Examples
    --------
    >>> partition_of("worker-1", 64) == partition_of("worker-1", 64)
    True
    """
    return rendezvous_score("", name) % count
