"""The configuration in force at a gateway."""

import dataclasses
import math

from loguru import logger
import trio

from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions

__all__ = ["ConfigInForce", "apply_message"]


@dataclasses.dataclass(frozen=True)
class ConfigInForce:
    """The newest configuration that this process has received.

    Parameters
    ----------
    version : int
        Version of the configuration text; 0 before the first one.
    digest : str
        Digest of the configuration text.
    declaration : dogwoodwheel.declaration.datatypes.Declaration or None
    confirmed_at : float
        Time of trio's clock at which the version was last confirmed as the
        newest.
    leaving : bool
        Whether this VM is draining.
    entries : tuple of str
        Addresses of the entries that callers should use, best first.
    """

    version: int = 0
    digest: str = ""
    declaration: object = None
    confirmed_at: float = -math.inf
    leaving: bool = False
    entries: tuple = ()


async def apply_message(config, msg):
    """Return the configuration in force after a coordinator's message.

    Parameters
    ----------
    config : ConfigInForce
        The configuration in force before the message.
    msg : dogwoodwheel.wire.messages.Config

    Notes
    -----
    An older version never replaces a newer version.  If the message has a
    newer version without the text, ``config`` is returned without a new
    time of confirmation, since it is out of date.
    """
    received_at = trio.current_time()
    if msg.version > config.version and msg.text:
        config = await _parse(config, msg)
    if msg.version != config.version:
        return config
    confirmed_at = config.confirmed_at
    if msg.fresh_s >= 0:
        confirmed_at = max(confirmed_at, received_at - msg.fresh_s)
    return dataclasses.replace(
        config,
        confirmed_at=confirmed_at,
        leaving=msg.leaving,
        entries=tuple(msg.entries),
    )


async def _parse(config, msg):
    try:
        # The parser runs in a thread, as parsing a long text takes seconds.
        declaration = await trio.to_thread.run_sync(parse.parse, msg.text)
    except exceptions.DeclarationError as exc:
        # The text was checked when it was accepted, so this program must be
        # too old to parse the text.
        logger.error(
            "control: cannot parse configuration version {}: {}",
            msg.version,
            exc,
        )
        return config
    logger.info("control: configuration in force version={}", msg.version)
    return ConfigInForce(msg.version, msg.digest, declaration)
