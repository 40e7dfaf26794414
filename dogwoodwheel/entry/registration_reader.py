"""Decodes the rows of the endpoints' registrations."""

import math

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.platform import registrations
from dogwoodwheel.platform import versions

__all__ = ["RegistrationReader"]

# At most MAX_MALFORMED_LINES are logged about malformed registrations within
# MALFORMED_WINDOW_S, since the writer of such rows may change them all the
# time.
MAX_MALFORMED_LINES = 20
MALFORMED_WINDOW_S = 60.0


class RegistrationReader:
    """Decodes registrations that have changed, and logs the changes.

    A malformed registration costs that row only.  It is logged when it
    appears and when it changes, within the limits above.

    Notes
    -----
    Rows are compared by value, because a store that was restored from a
    copy gives out the same version again.
    """

    def __init__(self):
        # By key, for the rows of the last scan only: the row's value, and the
        # endpoint; None if the value is malformed.
        self._decoded_rows = {}
        self._endpoints = {}
        self._window_began_at = -math.inf
        self._window_lines = 0
        self._unlogged = 0

    def read(self, rows):
        """Return each endpoint and the version of its row, by name.

        Parameters
        ----------
        rows : sequence of dogwoodwheel.platform.store.Row
        """
        decoded_rows = {}
        endpoints = {}
        for row in rows:
            decoded = self._decoded_rows.get(row.key)
            if decoded is None or decoded[0] != row.value:
                decoded = (row.value, self._decode(row))
            decoded_rows[row.key] = decoded
            if decoded[1] is not None:
                endpoints[row.key] = (decoded[1], row.version)
        self._log_changes(endpoints)
        self._decoded_rows = decoded_rows
        self._endpoints = endpoints
        return endpoints

    def _decode(self, row):
        """Return the endpoint of a row; None if the row is malformed."""
        try:
            return registrations.decode(row.key, row.value)
        except exceptions.DeclarationError as exc:
            self._log_malformed(exc.faults[0])
            return None

    def _log_malformed(self, reason):
        now = trio.current_time()
        if now - self._window_began_at >= MALFORMED_WINDOW_S:
            if self._unlogged:
                logger.warning(
                    "endpoints: malformed, not logged", count=self._unlogged
                )
            self._window_began_at = now
            self._window_lines = self._unlogged = 0
        if self._window_lines >= MAX_MALFORMED_LINES:
            self._unlogged += 1
            return
        self._window_lines += 1
        logger.warning("endpoints: malformed", why=reason)

    def _log_changes(self, endpoints):
        for name, (endpoint, version) in endpoints.items():
            previous = self._endpoints.get(name)
            if previous is None or previous[0].ready != endpoint.ready:
                logger.info(
                    "endpoints: updated",
                    id=name,
                    service=endpoint.service,
                    address=endpoint.address,
                    zone=endpoint.zone,
                    ready=endpoint.ready,
                    cold_s=round(endpoint.cold_s, 1),
                    row=versions.describe(version),
                )
        for name in self._endpoints.keys() - endpoints.keys():
            logger.info("endpoints: no longer registered", id=name)
