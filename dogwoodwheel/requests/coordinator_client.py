"""The gateway's client of its coordinator."""

import collections
import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import config_in_force as config_module
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = ["CoordinatorClient"]

MAX_CONFIG_AGE_S = 4.0
RECONNECT_BACKOFF_S = 0.05
MAX_RECONNECT_BACKOFF_S = 1.0
CONNECT_WAIT_S = 0.5
REPLY_MARGIN_S = 0.5
MAX_QUEUED_NOTICES = 100_000
FLUSH_TIMEOUT_S = 2.0
FLUSH_POLL_INTERVAL_S = 0.02


class CoordinatorClient:
    """Client of a coordinator that keeps one connection open.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the coordinator.
    hello : dogwoodwheel.wire.messages.Hello
    detached_tasks : dogwoodwheel.requests.detached.DetachedTasks

    Attributes
    ----------
    config : dogwoodwheel.requests.config_in_force.ConfigInForce
        The configuration in force at this gateway.
    connection : dogwoodwheel.wire.rpc.RpcConnection or None
        None while there is no connection.
    leaving : bool
        Whether this gateway is draining.

    Notes
    -----
    Notices are messages without a reply.  A notice is queued until it is
    sent, even while there is no connection; if the queue exceeds
    `MAX_QUEUED_NOTICES`, the oldest notices are dropped.
    """

    def __init__(self, address, hello, detached_tasks):
        self.address = address
        self.hello = hello
        self.detached_tasks = detached_tasks
        self.config = config_module.ConfigInForce()
        self.connection = None
        self.leaving = False
        self._connected = trio.Event()
        self._notices = collections.deque(maxlen=MAX_QUEUED_NOTICES)
        self._notice_queued = trio.Event()
        self._grants = {}
        self._config_lock = trio.Lock()

    def declaration(self, must_be_current=True):
        """Return the declaration in force.

        Parameters
        ----------
        must_be_current : bool
            Whether the configuration must recently have been confirmed as
            the newest.  A key may be accepted only then, as a newer version
            may have withdrawn the key.

        Raises
        ------
        RefusedError
            If there is no configuration, or if ``must_be_current`` and the
            configuration has not been confirmed recently.
        """
        config = self.config
        if config.declaration is None:
            raise refusals.refused(
                "config_unknown",
                "this entry has no configuration yet; try another entry",
                503,
                retry_after_s=1,
            )
        if (
            must_be_current
            and trio.current_time() - config.confirmed_at > MAX_CONFIG_AGE_S
        ):
            raise refusals.refused(
                "config_stale",
                "this entry cannot confirm its configuration; "
                "try another entry",
                503,
                retry_after_s=1,
            )
        return config.declaration

    async def run(self):
        """Keep a connection to the coordinator open, until cancelled."""
        backoff_s = RECONNECT_BACKOFF_S
        while True:
            try:
                connection = await rpc.connect(self.address, self._handle)
            except exceptions.PeerError:
                backoff_s = min(backoff_s * 2, MAX_RECONNECT_BACKOFF_S)
            else:
                backoff_s = RECONNECT_BACKOFF_S
                await self._serve_connection(connection)
                logger.warning(
                    "control: connection to coordinator lost, reconnecting"
                )
            await trio.sleep(backoff_s * random.uniform(0.5, 1.5))

    async def acquire_slot(self, ask, deadline):
        """Ask the coordinator for a slot and return its `Grant`.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask
        deadline : dogwoodwheel.requests.deadlines.Deadline

        Raises
        ------
        RefusedError
            If the coordinator refuses or is not reachable.

        Notes
        -----
        If the awaiting task is cancelled before the grant arrives, the
        slot is then released and the charge refunded.
        """
        connection = await self._wait_for_connection()
        if connection is None:
            raise _unavailable_refusal()
        timeout_s = deadline.left_s() + REPLY_MARGIN_S
        ask = dataclasses.replace(ask, deadline_s=deadline.left_s())

        def release(reply):
            if isinstance(reply, messages.Grant):
                self.release_slot(reply, "unused")
                self.settle(reply, ask.customer, ask.model, 0, 0)

        try:
            reply = await self.detached_tasks.call(
                connection.call, ask, timeout_s, unclaimed=release
            )
        except exceptions.PeerError as exc:
            raise _unavailable_refusal() from exc
        if isinstance(reply, messages.Refusal):
            raise exceptions.RefusedError(reply)
        self._grants[reply.slot] = reply
        return reply

    def release_slot(self, grant, outcome, took_s=0.0, tokens=0):
        """Release a slot.

        Parameters
        ----------
        grant : dogwoodwheel.wire.messages.Grant
        outcome : str
            As in `dogwoodwheel.wire.messages.Done`.
        took_s : float
            Duration of the attempt, seconds.
        tokens : int
            Number of output tokens.
        """
        self._grants.pop(grant.slot, None)
        self._queue_notice(
            messages.Done(
                0, grant.slot, grant.endpoint, outcome, took_s, tokens
            )
        )

    def settle(self, grant, customer, model, tokens, output_tokens):
        """Report the actual cost of a request that has a charge.

        Parameters
        ----------
        grant : dogwoodwheel.wire.messages.Grant
        customer, model : str
        tokens : int
            Number of tokens of the prompt and the output.
        output_tokens : int
            Number of output tokens alone.
        """
        if grant.charge:
            self._queue_notice(
                messages.Settle(
                    0, grant.charge, customer, model, tokens, output_tokens
                )
            )

    def announce_leaving(self):
        """Report that this gateway is draining, also after a reconnect."""
        self.leaving = True
        self._queue_notice(self._heartbeat())

    async def flush(self):
        """Wait until all notices are sent, for up to `FLUSH_TIMEOUT_S`."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while self._notices:
                await trio.sleep(FLUSH_POLL_INTERVAL_S)

    def _heartbeat(self):
        return messages.Beat(
            0,
            self.hello.name,
            self.hello.incarnation,
            self.config.version,
            0.0,
            leaving=self.leaving,
        )

    def _queue_notice(self, msg):
        self._notices.append(msg)
        self._notice_queued.set()

    async def _wait_for_connection(self):
        if self.connection is None:
            with trio.move_on_after(CONNECT_WAIT_S):
                await self._connected.wait()
        return self.connection

    async def _serve_connection(self, connection):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_notices, connection)
            await connection.run()
            self.connection = None
            self._connected = trio.Event()
            nursery.cancel_scope.cancel()

    async def _send_notices(self, connection):
        try:
            await connection.send(self.hello)
            await self._report_in_flight(connection)
            self.connection = connection
            self._connected.set()
            logger.info("control: connected to coordinator {}", self.address)
            while True:
                await self._send_queued(connection)
                await self._notice_queued.wait()
                self._notice_queued = trio.Event()
        except exceptions.PeerError:
            return

    async def _send_queued(self, connection):
        while self._notices:
            await connection.send(self._notices[0])
            self._notices.popleft()

    async def _report_in_flight(self, connection):
        """Report the slots held, as a restarted coordinator has lost them."""
        if self.leaving:
            await connection.send(self._heartbeat())
        slots_by_endpoint = collections.defaultdict(list)
        for grant in self._grants.values():
            slots_by_endpoint[grant.endpoint, grant.epoch].append(grant.slot)
        for (endpoint, epoch), slots in slots_by_endpoint.items():
            await connection.send(
                messages.InFlight(
                    0, self.hello.name, endpoint, epoch, tuple(slots)
                )
            )

    async def _handle(self, msg, connection):
        if isinstance(msg, messages.Hello):
            connection.peer = msg
        elif isinstance(msg, messages.Config):
            async with self._config_lock:
                self.config = await config_module.apply_message(
                    self.config, msg
                )
            if msg.id:
                return messages.Ok(msg.id)
        return None


def _unavailable_refusal():
    return refusals.refused(
        "coordinator_unavailable",
        "this entry cannot admit requests at present; try another entry",
        503,
        retry_after_s=1,
    )
