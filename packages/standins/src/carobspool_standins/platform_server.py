"""Stand-in of a server on the users' platform: signed answers, numbered events, and odd bytes.

What it does with a request is a function of the test, written on the raw connection, so that late
second answers, cut streams and bytes that are no answer can be played exactly.

A server can start again under its id and address: after a crash, whose connections are reset, or
after it was cut off, when its connections stay open and say nothing more.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11

from carobspool_standins._platform_server_start import RESET_ON_CLOSE, ServerStart


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A request as the server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    started: int = 0
    """The start of the server that has read it."""

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("request-id", "")


class ServerConnection:
    """The connection of one request, for the function that answers it."""

    def __init__(self, sock: socket.socket, start: ServerStart) -> None:
        self._socket = sock
        self._start = start
        self.closed = False

    def send(self, data: bytes) -> None:
        """Send raw bytes; a peer that has gone is no error."""
        self._start.send(self._socket, data)

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
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
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
        address: Where callers reach it; where it listens, unless a test puts a relay between.
        behave: What it does with a request.
        started: Unix milliseconds of its start; 0 is a server that does not tell it.
        seen: Requests in the order of their arrival, of all its starts.
    """

    instance: str
    address: tuple[str, int]
    behave: Behaviour
    started: int
    seen: list[ServedRequest] = field(default_factory=list)
    connections: int = 0
    _start: ServerStart | None = None
    _cut_off: list[ServerStart] = field(default_factory=list)

    def registration(self, service: str, *, state: str = "ready", zone: str = "z1") -> object:
        """Return its entry in the list of servers."""
        entry: dict[str, object] = {
            "service": service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.started:
            entry["born"] = self.started
        return entry

    def start(self) -> None:
        """Start to listen; again under the same id and address after a crash or a cut."""
        if self._start is None:
            self._start = ServerStart(self.started, self.address)
            self.address = self._start.address
        else:
            # Later than before, whatever the time of day has done meanwhile.
            self.started = max(self.started + 1, int(time.time() * 1000))
            self._start = ServerStart(self.started, self._start.address)
        start = self._start
        threading.Thread(target=_accept, args=(self, start), daemon=True).start()

    def crash(self) -> None:
        """End at once; open connections are reset and new ones refused."""
        start = self._current()
        start.stop_listening()
        start.reset_all()

    def cut_off(self) -> None:
        """Say nothing more on any connection and accept none; nobody is told."""
        start = self._current()
        start.hold()
        start.stop_listening()
        self._cut_off.append(start)

    def deliver_late(self) -> None:
        """Send what starts that were cut off have answered meanwhile."""
        for start in self._cut_off:
            start.deliver()
        self._cut_off.clear()

    def close(self) -> None:
        """Stop to listen."""
        self._current().stop_listening()

    def _current(self) -> ServerStart:
        assert self._start is not None, "not started"
        return self._start


@contextmanager
def serve_platform_server(
    instance: str, behave: Behaviour, *, started: int | None = None
) -> Iterator[PlatformServer]:
    """Run a server on loopback.

    Args:
        instance: Its id.
        behave: What it does with a request.
        started: Unix milliseconds of its first start; now by default, 0 to tell none.
    """
    first = int(time.time() * 1000) if started is None else started
    server = PlatformServer(instance, ("127.0.0.1", 0), behave, first)
    server.start()
    try:
        yield server
    finally:
        server.close()


def _accept(server: PlatformServer, start: ServerStart) -> None:
    while True:
        try:
            sock, _ = start.listener.accept()
        except OSError:
            return
        server.connections += 1
        start.add(sock)
        threading.Thread(target=_serve, args=(server, start, sock), daemon=True).start()


def _serve(server: PlatformServer, start: ServerStart, sock: socket.socket) -> None:
    http = h11.Connection(h11.SERVER)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while True:
        request = _read(http, sock, start.started)
        if request is None:
            sock.close()
            return
        server.seen.append(request)
        connection = ServerConnection(sock, start)
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


def _read(http: h11.Connection, sock: socket.socket, started: int) -> ServedRequest | None:
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
            return ServedRequest(head.method.decode(), head.target.decode(), headers, body, started)
        else:
            return None
