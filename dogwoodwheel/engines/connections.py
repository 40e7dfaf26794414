"""TCP connections to endpoints, as httpcore uses them."""

import math

import httpcore
import trio

__all__ = ["Backend", "Wire"]


class Wire(httpcore.AsyncNetworkStream):
    """A connection that tells when all that came has been taken.

    Parameters
    ----------
    stream : trio.SocketStream
    """

    def __init__(self, stream):
        self._stream = stream
        self.on_drained = None

    async def read(self, max_bytes, timeout=None):
        if self.on_drained is None:
            return await self._read_within(max_bytes, timeout)
        await self.on_drained()
        # A scope for each read would cost a fifth of a chunk's time, and
        # so would trying first what has just been found drained.
        await trio.lowlevel.wait_readable(self._stream.socket)
        return await self._read(max_bytes)

    async def write(self, buffer, timeout=None):
        if not buffer:
            return
        try:
            with trio.fail_after(math.inf if timeout is None else timeout):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as exc:
            raise httpcore.WriteTimeout(exc) from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.WriteError(exc) from exc

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None

    async def _read_within(self, max_bytes, timeout):
        try:
            with trio.fail_after(math.inf if timeout is None else timeout):
                return await self._read(max_bytes)
        except trio.TooSlowError as exc:
            raise httpcore.ReadTimeout(exc) from exc

    async def _read(self, max_bytes):
        try:
            return await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(exc) from exc


class Backend(httpcore.AsyncNetworkBackend):
    """Connections as `Wire`."""

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        try:
            with trio.fail_after(math.inf if timeout is None else timeout):
                return Wire(await trio.open_tcp_stream(host, port))
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(exc) from exc
        except OSError as exc:
            raise httpcore.ConnectError(exc) from exc

    async def sleep(self, seconds):
        await trio.sleep(seconds)
