"""Admission of requests and acquisition of slots for them."""

import dataclasses
import random

from loguru import logger
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.membership import view
from dogwoodwheel.wire import messages

__all__ = ["Admission"]

MODELS = "models"
RETRY_PAUSE_S = 0.05
DEADLINE_MARGIN_S = 0.05
REPLY_MARGIN_S = 0.5
DECIDER_TIMEOUT_S = 3.0
DEADLINE_CODE = "deadline"
RETRYABLE_CODES = frozenset(
    ["endpoint_unavailable", "not_owner", "model_not_there"]
)


class Admission:
    """Admits requests and acquires a slot for each of them.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    ledger : dogwoodwheel.customers.ledger.Ledger
    in_flight_table : dogwoodwheel.requests.inflight.InFlightTable

    Notes
    -----
    An admission has three steps.  The ledger reserves the request's
    estimated tokens, its charge, in the customer's quota.  The model's
    decider, the entry that decides the model's replicas, returns the
    endpoints at which the model is loaded, after a model load if needed.
    The owner of one of these endpoints grants a slot.  The last two steps
    need no rollback and are retried until the request's deadline.
    """

    def __init__(self, fleet, ledger, in_flight_table):
        self.fleet = fleet
        self.ledger = ledger
        self.in_flight_table = in_flight_table
        self._applied_config_version = 0

    async def watch_configuration(self):
        """Pass each new configuration to the ledger, until cancelled."""
        while True:
            fleet_view = self.fleet.view
            if (
                fleet_view.partitions
                and fleet_view.version != self._applied_config_version
            ):
                # Use the number of partitions stored in the partition
                # table; the number in the declaration may differ.
                declaration = dataclasses.replace(
                    fleet_view.declaration, partitions=fleet_view.partitions
                )
                self.ledger.configure(declaration)
                self._applied_config_version = fleet_view.version
            await self.fleet.changed()

    async def admit(self, ask):
        """Admit a request of a gateway.

        Parameters
        ----------
        ask : dogwoodwheel.wire.messages.Ask

        Returns
        -------
        dogwoodwheel.wire.messages.Grant or Refusal
        """
        stop_at = trio.current_time() + ask.deadline_s - DEADLINE_MARGIN_S
        if not await self._wait_until_ready(stop_at):
            return _unavailable_refusal("this entry has only just started")
        charge = ask.charge
        try:
            if ask.customer:
                # The ledger keeps the charge of an earlier attempt, unless
                # this process has been restarted since.
                charge = await self.ledger.admit(ask)
            reply = await self._acquire_slot(ask, stop_at)
        except exceptions.RefusedError as exc:
            reply = exc.refusal
        if isinstance(reply, messages.Grant):
            return dataclasses.replace(reply, charge=charge)
        if charge != ask.charge:
            self._return_charge(ask, charge)
        return dataclasses.replace(reply, charge=ask.charge)

    async def _wait_until_ready(self, stop_at):
        with trio.move_on_at(stop_at):
            while (
                not self._applied_config_version
                or not self.fleet.view.can_admit()
            ):
                await self.fleet.changed()
            return True
        return False

    def _return_charge(self, ask, charge):
        self.ledger.settle(
            messages.Settle(0, charge, ask.customer, ask.model, 0)
        )

    async def _acquire_slot(self, ask, stop_at):
        outcome = _deadline_refusal(ask)
        while trio.current_time() < stop_at:
            candidates = await self._candidate_endpoints(ask, stop_at)
            if isinstance(candidates, messages.Refusal):
                outcome = candidates
            else:
                outcome = await self._first_granted(ask, candidates, stop_at)
            if (
                isinstance(outcome, messages.Grant)
                or outcome.code not in RETRYABLE_CODES
            ):
                return outcome
            # Another request may have released a slot or memory.
            await trio.sleep(RETRY_PAUSE_S * (0.5 + random.random()))
        return (
            outcome if outcome.code != "not_owner" else _deadline_refusal(ask)
        )

    async def _first_granted(self, ask, names, stop_at):
        """Return the first endpoint's grant, or a refusal if none grants.

        Notes
        -----
        The owner of an endpoint refuses at once if the endpoint's queue
        is too long for the deadline; another queue may be shorter.
        """
        outcome = _unavailable_refusal("no endpoint is decided yet")
        for name in names:
            reply = await self._request_slot(ask, name, stop_at)
            if isinstance(reply, messages.Grant):
                return reply
            if (
                outcome.code in RETRYABLE_CODES
                or reply.code not in RETRYABLE_CODES
            ):
                outcome = reply
            if (
                reply.code not in RETRYABLE_CODES
                and reply.code != DEADLINE_CODE
            ):
                break
        return outcome

    async def _candidate_endpoints(self, ask, stop_at):
        """Return the names of endpoints that can serve a request, best first.

        Returns
        -------
        tuple of str or dogwoodwheel.wire.messages.Refusal
        """
        if not ask.model:
            return self._plain_endpoints(ask)
        remaining_s = stop_at - trio.current_time()
        msg = messages.Ensure(0, ask.model, remaining_s, ask.avoid)
        reply = await self._ensure_loaded(msg, remaining_s)
        if isinstance(reply, messages.Refusal):
            return reply
        return self._sort_endpoints(reply.endpoints, ask)

    async def _ensure_loaded(self, msg, remaining_s):
        name = self.fleet.view.decider_of(msg.model)
        timeout_s = min(remaining_s, DECIDER_TIMEOUT_S)
        try:
            return await self.fleet.call(name, msg, timeout_s)
        except exceptions.PeerError as exc:
            if name == self.fleet.me:
                return _unavailable_refusal(str(exc))
        # The decider does not answer, so this entry decides.  Two deciders
        # at a time are safe, since a decision is written only if the
        # versions of the rows that it changes are unchanged.
        try:
            return await self.fleet.call(self.fleet.me, msg, timeout_s)
        except exceptions.PeerError as exc:
            return _unavailable_refusal(str(exc))

    def _plain_endpoints(self, ask):
        fleet_view = self.fleet.view
        names = tuple(
            endpoint.name
            for endpoint in fleet_view.declaration.endpoints.values()
            if endpoint.service == ask.service and fleet_view.usable(endpoint)
        )
        if not names:
            return _unavailable_refusal(
                f"no endpoint of service {ask.service} may receive work"
            )
        return self._sort_endpoints(names, ask)

    def _sort_endpoints(self, names, ask):
        """Sort endpoints by this entry's requests in flight there.

        Notes
        -----
        Endpoints at which an earlier attempt failed come last, but stay in
        the list, as there may be no other endpoints.  Ties are resolved by
        rendezvous hashing of the prompt's prefix, so that prompts with
        the same prefix reach the same prefix cache; without a prefix
        they are resolved at random.
        """
        salt = ask.affinity or str(random.random())

        def sort_key(name):
            has_failed = name in ask.avoid
            return (
                has_failed,
                self.in_flight_table.count(name),
                view.rendezvous_score(name, salt),
            )

        return tuple(sorted(names, key=sort_key))

    async def _request_slot(self, ask, name, stop_at):
        owner, _ = self.fleet.view.owner_of(name)
        if owner is None:
            return _unavailable_refusal(f"endpoint {name} has no owner yet")
        msg = self._slot_request(ask, name, stop_at)
        reply = _unavailable_refusal(f"endpoint {name} has a newer owner")
        async with trio.open_nursery() as nursery:
            # An owner whose VM is paused does not reply, although the
            # connection stays open.
            nursery.start_soon(
                self._cancel_when_moved, name, owner.name, nursery.cancel_scope
            )
            reply = await self._call_owner(owner, msg)
            nursery.cancel_scope.cancel()
        if isinstance(reply, messages.Grant):
            return await self._check_epoch(reply, owner)
        return reply

    async def _cancel_when_moved(self, name, owner_name, scope):
        """Cancel a slot request once its endpoint has another owner."""
        while True:
            new_owner, _ = self.fleet.view.owner_of(name)
            if new_owner is None or new_owner.name != owner_name:
                scope.cancel()
                return
            await self.fleet.changed()

    async def _call_owner(self, owner, msg):
        try:
            return await self.fleet.call(
                owner.name, msg, msg.deadline_s + REPLY_MARGIN_S
            )
        except exceptions.PeerError as exc:
            logger.debug("admission: owner={} {}", owner.name, exc)
            return _unavailable_refusal(
                f"the owner of endpoint {msg.endpoint} is silent"
            )

    async def _check_epoch(self, grant, owner):
        """Return a grant, or a `Refusal` if the grant's epoch is outdated."""
        _, holding = self.fleet.view.owner_of(grant.endpoint)
        if holding is not None and grant.epoch < holding.epoch:
            await self.fleet.send(
                owner.name,
                messages.Done(0, grant.slot, grant.endpoint, "unused"),
            )
            return _unavailable_refusal(
                f"endpoint {grant.endpoint} has a newer owner"
            )
        return grant

    def _slot_request(self, ask, name, stop_at):
        customer = self.fleet.view.declaration.customers.get(ask.customer)
        return messages.SlotAsk(
            0,
            self.fleet.me,
            name,
            ask.customer,
            ask.priority,
            ask.model,
            max(1, ask.prompt + ask.limit),
            stop_at - trio.current_time(),
            customer.weight if customer is not None else 1.0,
        )


def _deadline_refusal(ask):
    return messages.Refusal(
        0,
        DEADLINE_CODE,
        f"no endpoint could serve this within {ask.deadline_s:.1f} s; "
        f"allow more time or try later",
        status=504,
        retry_after_s=1.0,
    )


def _unavailable_refusal(text):
    return messages.Refusal(
        0,
        "endpoint_unavailable",
        f"{text}; try again",
        retry_after_s=1.0,
    )
