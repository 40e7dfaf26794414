"""The gateway's side of the link to its coordinator."""

import collections
import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.requests import held as held_module
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages
from dogwoodwheel.wire import rpc

__all__ = ["Control"]

STALE_S = 4.0
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
RECONNECT_WAIT_S = 0.5
REPLY_MARGIN_S = 0.5
MAX_NOTICES = 100_000
FLUSH_S = 2.0
FLUSH_POLL_S = 0.02


class Control:
    """What the gateway asks and tells its coordinator.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the coordinator.
    hello : dogwoodwheel.wire.messages.Hello
    detached : dogwoodwheel.requests.detached.Detached

    Attributes
    ----------
    held : dogwoodwheel.requests.held.Held
    link : dogwoodwheel.wire.rpc.RpcConnection or None
    """

    def __init__(self, address, hello, detached):
        self.address = address
        self.hello = hello
        self.detached = detached
        self.held = held_module.Held()
        self.link = None
        self.leaving = False
        self._linked = trio.Event()
        self._notices = collections.deque(maxlen=MAX_NOTICES)
        self._noticed = trio.Event()
        self._slots = {}
        self._taking = trio.Lock()

    def declaration(self, keyed=True):
        """Return the declaration in force.

        Parameters
        ----------
        keyed : bool
            Whether it must be known to be the newest, as it must be to
            accept a key.

        Raises
        ------
        RefusedError
            If there is none, or it may be out of date.
        """
        held = self.held
        if held.declaration is None:
            raise refusals.refused(
                "config_unknown",
                "this entry has no configuration yet; try another entry",
                503,
                retry_after_s=1,
            )
        if keyed and trio.current_time() - held.known_at > STALE_S:
            raise refusals.refused(
                "config_stale",
                "this entry cannot confirm its configuration; "
                "try another entry",
                503,
                retry_after_s=1,
            )
        return held.declaration

    async def run(self):
        """Keep the link open, for ever."""
        pause = BACKOFF_S
        while True:
            try:
                link = await rpc.connect(self.address, self._handle)
            except exceptions.PeerError:
                pause = min(pause * 2, MAX_BACKOFF_S)
            else:
                pause = BACKOFF_S
                await self._keep(link)
                logger.warning("control: coordinator lost, connecting anew")
            await trio.sleep(pause * random.uniform(0.5, 1.5))

    async def ask(self, ask, deadline):
        """Return the `Grant` of a slot for a request.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask
        deadline : dogwoodwheel.requests.deadlines.Deadline

        Raises
        ------
        RefusedError
            If the coordinator refuses, or cannot be asked.

        Notes
        -----
        A grant that comes after the request was given up is returned.
        """
        link = await self._live_link()
        if link is None:
            raise _unavailable()
        timeout_s = deadline.left_s() + REPLY_MARGIN_S
        ask = dataclasses.replace(ask, deadline_s=deadline.left_s())

        def give_back(reply):
            if isinstance(reply, messages.Grant):
                self.done(reply, "unused")
                self.settle(reply, ask.customer, ask.model, 0, 0)

        try:
            reply = await self.detached.call(
                link.call, ask, timeout_s, unclaimed=give_back
            )
        except exceptions.PeerError as exc:
            raise _unavailable() from exc
        if isinstance(reply, messages.Refusal):
            raise exceptions.RefusedError(reply)
        self._slots[reply.slot] = reply
        return reply

    def done(self, grant, outcome, took_s=0.0, tokens=0):
        """Tell that a slot is free again."""
        self._slots.pop(grant.slot, None)
        self._tell(
            messages.Done(
                0, grant.slot, grant.endpoint, outcome, took_s, tokens
            )
        )

    def settle(self, grant, customer, model, tokens, output):
        """Tell the true cost of a charge."""
        if grant.charge:
            self._tell(
                messages.Settle(
                    0, grant.charge, customer, model, tokens, output
                )
            )

    def leave(self):
        """Tell the coordinator that this gateway leaves, now and anew."""
        self.leaving = True
        self._tell(self._beat())

    async def flush(self):
        """Wait until all notices are sent, for up to `FLUSH_S`."""
        with trio.move_on_after(FLUSH_S):
            while self._notices:
                await trio.sleep(FLUSH_POLL_S)

    def _beat(self):
        return messages.Beat(
            0,
            self.hello.name,
            self.hello.incarnation,
            self.held.version,
            0.0,
            leaving=self.leaving,
        )

    def _tell(self, msg):
        self._notices.append(msg)
        self._noticed.set()

    async def _live_link(self):
        if self.link is None:
            with trio.move_on_after(RECONNECT_WAIT_S):
                await self._linked.wait()
        return self.link

    async def _keep(self, link):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_notices, link)
            await link.run()
            self.link = None
            self._linked = trio.Event()
            nursery.cancel_scope.cancel()

    async def _send_notices(self, link):
        try:
            await link.send(self.hello)
            await self._report(link)
            self.link = link
            self._linked.set()
            logger.info("control: linked to coordinator {}", self.address)
            while True:
                await self._drain(link)
                await self._noticed.wait()
                self._noticed = trio.Event()
        except exceptions.PeerError:
            return

    async def _drain(self, link):
        while self._notices:
            await link.send(self._notices[0])
            self._notices.popleft()

    async def _report(self, link):
        """Tell a coordinator, that may be new, what runs."""
        if self.leaving:
            await link.send(self._beat())
        running = collections.defaultdict(list)
        for grant in self._slots.values():
            running[grant.endpoint, grant.epoch].append(grant.slot)
        for (endpoint, epoch), slots in running.items():
            await link.send(
                messages.InFlight(
                    0, self.hello.name, endpoint, epoch, tuple(slots)
                )
            )

    async def _handle(self, msg, link):
        if isinstance(msg, messages.Hello):
            link.peer = msg
        elif isinstance(msg, messages.Config):
            async with self._taking:
                self.held = await held_module.take(self.held, msg)
            if msg.id:
                return messages.Ok(msg.id)
        return None


def _unavailable():
    return refusals.refused(
        "coordinator_unavailable",
        "this entry cannot admit requests at present; try another entry",
        503,
        retry_after_s=1,
    )
