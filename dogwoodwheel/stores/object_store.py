"""Interface of an object store that is addressed by content."""

import hashlib

__all__ = ["ObjectStore", "digest_of"]


def digest_of(data):
    """Return the hexadecimal SHA-256 digest of bytes.

    Examples
    --------
    >>> digest_of(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


class ObjectStore:
    """Interface of an object store; an object's key is its digest."""

    async def put(self, data):
        """Store bytes and return their digest; the call is idempotent."""
        raise NotImplementedError

    async def get(self, digest):
        """Return the bytes that are stored under a digest.

        Raises
        ------
        PlatformError
            If the object is absent, its bytes do not match the digest, or
            the store does not reply.
        """
        raise NotImplementedError
