"""Stand-in of an endpoint that writes an earlier refusal once more.

Notes
-----
The first request on each connection is refused or served.  Before the reply
to each further one it writes a refusal again, with the headers given.
"""

import contextlib
import functools

import trio

__all__ = ["serve"]

RECEIVE_BYTES = 65536
REFUSED = "503 Service Unavailable"
SERVED = "200 OK"


def reply(status, headers, body):
    """Return the bytes of a reply.

    Parameters
    ----------
    status : str
        Code and reason.
    headers : sequence of (str, str)
    body : bytes
    """
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


@contextlib.asynccontextmanager
async def serve(first_status, repeat_headers):
    """Return a context manager that serves, and yields the address.

    Parameters
    ----------
    first_status : str
        Of the reply to the first request on each connection.
    repeat_headers : sequence of (str, str)
        Of the refusal that precedes each other reply.
    """
    handle = functools.partial(_serve_connection, first_status, repeat_headers)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        host, port = listener.socket.getsockname()
        yield f"{host}:{port}"
        nursery.cancel_scope.cancel()


async def _serve_connection(first_status, repeat_headers, stream):
    is_first = True
    # The requests have no body, and the client sends one at a time.
    while request := await stream.receive_some(RECEIVE_BYTES):
        own_headers = [
            tuple(line.split(": ", 1))
            for line in request.decode().split("\r\n")
            if line.lower().startswith("x-request-id")
        ]
        data = b""
        if is_first:
            data = reply(first_status, own_headers, b"first")
        else:
            data = reply(REFUSED, repeat_headers, b"again")
            data += reply(SERVED, own_headers, b"own")
        is_first = False
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
