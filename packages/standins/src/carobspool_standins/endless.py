"""Stand-in for a faulty process that answers with bytes without end until its caller closes."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

PIECES_AT_ONCE = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\ncarobspool-request: r\r\n"
ENDLESS_ANSWERS = {
    "no HTTP": (b"", b"x"),
    "no HTTP, lines": (b"", b"x\r\n"),
    "header": (HEAD + b"a: ", b"x"),
    "headers": (HEAD, b"a: b\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nxxxx\r\n"),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4;", b"x"),
    "trailer": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
    "body": (HEAD + b"\r\n", b"x"),
    "long body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x"),
}
"""Answers without end: how each begins, and the bytes that follow again and again."""


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


def reset_peak_memory_kb() -> int:
    """Let the peak of this process's memory count from now, and return it."""
    Path("/proc/self/clear_refs").write_text("5")
    return peak_memory_kb()


def peak_memory_kb() -> int:
    """Return the peak of this process's memory."""
    status = Path("/proc/self/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])
