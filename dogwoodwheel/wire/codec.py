"""Frames of the protocol between the programs.

Notes
-----
A frame is a length of 4 bytes, big-endian, and a msgpack map: ``v`` the
protocol's version, ``k`` the kind of message, ``r`` whether it is a
reply, ``f`` the fields.  A field that the reader does not know is
ignored; one that it misses takes its default.
"""

import dataclasses
import struct

import msgpack

from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages

__all__ = ["MAX_FRAME_BYTES", "VERSION", "decode", "encode", "size_of"]

VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")
KINDS = {name: getattr(messages, name) for name in messages.__all__}
FIELDS = {
    name: tuple(field.name for field in dataclasses.fields(kind))
    for name, kind in KINDS.items()
}


def encode(msg, reply=False):
    """Return the frame of a message.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`
    reply : bool
        Whether it answers a message of the other side.

    Returns
    -------
    bytes

    Examples
    --------
    >>> frame = encode(messages.Ok(7), reply=True)
    >>> decode(frame[4:])
    (Ok(id=7), True)
    """
    kind = type(msg).__name__
    fields = {name: getattr(msg, name) for name in FIELDS[kind]}
    body = msgpack.packb({"v": VERSION, "k": kind, "r": reply, "f": fields})
    if len(body) > MAX_FRAME_BYTES:
        raise exceptions.WireError(
            f"a {kind} of {len(body)} bytes is too long; "
            f"shorten the configuration"
        )
    return LENGTH_PREFIX.pack(len(body)) + body


def size_of(head):
    """Return the length of a frame's body.

    Parameters
    ----------
    head : bytes
        The first 4 bytes of the frame.

    Returns
    -------
    int

    Raises
    ------
    WireError
        If the length is above `MAX_FRAME_BYTES`.
    """
    (size,) = LENGTH_PREFIX.unpack(head)
    if size > MAX_FRAME_BYTES:
        raise exceptions.WireError(
            f"a frame of {size} bytes is too long; "
            f"is the other side a dogwoodwheel program?"
        )
    return size


def decode(body):
    """Return the message of a frame's body, and whether it is a reply.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    msg : message of `dogwoodwheel.wire.messages`
    reply : bool

    Raises
    ------
    WireError
        If the body is malformed, of a newer version or of an unknown
        kind.
    """
    try:
        frame = msgpack.unpackb(body, use_list=False)
        version = frame["v"]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as exc:
        raise exceptions.WireError(
            "a frame is malformed; "
            "is the other side a dogwoodwheel program?"
        ) from exc
    if version > VERSION:
        raise exceptions.WireError(
            f"a message has protocol version {version}, this program "
            f"reads up to {VERSION}; upgrade this program"
        )
    try:
        kind = KINDS[frame["k"]]
        known = FIELDS[frame["k"]]
        fields = {k: v for k, v in frame["f"].items() if k in known}
        return kind(**fields), bool(frame["r"])
    except (KeyError, TypeError, AttributeError) as exc:
        raise exceptions.WireError(
            f"a message cannot be read ({exc!r}); upgrade the older "
            f"of the two programs"
        ) from exc
