"""Answers to the platform's questions for addresses and readiness."""

import json

__all__ = ["READY_PATH", "RESOLVE_PATH", "resolve_body"]

RESOLVE_PATH = "/api/resolve"
READY_PATH = "/api/ready"
# Most addresses that one answer may name.
MOST = 64


def resolve_body(addresses, ttl_s):
    """Return the body that names the addresses to use.

    Parameters
    ----------
    addresses : sequence of str
    ttl_s : float
        Time for which callers may use it, seconds.
    """
    body = {"addresses": list(addresses[:MOST]), "ttlS": ttl_s}
    return json.dumps(body).encode()
