"""Functions for ASGI events, used by several applications."""

__all__ = ["serve_lifespan", "send_response"]


async def serve_lifespan(receive, send):
    """Answer lifespan events until the server shuts down.

    Parameters
    ----------
    receive, send : callable
        Functions of the ASGI server.

    Notes
    -----
    The server crashes if an application returns from the lifespan scope
    at once.
    """
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def send_response(send, status, content_type, body, method="GET"):
    """Send a complete response.

    Parameters
    ----------
    send : callable
        Function of the ASGI server.
    status : int
    content_type : str
    body : bytes
    method : str
        Method of the request; a response to ``HEAD`` has no body.
    """
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    body_sent = b"" if method == "HEAD" else body
    await send({"type": "http.response.body", "body": body_sent})
