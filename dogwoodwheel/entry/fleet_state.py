"""What an entry knows of the configuration and the endpoints."""

import dataclasses
import math

import trio

from dogwoodwheel.entry import datatypes

__all__ = ["FleetState", "TrackedEndpoint", "merge_scan"]

# Scans further apart than this were interrupted by an outage, seconds.
INTERRUPTED_S = 2.0
# Time that endpoints have to register again after an outage, as the
# platform tells, and half a second for the scan's own interval.
REGISTER_AGAIN_S = 2.5
# Age of endpoints that were never read, seconds.
LONGEST_AGE_S = 1e6


@dataclasses.dataclass(frozen=True)
class TrackedEndpoint:
    """An endpoint with the times at which it was seen.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    cold_until : float
        Time of trio's clock until which it is cold.
    changed_at : float
        Time at which this registration was first read.
    missing_at : float
        Time at which a scan first lacked it; infinite while present.
    version : int
        Version of its row.
    """

    endpoint: datatypes.Endpoint
    cold_until: float = 0.0
    changed_at: float = 0.0
    missing_at: float = math.inf
    version: int = 0


def merge_scan(known, found, now, last_scan_at):
    """Return what is known of the endpoints after a scan.

    Parameters
    ----------
    known : dict of str to TrackedEndpoint
    found : dict of str to (dogwoodwheel.entry.datatypes.Endpoint, int)
        Endpoints registered now, with the versions of their rows.
    now, last_scan_at : float
        Times of this scan and of the one before.

    Returns
    -------
    dict of str to TrackedEndpoint

    Notes
    -----
    Load pattern: the store is away, registrations lapse meanwhile, and
    all endpoints still serve.  Those that lack after an interruption
    stay until they had time to register again; at other times one that
    lacks has left.
    """
    merged = {}
    for name, (endpoint, version) in found.items():
        before = known.get(name)
        if before is not None and before.version == version:
            merged[name] = dataclasses.replace(before, missing_at=math.inf)
        else:
            merged[name] = TrackedEndpoint(
                endpoint, now + endpoint.cold_s, now, math.inf, version
            )
    interrupted = now - last_scan_at > INTERRUPTED_S
    for name, before in known.items():
        if name in merged:
            continue
        if before.missing_at < math.inf:
            if now - before.missing_at < REGISTER_AGAIN_S:
                merged[name] = before
        elif interrupted:
            merged[name] = dataclasses.replace(before, missing_at=now)
    return merged


class FleetState:
    """What an entry knows, and since when.

    Attributes
    ----------
    config : dogwoodwheel.entry.datatypes.Configuration or None
    evacuated : frozenset of str
        Availability zones that receive nothing.
    endpoints : dict of str to TrackedEndpoint
    scanned_at : float
        Time of the last scan of the endpoints.
    operator_row : int
        Version of the newest row of the operator that was read, also of
        one that was deleted.
    peer_operator_version : int
        Version of the newest one that peers have read.
    """

    def __init__(self):
        self.config = None
        self.evacuated = frozenset()
        self.endpoints = {}
        self.scanned_at = -math.inf
        self.operator_row = 0
        self.peer_operator_version = 0
        self.holdings = {}
        self._coming = {}
        self._changed = trio.Event()

    @property
    def scan_age_s(self):
        """Seconds since the endpoints were read."""
        return min(trio.current_time() - self.scanned_at, LONGEST_AGE_S)

    def configure(self, config):
        """Take a configuration; return False for one that is not newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.notify_change()
        return True

    def evacuate(self, zones):
        """Set the zones that receive nothing."""
        self.evacuated = frozenset(zones)
        self.notify_change()

    def scan(self, found, at):
        """Take the endpoints that were registered at a time."""
        self.endpoints = merge_scan(self.endpoints, found, at, self.scanned_at)
        self.scanned_at = at
        self.notify_change()

    def update_holdings(self, endpoint, models, at, coming=""):
        """Take a report of what an engine holds.

        Parameters
        ----------
        endpoint : str
        models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
        at : float
            Time of trio's clock at which it was true.
        coming : str
            Model that is being loaded; empty for none.
        """
        before = self.holdings.get(endpoint)
        if before is None or before[0] < at:
            self.holdings[endpoint] = (at, models, coming)
            self._note_coming(endpoint, coming)
            if before is None or before[1:] != (models, coming):
                self.notify_change()

    def models(self, endpoint):
        """Return what an engine holds, from the newest source."""
        tracked_endpoint = self.endpoints[endpoint]
        held = self.holdings.get(endpoint)
        if held is not None and held[0] > tracked_endpoint.changed_at:
            return held[1]
        return tracked_endpoint.endpoint.models

    def loading_since(self, model_name):
        """Return since when a model is being loaded, or None."""
        times = [
            since
            for name, (model, since) in self._coming.items()
            if model == model_name and name in self.endpoints
        ]
        return min(times, default=None)

    def _note_coming(self, endpoint, coming):
        had = self._coming.get(endpoint)
        if not coming:
            self._coming.pop(endpoint, None)
        elif had is None or had[0] != coming:
            self._coming[endpoint] = (coming, trio.current_time())

    def usable(self, service):
        """Return the endpoints that may receive requests of a service."""
        return [
            s
            for s in self.endpoints.values()
            if s.endpoint.service == service
            and s.endpoint.ready
            and s.endpoint.zone not in self.evacuated
        ]

    def notify_change(self):
        """Wake all that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self):
        """Wait for the next change."""
        await self._changed.wait()
