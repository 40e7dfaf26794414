"""Values of the records of calls that must not be repeated."""

import base64
import dataclasses
import hashlib

from dogwoodwheel.requests import callers
from dogwoodwheel.requests import refusals
from dogwoodwheel.wire import messages

__all__ = [
    "Claim",
    "FREE",
    "STARTED",
    "answer_in",
    "digest_of",
    "done",
    "key_of",
    "unknown",
]

FREE = "free"
STARTED = "started"
DONE = "done"
UNKNOWN = "unknown"
# Longest answer that is kept, with its headers: a row of the platform holds
# 64 KiB, and base64 adds a third.
MAX_KEPT_BYTES = 40 * 1024
REPLAYED = (b"idempotency-replayed", b"true")


@dataclasses.dataclass(frozen=True)
class Claim:
    """A record that this process has started, or may have.

    Parameters
    ----------
    key : str
    attempt : str
        Unique name of this try.
    digest : str
        SHA-256 of the request.
    version : int
        Version of the row that the claim replaces.
    """

    key: str
    attempt: str
    digest: str
    version: int

    def value(self, state, **more):
        """Return the row's value in a state."""
        return {
            "state": state,
            "attempt": self.attempt,
            "request": self.digest,
            **more,
        }


def key_of(call):
    """Return the record's key: a digest, as keys may be secrets."""
    parts = (call.customer, call.service.name, call.key)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def digest_of(call):
    """Return the digest of what must be equal in all tries of a key."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target, call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def done(claim, answer):
    """Return the value of a record with its answer."""
    headers_bytes = sum(len(n) + len(v) for n, v in answer.headers)
    if headers_bytes + len(answer.body) > MAX_KEPT_BYTES:
        return unknown(claim)
    return claim.value(
        DONE,
        status=answer.status,
        headers=[
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in answer.headers
        ],
        body=base64.b64encode(answer.body).decode(),
    )


def unknown(claim):
    """Return the value of a record whose outcome is not known."""
    return claim.value(UNKNOWN)


def answer_in(row, digest):
    """Return the answer in a record; None while it is under way.

    Parameters
    ----------
    row : dogwoodwheel.stores.table_store.Row
    digest : str
        Of the request that asks.

    Raises
    ------
    RefusedError
        If the record is of another request, or the answer is lost.
    """
    value = row.value
    if value["request"] != digest:
        raise refusals.refused(
            "idempotency_key_reused",
            "this Idempotency-Key was used for another request; "
            "use a new one for a new request",
            422,
        )
    if value["state"] == UNKNOWN:
        raise refusals.refused(
            "outcome_unknown",
            "an earlier try under this Idempotency-Key was sent and its "
            "answer is not here; look at the service whether it ran",
            409,
            messages.MAY_HAVE_RUN,
        )
    if value["state"] != DONE:
        return None
    headers = [
        (name.encode("latin-1"), text.encode("latin-1"))
        for name, text in value["headers"]
    ]
    body = base64.b64decode(value["body"])
    return callers.Answer(value["status"], (*headers, REPLAYED), body)
