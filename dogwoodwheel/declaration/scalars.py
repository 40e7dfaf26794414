"""Types, formats and bounds of scalars in the configuration text."""

import functools
import ipaddress
import math
import re

from dogwoodwheel.declaration import schema

__all__ = [
    "FORMAT_HINTS",
    "rule_violation",
    "has_format",
    "is_address",
    "type_error_message",
    "parse_scalar",
    "describe_type",
]

INTEGER_PATTERN = re.compile(r"[-+]?[0-9][0-9_]*")
METHOD_PATTERN = re.compile(r"[A-Z]+|\*")
KEY_NAME_PATTERN = re.compile(r"[a-z0-9]+")
HEX_PATTERN = re.compile(r"(?:[0-9a-fA-F]{2})+")
PATH_PATTERN = re.compile(r"/[!-~]*")
MAX_PORT = 65535
BOOLEANS = {"true": True, "false": False}
TYPE_DESCRIPTIONS = {
    "str": "a text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
}
FORMAT_HINTS = {
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
    """Return whether a text is an IPv4 address and port, ``IP:PORT``.

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


def has_format(text, value_format):
    """Return whether a text has the given format, a key of `FORMAT_HINTS`."""
    if value_format == "address":
        return is_address(text)
    if value_format == "name":
        has_valid_length = len(text) <= schema.MAX_NAME_LENGTH
        return has_valid_length and bool(schema.NAME_PATTERN.fullmatch(text))
    if value_format == "key":
        has_valid_length = len(text) <= schema.MAX_NAME_LENGTH
        return has_valid_length and bool(KEY_NAME_PATTERN.fullmatch(text))
    if value_format == "method":
        return bool(METHOD_PATTERN.fullmatch(text))
    if value_format == "path":
        return bool(PATH_PATTERN.fullmatch(text))
    hexadecimal = bool(HEX_PATTERN.fullmatch(text))
    if value_format == "digest":
        return hexadecimal and len(text) == schema.DIGEST_DIGITS
    return hexadecimal and len(text) >= schema.MIN_SALT_DIGITS


def describe_type(kind):
    """Return the description of a type for error messages."""
    return TYPE_DESCRIPTIONS[kind.__name__]


def type_error_message(node, kind):
    """Return the message for a scalar that is not of the expected type."""
    excerpt = node.value if len(node.value) <= 40 else node.value[:37] + "..."
    if kind is str and not node.value:
        return "is empty; give a text"
    if kind is str:
        return f"{excerpt} is not read as a text; put it in quotes"
    return (
        f"{excerpt!r} is not {describe_type(kind)}; write one without quotes"
    )


@functools.singledispatch
def parse_scalar(kind, node):
    """Return the value of a scalar node, or None if its type is wrong.

    Parameters
    ----------
    kind : str, bool, int or float
        Any instance of the expected type; its value is ignored.
    node : yaml.ScalarNode
    """
    raise NotImplementedError(type(kind))


@parse_scalar.register
def _(kind: str, node):
    is_text = node.tag == "tag:yaml.org,2002:str"
    return node.value if is_text and node.value else None


@parse_scalar.register
def _(kind: bool, node):
    return None if node.style else BOOLEANS.get(node.value)


@parse_scalar.register
def _(kind: int, node):
    if (
        node.style
        or len(node.value) > 18
        or not INTEGER_PATTERN.fullmatch(node.value)
    ):
        return None
    return int(node.value)


@parse_scalar.register
def _(kind: float, node):
    try:
        number = None if node.style else float(node.value)
    except ValueError:
        return None
    if number is None or not math.isfinite(number):
        return None
    return number


def rule_violation(rule, value):
    """Return the message for a value that violates a rule, else ``""``."""
    if rule.choices and value not in rule.choices:
        return f"{value!r} is not one of {', '.join(rule.choices)}"
    if rule.minimum is not None and value < rule.minimum:
        return f"{value:g} is too small; give {rule.minimum} or more"
    if rule.exclusive_minimum is not None and value <= rule.exclusive_minimum:
        return (
            f"{value:g} is too small; give more than {rule.exclusive_minimum}"
        )
    if rule.maximum is not None and value > rule.maximum:
        return f"{value:g} is too large; give {rule.maximum} or less"
    if rule.value_format and not has_format(value, rule.value_format):
        return (
            f"{value[:40]!r} is malformed; {FORMAT_HINTS[rule.value_format]}"
        )
    return ""
