"""Checks the fields of messages from other entries before they are used."""

import functools
import itertools
import math
import reprlib

from dogwoodwheel import exceptions
from dogwoodwheel.platform import decoding
from dogwoodwheel.wire import messages

__all__ = ["check"]

# Maximum length of a name; that of the key of a row in the store.
MAX_NAME_LENGTH = 200
# The decoder returns these types themselves, no subclasses.
TEXT_TYPES = frozenset((str,))
TUPLE_TYPES = frozenset((tuple,))
DICT_TYPES = frozenset((dict,))
INTEGER_TYPES = frozenset((int,))
NUMBER_TYPES = frozenset((int, float))


@functools.singledispatch
def check(msg):
    """Check the fields of a message that other parts of an entry rely on.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`

    Raises
    ------
    WireError
        If a field has a value of another kind, or entries don't send each
        other messages of this class.
    """
    raise exceptions.WireError(
        f"entries send no messages of class {type(msg).__name__}; "
        f"is the sender a dogwoodwheel entry?"
    )


@check.register
def _(msg: messages.EntryBeat):
    # Crashes of engines are used only while the heartbeat is received, and
    # the receiver meets another shape of them there.
    _check_fields(msg, HEARTBEAT_CHECKS)


@check.register
def _(msg: messages.EndpointRows):
    _check_fields(msg, SCAN_CHECKS)


def _check_fields(msg, checks):
    for name, is_valid in checks.items():
        value = getattr(msg, name)
        if not is_valid(value):
            raise exceptions.WireError(
                f"field {name} is {reprlib.repr(value)}; "
                f"upgrade the older of the two entries"
            )


def _is_name(value):
    return (
        isinstance(value, str)
        and len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
    )


def _is_integer(value):
    return type(value) is int


def _is_number(value):
    return type(value) in NUMBER_TYPES and math.isfinite(value)


def _is_age(value):
    return _is_number(value) and value >= 0


def _is_optional_number(value):
    return value is None or _is_number(value)


def _have_types(values, types):
    return types.issuperset(map(type, values))


def _are_numbers(value):
    return (
        type(value) is dict
        and _have_types(value, TEXT_TYPES)
        and _have_types(value.values(), NUMBER_TYPES)
        and all(map(math.isfinite, value.values()))
    )


def _are_integers(value):
    return (
        type(value) is dict
        and _have_types(value, TEXT_TYPES)
        and _have_types(value.values(), INTEGER_TYPES)
    )


def _are_addresses(value):
    return isinstance(value, tuple) and all(map(decoding.is_address, value))


def _are_loads(value):
    if not _are_tuples(value, 3):
        return False
    requests, tokens, models = zip(*value.values()) if value else ((), (), ())
    return (
        _have_types(requests, INTEGER_TYPES)
        and _have_types(tokens, INTEGER_TYPES)
        and _have_types(models, DICT_TYPES)
        and _have_types(itertools.chain.from_iterable(models), TEXT_TYPES)
        and _have_types(
            itertools.chain.from_iterable(map(dict.values, models)),
            INTEGER_TYPES,
        )
    )


def _are_outcomes(value):
    if not _are_tuples(value, 2):
        return False
    counts = tuple(itertools.chain.from_iterable(value.values()))
    return _have_types(counts, NUMBER_TYPES) and all(
        map(math.isfinite, counts)
    )


def _are_tuples(value, length):
    """Return whether a value maps texts to tuples of a length."""
    return (
        type(value) is dict
        and _have_types(value, TEXT_TYPES)
        and _have_types(value.values(), TUPLE_TYPES)
        and {length}.issuperset(map(len, value.values()))
    )


def _are_limits(value):
    return _are_tuples(value, 3) and all(
        _is_optional_number(limit)
        and _is_optional_number(age_s)
        and _is_integer(requests)
        for limit, age_s, requests in value.values()
    )


def _is_claim(value):
    return value is None or (
        isinstance(value, tuple)
        and len(value) == 2
        and all(map(_is_integer, value))
    )


def _are_holdings(value):
    return _are_tuples(value, 3) and all(
        _is_age(age_s) and _are_adapters(models) and type(loading) is str
        for age_s, models, loading in value.values()
    )


def _are_adapters(value):
    return (
        type(value) is dict
        and _have_types(value, TEXT_TYPES)
        and _have_types(value.values(), TUPLE_TYPES)
        and all(_have_types(names, TEXT_TYPES) for names in value.values())
    )


def _are_rows(value):
    return isinstance(value, tuple) and all(
        isinstance(row, tuple)
        and len(row) == 3
        and isinstance(row[0], str)
        and _is_integer(row[1])
        and isinstance(row[2], bytes)
        for row in value
    )


HEARTBEAT_CHECKS = {
    "id": _is_integer,
    "name": _is_name,
    "incarnation": _is_name,
    "zone": _is_name,
    "peers": decoding.is_address,
    "front": decoding.is_address,
    "state": _is_name,
    "config_version": _is_integer,
    "store_age_s": _is_age,
    "scan_age_s": _is_age,
    "operator_row": _is_integer,
    "store_era": _is_integer,
    "link_mbps": _is_number,
    "known": _are_addresses,
    "load": _are_loads,
    "outcomes": _are_outcomes,
    "spent": _are_numbers,
    "asked": _are_numbers,
    "waiting": _are_numbers,
    "lease": _is_claim,
    "holdings": _are_holdings,
    "sound_parts": _are_numbers,
    "earlier_quarantines": _are_numbers,
    "limits": _are_limits,
    "leaving": _are_integers,
}
SCAN_CHECKS = {
    "name": _is_name,
    "age_s": _is_age,
    "version": _is_integer,
    "rows": _are_rows,
}
