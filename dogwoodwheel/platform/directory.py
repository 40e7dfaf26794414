"""Paths that the platform calls at an entry, and the directory's reply."""

import json

__all__ = ["READY_PATH", "RESOLVE_PATH", "resolve_body"]

RESOLVE_PATH = "/api/resolve"
READY_PATH = "/api/ready"
# Maximum number of addresses in one reply of the directory.
MAX_ADDRESSES = 64


def resolve_body(addresses, ttl_s):
    """Return the JSON body of the reply to a call of `RESOLVE_PATH`.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:PORT`` of entries; the body contains the first `MAX_ADDRESSES`.
    ttl_s : float
        Time for which callers may cache the addresses, seconds.
    """
    body = {"addresses": list(addresses[:MAX_ADDRESSES]), "ttlS": ttl_s}
    return json.dumps(body).encode()
