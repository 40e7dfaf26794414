"""An entry's copy of the configuration and of the state of the endpoints."""

import dataclasses
import math

import trio

from dogwoodwheel.entry import datatypes

__all__ = ["FleetState", "TrackedEndpoint", "merge_scan"]

# A longer interval between two scans means that the store was unavailable.
MAX_SCAN_INTERVAL_S = 2.0
# Time in which endpoints register again after the store was unavailable,
# according to the platform, plus 0.5 s for the interval between scans.
REREGISTRATION_S = 2.5
# Age that is reported for the endpoints before the first scan.
MAX_AGE_S = 1e6


@dataclasses.dataclass(frozen=True)
class TrackedEndpoint:
    """An endpoint and when its registration appeared or disappeared.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    cold_until : float
        Time of trio's clock until which the endpoint is cold.
    first_seen_at : float
        Time at which this version of the registration was first read.
    missing_at : float
        Time of the first scan without the registration; infinite while
        the endpoint is registered.
    version : int
        Version of the registration's row in the store.
    """

    endpoint: datatypes.Endpoint
    cold_until: float = 0.0
    first_seen_at: float = 0.0
    missing_at: float = math.inf
    version: int = 0


def merge_scan(tracked, registered, now, last_scan_at):
    """Return the endpoints to track after a scan of the registrations.

    Parameters
    ----------
    tracked : dict of str to TrackedEndpoint
        Endpoints tracked before the scan.
    registered : dict of str to (dogwoodwheel.entry.datatypes.Endpoint, int)
        Endpoints found by the scan, with the versions of their rows.
    now, last_scan_at : float
        Times of this scan and of the previous one, seconds.

    Returns
    -------
    dict of str to TrackedEndpoint

    Notes
    -----
    Load pattern: while the store is unavailable, registrations expire
    although all endpoints still serve requests.  An endpoint that is
    missing in the first scan after such an interruption is kept until
    it has had time to register again.  An endpoint that is missing at
    any other time has left and is removed at once.
    """
    merged = {}
    for name, (endpoint, version) in registered.items():
        previous = tracked.get(name)
        if previous is not None and previous.version == version:
            merged[name] = dataclasses.replace(previous, missing_at=math.inf)
        else:
            merged[name] = TrackedEndpoint(
                endpoint, now + endpoint.cold_s, now, math.inf, version
            )
    interrupted = now - last_scan_at > MAX_SCAN_INTERVAL_S
    for name, previous in tracked.items():
        if name in merged:
            continue
        if previous.missing_at < math.inf:
            if now - previous.missing_at < REREGISTRATION_S:
                merged[name] = previous
        elif interrupted:
            merged[name] = dataclasses.replace(previous, missing_at=now)
    return merged


class FleetState:
    """The configuration, the endpoints and their models, as last received.

    Attributes
    ----------
    config : dogwoodwheel.entry.datatypes.Configuration or None
    evacuated : frozenset of str
        Availability zones whose endpoints must receive no requests.
    endpoints : dict of str to TrackedEndpoint
    scanned_at : float
        Time of trio's clock at which the last scan of the endpoints
        began.
    operator_row : int
        Version of the newest row of the operator's table that this
        entry has read; deleted rows count.
    peer_operator_version : int
        Version of the newest row of the operator's table that any peer
        has read.
    holdings : dict of str to tuple
        By endpoint: time of the newest report of what its engine holds,
        the models as in `update_holdings`, and the model being loaded.
    """

    def __init__(self):
        self.config = None
        self.evacuated = frozenset()
        self.endpoints = {}
        self.scanned_at = -math.inf
        self.operator_row = 0
        self.peer_operator_version = 0
        self.holdings = {}
        self._loading = {}
        self._changed = trio.Event()

    @property
    def scan_age_s(self):
        """Seconds since the last scan of the endpoints began."""
        return min(trio.current_time() - self.scanned_at, MAX_AGE_S)

    def set_configuration(self, config):
        """Use a configuration if it is newer than the one in force.

        Returns
        -------
        bool
            False if the configuration is not newer and was ignored.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.notify_change()
        return True

    def set_evacuated_zones(self, zones):
        """Set the availability zones that must receive no requests."""
        self.evacuated = frozenset(zones)
        self.notify_change()

    def apply_scan(self, registered, at):
        """Update the endpoints from a scan that began at a given time.

        Parameters
        ----------
        registered : dict of str to (Endpoint, int)
            As for `merge_scan`.
        at : float
            Time of trio's clock.
        """
        self.endpoints = merge_scan(
            self.endpoints, registered, at, self.scanned_at
        )
        self.scanned_at = at
        self.notify_change()

    def update_holdings(self, endpoint, models, at, loading_model=""):
        """Record what an engine holds, unless a newer report is known.

        Parameters
        ----------
        endpoint : str
        models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
        at : float
            Time of trio's clock that the report refers to.
        loading_model : str
            Model that is being loaded; empty for none.
        """
        previous = self.holdings.get(endpoint)
        if previous is None or previous[0] < at:
            self.holdings[endpoint] = (at, models, loading_model)
            self._update_loading(endpoint, loading_model)
            if previous is None or previous[1:] != (models, loading_model):
                self.notify_change()

    def models(self, endpoint):
        """Return the models that an engine holds, by the newest source.

        Notes
        -----
        The source is the last report of the engine, or the registration
        of the endpoint where that was read later.
        """
        tracked_endpoint = self.endpoints[endpoint]
        holdings = self.holdings.get(endpoint)
        if (
            holdings is not None
            and holdings[0] > tracked_endpoint.first_seen_at
        ):
            return holdings[1]
        return tracked_endpoint.endpoint.models

    def loading_since(self, model_name):
        """Return the time at which the oldest current load of a model began.

        Returns
        -------
        float or None
            Time of trio's clock at which this entry learned of the load;
            None if no tracked endpoint is loading the model.
        """
        times = [
            since
            for name, (model, since) in self._loading.items()
            if model == model_name and name in self.endpoints
        ]
        return min(times, default=None)

    def _update_loading(self, endpoint, loading_model):
        previous = self._loading.get(endpoint)
        if not loading_model:
            self._loading.pop(endpoint, None)
        elif previous is None or previous[0] != loading_model:
            self._loading[endpoint] = (loading_model, trio.current_time())

    def usable(self, service):
        """Return the tracked endpoints of a service that may get requests."""
        return [
            tracked
            for tracked in self.endpoints.values()
            if tracked.endpoint.service == service
            and tracked.endpoint.ready
            and tracked.endpoint.zone not in self.evacuated
        ]

    def notify_change(self):
        """Wake all tasks in `wait_for_change`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self):
        """Wait until the state changes."""
        await self._changed.wait()
