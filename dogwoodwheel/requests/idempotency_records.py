"""Records of calls with an idempotency key, as stored in the table."""

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
    "recorded_answer",
    "digest_of",
    "completed_value",
    "key_of",
    "unknown_outcome_value",
]

FREE = "free"
STARTED = "started"
DONE = "done"
UNKNOWN = "unknown"
# Maximum size of a stored answer with its headers: a row of the table
# store holds 64 KiB, and base64 makes the body a third longer.
MAX_STORED_BYTES = 40 * 1024
REPLAYED_HEADER = (b"idempotency-replayed", b"true")


@dataclasses.dataclass(frozen=True)
class Claim:
    """An attempt's claim to run a call; its row may not be written yet.

    Parameters
    ----------
    key : str
    attempt_id : str
        Unique id of this attempt.
    request_digest : str
        SHA-256 of the request.
    row_version : int
        Version of the row that the claim replaces; 0 for no row.
    """

    key: str
    attempt_id: str
    request_digest: str
    row_version: int

    def value(self, state, **fields):
        """Return the value of the row for a state of the call."""
        return {
            "state": state,
            "attempt": self.attempt_id,
            "request": self.request_digest,
            **fields,
        }


def key_of(call):
    """Return the key of a call's record.

    Notes
    -----
    The key is a digest, since an idempotency key may be a secret.
    """
    parts = (call.customer, call.service.name, call.idempotency_key)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def digest_of(call):
    """Return the digest of a request.

    Notes
    -----
    All attempts under one idempotency key must have the same digest.
    """
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target, call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def completed_value(claim, answer):
    """Return the value of a record that holds a call's answer.

    Notes
    -----
    An answer above `MAX_STORED_BYTES` is recorded as an unknown outcome.
    """
    headers_bytes = sum(
        len(name) + len(value) for name, value in answer.headers
    )
    if headers_bytes + len(answer.body) > MAX_STORED_BYTES:
        return unknown_outcome_value(claim)
    return claim.value(
        DONE,
        status=answer.status,
        headers=[
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in answer.headers
        ],
        body=base64.b64encode(answer.body).decode(),
    )


def unknown_outcome_value(claim):
    """Return the value of a record of a call with an unknown outcome."""
    return claim.value(UNKNOWN)


def recorded_answer(row, digest):
    """Return the answer in a record, or None if the call is in progress.

    Parameters
    ----------
    row : dogwoodwheel.stores.table_store.Row
    digest : str
        Digest of the repeated request.

    Raises
    ------
    RefusedError
        If the record belongs to another request, or no answer is stored
        and the call may have run.
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
    return callers.Answer(value["status"], (*headers, REPLAYED_HEADER), body)
