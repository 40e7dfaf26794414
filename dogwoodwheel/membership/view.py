"""What an entry knows of the fleet at a moment, as frozen data."""

import dataclasses
import functools
import hashlib

__all__ = ["Entry", "Holding", "View", "partition_of", "rank"]

DECIDERS_CACHED = 32_768


@dataclasses.dataclass(frozen=True)
class Holding:
    """A partition of endpoints as its holder has it.

    Parameters
    ----------
    epoch : int
        Fencing number; grows whenever the partition passes on.
    prior : tuple of (str, str)
        Earlier holders, as entry and incarnation, that are not proved
        gone; endpoints that ignore fencing get no order until then.
    """

    epoch: int
    prior: tuple = ()


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry VM's row in the table.

    Parameters
    ----------
    name, zone, incarnation : str
    peer : str
        ``IP:PORT`` of its coordinator.
    public : tuple of str
        ``IP:PORT`` of its gateways.
    leaving : bool
    shares : dict of int to int
        Partitions of the customers' rates, with their epochs.
    holdings : dict of int to Holding
        Partitions of endpoints.
    row : int
        Version of the row.
    """

    name: str
    zone: str
    incarnation: str
    peer: str
    public: tuple
    leaving: bool = False
    shares: dict = dataclasses.field(default_factory=dict)
    holdings: dict = dataclasses.field(default_factory=dict)
    row: int = 0


@dataclasses.dataclass(frozen=True)
class View:
    """What an entry knows of the fleet at a moment.

    Parameters
    ----------
    me : str
        Name of this entry.
    version : int
        Version of the configuration; 0 before the first one.
    declaration : dogwoodwheel.declaration.model.Declaration or None
    entries : dict of str to Entry
        Entries that have a row.
    live : frozenset of str
        Entries whose heartbeat is not overdue and that do not leave.
    leaving : frozenset of str
        Endpoint VMs that the platform's list shows as leaving.
    partitions : int
        Number of partitions, set once in the table; 0 before that.
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
        """Entry and `Holding` of each partition of endpoints, a dict.

        Notes
        -----
        While a move is seen in one of its two rows only, a partition may
        stand twice; the newer epoch holds.  Linear in the partitions,
        once a view.
        """
        found = {}
        for entry in self.entries.values():
            for part, held in entry.holdings.items():
                other = found.get(part)
                if other is None or other[1].epoch < held.epoch:
                    found[part] = (entry, held)
        return found

    def settled(self):
        """Tell whether requests can be admitted at this entry.

        Notes
        -----
        Before the first configuration, and while the partitions are
        claimed at the fleet's first start, nobody owns the endpoints
        and the customers' tokens are nowhere yet.
        """
        if not self.version or not self.partitions:
            return False
        all_held = len(self.holders) >= self.partitions
        return self.me in self.entries and all_held

    def holder_of(self, partition):
        """Return the entry that holds a partition of endpoints, or None.

        Returns
        -------
        (Entry, Holding) or (None, None)
        """
        return self.holders.get(partition, (None, None))

    def owner_of(self, endpoint):
        """Return the owner of an endpoint and its holding, or Nones."""
        if not self.partitions:
            return None, None
        return self.holder_of(partition_of(endpoint, self.partitions))

    def decider_of(self, model):
        """Return the name of the entry that decides a model's replicas.

        Notes
        -----
        Rendezvous over the live entries (Thaler and Ravishankar, 1998).
        Two entries may name two deciders for a while; the versions of
        the rows that a decision writes keep them from both deciding.
        """
        return _first(self.live or frozenset([self.me]), model)

    def usable(self, endpoint):
        """Tell whether an endpoint may receive new work."""
        zone = self.declaration.zones[endpoint.zone]
        return zone.state == "in" and endpoint.name not in self.leaving


@functools.lru_cache(maxsize=DECIDERS_CACHED)
def _first(live, model):
    return max(live, key=lambda name: rank(name, model))


def rank(name, key):
    """Return a uniform number for a name and a key, the same everywhere.

    Examples
    --------
    >>> rank("a", "k") == rank("a", "k")
    True
    """
    data = f"{name}\0{key}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def partition_of(name, count):
    """Return the partition of a name among ``count``.

    Examples
    --------
    >>> partition_of("worker-1", 64) == partition_of("worker-1", 64)
    True
    """
    return rank("", name) % count
