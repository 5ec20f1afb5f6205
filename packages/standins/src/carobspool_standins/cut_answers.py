"""Stand-in for a server that stops inside an answer and closes or resets its connection."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)\r\n", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """An answer and where it stops.

    Attributes:
        data: The answer's bytes, with its head.
        sent: Number of bytes that are sent before the connection ends; ``None`` sends all and keeps
            the connection open.
        reset: Whether the connection is reset, not closed.
    """

    data: bytes
    sent: int | None = None
    reset: bool = False


@dataclass(frozen=True, slots=True)
class AnswerForm:
    """An answer as its server spells it.

    Attributes:
        data: The answer's bytes, with its head.
        is_open: Whether the body ends with the connection, so that its caller cannot tell that a
            closed connection has cut it.
        head: Number of bytes before the body, those of interim answers among them.
    """

    data: bytes
    head: int
    is_open: bool = False

    def cuts(self) -> Iterator[CutAnswer]:
        """Yield the answer cut after every byte of it, closed and reset."""
        for sent in range(len(self.data)):
            yield CutAnswer(self.data, sent, reset=True)
            yield CutAnswer(self.data, sent)
        if self.is_open:
            yield CutAnswer(self.data, len(self.data), reset=True)


def answer_forms(
    body: bytes, headers: bytes = b"", status: bytes = b"200 OK"
) -> dict[str, AnswerForm]:
    """Return an answer in each way in which servers frame one.

    Args:
        body: The body; not empty.
        headers: Further header lines, each with its line end.
        status: Status code and reason.
    """
    first = b"HTTP/1.1 " + status + b"\r\n" + headers
    length = b"Content-Length: %d\r\n" % len(body)
    half = len(body) // 2
    chunks = b"".join(
        b"%x%b\r\n%b\r\n" % (len(part), extension, part)
        for part, extension in ((body[:half], b""), (body[half:], b";a=b"))
        if part
    )
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    old = first.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    folded = b"Folded: a,\r\n b\r\n"
    return {
        "length": _form(first + length + b"\r\n", body),
        "length first": _form(first.replace(b"\r\n", b"\r\n" + length, 1) + b"\r\n", body),
        "chunks": _form(first + chunked, chunks + b"0\r\n\r\n"),
        "trailers": _form(first + chunked, chunks + b"0\r\nA: b\r\nC: d\r\n\r\n"),
        "open": _form(first + b"\r\n", body, is_open=True),
        "HTTP/1.0": _form(old + length + b"\r\n", body),
        "HTTP/1.0, open": _form(old + b"\r\n", body, is_open=True),
        "folded": _form(first + folded + length + b"\r\n", body),
        "line feeds": _form((first + length + b"\r\n").replace(b"\r\n", b"\n"), body),
        "interim": _form(INTERIM + first + length + b"\r\n", body),
        "two interim": _form(INTERIM * 2 + first + chunked, chunks + b"0\r\n\r\n"),
    }


def _form(head: bytes, body: bytes, *, is_open: bool = False) -> AnswerForm:
    return AnswerForm(head + body, len(head), is_open)


AnswerChoice = Callable[[bytes, int], CutAnswer]
"""Returns the answer to a request, given its head and its number on its connection, from 1."""


@dataclass(slots=True)
class CutServer:
    """A running server.

    Attributes:
        address: Address that callers connect to.
        choose: Chooses the answers; may be replaced while the server runs.
        requests: Number of requests that were read as a whole.
        connections: Number of connections that were accepted.
    """

    address: tuple[str, int]
    choose: AnswerChoice
    requests: int = 0
    connections: int = 0

    @property
    def url(self) -> str:
        """Base URL, without a slash at its end."""
        return "http://{}:{}".format(*self.address)


@contextmanager
def serve_cut_answers(choose: AnswerChoice) -> Iterator[CutServer]:
    """Answer requests on loopback as ``choose`` says."""
    listener = socket.create_server(("127.0.0.1", 0))
    server = CutServer(listener.getsockname(), choose)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                server.connections += 1
                threading.Thread(target=_serve, args=(server, sock), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield server
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def _serve(server: CutServer, sock: socket.socket) -> None:
    rest = b""
    number = 0
    with contextlib.suppress(OSError), sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            request = _read_request(sock, rest)
            if request is None:
                return
            head, rest = request
            server.requests += 1
            number += 1
            answer = server.choose(head, number)
            sock.sendall(answer.data[: answer.sent])
            if answer.sent is None:
                continue
            if answer.reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return


def _read_request(sock: socket.socket, received: bytes) -> tuple[bytes, bytes] | None:
    """Read a request with a length or no body; return its head and the bytes after it."""
    while b"\r\n\r\n" not in received:
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        received += data
    head, _, rest = received.partition(b"\r\n\r\n")
    length = _LENGTH.search(head + b"\r\n")
    left = int(length.group(1)) if length is not None else 0
    while len(rest) < left:
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        rest += data
    return head, rest[left:]
