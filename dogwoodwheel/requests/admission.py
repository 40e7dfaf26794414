"""From a gateway's question to a slot at an endpoint."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.wire import messages

__all__ = ["Admission"]

MODELS = "models"
PAUSE_S = 0.05
MARGIN_S = 0.05
SLOT_MARGIN_S = 0.5
DECIDER_TIMEOUT_S = 3.0
TOO_LATE = "deadline"
AGAIN = frozenset(["endpoint_unavailable", "not_owner", "model_not_there"])


class Admission:
    """Admits requests and finds a slot for each.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    ledger : dogwoodwheel.customers.ledger.Ledger
    slots : dogwoodwheel.requests.inflight.InFlightTable

    Notes
    -----
    Three questions in turn: the ledger whether the customer's rate
    allows it, the model's decider which endpoints hold it, and the owner
    of the best of these for a slot.  The latter two are free of side
    effects that need undoing, so they are asked again after a failure,
    within the request's deadline.
    """

    def __init__(self, fleet, ledger, slots):
        self.fleet = fleet
        self.ledger = ledger
        self.slots = slots
        self._version = 0

    async def follow(self):
        """Tell the ledger of each new version, for ever."""
        while True:
            current = self.fleet.view
            if current.partitions and current.version != self._version:
                # Only the table's number of partitions is in force.
                declaration = dataclasses.replace(
                    current.declaration, partitions=current.partitions
                )
                self.ledger.configure(declaration)
                self._version = current.version
            await self.fleet.changed()

    async def ask(self, ask):
        """Return a `Grant` or a `Refusal` for a gateway's question.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask
        """
        until = trio.current_time() + ask.deadline_s - MARGIN_S
        if not await self._settled(until):
            return _unavailable("this entry has only just started")
        charge = ask.charge
        try:
            if ask.customer:
                # A retry's charge is known, but for a restart of ours.
                charge = await self.ledger.admit(ask)
            reply = await self._place(ask, until)
        except exceptions.RefusedError as exc:
            reply = exc.refusal
        if isinstance(reply, messages.Grant):
            return dataclasses.replace(reply, charge=charge)
        if charge != ask.charge:
            self._return_charge(ask, charge)
        return dataclasses.replace(reply, charge=ask.charge)

    async def _settled(self, until):
        with trio.move_on_at(until):
            while not self._version or not self.fleet.view.settled():
                await self.fleet.changed()
            return True
        return False

    def _return_charge(self, ask, charge):
        self.ledger.settle(
            messages.Settle(0, charge, ask.customer, ask.model, 0)
        )

    async def _place(self, ask, until):
        last = _deadline(ask)
        while trio.current_time() < until:
            names = await self._candidates(ask, until)
            if isinstance(names, messages.Refusal):
                last = names
            else:
                last = await self._first_slot(ask, names, until)
            if isinstance(last, messages.Grant) or last.code not in AGAIN:
                return last
            # Others may just have freed what we need; ask anew.
            await trio.sleep(PAUSE_S * (0.5 + random.random()))
        return last if last.code != "not_owner" else _deadline(ask)

    async def _first_slot(self, ask, names, until):
        """Return a slot at the first endpoint that has one in time.

        Notes
        -----
        An owner refuses early where its queue is too long; another
        endpoint may have a shorter one.
        """
        last = _unavailable("no endpoint is decided yet")
        for name in names:
            reply = await self._slot(ask, name, until)
            if isinstance(reply, messages.Grant):
                return reply
            if last.code in AGAIN or reply.code not in AGAIN:
                last = reply
            if reply.code not in AGAIN and reply.code != TOO_LATE:
                break
        return last

    async def _candidates(self, ask, until):
        """Return endpoints that may serve a request, best first."""
        if not ask.model:
            return self._plain(ask)
        left_s = until - trio.current_time()
        msg = messages.Ensure(0, ask.model, left_s, ask.avoid)
        reply = await self._ensure(msg, left_s)
        if isinstance(reply, messages.Refusal):
            return reply
        return self._ordered(reply.endpoints, ask)

    async def _ensure(self, msg, left_s):
        name = self.fleet.view.decider_of(msg.model)
        timeout_s = min(left_s, DECIDER_TIMEOUT_S)
        try:
            return await self.fleet.call(name, msg, timeout_s)
        except exceptions.PeerError as exc:
            if name == self.fleet.me:
                return _unavailable(str(exc))
        # The rows' versions keep a second decider from doing harm.
        try:
            return await self.fleet.call(self.fleet.me, msg, timeout_s)
        except exceptions.PeerError as exc:
            return _unavailable(str(exc))

    def _plain(self, ask):
        current = self.fleet.view
        names = tuple(
            endpoint.name
            for endpoint in current.declaration.endpoints.values()
            if endpoint.service == ask.service and current.usable(endpoint)
        )
        if not names:
            return _unavailable(
                f"no endpoint of service {ask.service} may receive work"
            )
        return self._ordered(names, ask)

    def _ordered(self, names, ask):
        """Order endpoints by what this entry has in flight there.

        Notes
        -----
        Those that an earlier try failed at come last, as the only ones
        may be among them.  Ties go by rendezvous of the prompt's
        beginning, so that equal beginnings meet the same prefix cache,
        else at random.
        """
        salt = ask.affinity or str(random.random())

        def key(name):
            failed = name in ask.avoid
            return failed, self.slots.count(name), view.rank(name, salt)

        return tuple(sorted(names, key=key))

    async def _slot(self, ask, name, until):
        owner, _ = self.fleet.view.owner_of(name)
        if owner is None:
            return _unavailable(f"endpoint {name} has no owner yet")
        msg = self._slot_ask(ask, name, until)
        reply = _unavailable(f"endpoint {name} has a newer owner")
        async with trio.open_nursery() as nursery:
            # A paused owner keeps its connection open and never replies.
            nursery.start_soon(
                self._until_moved, name, owner.name, nursery.cancel_scope
            )
            reply = await self._ask_owner(owner, msg)
            nursery.cancel_scope.cancel()
        if isinstance(reply, messages.Grant):
            return await self._checked(reply, owner)
        return reply

    async def _until_moved(self, name, owner, scope):
        """End a question when another entry owns the endpoint."""
        while True:
            current, _ = self.fleet.view.owner_of(name)
            if current is None or current.name != owner:
                scope.cancel()
                return
            await self.fleet.changed()

    async def _ask_owner(self, owner, msg):
        try:
            return await self.fleet.call(
                owner.name, msg, msg.deadline_s + SLOT_MARGIN_S
            )
        except exceptions.PeerError as exc:
            logger.debug("admission: owner={} {}", owner.name, exc)
            return _unavailable(
                f"the owner of endpoint {msg.endpoint} is silent"
            )

    async def _checked(self, grant, owner):
        """Refuse a slot that an owner of an older epoch granted."""
        _, held = self.fleet.view.owner_of(grant.endpoint)
        if held is not None and grant.epoch < held.epoch:
            await self.fleet.tell(
                owner.name,
                messages.Done(0, grant.slot, grant.endpoint, "unused"),
            )
            return _unavailable(f"endpoint {grant.endpoint} has a newer owner")
        return grant

    def _slot_ask(self, ask, name, until):
        customer = self.fleet.view.declaration.customers.get(ask.customer)
        return messages.SlotAsk(
            0,
            self.fleet.me,
            name,
            ask.customer,
            ask.priority,
            ask.model,
            max(1, ask.prompt + ask.limit),
            until - trio.current_time(),
            customer.weight if customer is not None else 1.0,
        )


def _deadline(ask):
    return messages.Refusal(
        0,
        TOO_LATE,
        f"no endpoint could serve this within {ask.deadline_s:.1f} s; "
        f"allow more time or try later",
        status=504,
        retry_after_s=1.0,
    )


def _unavailable(text):
    return messages.Refusal(
        0,
        "endpoint_unavailable",
        f"{text}; try again",
        retry_after_s=1.0,
    )
