"""An entry's copy of the configuration and of the state of the endpoints."""

import dataclasses
import math

import trio

from dogwoodwheel.entry import datatypes
from dogwoodwheel.entry import leaving as leaving_module

__all__ = ["FleetState", "TrackedEndpoint", "merge_scan"]

# After a longer interval between two scans, the platform's store is taken to
# have been unavailable.
MAX_SCAN_INTERVAL_S = 2.0
# The platform states that endpoints register again within 2 s after an
# outage of its store; 0.5 s is added for the interval between scans.
REREGISTRATION_S = 2.5
# Time for which an endpoint that a restored store lists, and that was unknown
# before, gets no requests.  The platform removes registrations that are not
# written for three heartbeats, 1.2 s each.
UNKNOWN_HOLD_S = 4.0
# The same for an endpoint that has left before the store was restored.
LEFT_HOLD_S = 10.0
# Time for which an entry remembers which endpoints have left.
LEFT_KEPT_S = 600.0
# Upper limit of the reported age of the last scan.  Also reported before the
# first scan.
MAX_SCAN_AGE_S = 1e6


@dataclasses.dataclass(frozen=True)
class TrackedEndpoint:
    """An endpoint, and when its registration appeared and disappeared.

    Parameters
    ----------
    endpoint : dogwoodwheel.entry.datatypes.Endpoint
    cold_until : float
        Time of trio's clock until which the endpoint is cold, that is,
        limited to few requests after its start.
    first_seen_at : float
        When this version of the registration was first found: time of
        trio's clock at which that scan began.
    missing_at : float
        When the registration was first found missing: time of trio's clock
        at which that scan began; infinite while it is registered.
    row_version : int
        Version of the registration's row in the platform's store.
    unconfirmed_until : float
        The endpoint gets no requests before a scan that began at this time
        of trio's clock, or later, finds it; negative infinity for an
        endpoint that is known to be there.
    """

    endpoint: datatypes.Endpoint
    cold_until: float = 0.0
    first_seen_at: float = 0.0
    missing_at: float = math.inf
    row_version: int = 0
    unconfirmed_until: float = -math.inf


def merge_scan(
    tracked_endpoints,
    registered_endpoints,
    now,
    last_scan_at,
    store_was_restored=False,
    left_endpoints=frozenset(),
):
    """Return the endpoints to track after a scan of the registrations.

    Parameters
    ----------
    tracked_endpoints : dict of str to TrackedEndpoint
        Endpoints tracked before the scan.
    registered_endpoints : dict of str to (datatypes.Endpoint, int)
        Endpoints found by the scan, with the versions of their rows.
    now, last_scan_at : float
        Times of trio's clock at which this scan and the previous one
        began.
    store_was_restored : bool
        Whether the store was restored from a copy since the previous scan.
    left_endpoints : container of (str, int)
        Names and start times, milliseconds, of endpoints that have left.

    Returns
    -------
    dict of str to TrackedEndpoint

    Notes
    -----
    Workload: the platform's store is unavailable, and registrations
    expire although all endpoints still serve requests.  An endpoint that
    the first scan after the outage does not find is therefore kept for
    `REREGISTRATION_S`, in which it can register again.  An endpoint that
    any other scan does not find has left and is removed at once.

    Workload: the store is restored from a copy that is some seconds old.
    Registrations in the copy are older than those of the previous scan, and
    live endpoints write them again.  See `_merge_copied`.
    """
    merged_endpoints = {}
    for name, (endpoint, row_version) in registered_endpoints.items():
        previous = tracked_endpoints.get(name)
        if previous is not None and previous.row_version == row_version:
            unconfirmed_until = previous.unconfirmed_until
            if unconfirmed_until <= now:
                unconfirmed_until = -math.inf
            merged_endpoints[name] = dataclasses.replace(
                previous,
                missing_at=math.inf,
                unconfirmed_until=unconfirmed_until,
            )
            continue
        registered = TrackedEndpoint(
            endpoint, now + endpoint.cold_s, now, math.inf, row_version
        )
        if store_was_restored:
            has_left = (name, endpoint.started_ms) in left_endpoints
            registered = _merge_copied(previous, registered, has_left)
        merged_endpoints[name] = registered
    store_was_unavailable = (
        store_was_restored or now - last_scan_at > MAX_SCAN_INTERVAL_S
    )
    for name, previous in tracked_endpoints.items():
        if name in merged_endpoints:
            continue
        is_missing_since = previous.missing_at < math.inf
        if store_was_restored or (
            store_was_unavailable and not is_missing_since
        ):
            merged_endpoints[name] = dataclasses.replace(
                previous, missing_at=now
            )
        elif is_missing_since and (
            now - previous.missing_at < REREGISTRATION_S
        ):
            merged_endpoints[name] = previous
    return merged_endpoints


