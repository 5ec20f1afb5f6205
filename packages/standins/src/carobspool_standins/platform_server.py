"""Stand-in of a server on the users' platform: signed answers, numbered events, and odd bytes.

What it does with a request is a function of the test, written on the raw connection, so that late
second answers, cut streams and bytes that are no answer can be played exactly.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A request as the server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("request-id", "")


class ServerConnection:
    """The connection of one request, for the function that answers it."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.closed = False

    def send(self, data: bytes) -> None:
        """Send raw bytes; a peer that has gone is no error."""
        with contextlib.suppress(OSError):
            self._socket.sendall(data)

    def answer(
        self, request: ServedRequest, status: int = 200, body: bytes = b"ok", extra: str = ""
    ) -> None:
        """Send a whole signed answer."""
        self.send(answer_bytes(request.request_id, status, body, extra))

    def not_run(self, request: ServedRequest, status: int = 503) -> None:
        """Say that the request was not run."""
        head = f"HTTP/1.1 {status} No\r\nNot-Executed: 1\r\nRequest-Id: {request.request_id}\r\n"
        self.send(head.encode() + b"Content-Length: 0\r\n\r\n")

    def start_events(self, request: ServedRequest) -> None:
        """Begin a signed stream."""
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n"
        self.send(head.encode() + b"Content-Type: text/event-stream\r\n")
        self.send(b"Transfer-Encoding: chunked\r\n\r\n")

    def event(self, number: int, data: str = "") -> None:
        """Send one whole event."""
        self.chunk(f"id: {number}\ndata: {data or f'piece {number}'}\n\n".encode())

    def chunk(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_events(self) -> None:
        """End a stream as complete."""
        self.send(b"0\r\n\r\n")

    def close(self) -> None:
        """Close the connection in order."""
        self.closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.closed = True
        self._socket.close()

    def peer_left(self, within_s: float) -> bool:
        """Wait for the peer to close; return whether it did."""
        self._socket.settimeout(within_s)
        try:
            return not self._socket.recv(1)
        except TimeoutError:
            return False
        except OSError:
            return True


Behaviour = Callable[[ServedRequest, ServerConnection], None]


def answer_bytes(request_id: str, status: int, body: bytes, extra: str = "") -> bytes:
    """Return a whole signed answer."""
    head = f"HTTP/1.1 {status} Done\r\nRequest-Id: {request_id}\r\nServer-Stamp: s\r\n{extra}"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def stream_events(count: int, *, pause_s: float = 0.0) -> Behaviour:
    """Return a behaviour that streams numbered events and resumes after the last one received."""

    def behave(request: ServedRequest, connection: ServerConnection) -> None:
        connection.start_events(request)
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, count + 1):
            time.sleep(pause_s)
            connection.event(number)
        connection.end_events()

    return behave


@dataclass(slots=True)
class PlatformServer:
    """A running stand-in.

    Attributes:
        instance: Its id.
        address: Where it listens.
        behave: What it does with a request.
        seen: Requests in the order of their arrival.
    """

    instance: str
    address: tuple[str, int]
    behave: Behaviour
    seen: list[ServedRequest] = field(default_factory=list)
    connections: int = 0

    def registration(self, service: str, *, state: str = "ready", zone: str = "z1") -> object:
        """Return its entry in the list of servers."""
        return {
            "service": service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }


@contextmanager
def serve_platform_server(instance: str, behave: Behaviour) -> Iterator[PlatformServer]:
    """Run a server on loopback."""
    listener = socket.create_server(("127.0.0.1", 0))
    server = PlatformServer(instance, listener.getsockname(), behave)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            server.connections += 1
            threading.Thread(target=_serve, args=(server, sock), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield server
    finally:
        # On this system only a shutdown wakes a task that waits in accept.
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def _serve(server: PlatformServer, sock: socket.socket) -> None:
    http = h11.Connection(h11.SERVER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while True:
        request = _read(http, sock)
        if request is None:
            sock.close()
            return
        server.seen.append(request)
        connection = ServerConnection(sock)
        if request.headers.get("expect-instance", server.instance) != server.instance:
            connection.not_run(request, 421)
        else:
            server.behave(request, connection)
        if connection.closed:
            return
        rest = http.trailing_data[0]
        http = h11.Connection(h11.SERVER)
        if rest:
            http.receive_data(rest)


def _read(http: h11.Connection, sock: socket.socket) -> ServedRequest | None:
    head: h11.Request | None = None
    body = b""
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(sock.recv(65_536))
                continue
        except (OSError, h11.RemoteProtocolError):
            return None
        if isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {key.decode().lower(): value.decode() for key, value in head.headers}
            return ServedRequest(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None
