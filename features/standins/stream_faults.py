"""Streams of events that a worker spoils, as bytes on its connection."""

import trio

__all__ = ["FAULTS", "send"]

EVENT_STREAM = "text/event-stream"
ERROR_REPLY = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 10\r\n\r\noverloaded"
)


def event(number):
    """Return an event."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


def chunk(data):
    """Return data as a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


# Status, type, framing and body, by the number of the first event.
FAULTS = {
    "no_content": lambda first: ("204 No Content", "", "", b""),
    "other_type": lambda first: (
        "200 OK",
        "application/json",
        "Content-Length: 25",
        b'{"error": "overloaded"}\n\n',
    ),
    "unnumbered": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "Content-Length: 32",
        b"event: error\ndata: overloaded\n\n\n",
    ),
    "error_inside": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "",
        event(first) + ERROR_REPLY + b"\n\n",
    ),
    "partial": lambda first: (
        "206 Partial Content",
        EVENT_STREAM,
        "Transfer-Encoding: chunked",
        chunk(b"".join(event(n) for n in range(first, 7))) + chunk(b""),
    ),
    "empty_unframed": lambda first: ("200 OK", EVENT_STREAM, "", b""),
    "restart": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "Transfer-Encoding: chunked",
        chunk(b"".join(event(n) for n in range(1, 7))) + chunk(b""),
    ),
    "bad_chunk": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "Transfer-Encoding: chunked",
        chunk(event(1) + event(2)) + chunk(event(3)) + b"no chunk\r\n",
    ),
    "skip_in_chunk": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "Transfer-Encoding: chunked",
        chunk(event(1) + event(2) + event(4)),
    ),
    "hang_in_event": lambda first: (
        "200 OK",
        EVENT_STREAM,
        "Transfer-Encoding: chunked",
        chunk(event(1)[:-3]),
    ),
}
HANGING = ("hang_in_event",)


async def send(exchange, headers, fault, first):
    """Send the reply that a fault spoils, and close the connection.

    Parameters
    ----------
    exchange : features.standins.server.Exchange
    headers : sequence of (str, str)
    fault : str
        One of `FAULTS`.
    first : int
        Number of the first event that is asked for.
    """
    status, kind, framing, body = FAULTS[fault](first)
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers)]
    if kind:
        lines.append(f"Content-Type: {kind}")
    if framing:
        lines.append(framing)
    # One write, so that the reader finds the fault together with the events.
    await exchange.raw("\r\n".join([*lines, "", ""]).encode() + body)
    if fault in HANGING:
        await trio.sleep_forever()
    exchange.finish()
