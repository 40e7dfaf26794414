"""OpenAI's published shapes of replies and errors."""

import json
import time

__all__ = ["Shape", "error"]

MARK = "@token@"
DONE = b"data: [DONE]\n\n"


def error(message, code, kind="invalid_request_error"):
    """Return the body of an error."""
    return {
        "error": {
            "message": message,
            "type": kind,
            "param": None,
            "code": code,
        }
    }


class Shape:
    """Bodies and chunks of one reply.

    Parameters
    ----------
    body : dict
        The request.
    name : str
        Name of the reply.
    """

    def __init__(self, body, name):
        self.chat = "messages" in body
        self.usage = bool(
            (body.get("stream_options") or {}).get("include_usage")
        )
        prefix = "chatcmpl" if self.chat else "cmpl"
        self.head = {
            "id": f"{prefix}-{name}",
            "created": int(time.time()),
            "model": body["model"],
        }
        # Tokens are plain words, which need no escapes in JSON.
        chunk = self._chunk({"content": MARK}, None)
        self.before, self.after = chunk.split(MARK.encode())

    def whole(self, answer):
        """Return the JSON of a whole reply."""
        kind = "chat.completion" if self.chat else "text_completion"
        choice = {
            "index": 0,
            "logprobs": None,
            "finish_reason": answer.finish,
        }
        if self.chat:
            choice["message"] = {
                "role": "assistant",
                "content": answer.text,
                "refusal": None,
            }
        else:
            choice["text"] = answer.text
        return {
            **self.head,
            "object": kind,
            "choices": [choice],
            "usage": answer.usage,
        }

    def first(self):
        """Return the chunk before the first token, empty for none."""
        if not self.chat:
            return b""
        return self._chunk({"role": "assistant", "content": ""}, None)

    def token(self, token):
        """Return the chunk of one token."""
        return self.before + token.encode() + self.after

    def last(self, answer):
        """Return the chunks after the last token, but for the end mark."""
        data = self._chunk({}, answer.finish)
        if self.usage:
            data += self._event([], answer.usage)
        return data

    def _chunk(self, delta, finish):
        choice = {"index": 0, "logprobs": None, "finish_reason": finish}
        if self.chat:
            choice["delta"] = delta
        else:
            choice["text"] = delta.get("content", "")
        return self._event([choice], None)

    def _event(self, choices, usage):
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        body = {**self.head, "object": kind, "choices": choices}
        if self.usage:
            body["usage"] = usage
        return f"data: {json.dumps(body)}\n\n".encode()
