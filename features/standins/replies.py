"""Replies of a stand-in engine, whole or streamed, with their faults."""

import dataclasses
import itertools
import json

import trio

from features.standins import answers
from features.standins import shapes

__all__ = ["Reply"]

OK = 200
OTHER = {"model": "other", "prompt": "another request tokens=7"}


@dataclasses.dataclass
class Reply:
    """The reply to one request.

    Parameters
    ----------
    exchange : features.standins.server.Exchange
    body : dict
    request_id : str
    fault : features.standins.faults.Fault
    pace : callable
        Returns the seconds of one token now.
    on_token : callable
        Called at each token.
    on_end : callable
        Called when the work has ended, before the last bytes leave.
    begin : int
        Token to begin with.
    """

    exchange: object
    body: dict
    request_id: str
    fault: object
    pace: object
    on_token: object
    on_end: object
    begin: int = 0

    async def send(self):
        """Generate and send it."""
        if self.fault.kind == "late":
            await trio.sleep(self.fault.delay_s)
        if self.fault.kind == "crossed":
            self._cross()
        self.answer = answers.expected(self.body)
        self.shape = shapes.Shape(self.body, self.request_id or "none")
        if self.body.get("stream"):
            await self._stream()
        else:
            await self._whole()

    def _cross(self):
        stream = self.body.get("stream")
        chat = "messages" in self.body
        self.body = {**OTHER, "stream": stream}
        if chat:
            message = {"role": "user", "content": OTHER["prompt"]}
            self.body["messages"] = [message]
        self.request_id = "other-request"

    def _headers(self, kind):
        return [("content-type", kind), ("x-request-id", self.request_id)]

    async def _tokens(self):
        for index in itertools.count(self.begin):
            if self.fault.kind != "endless":
                if index >= len(self.answer.tokens):
                    return
            if self._at_fault(index) and self.fault.kind == "stall":
                await trio.sleep_forever()
            await trio.sleep(self.pace())
            self.on_token()
            if index < len(self.answer.tokens):
                yield self.answer.tokens[index]
            else:
                yield f"more-{index} "

    def _at_fault(self, index):
        return index - self.begin >= self.fault.tokens

    async def _whole(self):
        sent = 0
        async for _ in self._tokens():
            sent += 1
            if self.fault.kind == "broken" and sent >= self.fault.tokens:
                self.exchange.cut()
                return
        self.on_end()
        if self.fault.kind == "close_after":
            self.exchange.cut()
            return
        data = json.dumps(self.shape.whole(self.answer)).encode()
        headers = self._headers("application/json")
        headers.append(("content-length", str(len(data))))
        await self.exchange.start(OK, headers)
        if self.fault.kind == "short":
            await self.exchange.data(data[: len(data) // 2])
            await self.exchange.conn.stream.aclose()
            return
        await self.exchange.data(data)
        await self.exchange.end()
        if self.fault.kind == "duplicated":
            await self.exchange.raw(_bytes(headers, data))

    async def _stream(self):
        headers = self._headers("text/event-stream")
        if self.begin:
            headers.append(("x-resumed-from", str(self.begin)))
        await self.exchange.start(OK, headers)
        first = self.shape.first() if self.begin == 0 else b""
        if first:
            await self.exchange.data(first)
        sent = []
        async for token in self._tokens():
            sent.append(self.shape.token(token))
            await self.exchange.data(sent[-1])
            if self._breaks(len(sent)):
                self.exchange.cut()
                return
        await self._finish(first + b"".join(sent))

    def _breaks(self, sent):
        if self.fault.kind == "broken":
            return sent >= self.fault.tokens
        if self.fault.kind == "short":
            return sent >= (len(self.answer.tokens) + 1) // 2
        return False

    async def _finish(self, sent):
        last = self.shape.last(self.answer)
        if self.fault.kind != "no_done":
            last += shapes.DONE
        self.on_end()
        if self.fault.kind == "close_after":
            self.exchange.cut()
            return
        await self.exchange.data(last)
        await self.exchange.end()
        if self.fault.kind == "duplicated":
            headers = self._headers("text/event-stream")
            data = sent + last
            headers.append(("content-length", str(len(data))))
            await self.exchange.raw(_bytes(headers, data))


def _bytes(headers, data):
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines + ["", ""]).encode() + data
