"""Stand-in for a server on the users' platform, with signed responses and numbered events.

A test supplies the function that handles requests. It writes to the raw connection, so that it can
reproduce late second responses, cut streams and bytes that are not valid HTTP exactly.

A server can restart with the same id and address: after a crash, which resets its connections, or
after it was isolated, which leaves its connections open but silent.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11

from carobspool_standins._platform_server_start import RESET_ON_CLOSE, ServerStart

REPORT_PATH = "/api/report"


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A request that the server has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    started: int = 0
    """Unix milliseconds of the start of the server that received the request."""
    version: str = "v1"
    """Software version of that start."""

    @property
    def request_id(self) -> str:
        """The request id that the caller has sent, or an empty string."""
        return self.headers.get("request-id", "")


class ServerConnection:
    """The connection of one request, passed to the function that handles the request.

    Attributes:
        closed: Whether the server has closed the connection.
        sent: All bytes that were sent for the request.
    """

    def __init__(self, sock: socket.socket, start: ServerStart) -> None:
        self._socket = sock
        self._start = start
        self.closed = False
        self.sent = bytearray()

    @property
    def socket(self) -> socket.socket:
        """The connection's socket, the same object for all requests on the connection."""
        return self._socket

    @property
    def address(self) -> str:
        """``IP:PORT`` at which the server received the request."""
        return "{}:{}".format(*self._start.address)

    @property
    def server_crashed(self) -> bool:
        """Whether the start that received the request has crashed."""
        return self._start.crashed

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send(self, data: bytes) -> None:
        """Send raw bytes; errors of a closed connection are ignored."""
        self.sent += data
        self._start.send(self._socket, data)

    def send_response(
        self, request: ServedRequest, status: int = 200, body: bytes = b"ok", extra: str = ""
    ) -> None:
        """Send a complete signed response."""
        self.send(signed_response_bytes(request.request_id, status, body, extra))

    def send_not_executed(self, request: ServedRequest, status: int = 503) -> None:
        """Send a response that says that the request was not executed."""
        head = f"HTTP/1.1 {status} No\r\nNot-Executed: 1\r\nRequest-Id: {request.request_id}\r\n"
        self.send(head.encode() + b"Content-Length: 0\r\n\r\n")

    def send_json(self, value: object, *, closes: bool = False) -> None:
        """Send an unsigned response with a JSON body, as for calls on the server itself.

        Args:
            value: The body.
            closes: Whether the connection ends with the response.
        """
        body = json.dumps(value).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
        self.send(head % len(body) + (b"Connection: close\r\n" if closes else b"") + b"\r\n" + body)
        if closes:
            self.close()

    def send_stream_headers(self, request: ServedRequest) -> None:
        """Send the headers of a signed event stream."""
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n"
        self.send(head.encode() + b"Content-Type: text/event-stream\r\n")
        self.send(b"Transfer-Encoding: chunked\r\n\r\n")

    def send_open_headers(self, request: ServedRequest) -> None:
        """Send the headers of a signed answer with neither a length nor chunks.

        Its body is sent with `send` and ends with the connection, at `close`.
        """
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n\r\n"
        self.send(head.encode())

    def send_event(self, number: int, data: str = "") -> None:
        """Send a complete event as one chunk."""
        self.send_chunk(event_bytes(number, data))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a chunked body."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Send the last chunk, which marks the stream as complete."""
        self.send(b"0\r\n\r\n")

    def close(self) -> None:
        """Shut the connection down and close it, once output is no longer held."""
        self.closed = True
        self._start.close(self._socket)

    def reset(self) -> None:
        """Reset the connection."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.closed = True
        self._socket.close()

    def wait_for_peer_close(self, within_s: float) -> bool:
        """Wait for the peer to close the connection, and return whether it did."""
        self._socket.settimeout(within_s)
        try:
            return not self._socket.recv(1)
        except TimeoutError:
            return False
        except OSError:
            return True


RequestHandler = Callable[[ServedRequest, ServerConnection], None]


def event_bytes(number: int, data: str = "") -> bytes:
    """Return the bytes of a complete event."""
    return f"id: {number}\ndata: {data or f'piece {number}'}\n\n".encode()


def signed_response_bytes(request_id: str, status: int, body: bytes, extra: str = "") -> bytes:
    """Return the bytes of a complete signed response."""
    head = f"HTTP/1.1 {status} Done\r\nRequest-Id: {request_id}\r\nServer-Stamp: s\r\n{extra}"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def event_stream_handler(count: int, *, pause_s: float = 0.0) -> RequestHandler:
    """Return a handler that streams numbered events, starting after ``Last-Event-Id``."""

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_stream_headers(request)
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, count + 1):
            time.sleep(pause_s)
            connection.send_event(number)
        connection.end_stream()

    return handle_request


@dataclass(slots=True)
class PlatformServer:
    """A running stand-in for a server.

    Attributes:
        instance: Id of the server.
        address: Address that callers connect to. The server listens on it, unless a test puts a
            relay in between.
        handle_request: Function that handles a request.
        started: Unix milliseconds of the latest start; 0 if the server does not publish it.
        requests: Requests of all starts, in order of arrival.
        connections: Number of connections accepted over all starts.
        reports: Number of times that a start was asked for its report on itself.
        slots: Number of requests that the server publishes to run at once.
        version: Version of the software that the next start runs and that the server publishes.
        reports_start: Whether the report states the server's start.
        closes_after_report: Whether the server closes a connection after its report on itself.
        reads_bodies: Whether requests are handled once their bodies have been read; else they are
            handled with empty bodies after their heads, and the connection must be closed then.
    """

    instance: str
    address: tuple[str, int]
    handle_request: RequestHandler
    started: int
    requests: list[ServedRequest] = field(default_factory=list)
    connections: int = 0
    reports: int = 0
    slots: int = 8
    version: str = "v1"
    closes_after_report: bool = False
    reports_start: bool = True
    reads_bodies: bool = True
    _start: ServerStart | None = None
    _isolated_starts: list[ServerStart] = field(default_factory=list)

    @property
    def is_reachable(self) -> bool:
        """Whether the server accepts connections."""
        return self._start is not None and self._start.listening

    def registration(self, service: str, *, state: str = "ready", zone: str = "z1") -> object:
        """Return the server's entry in the list of servers."""
        entry: dict[str, object] = {
            "service": service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.started:
            entry["born"] = self.started
        return entry

    def start(self) -> None:
        """Start listening; after a crash or `isolate`, restart with the same id and address."""
        if self._start is None:
            self._start = ServerStart(self.started, self.address, self.version)
            self.address = self._start.address
        else:
            # Above the previous start time, even if the wall clock was set back in the meantime.
            self.started = max(self.started + 1, int(time.time() * 1000))
            self._start = ServerStart(self.started, self._start.address, self.version)
        start = self._start
        threading.Thread(target=_accept_connections, args=(self, start), daemon=True).start()

    def crash(self) -> None:
        """Stop at once: reset open connections and refuse new ones."""
        start = self._current_start()
        start.stop_listening()
        start.reset_all()

    def isolate(self) -> None:
        """Go silent on all connections and accept no new ones; open ones stay open."""
        start = self._current_start()
        start.hold_output()
        start.stop_listening()
        self._isolated_starts.append(start)

    def hold_output(self) -> None:
        """Go silent, with all connections open and new ones accepted."""
        self._current_start().hold_output()

    def release_output(self) -> None:
        """Send the output that was held by `hold_output`, and stop holding it."""
        self._current_start().release_output()

    def deliver_held_output(self) -> None:
        """Send the output that was held since the server was isolated."""
        for start in self._isolated_starts:
            start.release_output()
        self._isolated_starts.clear()

    def close(self) -> None:
        """Stop listening."""
        self._current_start().stop_listening()

    def _current_start(self) -> ServerStart:
        assert self._start is not None, "not started"
        return self._start


@contextmanager
def serve_platform_server(
    instance: str,
    handle_request: RequestHandler,
    *,
    started: int | None = None,
    version: str = "v1",
) -> Iterator[PlatformServer]:
    """Run a server on loopback.

    Args:
        instance: Id of the server.
        handle_request: Function that handles a request.
        started: Unix milliseconds of the first start; now by default, 0 to publish none.
        version: Version of the software that the first start runs.
    """
    first_start = int(time.time() * 1000) if started is None else started
    server = PlatformServer(
        instance, ("127.0.0.1", 0), handle_request, first_start, version=version
    )
    server.start()
    try:
        yield server
    finally:
        server.close()


def _accept_connections(server: PlatformServer, start: ServerStart) -> None:
    while True:
        try:
            sock, _ = start.listener.accept()
        except OSError:
            return
        server.connections += 1
        start.add_connection(sock)
        threading.Thread(target=_serve_connection, args=(server, start, sock), daemon=True).start()


def _serve_connection(server: PlatformServer, start: ServerStart, sock: socket.socket) -> None:
    http = h11.Connection(h11.SERVER)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while True:
        request = _read_request(http, sock, start, reads_body=server.reads_bodies)
        if request is None:
            sock.close()
            return
        connection = ServerConnection(sock, start)
        is_report = request.target == REPORT_PATH
        if is_report:
            server.reports += 1
        else:
            server.requests.append(request)
        if request.headers.get("expect-instance", server.instance) != server.instance:
            connection.send_not_executed(request, 421)
        elif is_report:
            connection.send_json(
                start.report(states_start=server.reports_start), closes=server.closes_after_report
            )
        else:
            server.handle_request(request, connection)
        if connection.closed:
            return
        trailing = http.trailing_data[0]
        http = h11.Connection(h11.SERVER)
        if trailing:
            http.receive_data(trailing)


def _read_request(
    http: h11.Connection, sock: socket.socket, start: ServerStart, *, reads_body: bool
) -> ServedRequest | None:
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
        elif not isinstance(event, h11.EndOfMessage) or head is None:
            return None
        is_read = isinstance(event, h11.EndOfMessage)
        if head is not None and (is_read or not reads_body):
            headers = {key.decode().lower(): value.decode() for key, value in head.headers}
            return ServedRequest(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                started=start.started,
                version=start.version,
            )
