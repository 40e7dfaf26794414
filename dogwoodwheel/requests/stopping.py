"""Graceful shutdown of a gateway."""

from loguru import logger
import trio

from dogwoodwheel.requests import refusals

__all__ = ["LIFETIME_S", "Stopping"]

LIFETIME_S = 5
MARGIN_S = 3.0
POLL_S = 0.05
RECORDS_S = 30.0


class Stopping:
    """Where a gateway stands between serving and its end.

    Parameters
    ----------
    control : dogwoodwheel.requests.control.Control
    detached : dogwoodwheel.requests.detached.Detached

    Attributes
    ----------
    running : int
        Requests of callers that have not ended.
    """

    def __init__(self, control, detached):
        self.control = control
        self.detached = detached
        self.running = 0
        self._asked = False
        self._closed = False

    def leaving(self):
        """Tell whether callers should go elsewhere from now on."""
        return self._asked or self.control.held.leaving

    def check_open(self):
        """Refuse a request that came after the last answer that named us.

        Raises
        ------
        RefusedError
        """
        if self._closed:
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
            Our own, used where none is known yet.
        """
        found = self.control.held.entries
        if not self.leaving():
            return found or (address,)
        return tuple(entry for entry in found if entry != address)

    async def run(self):
        """Return once nothing runs and no caller will come.

        Notes
        -----
        Answers of ``GET /v1/entries`` that name this entry are used for
        `LIFETIME_S`, and are given for up to `MARGIN_S` by entries that
        have not yet heard of the leave.  Until then new requests are
        served, each on a connection that is closed after it.
        """
        self._asked = True
        self.control.leave()
        logger.info("gateway: leaves, serves for {} s", LIFETIME_S + MARGIN_S)
        await trio.sleep(LIFETIME_S + MARGIN_S)
        self._closed = True
        logger.info("gateway: takes no more, running={}", self.running)
        while self.running:
            await trio.sleep(POLL_S)
        with trio.move_on_after(RECORDS_S):
            while self.detached.running:
                await trio.sleep(POLL_S)
        if self.detached.running:
            logger.warning("gateway: ends with records not written")
        await self.control.flush()
