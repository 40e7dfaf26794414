"""The platform's readiness and address calls: paths and reply body."""

import json

__all__ = ["READY_PATH", "RESOLVE_PATH", "resolve_body"]

RESOLVE_PATH = "/api/resolve"
READY_PATH = "/api/ready"
# Maximum number of addresses in one reply.
MAX_ADDRESSES = 64


def resolve_body(addresses, ttl_s):
    """Return the JSON body of a reply to `RESOLVE_PATH`.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:PORT`` of entries; only the first `MAX_ADDRESSES` are sent.
    ttl_s : float
        Time for which callers may cache the addresses, seconds.
    """
    body = {"addresses": list(addresses[:MAX_ADDRESSES]), "ttlS": ttl_s}
    return json.dumps(body).encode()
