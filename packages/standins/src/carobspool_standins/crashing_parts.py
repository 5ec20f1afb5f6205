"""Requests with a part in their prompts that crashes a server as it begins to answer them."""

from __future__ import annotations

import time
from collections.abc import Callable

from carobspool_standins.platform_server import RequestHandler, ServedRequest, ServerConnection

BEGIN_S = 0.05
"""Time from the arrival of a request to its first token."""


def shared_parts(request: ServedRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt without the last, its own one."""
    pieces = request.headers.get("prompt-prefix", "").split(",")[:-1]
    return [piece.partition(":")[0] for piece in pieces]


def crash_on_part(
    part: str, serve: RequestHandler, crash: Callable[[], None], *, streams: bool
) -> RequestHandler:
    """Return a handler that crashes its server on each request with a part.

    The server crashes once it has sent the head of its answer and, of a stream, a part of the first
    event. A server that has crashed sends nothing more.

    Args:
        part: Id of the part.
        serve: Handles the other requests.
        crash: Crashes the server.
        streams: Whether answers are event streams.
    """

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        if part not in shared_parts(request):
            serve(request, connection)
            return
        time.sleep(BEGIN_S)
        if streams:
            connection.send_stream_headers(request)
            connection.send_chunk(b"id: 1\nda")
        else:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n"
            connection.send(head.encode() + b"Content-Length: 100\r\n\r\nbeg")
        crash()

    return handle_request
