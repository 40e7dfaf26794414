"""Reports what a request shows about its parts, and refuses deadly ones.

Notes
-----
Workload: as for `query_of_death`.  An attempt that breaks off counts as a
crash only if the endpoint's VM then refuses a connection: an endpoint that
resets single connections, a cut link and a VM without power do not.  Nor does
an endpoint that has said that it leaves, since its process ends by itself.
The check sends no request, so it is made also while the endpoint wants none.
"""

from loguru import logger
import trio

from dogwoodwheel.entry import query_of_death
from dogwoodwheel.entry import request_parts
from dogwoodwheel.requests import refusals

__all__ = ["CrashChecker", "CrashGuard"]

CONNECT_TIMEOUT_S = 0.4
# Time for which the result of a check holds for other broken attempts.
RESULT_MAX_AGE_S = 0.5


class CrashChecker:
    """Finds out whether the process of an endpoint has ended.

    Parameters
    ----------
    http_client : dogwoodwheel.engines.http.HttpClient
    """

    def __init__(self, http_client):
        self._http_client = http_client
        self._results = {}

    async def has_crashed(self, endpoint):
        """Return whether an endpoint refuses connections."""
        now = trio.current_time()
        checked_at, has_crashed = self._results.get(endpoint.id, (now, None))
        if has_crashed is None or now - checked_at > RESULT_MAX_AGE_S:
            self._results = {
                name: result
                for name, result in self._results.items()
                if now - result[0] <= RESULT_MAX_AGE_S
            }
            has_crashed = await self._http_client.refuses_connections(
                endpoint.address, CONNECT_TIMEOUT_S
            )
            self._results[endpoint.id] = (now, has_crashed)
        return has_crashed


class CrashGuard:
    """Watches the attempts of one request.

    Parameters
    ----------
    components : dogwoodwheel.entry.components.Components
    request_id : str
    parts : tuple of str
        Parts of the request, from `request_parts.parts_of`.
    """

    def __init__(self, components, request_id, parts):
        self._components = components
        self._id = request_id
        self._parts = parts
        self._has_begun = False
        self._event_count = 0
        self._first_event_at = None

    @property
    def whole(self):
        """Name of the request as a whole, for log lines."""
        return self._parts[-1]

    def check(self):
        """Refuse a request that has a quarantined part.

        Raises
        ------
        RefusedError
            The caller may come back once the quarantine ends.
        """
        now = trio.current_time()
        detector = self._components.query_of_death_detector
        quarantine = detector.find_quarantine(self._parts, now)
        if quarantine is None:
            return
        logger.info(
            "query of death: refused",
            id=self._id,
            part=quarantine.part,
            parts=",".join(self._parts),
        )
        crash_count = len(quarantine.endpoints)
        if request_parts.is_whole(quarantine.part):
            raise refusals.refused(
                "request_quarantined",
                f"{quarantine.part} crashed {crash_count} endpoints; change "
                f"the request, or come back",
                503,
                retry_after_s=quarantine.expires_at - now,
            )
        raise refusals.refused(
            "prompt_quarantined",
            f"section {quarantine.part} of the prompt crashed "
            f"{crash_count} engines; change the prompt, or come back",
            503,
            retry_after_s=quarantine.expires_at - now,
        )

    def begin_attempt(self):
        """Note that the request is sent to an endpoint."""
        self._has_begun = False
        self._event_count = 0
        self._first_event_at = None

    def record_head(self):
        """Note that the endpoint has begun an answer."""
        self._has_begun = True

    def record_events(self, count):
        """Note the number of events that this attempt has received."""
        if not count:
            return
        if self._first_event_at is None:
            self._first_event_at = trio.current_time()
        was_sound = self._event_count >= query_of_death.SOUND_EVENTS
        self._event_count = count
        if count >= query_of_death.SOUND_EVENTS and not was_sound:
            self._record_sound()

    def record_end(self):
        """Note that the answer is complete."""
        if self._first_event_at is None:
            self._first_event_at = trio.current_time()
        if self._event_count < query_of_death.SOUND_EVENTS:
            self._record_sound()

    def _record_sound(self):
        self._components.query_of_death_detector.record_sound(
            self._parts, self._first_event_at
        )

    async def has_crashed(self, endpoint):
        """Return whether an endpoint has ended that did not want to leave.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint
        """
        is_leaving = self._components.fleet_state.leaving.is_leaving(endpoint)
        return not is_leaving and (
            await self._components.crash_checker.has_crashed(endpoint)
        )

    async def record_break(self, endpoint):
        """Report an attempt that broke off, if the endpoint crashed.

        Parameters
        ----------
        endpoint : dogwoodwheel.entry.datatypes.Endpoint

        Returns
        -------
        bool
            Whether this request is likely to crash the next endpoint, as the
            answer had just begun.
        """
        if (
            self._event_count >= query_of_death.SOUND_EVENTS
            or not await self.has_crashed(endpoint)
        ):
            return False
        now = trio.current_time()
        detector = self._components.query_of_death_detector
        has_begun = self._has_begun and not self._event_count
        self._components.metrics.count_crash_suspect()
        logger.info(
            "query of death: suspected",
            id=self._id,
            endpoint=endpoint.id,
            parts=",".join(self._parts),
            begun=self._has_begun,
            events=self._event_count,
        )
        detector.record_crash(endpoint.id, self._parts, has_begun, now)
        self._components.heartbeats.send_soon()
        return has_begun
