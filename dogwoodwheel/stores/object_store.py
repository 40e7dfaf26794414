"""An object store, addressed by content."""

import hashlib

__all__ = ["ObjectStore", "digest_of"]


def digest_of(data):
    """Return the hexadecimal SHA-256 of bytes.

    Examples
    --------
    >>> digest_of(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


class ObjectStore:
    """The calls that this system makes of an object store."""

    async def put(self, data):
        """Store bytes and return their digest; idempotent."""
        raise NotImplementedError

    async def get(self, digest):
        """Return the bytes of a digest.

        Raises
        ------
        PlatformError
            If they are absent, or do not match the digest.
        """
        raise NotImplementedError
