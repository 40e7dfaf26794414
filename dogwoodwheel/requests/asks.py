"""What a call asks of the coordinator, and what it has cost."""

import functools

from dogwoodwheel.requests import calls
from dogwoodwheel.wire import messages

__all__ = ["ask_of", "cost_of"]


@functools.singledispatch
def ask_of(call, avoid, charge):
    """Return the `Ask` for a slot for a call.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    avoid : tuple of str
        Endpoints that an earlier try failed at.
    charge : int
        Charge of an earlier try; 0 for none.
    """
    raise NotImplementedError(type(call))


@ask_of.register
def _ask_model(call: calls.ModelCall, avoid, charge):
    return messages.Ask(
        id=0,
        customer=call.customer,
        service=call.service.name,
        model=call.model,
        priority=call.priority,
        prompt=call.prompt,
        limit=call.limit,
        deadline_s=0,
        avoid=avoid,
        charge=charge,
        affinity=call.affinity,
    )


@ask_of.register
def _ask_plain(call: calls.PlainCall, avoid, charge):
    return messages.Ask(
        id=0,
        customer=call.customer,
        service=call.service.name,
        model="",
        priority=call.priority,
        prompt=call.service.call_tokens,
        limit=0,
        deadline_s=0,
        avoid=avoid,
        charge=charge,
    )


@functools.singledispatch
def cost_of(call, output, ran):
    """Return the tokens that a call has truly cost.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    output : int
        Tokens of the output.
    ran : bool
        Whether it may have run.
    """
    raise NotImplementedError(type(call))


@cost_of.register
def _cost_model(call: calls.ModelCall, output, ran):
    return call.prompt + output if ran else 0


@cost_of.register
def _cost_plain(call: calls.PlainCall, output, ran):
    return call.service.call_tokens if ran else 0
