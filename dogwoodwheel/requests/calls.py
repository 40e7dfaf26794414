"""Requests of callers, parsed and validated."""

import dataclasses
import hashlib
import json

from dogwoodwheel.requests import refusals

__all__ = ["Call", "ModelCall", "PlainCall", "priority_of", "read_model_call"]

CHARS_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4
AFFINITY_PREFIX_CHARS = 2048
AFFINITY_DIGEST_BYTES = 8
PRIORITY_HEADER = b"x-priority"
DEFAULT_PRIORITY = "normal"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request to a model, or to a service without models.

    Parameters
    ----------
    id : str
        Request id.
    service : dogwoodwheel.declaration.datatypes.Service
    customer : str
        Empty on a route open to all.
    authorization : str
        Value of the ``Authorization`` header.  The key in the header is
        checked again before each attempt.
    priority : str
        Name of the priority class.
    deadline : dogwoodwheel.requests.deadlines.Deadline
    body : bytes
    """

    id: str
    service: object
    customer: str
    authorization: str = dataclasses.field(repr=False)
    priority: str
    deadline: object
    body: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall(Call):
    """A request to a model, which may safely run more than once.

    Parameters
    ----------
    model : str
        Name of a model or adapter.
    path : str
    stream : bool
        Whether the answer is a stream of events.
    single_choice : bool
        Whether the caller requests one answer; the body's ``n`` is 1.
    prompt_tokens : int
        Estimated number of tokens of the prompt.
    max_output_tokens : int
        Maximum number of output tokens that the caller allows, over all
        choices; 0 if the caller gives none.
    affinity : str
        Digest of the prompt's prefix, for the prefix cache.
    """

    model: str
    path: str
    stream: bool
    single_choice: bool
    prompt_tokens: int
    max_output_tokens: int
    affinity: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainCall(Call):
    """A request to a service without models.

    Parameters
    ----------
    method : str
    path : str
        Decoded path below the service's name, with a leading slash.
    target : bytes
        Path and query as they are sent, still encoded.
    headers : tuple of (bytes, bytes)
        Headers that are forwarded to the endpoint.
    at_most_once : bool
        Whether the request must not run more than once.
    idempotency_key : str
        The caller's ``Idempotency-Key``; empty if there is none.
    """

    method: str
    path: str
    target: bytes
    headers: tuple
    at_most_once: bool
    idempotency_key: str = ""


def priority_of(headers, declaration, customer):
    """Return the name of a request's priority class.

    Parameters
    ----------
    headers : dict of bytes to bytes
        ``X-Priority`` holds the name of a class.  Without this header the
        customer's class is used; without a customer, the default class.
    declaration : dogwoodwheel.declaration.datatypes.Declaration
    customer : dogwoodwheel.declaration.datatypes.Customer or None

    Raises
    ------
    RefusedError
        If ``X-Priority`` names no declared class.
    """
    header = headers.get(PRIORITY_HEADER)
    if header is None:
        return customer.priority if customer else DEFAULT_PRIORITY
    name = header.decode("latin-1")
    if name not in declaration.classes:
        known = ", ".join(sorted(declaration.classes))
        raise refusals.refused(
            "bad_priority", f"X-Priority must be one of {known}", 400
        )
    return name


def read_model_call(declaration, path, body, **common):
    """Return the `ModelCall` for a body in the format of OpenAI's API.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.datatypes.Declaration
    path : str
    body : bytes
    common
        The fields of `Call` except ``service``, ``deadline`` and ``body``,
        and ``deadline_of``: ``deadline_of(service)`` returns the deadline.

    Raises
    ------
    RefusedError
        If the body is malformed, or its model is not declared.
    """
    fields = _parse_object(body)
    name = _typed_field(fields, "model", str, "")
    service = _service_of_model(declaration, name)
    choices = _typed_field(fields, "n", int, 1)
    limit = _typed_field(fields, "max_completion_tokens", int, 0)
    limit = limit or _typed_field(fields, "max_tokens", int, 0)
    text = _prompt_text(fields)
    deadline_of = common.pop("deadline_of")
    return ModelCall(
        service=service,
        deadline=deadline_of(service),
        body=body,
        model=name,
        path=path,
        stream=_typed_field(fields, "stream", bool, False),
        single_choice=choices == 1,
        prompt_tokens=max(1, len(text) // CHARS_PER_TOKEN),
        max_output_tokens=max(0, limit) * max(1, choices),
        affinity=_affinity_digest(text),
        **common,
    )


def _parse_object(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        raise refusals.refused(
            "bad_body", "the body must be a JSON object; send one", 400
        )
    return fields


def _typed_field(fields, name, kind, default):
    value = fields.get(name)
    if value is None:
        return default
    is_bool_for_int = kind is int and isinstance(value, bool)
    if not isinstance(value, kind) or is_bool_for_int:
        raise refusals.refused(
            "bad_body", f"{name} must be of type {kind.__name__}", 400
        )
    return value


def _service_of_model(declaration, name):
    adapter = declaration.adapters.get(name)
    model = declaration.models.get(adapter.base if adapter else name)
    if model is None:
        raise refusals.refused(
            "model_not_found",
            f"there is no model {name[:80]!r}; GET /v1/models lists them",
            404,
        )
    return declaration.services[model.service]


def _prompt_text(fields):
    texts = []
    messages = fields.get("messages")
    if isinstance(messages, list):
        for message in messages:
            content = message.get("content") if _is_object(message) else None
            texts.append("\0" * (TOKENS_PER_MESSAGE * CHARS_PER_TOKEN))
            texts.extend(_content_texts(content))
    texts.extend(_content_texts(fields.get("prompt")))
    return "".join(texts)


def _content_texts(content):
    if isinstance(content, str):
        return [content]
    if not isinstance(content, list):
        return []
    texts = [
        part.get("text") if _is_object(part) else part for part in content
    ]
    return [text for text in texts if isinstance(text, str)]


def _is_object(value):
    return isinstance(value, dict)


def _affinity_digest(text):
    data = text[:AFFINITY_PREFIX_CHARS].encode("utf-8", "replace")
    return hashlib.blake2b(data, digest_size=AFFINITY_DIGEST_BYTES).hexdigest()
