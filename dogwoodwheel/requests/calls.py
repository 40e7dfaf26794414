"""What a caller asks for, read and checked."""

import dataclasses
import hashlib
import json

from dogwoodwheel.requests import refusals

__all__ = ["Call", "ModelCall", "PlainCall", "priority_of", "read_model_call"]

CHARS_PER_TOKEN = 4
MESSAGE_TOKENS = 4
AFFINITY_CHARS = 2048
AFFINITY_BYTES = 8
PRIORITY_HEADER = b"x-priority"
DEFAULT_PRIORITY = "normal"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request, as far as it was read.

    Parameters
    ----------
    id : str
        Request id.
    service : dogwoodwheel.declaration.model.Service
    customer : str
        Empty on a route open to all.
    authorization : str
        Value of the header, to be checked again before dispatch.
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
    """A request to a model; running it again is harmless.

    Parameters
    ----------
    model : str
        Model or adapter.
    path : str
    stream : bool
    single : bool
        Whether it asks for one answer, not several beside each other.
    prompt : int
        Estimated tokens of the prompt.
    limit : int
        Tokens that the caller allows for the output; 0 where unsaid.
    affinity : str
        Digest of the prompt's beginning.
    """

    model: str
    path: str
    stream: bool
    single: bool
    prompt: int
    limit: int
    affinity: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainCall(Call):
    """A call of a plain service.

    Parameters
    ----------
    method : str
    path : str
        Decoded path below the service's name.
    target : bytes
        Path and query as they go on the wire.
    headers : tuple of (bytes, bytes)
        Headers that go on.
    once : bool
        Whether it must not be repeated.
    key : str
        The caller's ``Idempotency-Key``; empty for none.
    """

    method: str
    path: str
    target: bytes
    headers: tuple
    once: bool
    key: str = ""


def priority_of(headers, declaration, customer):
    """Return the name of a request's priority class.

    Parameters
    ----------
    headers : dict of bytes to bytes
        ``X-Priority`` names a class.
    declaration : dogwoodwheel.declaration.model.Declaration
    customer : dogwoodwheel.declaration.model.Customer or None

    Raises
    ------
    RefusedError
        If there is no such class.
    """
    given = headers.get(PRIORITY_HEADER)
    if given is None:
        return customer.priority if customer else DEFAULT_PRIORITY
    name = given.decode("latin-1")
    if name not in declaration.classes:
        known = ", ".join(sorted(declaration.classes))
        raise refusals.refused(
            "bad_priority", f"X-Priority must be one of {known}", 400
        )
    return name


def read_model_call(declaration, path, body, **common):
    """Return the `ModelCall` of a body in OpenAI's shape.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.model.Declaration
    path : str
    body : bytes
    common
        The fields of `Call`, but for ``service``, ``deadline`` and
        ``body``; ``deadline_of`` makes a deadline for a service.

    Raises
    ------
    RefusedError
        If the body is malformed or names no declared model.
    """
    fields = _fields(body)
    name = _field(fields, "model", str, "")
    service = _service_of(declaration, name)
    choices = _field(fields, "n", int, 1)
    limit = _field(fields, "max_completion_tokens", int, 0)
    limit = limit or _field(fields, "max_tokens", int, 0)
    text = _prompt_text(fields)
    deadline_of = common.pop("deadline_of")
    return ModelCall(
        service=service,
        deadline=deadline_of(service),
        body=body,
        model=name,
        path=path,
        stream=_field(fields, "stream", bool, False),
        single=choices == 1,
        prompt=max(1, len(text) // CHARS_PER_TOKEN),
        limit=max(0, limit) * max(1, choices),
        affinity=_affinity(text),
        **common,
    )


def _fields(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        raise refusals.refused(
            "bad_body", "the body must be a JSON object; send one", 400
        )
    return fields


def _field(fields, name, kind, default):
    value = fields.get(name)
    if value is None:
        return default
    wrong_bool = kind is int and isinstance(value, bool)
    if not isinstance(value, kind) or wrong_bool:
        raise refusals.refused(
            "bad_body", f"{name} must be of type {kind.__name__}", 400
        )
    return value


def _service_of(declaration, name):
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
    parts = []
    messages = fields.get("messages")
    if isinstance(messages, list):
        for message in messages:
            content = message.get("content") if _is_map(message) else None
            parts.append("\0" * (MESSAGE_TOKENS * CHARS_PER_TOKEN))
            parts.extend(_texts(content))
    parts.extend(_texts(fields.get("prompt")))
    return "".join(parts)


def _texts(content):
    if isinstance(content, str):
        return [content]
    if not isinstance(content, list):
        return []
    texts = [part.get("text") if _is_map(part) else part for part in content]
    return [text for text in texts if isinstance(text, str)]


def _is_map(value):
    return isinstance(value, dict)


def _affinity(text):
    data = text[:AFFINITY_CHARS].encode("utf-8", "replace")
    return hashlib.blake2b(data, digest_size=AFFINITY_BYTES).hexdigest()
