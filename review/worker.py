"""Stand-in of a worker, one process, as the operators' pages describe it.

Notes
-----
Serves streams of numbered events for the models that it holds, and plain
answers.  Signals steer it: SIGUSR1 makes it say in all its answers that it
leaves; SIGUSR2 and SIGHUP begin and end a time in which some of its answers
have no length, or no end, as its options say; SIGKILL is its end.  What it
runs is written to a file at once, one JSON object a line.
"""

import argparse
import asyncio
import json
import signal
import time

HEAD_LIMIT = 1 << 20
UNLOAD_S = 0.02
# Half of an event of the operators' sheets.
ENDLESS_CHUNK_BYTES = 32


class Worker:
    """The state of one worker.

    Parameters
    ----------
    args : argparse.Namespace
    """

    def __init__(self, args):
        self.args = args
        self.models = {name for name in args.models.split(",") if name}
        self.busy = False
        self.accepted = 0
        self.token = 0
        self.running = 0
        self.answers = 0
        self.leaving = False
        self.is_odd = False
        self.record_file = open(args.record, "a", buffering=1)

    def record(self, **fields):
        """Write what has happened."""
        fields = {"worker": self.args.name, "at": time.time(), **fields}
        self.record_file.write(json.dumps(fields) + "\n")

    def notices(self):
        """Return the headers that every answer has."""
        load = f"{self.running},0,{self.args.slots}"
        notices = [f"X-Instance-Load: {load}"]
        if self.leaving:
            notices.append("Server-Leaving: 1")
        return notices

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        """Serve one request; return whether the connection goes on."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        expected = headers.get("x-expect-instance", self.args.name)
        if expected != self.args.name:
            await self.reply(writer, "421 Misdirected Request", {})
        elif path == "/api/report":
            await self.reply(writer, "200 OK", self.report())
        elif path == "/api/order":
            status = self.take_order(json.loads(body))
            await self.reply(writer, f"{status} Order", {})
        elif path == "/health":
            status = "503 Leaving" if self.leaving else "200 OK"
            await self.reply(writer, status, {})
        else:
            return await self.run(method, path, headers, reader, writer)
        return True

    async def reply(self, writer, status, body, headers=()):
        """Send a whole answer with a length."""
        data = json.dumps(body).encode()
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Instance-Id: {self.args.name}",
            "Content-Type: application/json",
            f"Content-Length: {len(data)}",
            *headers,
            *self.notices(),
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()

    def report(self):
        """Return the state of the engine."""
        return {
            "stage": "colocated",
            "models": [
                {"name": name, "version": 1, "adapters": []}
                for name in sorted(self.models)
            ],
            "busy": self.busy,
            "sequence": self.accepted,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvCapacity": 232000,
            "handles": 0,
        }

    def take_order(self, body):
        """Take an order; return the status of the answer."""
        if body["fencingToken"] < self.token:
            return 412
        self.token = body["fencingToken"]
        if self.busy or body.get("expected", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(body))
        return 202

    async def carry_out(self, body):
        """Load or unload a model."""
        is_load = body["operation"] == "load"
        await asyncio.sleep(self.args.load_s if is_load else UNLOAD_S)
        if is_load:
            self.models.add(body["model"])
        else:
            self.models.discard(body["model"])
        self.busy = False

    async def run(self, method, path, headers, reader, writer):
        """Run a request of a client; return whether the connection goes on."""
        request_id = headers.get("x-request-id", "")
        echo = [f"X-Request-Id: {request_id}"]
        model = headers.get("x-model", "")
        if model and model not in self.models:
            await self.reply(writer, "421 Misdirected Request", {}, echo)
            return True
        if self.running >= self.args.slots:
            not_run = [*echo, "X-Not-Executed: 1"]
            await self.reply(writer, "503 Full", {}, not_run)
            return True
        echo.append(f"X-Server-Seal: seal.{self.args.name}")
        self.running += 1
        self.answers += 1
        is_unframed = self.is_one_of(self.args.unframed_every)
        is_endless = self.is_one_of(self.args.endless_every)
        self.record(
            what="run",
            id=request_id,
            method=method,
            path=path,
            resumes_after=headers.get("last-event-id", ""),
            unframed=is_unframed,
            endless=is_endless,
        )
        # A worker drops a request when its connection closes.
        gone = asyncio.ensure_future(reader.read(1))
        answer = asyncio.ensure_future(
            self.answer(model, headers, echo, is_unframed, is_endless, writer)
        )
        try:
            await asyncio.wait(
                (gone, answer), return_when=asyncio.FIRST_COMPLETED
            )
            if not answer.done():
                self.record(what="dropped", id=request_id)
                return False
            answer.result()
            self.record(what="ended", id=request_id, unframed=is_unframed)
            return False
        finally:
            gone.cancel()
            answer.cancel()
            self.running -= 1

    async def send_without_end(self, writer):
        """Send bytes until the caller closes, or the odd time is over."""
        size = ENDLESS_CHUNK_BYTES
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        while self.is_odd:
            writer.write(chunk * 1000)
            await writer.drain()

    def is_one_of(self, every):
        """Return whether the newest answer is one in so many odd ones."""
        return self.is_odd and bool(every) and self.answers % every == 0

    async def answer(
        self, model, headers, echo, is_unframed, is_endless, writer
    ):
        """Send the answer of a request that runs."""
        if model:
            pieces = stream_pieces(headers, self.args.events)
            media_type = "text/event-stream"
        else:
            pieces = plain_pieces(headers.get("x-request-id", ""))
            media_type = "application/json"
        lines = [
            "HTTP/1.1 200 OK",
            f"Content-Type: {media_type}",
            "Connection: close",
            *echo,
            *self.notices(),
        ]
        if not is_unframed:
            lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if is_endless:
            await self.send_without_end(writer)
            return
        for piece in pieces:
            if not is_unframed:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self.args.pace_ms / 1000)
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


def stream_pieces(headers, count):
    """Return the events of a stream, from where the request resumes it."""
    first = int(headers.get("last-event-id") or 0) + 1
    return [event(number) for number in range(first, count + 1)]


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: word-%d\n\n" % (number, number)


def plain_pieces(request_id):
    """Return the pieces of a plain answer, of 800 bytes."""
    body = json.dumps({"id": request_id, "stock": "x" * 760}).encode()
    return [body[:200], body[200:400], body[400:600], body[600:]]


async def main(args):
    """Serve until the process ends."""
    worker = Worker(args)

    def leave():
        worker.leaving = True
        worker.record(what="leaving")

    def set_odd(is_odd):
        worker.is_odd = is_odd
        worker.answers = 0
        worker.record(what="odd time", on=is_odd)

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, leave)
    loop.add_signal_handler(signal.SIGUSR2, set_odd, True)
    loop.add_signal_handler(signal.SIGHUP, set_odd, False)
    host, _, port = args.address.rpartition(":")
    server = await asyncio.start_server(
        worker.serve, host, int(port), limit=HEAD_LIMIT
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--models", default="")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--events", type=int, default=73)
    parser.add_argument("--pace-ms", type=float, default=20.0)
    parser.add_argument("--load-s", type=float, default=6.0)
    # Of the odd time's answers, one in so many has neither a length nor
    # chunks; 0 for none.
    parser.add_argument("--unframed-every", type=int, default=0)
    # The same for answers without end.
    parser.add_argument("--endless-every", type=int, default=0)
    asyncio.run(main(parser.parse_args()))
