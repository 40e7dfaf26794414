"""Encoding of the messages between the programs.

Notes
-----
A frame is the length of its body (4 bytes, big-endian) and the body, a
msgpack map with four keys: ``v`` is the version of the protocol, ``k``
the name of the message class, ``r`` whether the message is a reply and
``f`` a map of the fields.  The decoder ignores unknown fields and uses
the default values of missing ones.
"""

import dataclasses
import reprlib
import struct

import msgpack

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "body_size",
    "decode",
    "encode",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")
MESSAGE_CLASSES = {name: getattr(messages, name) for name in messages.__all__}
FIELD_NAMES = {
    name: tuple(field.name for field in dataclasses.fields(message_class))
    for name, message_class in MESSAGE_CLASSES.items()
}


def encode(msg, reply=False):
    """Encode a message as a frame.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`
    reply : bool
        Whether the message is a reply to one from the other side.

    Returns
    -------
    bytes
        The length prefix and the body.

    Raises
    ------
    WireError
        If the body is longer than `MAX_FRAME_BYTES`.

    Examples
    --------
    >>> frame = encode(messages.Ok(7), reply=True)
    >>> decode(frame[4:])
    (Ok(id=7), True)
    """
    class_name = type(msg).__name__
    fields = {name: getattr(msg, name) for name in FIELD_NAMES[class_name]}
    body = msgpack.packb(
        {"v": PROTOCOL_VERSION, "k": class_name, "r": reply, "f": fields}
    )
    if len(body) > MAX_FRAME_BYTES:
        raise exceptions.WireError(
            f"a {class_name} message of {len(body)} bytes is too long; "
            f"shorten the configuration"
        )
    return LENGTH_PREFIX.pack(len(body)) + body


def body_size(length_prefix):
    """Return the length of a frame's body in bytes.

    Parameters
    ----------
    length_prefix : bytes
        The first 4 bytes of the frame.

    Returns
    -------
    int

    Raises
    ------
    WireError
        If the body is longer than `MAX_FRAME_BYTES`.
    """
    (size,) = LENGTH_PREFIX.unpack(length_prefix)
    if size > MAX_FRAME_BYTES:
        raise exceptions.WireError(
            f"a frame of {size} bytes is too long; "
            f"is the other side a dogwoodwheel program?"
        )
    return size


def decode(body):
    """Decode the body of a frame.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    msg : message of `dogwoodwheel.wire.messages`
    reply : bool
        Whether the message is a reply.

    Raises
    ------
    WireError
        If the body is malformed, has a newer version of the protocol
        or names an unknown message class.
    """
    try:
        body_map = msgpack.unpackb(body, use_list=False)
        protocol_version, class_name = body_map["v"], body_map["k"]
        raw_fields, reply = body_map["f"], body_map["r"]
        if not (
            isinstance(protocol_version, int)
            and isinstance(class_name, str)
            and isinstance(raw_fields, dict)
        ):
            raise TypeError("a part of the frame has another type")
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as exc:
        raise exceptions.WireError(
            "a frame is malformed; "
            "is the other side a dogwoodwheel program?"
        ) from exc
    if protocol_version > PROTOCOL_VERSION:
        raise exceptions.WireError(
            f"a message has protocol version {protocol_version}, but this "
            f"program supports up to {PROTOCOL_VERSION}; upgrade this program"
        )
    try:
        message_class = MESSAGE_CLASSES[class_name]
        field_names = FIELD_NAMES[class_name]
        fields = {k: v for k, v in raw_fields.items() if k in field_names}
        return message_class(**fields), bool(reply)
    except (KeyError, TypeError) as exc:
        raise exceptions.WireError(
            f"a message of class {reprlib.repr(class_name)} cannot be decoded "
            f"({type(exc).__name__}); upgrade the older of the two programs"
        ) from exc
