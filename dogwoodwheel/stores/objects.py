"""Client of the platform's object store, addressed by content."""

import hashlib

from dogwoodwheel import exceptions
from dogwoodwheel.stores import http

__all__ = ["HttpObjects", "Objects", "digest_of"]

TIMEOUT_S = 3.0


def digest_of(data):
    """Return the hexadecimal SHA-256 of bytes.

    Examples
    --------
    >>> digest_of(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


class Objects:
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


class HttpObjects(Objects):
    """An object store met by HTTP: ``PUT`` and ``GET /objects/DIGEST``."""

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_address(cls, address):
        """Return the client of the service at ``IP:PORT``."""
        return cls(http.Client(address))

    async def put(self, data):
        digest = digest_of(data)
        await self.client.request(
            "PUT", f"/objects/{digest}", data, [], TIMEOUT_S
        )
        return digest

    async def get(self, digest):
        data = await self.client.request(
            "GET", f"/objects/{digest}", None, [], TIMEOUT_S
        )
        if digest_of(data) != digest:
            raise exceptions.PlatformError(
                f"object {digest[:12]} is damaged; read it again"
            )
        return data
