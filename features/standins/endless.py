"""Answers of a worker that have no end, as bytes on its connection."""

import contextlib

import trio

__all__ = ["FAULTS", "send"]

WRITE_BYTES = 0x8000
OK = b"HTTP/1.1 200 OK\r\n(headers)"
FAILURE = b"HTTP/1.1 500 Internal Server Error\r\n(headers)"
PLAIN = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = b"Content-Type: text/event-stream\r\n" + PLAIN


def chunks(data):
    """Return as many chunks of data as one write holds."""
    chunk = b"%x\r\n%s\r\n" % (len(data), data)
    return chunk * (WRITE_BYTES // len(chunk))


# What is sent first, and then again and again; nothing more if that is empty.
FAULTS = {
    "held_body": (OK + PLAIN + 120 * chunks(0x7000 * b"x"), b""),
    "held_event": (OK + STREAM + 33 * chunks(0x7000 * b"x"), b""),
    "endless_head": (OK, b"X-Fill: " + 1000 * b"x" + b"\r\n"),
    "endless_interim": (b"", 20 * b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless_body": (OK + PLAIN, chunks(0x7000 * b"x")),
    "endless_tiny": (OK + PLAIN, chunks(b"x")),
    "endless_failure": (FAILURE + PLAIN, chunks(b"x")),
    "endless_event": (OK + STREAM, chunks(32 * b"x")),
    "endless_tiny_event": (OK + STREAM, chunks(b"x")),
    "endless_comments": (OK + STREAM, chunks(b":\n\n")),
    "endless_comment_block": (OK + STREAM, chunks(0x1000 * b":\n\n")),
    "endless_lines": (OK + STREAM, chunks(b"data: x\n")),
}


async def send(exchange, headers, fault):
    """Send an answer that has no end until the caller closes.

    Parameters
    ----------
    exchange : features.standins.server.Exchange
    headers : list of (str, str)
    fault : str
        One of `FAULTS`.
    """
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers)
    start, piece = FAULTS[fault]
    await exchange.raw(start.replace(b"(headers)", lines.encode()))
    with contextlib.suppress(trio.BrokenResourceError):
        while piece:
            await exchange.raw(piece)
        await trio.sleep_forever()
