"""Heads of answers without length or chunks that stop on the way."""

__all__ = ["FAULTS", "send"]

# Where the head stops: by name, the text before which it does, and the number
# of bytes of that text that are still sent.
PLACES = {
    "status": (b" 200", 2),
    "name": (b"x-server-seal", 5),
    "value": (b"seal.", 3),
    "line_end": (b"\r\nx-end", 1),
    "last_line": (b"\r\n\r\n", 2),
    "body": (b"\r\n\r\n", 4),
}
# Faults: the place, and whether the connection ends or is reset.
FAULTS = tuple(
    f"head_{place}_{way}" for place in PLACES for way in ("end", "reset")
)


async def send(exchange, headers, fault):
    """Send the part of a head that a fault names, and close."""
    place = fault.removeprefix("head_").rpartition("_")[0]
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers)
    head = f"HTTP/1.1 200 OK\r\n{lines}x-end: 1\r\n\r\n".encode()
    text, count = PLACES[place]
    await exchange.raw(head[: head.index(text) + count])
    if fault.endswith("_reset"):
        exchange.cut()
    else:
        exchange.finish()
