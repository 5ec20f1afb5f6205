"""Stand-in for a faulty process that answers with bytes without end until its caller closes."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

PIECES_AT_ONCE = 65_536


@dataclass(slots=True)
class EndlessServer:
    """A running server.

    Attributes:
        address: Address that callers connect to.
        sent: Bytes that were sent on all connections.
    """

    address: tuple[str, int]
    sent: int = 0


@contextmanager
def serve_endless(begin: bytes, piece: bytes) -> Iterator[EndlessServer]:
    """Answer each request on loopback with ``begin``, then with ``piece`` again and again."""
    listener = socket.create_server(("127.0.0.1", 0))
    server = EndlessServer(listener.getsockname())
    data = piece * max(1, PIECES_AT_ONCE // len(piece))

    def write(sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            sock.recv(PIECES_AT_ONCE)
            sock.sendall(begin)
            while True:
                sock.sendall(data)
                server.sent += len(data)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=write, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield server
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
