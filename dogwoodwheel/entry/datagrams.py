"""Encoding of the datagrams between entries: compressed frames."""

import zlib

from dogwoodwheel import exceptions
from dogwoodwheel.wire import codec

__all__ = ["decode", "encode"]

LENGTH_PREFIX_BYTES = codec.LENGTH_PREFIX.size
# Level of zlib.  Heartbeats are compressed, because traffic between
# availability zones costs more than the CPU time of the compression.
COMPRESSION_LEVEL = 6
# Maximum size of a message.  A datagram of 64 KiB could expand to 64 MiB.
MAX_DECOMPRESSED_BYTES = 2 * 1024 * 1024
# Preset dictionary of zlib: bytes that most heartbeats contain.  The
# dictionary makes small heartbeats shorter.  Releases with different
# dictionaries cannot read each other's heartbeats.
COMPRESSION_DICTIONARY = (
    b"EndpointRows\xa5age_s\xa4rows\xa8starting\xa7leaving\xa8outcomes"
    b"\xa1v\x01\xa1k\xa9EntryBeat\xa1r\xc2\xa1f\xde\x00\x12\xa2id\xcd"
    b"\xa4name\xa6front-\xabincarnation\xd9 \xa4zone\xa5peers"
    b"\xa5front\xa5state\xa7serving\xaeconfig_version"
    b"\xabstore_age_s\xcb?\xaascan_age_s\xcb?\xacoperator_row\xcd"
    b"\xa5known\x90\xa4load\x80\xa8outcomes\x80\xa5spent\x80"
    b"\xa5asked\x80\xa7waiting\x80\xa5lease\xc0\xa8holdings\x80"
)


def encode(msg):
    """Return the datagram that carries a message.

    Parameters
    ----------
    msg : message of `dogwoodwheel.wire.messages`

    Returns
    -------
    bytes

    Raises
    ------
    WireError
        If the message is too long for a frame.
    """
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL, zdict=COMPRESSION_DICTIONARY
    )
    return compressor.compress(codec.encode(msg)) + compressor.flush()


def decode(datagram):
    """Return the message that a datagram carries.

    Raises
    ------
    WireError
        If the datagram is malformed, or of an unknown release.
    """
    try:
        decompressor = zlib.decompressobj(zdict=COMPRESSION_DICTIONARY)
        frame = decompressor.decompress(datagram, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise _malformed() from exc
    if not decompressor.eof:
        raise _malformed()
    msg, _ = codec.decode(frame[LENGTH_PREFIX_BYTES:])
    return msg


def _malformed():
    return exceptions.WireError(
        "a datagram is malformed; is the sender a dogwoodwheel entry?"
    )
