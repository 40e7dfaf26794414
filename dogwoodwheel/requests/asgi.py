"""Functions for ASGI events, used by several applications."""

__all__ = ["send_response"]


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
