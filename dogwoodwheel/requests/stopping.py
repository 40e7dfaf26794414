"""Graceful shutdown of a gateway."""

from loguru import logger
import trio

from dogwoodwheel.requests import refusals

__all__ = ["ENTRIES_CACHE_S", "GracefulShutdown"]

# Time for which callers may cache an answer of GET /v1/entries.
ENTRIES_CACHE_S = 5
# Time until all entries omit a leaving entry from their answers.
PROPAGATION_S = 3.0
POLL_INTERVAL_S = 0.05
RECORDS_TIMEOUT_S = 30.0


class GracefulShutdown:
    """Drains a gateway before it exits, and counts requests in flight.

    Parameters
    ----------
    coordinator_client : CoordinatorClient
        Of `dogwoodwheel.requests.coordinator_client`.
    detached_tasks : dogwoodwheel.requests.detached.DetachedTasks

    Attributes
    ----------
    running_requests : int
        Number of callers' requests in flight.
    """

    def __init__(self, coordinator_client, detached_tasks):
        self.coordinator_client = coordinator_client
        self.detached_tasks = detached_tasks
        self.running_requests = 0
        self._stop_requested = False
        self._refuses_new_requests = False

    def leaving(self):
        """Return whether callers should use other entries."""
        return self._stop_requested or self.coordinator_client.config.leaving

    def check_open(self):
        """Refuse a request once the gateway accepts no new requests.

        Raises
        ------
        RefusedError
            Once `run` has waited for as long as callers may still send
            requests to this entry.
        """
        if self._refuses_new_requests:
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
            ``IP:PORT`` of this entry, returned alone if the coordinator has
            sent no list of entries yet.
        """
        entries = self.coordinator_client.config.entries
        if not self.leaving():
            return entries or (address,)
        return tuple(entry for entry in entries if entry != address)

    async def run(self):
        """Drain the gateway: return once no request is in flight.

        Notes
        -----
        Callers may cache an answer of ``GET /v1/entries`` for
        `ENTRIES_CACHE_S`.  Other entries may include this entry in their
        answers for up to `PROPAGATION_S` after its drain has begun.  New
        requests are served for the sum of both times, and each reply
        closes its connection.
        """
        self._stop_requested = True
        self.coordinator_client.announce_leaving()
        logger.info(
            "gateway: draining, serves for {} s",
            ENTRIES_CACHE_S + PROPAGATION_S,
        )
        await trio.sleep(ENTRIES_CACHE_S + PROPAGATION_S)
        self._refuses_new_requests = True
        logger.info(
            "gateway: refuses new requests, running={}", self.running_requests
        )
        while self.running_requests:
            await trio.sleep(POLL_INTERVAL_S)
        with trio.move_on_after(RECORDS_TIMEOUT_S):
            while self.detached_tasks.running_tasks:
                await trio.sleep(POLL_INTERVAL_S)
        if self.detached_tasks.running_tasks:
            logger.warning("gateway: ends before all records were written")
        await self.coordinator_client.flush()