def _merge_copied(previous, registered, has_left):
    """Return the endpoint to track after its row was restored from a copy.

    Parameters
    ----------
    previous : TrackedEndpoint or None
        The endpoint as tracked before the store was restored.
    registered : TrackedEndpoint
        The endpoint as registered in the restored store.
    has_left : bool
        Whether the endpoint has left before.

    Notes
    -----
    An endpoint that was unknown, because it had left or has just started,
    gets no requests until it registers again, or until it could have been
    removed again and a later scan still finds it.  An endpoint that was
    draining, or that has restarted since, is not what the copy says.
    """
    if previous is None or previous.unconfirmed_until > -math.inf:
        hold_s = LEFT_HOLD_S if has_left else UNKNOWN_HOLD_S
        return dataclasses.replace(
            registered, unconfirmed_until=registered.first_seen_at + hold_s
        )
    copied_at, known_at = (
        tracked.endpoint.started_ms for tracked in (registered, previous)
    )
    is_draining = copied_at == known_at and not registered.endpoint.ready
    if copied_at > known_at or is_draining:
        return registered
    return dataclasses.replace(
        previous, missing_at=math.inf, row_version=registered.row_version
    )


class FleetState:
    """The configuration, endpoints and loaded models that this entry knows.

    Attributes
    ----------
    config : dogwoodwheel.entry.datatypes.Configuration or None
    evacuated_zones : frozenset of str
        Availability zones whose endpoints must receive no requests.
    endpoints : dict of str to TrackedEndpoint
    scanned_at : float
        Time of trio's clock at which the last scan of the endpoints
        began.
    operator_row : int
        Version of the newest row of the operator's table that this
        entry has read, including deleted rows.  Contains the store's era,
        as all versions of `dogwoodwheel.platform.store` do.
    peer_operator_version : int
        Version of the newest row of the operator's table that any peer
        has read.
    holdings : dict of str to (float, dict, str)
        By endpoint: ``reported_at``, ``models`` and ``loading_model`` of
        the newest report, as passed to `update_holdings`.
    leaving : dogwoodwheel.entry.leaving.LeavingEndpoints
    """

    def __init__(self, on_leaving=lambda: None):
        self.config = None
        self.evacuated_zones = frozenset()
        self.endpoints = {}
        self.scanned_at = -math.inf
        self.operator_row = 0
        self.peer_operator_version = 0
        self.holdings = {}
        self._left_endpoints = {}
        self.leaving = leaving_module.LeavingEndpoints(on_leaving)
        self._loading_models = {}
        self._changed = trio.Event()

    @property
    def scan_age_s(self):
        """Seconds since the last scan of the endpoints began."""
        return min(trio.current_time() - self.scanned_at, MAX_SCAN_AGE_S)

    def set_configuration(self, config):
        """Use a configuration unless an equal or newer one is in force.

        Returns
        -------
        bool
            Whether the configuration is now in force.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.notify_change()
        return True

    def set_evacuated_zones(self, zones):
        """Set the availability zones whose endpoints must get no requests."""
        self.evacuated_zones = frozenset(zones)
        self.notify_change()

    def apply_scan(
        self, registered_endpoints, scan_began_at, store_was_restored=False
    ):
        """Update the endpoints from a scan of the registrations.

        Parameters
        ----------
        registered_endpoints : dict of str to (Endpoint, int)
            As for `merge_scan`.
        scan_began_at : float
            Time of trio's clock.
        store_was_restored : bool
            As for `merge_scan`.
        """
        previous_endpoints = self.endpoints
        self.endpoints = merge_scan(
            previous_endpoints,
            registered_endpoints,
            scan_began_at,
            self.scanned_at,
            store_was_restored,
            self._left_endpoints,
        )
        self._record_left_endpoints(previous_endpoints, scan_began_at)
        self.scanned_at = scan_began_at
        self.notify_change()

    def _record_left_endpoints(self, previous_endpoints, now):
        """Remember for some time which endpoints are no longer tracked."""
        for name in previous_endpoints.keys() - self.endpoints.keys():
            started_ms = previous_endpoints[name].endpoint.started_ms
            self._left_endpoints[name, started_ms] = now
        self._left_endpoints = {
            incarnation: left_at
            for incarnation, left_at in self._left_endpoints.items()
            if now - left_at < LEFT_KEPT_S
        }

    def update_holdings(self, endpoint, models, reported_at, loading_model=""):
        """Record the models of an engine, unless a newer report is known.

        Parameters
        ----------
        endpoint : str
        models : dict of str to dogwoodwheel.entry.datatypes.LoadedModel
        reported_at : float
            Time of trio's clock at which the engine held these models.
        loading_model : str
            Model that is being loaded; empty for none.
        """
        previous = self.holdings.get(endpoint)
        if previous is None or previous[0] < reported_at:
            self.holdings[endpoint] = (reported_at, models, loading_model)
            self._update_loading(endpoint, loading_model)
            if previous is None or previous[1:] != (models, loading_model):
                self.notify_change()

    def models(self, endpoint):
        """Return the models that the engine of an endpoint holds, by name.

        Notes
        -----
        The models are those of the engine's last report, or those of the
        endpoint's registration if the registration is newer.
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
        """Return when the oldest unfinished load of a model began.

        Returns
        -------
        float or None
            Time of trio's clock at which this entry learned of the load;
            None if no endpoint that may get requests is loading the model.
        """
        began_times = [
            began_at
            for name, (model, began_at) in self._loading_models.items()
            if model == model_name
            and name in self.endpoints
            and self._may_get_requests(self.endpoints[name])
        ]
        return min(began_times, default=None)

    def _update_loading(self, endpoint, loading_model):
        previous = self._loading_models.get(endpoint)
        if not loading_model:
            self._loading_models.pop(endpoint, None)
        elif previous is None or previous[0] != loading_model:
            self._loading_models[endpoint] = (
                loading_model,
                trio.current_time(),
            )

    def usable_endpoints(self, service):
        """Return the tracked endpoints of a service that may get requests."""
        return [
            tracked
            for tracked in self.endpoints.values()
            if tracked.endpoint.service == service
            and self._may_get_requests(tracked)
        ]

    def _may_get_requests(self, tracked_endpoint):
        endpoint = tracked_endpoint.endpoint
        return (
            endpoint.ready
            and tracked_endpoint.unconfirmed_until == -math.inf
            and endpoint.zone not in self.evacuated_zones
            and not self.leaving.is_leaving(endpoint)
        )

    def record_leaving(self, endpoint_id, started_ms, is_own=True):
        """Record that an endpoint leaves; return whether this is news.

        Parameters
        ----------
        endpoint_id, started_ms, is_own
            As for `dogwoodwheel.entry.leaving.LeavingEndpoints.record`.
        """
        is_news = self.leaving.record(
            endpoint_id, started_ms, trio.current_time(), is_own
        )
        if is_news:
            self.notify_change()
        return is_news

    def notify_change(self):
        """Wake all tasks in `wait_for_change`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self):
        """Wait until `notify_change` is called."""
        await self._changed.wait()
