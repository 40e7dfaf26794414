"""What callers send during a random run, and what they got."""

import dataclasses
import random
import threading
import uuid

from features import builders
from features.standins import caller

__all__ = ["Sent", "Traffic"]

CHAT = "/v1/chat/completions"
ORDERS = "/services/shop/orders"
CALLS = "/services/shop/calls"
DEADLINE_S = 6.0
KINDS = ("chat", "stream", "order", "call", "call")


@dataclasses.dataclass(frozen=True)
class Sent:
    """One request and its reply.

    Parameters
    ----------
    kind : str
        ``chat``, ``stream``, ``order`` or ``call``.
    request : str
        Its id.
    key : str
        Name of the key.
    body : dict
    reply : features.standins.caller.Reply
    """

    kind: str
    request: str
    key: str
    body: dict
    reply: caller.Reply


class Traffic:
    """Sends requests of every kind, drawn by a seed.

    Parameters
    ----------
    entries : list of features.standins.machines.Entry
    models : sequence of str
    keys : sequence of str
    seed : int
    """

    def __init__(self, entries, models, keys, seed):
        self.entries = entries
        self.models = models
        self.keys = keys
        self.seed = seed
        self.orders = {}
        self._lock = threading.Lock()

    def send(self, index):
        """Send the request of an index and return what came of it."""
        rng = random.Random(self.seed * 1_000_003 + index)
        kind = rng.choice(KINDS)
        key = rng.choice(self.keys)
        entry = rng.choice(self.entries)
        request = uuid.UUID(int=rng.getrandbits(128)).hex
        headers = {
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        who = entry.caller(builders.key_of(key), timeout_s=30.0)
        path, body = self._what(kind, key, index, rng, headers)
        reply = who.request("POST", path, body, headers)
        return Sent(kind, request, key, body, reply)

    def _what(self, kind, key, index, rng, headers):
        if kind in ("chat", "stream"):
            prompt = f"note {index} tokens={rng.randint(3, 60)}"
            model = rng.choice(self.models)
            body = caller.chat_body(model, prompt, stream=kind == "stream")
            return CHAT, body
        if kind == "call":
            return CALLS, {"call": str(index)}
        # An idempotency key counts within its customer only.
        customer = "small" if key == "small" else "frost"
        number = self._number(customer, index, rng)
        headers["Idempotency-Key"] = f"order-{number}"
        return ORDERS, {"order": f"{customer}-{number}"}

    def _number(self, customer, index, rng):
        """Return the number of an order: new, or that of an earlier one."""
        with self._lock:
            known = self.orders.setdefault(customer, [])
            if known and rng.random() < 0.5:
                return rng.choice(known)
            known.append(index)
            return index
