"""Messages that ask the coordinator for a slot, and the cost of a call.

A charge is the number of tokens reserved for a request in its
customer's quota until the actual cost is known."""

import functools

from dogwoodwheel.requests import calls
from dogwoodwheel.wire import messages

__all__ = ["make_ask", "token_cost"]


@functools.singledispatch
def make_ask(call, avoid, charge):
    """Return the `Ask` that requests a slot for a call.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    avoid : tuple of str
        Endpoints at which an earlier attempt failed.
    charge : int
        Tokens reserved by an earlier attempt; 0 if there was none.
    """
    raise NotImplementedError(type(call))


@make_ask.register
def _ask_model(call: calls.ModelCall, avoid, charge):
    return messages.Ask(
        id=0,
        customer=call.customer,
        service=call.service.name,
        model=call.model,
        priority=call.priority,
        prompt=call.prompt_tokens,
        limit=call.max_output_tokens,
        deadline_s=0,
        avoid=avoid,
        charge=charge,
        affinity=call.affinity,
    )


@make_ask.register
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
def token_cost(call, output_tokens, may_have_run):
    """Return the number of tokens that a call actually used.

    Parameters
    ----------
    call : dogwoodwheel.requests.calls.Call
    output_tokens : int
        Number of output tokens.
    may_have_run : bool
        Whether the call may have run.
    """
    raise NotImplementedError(type(call))


@token_cost.register
def _cost_model(call: calls.ModelCall, output_tokens, may_have_run):
    return call.prompt_tokens + output_tokens if may_have_run else 0


@token_cost.register
def _cost_plain(call: calls.PlainCall, output_tokens, may_have_run):
    return call.service.call_tokens if may_have_run else 0
