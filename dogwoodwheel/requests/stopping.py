"""Graceful shutdown of a gateway."""

from loguru import logger
import trio

from dogwoodwheel.requests import refusals

__all__ = ["LIFETIME_S", "GracefulShutdown"]

LIFETIME_S = 5
PROPAGATION_S = 3.0
POLL_INTERVAL_S = 0.05
RECORDS_TIMEOUT_S = 30.0


class GracefulShutdown:
    """Drains a gateway that leaves, and counts its requests in flight.

    Parameters
    ----------
    coordinator_client : CoordinatorClient
        Of `dogwoodwheel.requests.coordinator_client`.
    detached : dogwoodwheel.requests.detached.DetachedTasks

    Attributes
    ----------
    running : int
        Number of callers' requests in flight.
    """

    def __init__(self, coordinator_client, detached):
        self.coordinator_client = coordinator_client
        self.detached = detached
        self.running = 0
        self._stop_requested = False
        self._refuses_new = False

    def leaving(self):
        """Return whether callers should use other entries."""
        return self._stop_requested or self.coordinator_client.config.leaving

    def check_open(self):
        """Refuse a request once the gateway accepts no new ones.

        Raises
        ------
        RefusedError
            If `run` has waited until callers know that this entry
            leaves.
        """
        if self._refuses_new:
            raise refusals.refused(
                "entry_leaving",
                "this entry ends; ask another one, GET /v1/entries "
                "lists them",
                503,
                retry_after_s=1,
            )

    def entries(self, address):
        """Return the addresses of the entries that callers should use.

        Parameters
        ----------
        address : str
            Address of this entry, returned if no list is known yet.
        """
        entries = self.coordinator_client.config.entries
        if not self.leaving():
            return entries or (address,)
        return tuple(entry for entry in entries if entry != address)

    async def run(self):
        """Drain the gateway: return once no request is in flight.

        Notes
        -----
        Callers use an answer of ``GET /v1/entries`` for `LIFETIME_S`.
        Other entries may include this entry in their answers for up to
        `PROPAGATION_S`, until they know that this one leaves.  Requests
        are served for the sum of both times, and each reply closes its
        connection.
        """
        self._stop_requested = True
        self.coordinator_client.announce_leaving()
        logger.info(
            "gateway: draining, serves for {} s", LIFETIME_S + PROPAGATION_S
        )
        await trio.sleep(LIFETIME_S + PROPAGATION_S)
        self._refuses_new = True
        logger.info("gateway: refuses new requests, running={}", self.running)
        while self.running:
            await trio.sleep(POLL_INTERVAL_S)
        with trio.move_on_after(RECORDS_TIMEOUT_S):
            while self.detached.running:
                await trio.sleep(POLL_INTERVAL_S)
        if self.detached.running:
            logger.warning("gateway: ends before all records were written")
        await self.coordinator_client.flush()
