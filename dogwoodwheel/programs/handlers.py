"""Which part of a coordinator answers which message."""

import functools

from dogwoodwheel import exceptions
from dogwoodwheel.programs import report
from dogwoodwheel.requests import inflight
from dogwoodwheel.wire import messages

__all__ = ["answer"]


@functools.singledispatch
async def answer(msg, parts, link):
    """Return the reply to a message, or None.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`
    parts : dogwoodwheel.programs.coordinator.Parts
    link : dogwoodwheel.wire.rpc.RpcConnection or None
        None for a message of this entry to itself.
    """
    raise exceptions.WireError(
        f"a coordinator does not take {type(msg).__name__}; "
        f"upgrade the older of the two programs"
    )


@answer.register
async def _(msg: messages.Hello, parts, link):
    link.peer = msg


@answer.register
async def _(msg: messages.Ask, parts, link):
    reply = await parts.admission.ask(msg)
    if not isinstance(reply, messages.Grant):
        return reply
    peer = link.peer
    parts.slots.add(
        inflight.Held(
            reply.slot, reply.endpoint, peer.address, peer.incarnation
        )
    )
    return reply


@answer.register
async def _(msg: messages.Done, parts, link):
    """Free a slot: pass it on from a gateway, take it as the owner."""
    parts.slots.remove(msg.slot)
    owner, _ = parts.fleet.view.owner_of(msg.endpoint)
    if owner is None:
        return
    if owner.name == parts.fleet.me:
        parts.registry.done(msg)
    elif link is None or link.peer.role == "gateway":
        await parts.fleet.tell(owner.name, msg)


@answer.register
async def _(msg: messages.Settle, parts, link):
    parts.ledger.settle(msg)


@answer.register
async def _(msg: messages.SlotAsk, parts, link):
    return await parts.registry.slot(msg)


@answer.register
async def _(msg: messages.InFlight, parts, link):
    """Tell a new owner what this entry has in flight at its endpoint."""
    if link is not None and link.peer.role == "gateway":
        _restore(msg, parts, link.peer)
        return None
    slots = parts.slots.at(msg.endpoint)
    return messages.InFlight(0, parts.fleet.me, msg.endpoint, msg.epoch, slots)


def _restore(msg, parts, peer):
    """Take what a gateway holds, after this coordinator's restart."""
    for slot in msg.slots:
        parts.slots.add(
            inflight.Held(slot, msg.endpoint, peer.address, peer.incarnation)
        )


@answer.register
async def _(msg: messages.Nudge, parts, link):
    await parts.registry.nudge(msg)


@answer.register
async def _(msg: messages.Ensure, parts, link):
    return await parts.decider.ensure(msg)


@answer.register
async def _(msg: messages.Touch, parts, link):
    await parts.decider.touch(msg)


@answer.register
async def _(msg: messages.Permit, parts, link):
    return await parts.loads.on_permit(msg)


@answer.register
async def _(msg: messages.PermitDone, parts, link):
    await parts.loads.on_permit_done(msg)


@answer.register
async def _(msg: messages.Borrow, parts, link):
    return parts.ledger.on_borrow(msg)


@answer.register
async def _(msg: messages.Repay, parts, link):
    parts.ledger.on_repay(msg)
    return messages.Ok(0)


@answer.register
async def _(msg: messages.HandOver, parts, link):
    parts.registrar.kick()
    await parts.rights.on_hand_over(msg)


@answer.register
async def _(msg: messages.Beat, parts, link):
    if link is not None and link.peer.role == "gateway":
        parts.gateways.on_beat(link, msg)
        return None
    return await parts.configuration.on_beat(msg, link)


@answer.register
async def _(msg: messages.Config, parts, link):
    return await parts.configuration.on_config(msg)


@answer.register
async def _(msg: messages.Admin, parts, link):
    if msg.what == "status":
        return messages.AdminReply(0, report.status(parts))
    if msg.what == "explain":
        return messages.AdminReply(0, await report.explain(parts, msg.args))
    return messages.AdminReply(
        0, {"error": f"unknown question {msg.what}; use status or explain"}
    )
