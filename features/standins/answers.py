"""The one right answer to each request, for engine and test alike."""

import dataclasses
import hashlib
import re

__all__ = ["Answer", "expected", "prompt_of"]

ASKED = re.compile(r"tokens=(\d+)")
LEAST_TOKENS = 4
SPREAD_TOKENS = 13
CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer.

    Parameters
    ----------
    tokens : tuple of str
        The parts of the text, in order.
    prompt_tokens : int
    finish : str
        ``stop``, or ``length`` where the caller's limit cut it.
    """

    tokens: tuple
    prompt_tokens: int
    finish: str

    @property
    def text(self):
        """The whole text."""
        return "".join(self.tokens)

    @property
    def usage(self):
        """Token counts in OpenAI's shape."""
        count = len(self.tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count,
        }


def prompt_of(body):
    """Return the whole prompt of a chat or completion body."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    return "\n".join(
        f"{message['role']}: {_content(message['content'])}"
        for message in body["messages"]
    )


def expected(body):
    """Return the `Answer` to a chat or completion body.

    Notes
    -----
    A prompt that has ``tokens=N`` in it is answered by N tokens.

    Examples
    --------
    >>> answer = expected({"model": "m", "prompt": "tokens=3"})
    >>> len(answer.tokens), answer.finish
    (3, 'stop')
    """
    prompt = prompt_of(body)
    seed = hashlib.sha256(f"{body['model']}\0{prompt}".encode()).digest()
    count = _count(prompt, seed)
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    kept = count if limit is None else min(count, limit)
    word = seed[:4].hex()
    return Answer(
        tokens=tuple(f"{word}-{index} " for index in range(kept)),
        prompt_tokens=max(1, len(prompt) // CHARS_PER_TOKEN),
        finish="stop" if kept == count else "length",
    )


def _content(content):
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content or ())


def _count(prompt, seed):
    asked = ASKED.findall(prompt)
    if asked:
        return int(asked[-1])
    return LEAST_TOKENS + seed[4] % SPREAD_TOKENS
