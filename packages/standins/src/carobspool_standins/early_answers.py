"""Stand-in for a server that answers as soon as it has read the head of a request."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADERS = b"Request-Id: r\r\nServer-Stamp: s\r\ncarobspool-request: r\r\nObject-Version: 7\r\n"
OBJECT = b'{"metadata":{"name":"n","revision":7},"spec":"other","status":null}'
ENDS = ("reset", "closed", "shut down, then reset")
END_PAUSE_S = 0.05
Address = tuple[str, int]


@contextmanager
def serve_early_answers(status: bytes, end: str, *, length: bool = False) -> Iterator[Address]:
    """Answer on loopback after the head of each request, and yield the address.

    Args:
        status: Status and reason of the answers.
        end: How the connection ends, one of `ENDS`.
        length: Whether the answers state their length; else they end with the connection.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    framing = b"Content-Length: %d\r\n" % len(OBJECT) if length else b""
    answer = b"HTTP/1.1 " + status + b"\r\n" + HEADERS + framing + b"\r\n" + OBJECT

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            received = b""
            while b"\r\n\r\n" not in received:
                received += sock.recv(1_000)
            sock.sendall(answer)
            if end == "shut down, then reset":
                sock.shutdown(socket.SHUT_WR)
            time.sleep(END_PAUSE_S)
            if end != "closed":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
