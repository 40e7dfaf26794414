"""Which part of a coordinator answers which message."""

import functools

from dogwoodwheel import exceptions
from dogwoodwheel.programs import report
from dogwoodwheel.requests import inflight
from dogwoodwheel.wire import messages

__all__ = ["answer"]


@functools.singledispatch
async def answer(msg, components, link):
    """Return the reply to a message, or None.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`
    components : dogwoodwheel.programs.coordinator.Components
    link : dogwoodwheel.wire.rpc.RpcConnection or None
        None for a message of this entry to itself.
    """
    raise exceptions.WireError(
        f"a coordinator does not take {type(msg).__name__}; "
        f"upgrade the older of the two programs"
    )


@answer.register
async def _(msg: messages.Hello, components, link):
    link.peer = msg


@answer.register
async def _(msg: messages.Ask, components, link):
    reply = await components.admission.ask(msg)
    if not isinstance(reply, messages.Grant):
        return reply
    peer = link.peer
    components.slots.add(
        inflight.Held(
            reply.slot, reply.endpoint, peer.address, peer.incarnation
        )
    )
    return reply


@answer.register
async def _(msg: messages.Done, components, link):
    """Free a slot: pass it on from a gateway, take it as the owner."""
    components.slots.remove(msg.slot)
    owner, _ = components.fleet.view.owner_of(msg.endpoint)
    if owner is None:
        return
    if owner.name == components.fleet.me:
        components.registry.done(msg)
    elif link is None or link.peer.role == "gateway":
        await components.fleet.tell(owner.name, msg)


@answer.register
async def _(msg: messages.Settle, components, link):
    components.ledger.settle(msg)


@answer.register
async def _(msg: messages.SlotAsk, components, link):
    return await components.registry.slot(msg)


@answer.register
async def _(msg: messages.InFlight, components, link):
    """Tell a new owner what this entry has in flight at its endpoint."""
    if link is not None and link.peer.role == "gateway":
        _restore(msg, components, link.peer)
        return None
    slots = components.slots.at(msg.endpoint)
    return messages.InFlight(
        0, components.fleet.me, msg.endpoint, msg.epoch, slots
    )


def _restore(msg, components, peer):
    """Take what a gateway holds, after this coordinator's restart."""
    for slot in msg.slots:
        components.slots.add(
            inflight.Held(slot, msg.endpoint, peer.address, peer.incarnation)
        )


@answer.register
async def _(msg: messages.Nudge, components, link):
    await components.registry.nudge(msg)


@answer.register
async def _(msg: messages.Ensure, components, link):
    return await components.decider.ensure(msg)


@answer.register
async def _(msg: messages.Touch, components, link):
    await components.decider.touch(msg)


@answer.register
async def _(msg: messages.Permit, components, link):
    return await components.loads.on_permit(msg)


@answer.register
async def _(msg: messages.PermitDone, components, link):
    await components.loads.on_permit_done(msg)


@answer.register
async def _(msg: messages.Borrow, components, link):
    return components.ledger.on_borrow(msg)


@answer.register
async def _(msg: messages.Repay, components, link):
    components.ledger.on_repay(msg)
    return messages.Ok(0)


@answer.register
async def _(msg: messages.HandOver, components, link):
    components.registrar.kick()
    await components.rights.on_hand_over(msg)


@answer.register
async def _(msg: messages.Beat, components, link):
    if link is not None and link.peer.role == "gateway":
        components.gateways.on_beat(link, msg)
        return None
    return await components.configuration.on_beat(msg, link)


@answer.register
async def _(msg: messages.Config, components, link):
    return await components.configuration.on_config(msg)


@answer.register
async def _(msg: messages.Admin, components, link):
    if msg.what == "status":
        return messages.AdminReply(0, report.status(components))
    if msg.what == "explain":
        return messages.AdminReply(
            0, await report.explain(components, msg.args)
        )
    return messages.AdminReply(
        0, {"error": f"unknown question {msg.what}; use status or explain"}
    )
