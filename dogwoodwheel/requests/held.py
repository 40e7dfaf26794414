"""The configuration that a gateway holds."""

import dataclasses
import math

from loguru import logger
import trio

from dogwoodwheel.declaration import parse
from dogwoodwheel import exceptions

__all__ = ["Held", "take"]


@dataclasses.dataclass(frozen=True)
class Held:
    """The newest configuration that this process has seen.

    Parameters
    ----------
    version : int
        0 before the first one.
    digest : str
    declaration : dogwoodwheel.declaration.model.Declaration or None
    known_at : float
        Time of trio's clock at which it was known to be the newest.
    leaving : bool
        Whether this VM leaves.
    entries : tuple of str
        Addresses of the entries to use, best first.
    """

    version: int = 0
    digest: str = ""
    declaration: object = None
    known_at: float = -math.inf
    leaving: bool = False
    entries: tuple = ()


async def take(held, msg):
    """Return what is held after a message of the coordinator.

    Parameters
    ----------
    held : Held
    msg : dogwoodwheel.wire.messages.Config

    Notes
    -----
    An older version is never gone back to.  A newer one whose text is
    not here yet makes what is held out of date, so it is not confirmed.
    """
    came_at = trio.current_time()
    if msg.version > held.version and msg.text:
        held = await _read(held, msg)
    if msg.version != held.version:
        return held
    known_at = held.known_at
    if msg.fresh_s >= 0:
        known_at = max(known_at, came_at - msg.fresh_s)
    return dataclasses.replace(
        held,
        known_at=known_at,
        leaving=msg.leaving,
        entries=tuple(msg.entries),
    )


async def _read(held, msg):
    try:
        # A long text takes seconds to parse.
        declaration = await trio.to_thread.run_sync(parse.parse, msg.text)
    except exceptions.DeclarationError as exc:
        # An accepted text was checked; this program is too old for it.
        logger.error("control: version {} unread: {}", msg.version, exc)
        return held
    logger.info("control: configuration in force version={}", msg.version)
    return Held(msg.version, msg.digest, declaration)
