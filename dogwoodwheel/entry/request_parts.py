"""Names the parts of a request that may crash an endpoint.

Notes
-----
Workload: as for `query_of_death`.  Either one section of prompts or one
request as a whole crashes each endpoint; requests that share only other parts
with it, or only its path, customer or body, are sound.
"""

import hashlib

__all__ = ["is_whole", "parts_of"]

# No section of a prompt contains a colon, which separates its name from its
# number of tokens.
WHOLE_PREFIX = "request:"
DIGEST_BYTES = 8
# Size of the length that precedes each field in the digest.
LENGTH_BYTES = 4


def parts_of(admitted):
    """Return the names of a request's parts.

    Parameters
    ----------
    admitted : dogwoodwheel.entry.admission.AdmittedRequest

    Returns
    -------
    tuple of str
        The shared sections of the prompt, in order, and last the whole
        request.  It is named by a digest of method, path with query, customer,
        model, prompt and body, the same at all entries.

    Notes
    -----
    Takes time proportional to the size of the body.  The digest contains the
    customer's name instead of the caller's key.
    """
    incoming, headers = admitted.incoming, admitted.request_headers
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        incoming.method.encode(),
        incoming.target,
        admitted.customer.name.encode() if admitted.customer else b"",
        f"{headers.model}/{headers.adapter}".encode(),
        repr(headers.prompt_prefix).encode(),
        incoming.body,
    ):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return (
        *headers.shared_sections,
        WHOLE_PREFIX + digest.hexdigest(),
    )


def is_whole(part):
    """Return whether a part is a whole request, not a section of prompts.

    Examples
    --------
    >>> is_whole("request:9c41d07be2a35f68"), is_whole("5c1e07a2")
    (True, False)
    """
    return part.startswith(WHOLE_PREFIX)
