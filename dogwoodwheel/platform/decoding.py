"""Decodes JSON that other programs wrote, within bounds.

Notes
-----
Whatever the bytes are, a decoder built on this module returns a value or
raises `DeclarationError`.  Sizes, nesting, numbers and texts are bounded, so
that a decoded value can be logged, hashed, computed with, and sent on in
headers and messages.
"""

import dataclasses
import functools
import ipaddress
import json
import math
import reprlib

from dogwoodwheel import exceptions

__all__ = [
    "JsonObject",
    "MAX_NUMBER",
    "MAX_PORT",
    "MAX_TEXT_LENGTH",
    "error",
    "is_address",
    "is_identifier",
    "parse_digits",
    "parse_json",
]

MAX_JSON_BYTES = 4 * 1024 * 1024
# Maximum nesting.  The messages of the platform nest about 6 deep.
MAX_DEPTH = 32
# Maximum length of a name, which is that of a row's key, and of a path or key.
MAX_NAME_LENGTH = 200
MAX_TEXT_LENGTH = 4096
# Integers up to this one are exact as a float, too.
MAX_INTEGER = 2**53
MAX_NUMBER = 1e15
MAX_PORT = 65535
MAX_ADDRESS_LENGTH = len("255.255.255.255:65535")
# Marks a field that has no default value.
REQUIRED = object()


def error(what, reason):
    """Return the `DeclarationError` of a malformed value.

    Parameters
    ----------
    what, reason : str
        What is malformed, and why.
    """
    return exceptions.DeclarationError(
        (f"{what} is malformed ({reason}); correct the program that wrote it",)
    )


def parse_json(data, what, max_bytes=MAX_JSON_BYTES):
    """Return the value of a JSON text.

    Parameters
    ----------
    data : bytes
        UTF-8.
    what : str
        What the text describes, for the message of an error.
    max_bytes : int
        Maximum length of the text.

    Raises
    ------
    DeclarationError
        If the text is too long, no JSON or nested too deeply.

    Examples
    --------
    >>> parse_json(b'{"slots": 8}', "the registration")
    {'slots': 8}
    """
    if not isinstance(data, bytes):
        raise error(what, "no value")
    if len(data) > max_bytes:
        raise error(what, f"{len(data)} bytes, but at most {max_bytes}")
    try:
        text = data.decode()
        value = _JSON_DECODER.decode(text)
    except RecursionError:
        raise error(what, "nested too deeply") from None
    except ValueError as exc:
        raise error(what, exc) from exc
    if text.count("[") + text.count("{") > MAX_DEPTH and _is_too_deep(value):
        raise error(what, "nested too deeply")
    return value


def is_address(text):
    """Return whether a text is ``IP:PORT`` with an IPv4 address.

    Examples
    --------
    >>> is_address("10.1.0.25:8221"), is_address("10.1.0.25:70000")
    (True, False)
    """
    return (
        isinstance(text, str)
        and len(text) <= MAX_ADDRESS_LENGTH
        and _is_short_address(text)
    )


@functools.lru_cache(maxsize=4096)
def _is_short_address(text):
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return parse_digits(port, MAX_PORT, 0) > 0


def parse_digits(text, maximum, default=None):
    """Return the number that a text of ASCII digits states.

    Parameters
    ----------
    text : str or bytes
    maximum : int
    default : object
        Returned if the text has other characters or states a larger number.

    Examples
    --------
    >>> parse_digits("80", 100), parse_digits("101", 100), parse_digits("²", 9)
    (80, None, None)
    """
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        return default
    number = int(text)
    return number if number <= maximum else default


