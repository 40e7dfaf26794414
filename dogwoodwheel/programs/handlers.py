"""Handlers of the messages that a coordinator receives."""

import functools

from dogwoodwheel import exceptions
from dogwoodwheel.programs import operator_report
from dogwoodwheel.requests import inflight
from dogwoodwheel.wire import messages

__all__ = ["handle_message"]


@functools.singledispatch
async def handle_message(msg, components, connection):
    """Handle a message; return the reply, or None if there is none.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`
    components : dogwoodwheel.programs.coordinator.Components
    connection : dogwoodwheel.wire.rpc.RpcConnection or None
        None for a message that this entry sends to itself.
    """
    raise exceptions.WireError(
        f"a coordinator does not handle {type(msg).__name__}; "
        f"upgrade the older of the two programs"
    )


@handle_message.register
async def _(msg: messages.Hello, components, connection):
    connection.peer = msg


@handle_message.register
async def _(msg: messages.Ask, components, connection):
    reply = await components.admission.admit(msg)
    if not isinstance(reply, messages.Grant):
        return reply
    peer = connection.peer
    components.slots.add(
        inflight.HeldSlot(
            reply.slot, reply.endpoint, peer.address, peer.incarnation
        )
    )
    return reply


@handle_message.register
async def _(msg: messages.Done, components, connection):
    """Free a slot, or forward the message to the endpoint's owner.

    Notes
    -----
    Messages that other entries sent are not forwarded.
    """
    components.slots.remove(msg.slot)
    owner, _ = components.fleet.view.owner_of(msg.endpoint)
    if owner is None:
        return
    if owner.name == components.fleet.me:
        components.registry.on_done(msg)
    elif connection is None or connection.peer.role == "gateway":
        await components.fleet.send(owner.name, msg)


@handle_message.register
async def _(msg: messages.Settle, components, connection):
    components.ledger.settle(msg)


@handle_message.register
async def _(msg: messages.SlotAsk, components, connection):
    return await components.registry.on_slot_ask(msg)


@handle_message.register
async def _(msg: messages.InFlight, components, connection):
    """Reply to an endpoint's owner, or record the slots of a gateway."""
    if connection is not None and connection.peer.role == "gateway":
        _restore_slots(msg, components, connection.peer)
        return None
    slots = components.slots.slots_at(msg.endpoint)
    return messages.InFlight(
        0, components.fleet.me, msg.endpoint, msg.epoch, slots
    )


def _restore_slots(msg, components, peer):
    """Record the slots that a gateway used before this process started."""
    for slot in msg.slots:
        components.slots.add(
            inflight.HeldSlot(
                slot, msg.endpoint, peer.address, peer.incarnation
            )
        )


@handle_message.register
async def _(msg: messages.Nudge, components, connection):
    await components.registry.on_nudge(msg)


@handle_message.register
async def _(msg: messages.Ensure, components, connection):
    return await components.decider.ensure(msg)


@handle_message.register
async def _(msg: messages.Touch, components, connection):
    await components.decider.record_usage(msg)


@handle_message.register
async def _(msg: messages.Permit, components, connection):
    return await components.load_permits.on_permit(msg)


@handle_message.register
async def _(msg: messages.PermitDone, components, connection):
    await components.load_permits.on_permit_done(msg)


@handle_message.register
async def _(msg: messages.Borrow, components, connection):
    return components.ledger.on_borrow(msg)


@handle_message.register
async def _(msg: messages.Repay, components, connection):
    components.ledger.on_repay(msg)
    return messages.Ok(0)


@handle_message.register
async def _(msg: messages.HandOver, components, connection):
    components.registrar.request_tick()
    await components.partition_changes.on_hand_over(msg)


@handle_message.register
async def _(msg: messages.Beat, components, connection):
    if connection is not None and connection.peer.role == "gateway":
        components.gateways.on_heartbeat(connection, msg)
        return None
    return await components.configuration.on_heartbeat(msg, connection)


@handle_message.register
async def _(msg: messages.Config, components, connection):
    return await components.configuration.on_config(msg)


@handle_message.register
async def _(msg: messages.Admin, components, connection):
    if msg.what == "status":
        return messages.AdminReply(0, operator_report.status(components))
    if msg.what == "explain":
        return messages.AdminReply(
            0, await operator_report.explain(components, msg.args)
        )
    return messages.AdminReply(
        0, {"error": f"unknown question {msg.what}; use status or explain"}
    )
