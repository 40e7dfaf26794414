"""Interface of an object store whose keys are digests of the objects."""

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
    """Interface of an object store; the key of an object is its digest."""

    async def put(self, data):
        """Store bytes and return their digest; a call may be repeated."""
        raise NotImplementedError

    async def get(self, digest):
        """Return the bytes that are stored under a digest.

        Raises
        ------
        PlatformError
            If the object is absent, its bytes do not match the digest, or
            the object store does not reply.
        """
        raise NotImplementedError
