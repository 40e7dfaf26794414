"""Scalars of the operators' text: types, forms and bounds."""

import functools
import ipaddress
import math
import re

from dogwoodwheel.declaration import schema

__all__ = [
    "FORMS",
    "broken",
    "has_form",
    "is_address",
    "mistyped",
    "value_of",
    "wanted",
]

WHOLE = re.compile(r"[-+]?[0-9][0-9_]*")
METHOD = re.compile(r"[A-Z]+|\*")
KEY_NAME = re.compile(r"[a-z0-9]+")
HEX = re.compile(r"(?:[0-9a-fA-F]{2})+")
PATH = re.compile(r"/[!-~]*")
MAX_PORT = 65535
TRUTHS = {"true": True, "false": False}
WANTED = {
    "str": "a text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
}
FORMS = {
    "address": "write IP:PORT, such as 10.0.0.5:8000",
    "digest": f"write {schema.DIGEST_DIGITS} hexadecimal digits",
    "key": "use lower-case letters and digits only",
    "method": "write a method in upper case, or '*'",
    "name": "use letters, digits and . _ : / @ - only, a letter or "
    "digit first",
    "path": "write a path that begins with /, without spaces",
    "salt": f"write at least {schema.MIN_SALT_DIGITS} hexadecimal digits, "
    f"an even number",
}


def is_address(text):
    """Tell whether a text is ``IP:PORT``.

    Examples
    --------
    >>> is_address("127.0.0.1:80"), is_address("localhost:80")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT


def has_form(text, form):
    """Tell whether a text has one of the `FORMS`."""
    if form == "address":
        return is_address(text)
    if form == "name":
        short = len(text) <= schema.MAX_NAME_LENGTH
        return short and bool(schema.NAME.fullmatch(text))
    if form == "key":
        short = len(text) <= schema.MAX_NAME_LENGTH
        return short and bool(KEY_NAME.fullmatch(text))
    if form == "method":
        return bool(METHOD.fullmatch(text))
    if form == "path":
        return bool(PATH.fullmatch(text))
    hexadecimal = bool(HEX.fullmatch(text))
    if form == "digest":
        return hexadecimal and len(text) == schema.DIGEST_DIGITS
    return hexadecimal and len(text) >= schema.MIN_SALT_DIGITS


def wanted(kind):
    """Return the words for a kind of value."""
    return WANTED[kind.__name__]


def mistyped(node, kind):
    """Return what is wrong with a scalar that is not of a kind."""
    shown = node.value if len(node.value) <= 40 else node.value[:37] + "..."
    if kind is str and not node.value:
        return "is empty; give a text"
    if kind is str:
        return f"{shown} is not read as a text; put it in quotes"
    return f"{shown!r} is not {wanted(kind)}; write one without quotes"


@functools.singledispatch
def value_of(kind, node):
    """Return a scalar node's value as the type of ``kind``, or None."""
    raise NotImplementedError(type(kind))


@value_of.register
def _(kind: str, node):
    is_text = node.tag == "tag:yaml.org,2002:str"
    return node.value if is_text and node.value else None


@value_of.register
def _(kind: bool, node):
    return None if node.style else TRUTHS.get(node.value)


@value_of.register
def _(kind: int, node):
    if node.style or len(node.value) > 18 or not WHOLE.fullmatch(node.value):
        return None
    return int(node.value)


@value_of.register
def _(kind: float, node):
    try:
        number = None if node.style else float(node.value)
    except ValueError:
        return None
    if number is None or not math.isfinite(number):
        return None
    return number


def broken(rule, value):
    """Return what is wrong with a value by its rule, or an empty text."""
    if rule.choices and value not in rule.choices:
        return f"{value!r} is not one of {', '.join(rule.choices)}"
    if rule.least is not None and value < rule.least:
        return f"{value:g} is too small; give {rule.least} or more"
    if rule.above is not None and value <= rule.above:
        return f"{value:g} is too small; give more than {rule.above}"
    if rule.most is not None and value > rule.most:
        return f"{value:g} is too large; give {rule.most} or less"
    if rule.form and not has_form(value, rule.form):
        return f"{value[:40]!r} is malformed; {FORMS[rule.form]}"
    return ""