@dataclasses.dataclass(frozen=True, slots=True)
class JsonObject:
    """A JSON object whose fields are read by type.

    Each method returns the value of one field.  A field that is absent or
    null has the default value, if there is one; any other value that doesn't
    suit raises `DeclarationError`.

    Parameters
    ----------
    raw : dict
        The object as `parse_json` returns it.
    what : str
        What the object describes, for the message of an error.
    """

    raw: dict
    what: str

    @classmethod
    def from_json(cls, data, what, max_bytes=MAX_JSON_BYTES):
        """Return the object of a JSON text.

        Raises
        ------
        DeclarationError
            If the text is malformed, as for `parse_json`, or no object.
        """
        return cls.from_value(parse_json(data, what, max_bytes), what)

    @classmethod
    def from_value(cls, raw, what):
        """Return a decoded JSON value as an object.

        Raises
        ------
        DeclarationError
            If the value is no object.
        """
        if not isinstance(raw, dict):
            raise error(what, f"{_shown(raw)} is no object")
        return cls(raw, what)

    def text(self, name, default=REQUIRED, max_length=MAX_NAME_LENGTH):
        """Return a text of printable characters."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not _is_text(value, max_length):
            raise self._error(name, f"no text of up to {max_length} letters")
        return value

    def address(self, name):
        """Return an address, ``IP:PORT``."""
        value = self.raw.get(name)
        if not is_address(value):
            raise self._error(name, "no IP:PORT")
        return value

    def flag(self, name, default=REQUIRED):
        """Return a truth value."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not isinstance(value, bool):
            raise self._error(name, "neither true nor false")
        return value

    def number(self, name, default=REQUIRED, minimum=0, maximum=MAX_NUMBER):
        """Return a finite number of a range."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not _is_number(value) or not minimum <= value <= maximum:
            raise self._error(name, f"no number {minimum} to {maximum}")
        return value

    def integer(self, name, default=REQUIRED, minimum=0, maximum=MAX_INTEGER):
        """Return a whole number of a range."""
        value = self.number(name, default, minimum, maximum)
        if value is default:
            return value
        if value != math.floor(value):
            raise self._error(name, "no whole number")
        return int(value)

    def child(self, name, default=REQUIRED):
        """Return an object as `JsonObject`; an empty one by default None."""
        value = self.raw.get(name)
        if value is None:
            value = self._default(name, default) or {}
        return JsonObject.from_value(value, f"{name} of {self.what}")

    def items(self, name, default=REQUIRED):
        """Return a list."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not isinstance(value, list):
            raise self._error(name, "no list")
        return value

    def children(self, name, default=REQUIRED):
        """Return a list of objects, each as `JsonObject`."""
        what = f"an item in {name} of {self.what}"
        return [
            JsonObject.from_value(value, what)
            for value in self.items(name, default)
        ]

    def texts(self, name, default=REQUIRED, max_length=MAX_NAME_LENGTH):
        """Return a list of texts."""
        values = self.items(name, default)
        if not all(_is_text(value, max_length) for value in values):
            raise self._error(name, "no list of texts")
        return values

    def _default(self, name, default):
        if default is REQUIRED:
            raise error(self.what, f"field {name} is missing")
        return default

    def _error(self, name, reason):
        shown = _shown(self.raw.get(name))
        return error(self.what, f"field {name} is {shown}, {reason}")


def is_identifier(text, max_length=MAX_NAME_LENGTH):
    """Return whether a text has visible ASCII characters only, at least one.

    Such a text can be the value of an HTTP header.
    """
    return (
        0 < len(text) <= max_length
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def _reject_constant(name):
    raise ValueError(f"{name} is no JSON")


_JSON_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _is_text(value, max_length):
    # Neither control characters nor lone surrogates are printable.
    return (
        isinstance(value, str)
        and len(value) <= max_length
        and value.isprintable()
    )


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _is_too_deep(value):
    """Return whether a value nests deeper than `MAX_DEPTH`.

    Takes linear time and no recursion.
    """
    containers = [value]
    for _ in range(MAX_DEPTH):
        containers = [
            child
            for container in containers
            for child in (
                container.values()
                if isinstance(container, dict)
                else container
            )
            if isinstance(child, (dict, list))
        ]
        if not containers:
            return False
    return True


def _shown(value):
    return reprlib.repr(value)
