"""An HTTP/1.1 connection over h11 whose events are read with a deadline.

While a task waits for an upstream it also polls the caller's socket, so that it detects immediately
that the caller has disconnected, and not only when it next writes to that socket.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections import deque
from typing import Protocol

import h11

from carobspool_core import Clock, Millis, is_status
from carobspool_node.direct._errors import (
    CallCancelledError,
    CallerGoneError,
    ConnectionBrokenError,
    DeadlinePassedError,
)

READ_BYTES = 65_536
MAX_EXCHANGE_BYTES = 1_000_000
"""Longest answer to a short call, far above the report of an upstream that lists some hundred
runs."""
MAX_INTERIM_ANSWERS = 16
"""Answers with a status of 1xx before the final one; HTTP servers send one or two."""
REMEMBERED_REQUESTS = 16
"""Requests that a connection remembers. A late second answer precedes the answer to the next
request, so that the last one would do; this bounds the memory of connections that are kept long."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An established connection can stop delivering data without a reset. Two keepalive probes, the
first after one second of silence, end such a connection after some three seconds. Without them a
request or a watch would hang until its own time limit."""


class Cancellation:
    """Cancels a call that waits on a socket in another task."""

    __slots__ = ("_cancelled", "_lock", "_reason", "_socket")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._cancelled = False
        self._reason = ""

    @property
    def cancelled(self) -> bool:
        """Whether the call was cancelled."""
        return self._cancelled

    @property
    def reason(self) -> str:
        """Reason of the first cancellation, for the log."""
        return self._reason

    def attach(self, sock: socket.socket | None) -> None:
        """Set the socket on which the call waits; ``None`` when it waits on none."""
        with self._lock:
            self._socket = sock
            if self._cancelled and sock is not None:
                _shut_down_socket(sock)

    def cancel(self, reason: str) -> None:
        """Shut down the call's socket; the call ends with `CallCancelledError`.

        Args:
            reason: Reason of the cancellation, for the log.
        """
        with self._lock:
            if not self._cancelled:
                self._reason = reason
            self._cancelled = True
            if self._socket is not None:
                _shut_down_socket(self._socket)


class Watch(Protocol):
    """What can end a wait for a socket from outside."""

    def fileno(self) -> int | None:
        """Return the descriptor to poll, ``None`` if there is none."""

    def check(self, flags: int) -> None:
        """Raise an exception if ``flags`` of poll show that the wait must end."""


class CallerWatch:
    """Detects that the caller of a request has disconnected."""

    __slots__ = ("_active", "_socket")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._active = True

    def fileno(self) -> int | None:
        """Return the descriptor to poll, ``None`` once a close can no longer be detected."""
        return self._socket.fileno() if self._active else None

    def check(self, flags: int) -> None:
        """Check the socket after poll has reported ``flags``.

        Raises:
            CallerGoneError: The caller closed or reset the connection.
        """
        if flags & (select.POLLHUP | select.POLLERR | select.POLLNVAL):
            raise CallerGoneError("connection reset by the caller")
        try:
            data = self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        if not data:
            raise CallerGoneError("connection closed by the caller")
        # The caller has pipelined its next request; a close behind these bytes cannot be detected.
        self._active = False


class Channel:
    """A connected socket and its HTTP state.

    Attributes:
        fresh: Whether no request has been completed on the connection.
        last_used: When the connection was opened or last released to a pool.
        idle_limit: How long the connection may stay idle; 0 until it is known, negative if the
            connection must not be reused.
        start_confirmed: Whether the upstream was registered with the start that it has stated on
            the connection, ``None`` if it was not asked.
    """

    __slots__ = (
        *("_cancellation", "_clock", "_http", "_request_ids", "_socket"),
        *("fresh", "idle_limit", "last_used", "start_confirmed"),
    )

    def __init__(self, sock: socket.socket, http: h11.Connection, clock: Clock) -> None:
        self._socket = sock
        self._http = http
        self._clock = clock
        self._cancellation: Cancellation | None = None
        self._request_ids: deque[str] = deque(maxlen=REMEMBERED_REQUESTS)
        self.fresh = True
        self.last_used: Millis = clock.now()
        self.idle_limit: Millis = 0.0
        self.start_confirmed: bool | None = None

    @property
    def http(self) -> h11.Connection:
        """The HTTP state of the connection."""
        return self._http

    @property
    def socket(self) -> socket.socket:
        """The socket."""
        return self._socket

    def replace_http(self, http: h11.Connection) -> None:
        """Replace the HTTP state and keep the socket."""
        self._http = http

    def exchange(
        self,
        request: h11.Request,
        body: bytes,
        deadline: Millis,
        *,
        watch: CallerWatch | None = None,
        max_bytes: int = MAX_EXCHANGE_BYTES,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its answer.

        Args:
            request: Head of the request.
            body: Its body.
            deadline: Time by which the whole answer must have arrived.
            watch: Detects that the caller has disconnected.
            max_bytes: Longest body that is accepted.

        Raises:
            ConnectionBrokenError: The connection broke, or the answer is invalid or too long.
            DeadlinePassedError: ``deadline`` has passed.
            CallerGoneError: The watched caller has disconnected.
            CallCancelledError: The call was cancelled.
        """
        self.send(encode_request(self._http, request, body), deadline, watch)
        status = 0
        answer = b""
        interim = 0
        while True:
            event = self.next_event(deadline, watch)
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                answer += bytes(event.data)
                if len(answer) > max_bytes:
                    raise ConnectionBrokenError(f"an answer of more than {max_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return status, answer
            elif isinstance(event, h11.InformationalResponse) and interim < MAX_INTERIM_ANSWERS:
                interim += 1
            else:
                raise ConnectionBrokenError("closed before an answer")

    def record_request(self, request_id: str) -> None:
        """Record the id of a request that is sent on the connection."""
        self._request_ids.append(request_id)

    def has_carried(self, request_id: str) -> bool:
        """Whether a request with this id was sent on the connection.

        A late second answer to it could not be told from the answer to a further one.
        """
        return request_id in self._request_ids

    def start_next_request(self) -> bool:
        """Prepare for the next request; return whether the connection can carry one."""
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if http.trailing_data[0]:
            return False
        http.start_next_cycle()
        self.fresh = False
        return True

    def set_cancellation(self, cancellation: Cancellation | None) -> None:
        """Set the cancellation that can end the call on this connection; ``None`` detaches it."""
        if self._cancellation is not None:
            # The connection may serve another call next, which this cancellation must not end.
            self._cancellation.attach(None)
        self._cancellation = cancellation
        if cancellation is not None:
            cancellation.attach(self._socket)

    def next_event(self, deadline: Millis, watch: CallerWatch | None = None) -> h11.Event:
        """Return the next event.

        Raises:
            ConnectionBrokenError: The peer closed the connection or sent invalid HTTP.
            DeadlinePassedError: ``deadline`` has passed.
            CallerGoneError: The watched caller has disconnected.
            CallCancelledError: The call was cancelled.
        """
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(self.receive(deadline, watch))
                    continue
                if isinstance(event, type):
                    raise ConnectionBrokenError("bytes of another message")
                if isinstance(event, h11.Response) and not is_status(event.status_code):
                    raise ConnectionBrokenError(f"not proper HTTP: status {event.status_code}")
                return event
            except h11.RemoteProtocolError as error:
                self._raise_if_cancelled()
                raise ConnectionBrokenError(f"not proper HTTP: {error}") from error

    def receive(self, deadline: Millis, watch: Watch | None = None) -> bytes:
        """Return the next bytes; empty if the peer has closed the connection."""
        self._wait(select.POLLIN, deadline, watch)
        try:
            data = self._socket.recv(READ_BYTES)
        except OSError as error:
            self._raise_if_cancelled()
            raise ConnectionBrokenError(str(error)) from error
        if not data:
            self._raise_if_cancelled()
        return data

    def wait_for_input(self, deadline: Millis, watch: CallerWatch | None = None) -> None:
        """Wait until data or the end of the connection can be read."""
        self._wait(select.POLLIN, deadline, watch)

    def send(self, data: bytes, deadline: Millis, watch: CallerWatch | None = None) -> None:
        """Send all bytes."""
        view = memoryview(data)
        while view:
            try:
                sent = self._socket.send(view, socket.MSG_DONTWAIT)
            except BlockingIOError:
                self._wait(select.POLLOUT, deadline, watch)
                continue
            except OSError as error:
                self._raise_if_cancelled()
                raise ConnectionBrokenError(str(error)) from error
            view = view[sent:]

    def send_or_answer(self, data: bytes, deadline: Millis, watch: CallerWatch | None) -> bool:
        """Send all bytes unless the peer answers first; return whether all were sent.

        A server may answer before it has read a long body. Waiting for space in the send buffer
        would delay that answer.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view, socket.MSG_DONTWAIT) :]
                continue
            except BlockingIOError:
                pass
            except OSError as error:
                self._raise_if_cancelled()
                raise ConnectionBrokenError(str(error)) from error
            if self._wait(select.POLLIN | select.POLLOUT, deadline, watch) & select.POLLIN:
                return False
        return True

    def has_input(self) -> bool:
        """Return whether data or the end of the connection can be read now."""
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the connection."""
        if self._cancellation is not None:
            self._cancellation.attach(None)
        self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset, so that the peer does not see a regular end."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.close()

    def _wait(self, flags: int, deadline: Millis, watch: Watch | None) -> int:
        own_fd = self._socket.fileno()
        if own_fd < 0:
            raise ConnectionBrokenError("connection closed")
        poller = select.poll()
        poller.register(own_fd, flags)
        watched_fd = watch.fileno() if watch is not None else None
        if watched_fd is not None and watched_fd >= 0:
            poller.register(watched_fd, select.POLLIN)
        while True:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                raise DeadlinePassedError("deadline passed")
            ready = dict(poller.poll(min(remaining + 1.0, 60_000.0)))
            if watch is not None and watched_fd is not None and watched_fd in ready:
                watch.check(ready.pop(watched_fd))
                if watch.fileno() is None:
                    poller.unregister(watched_fd)
                    watched_fd = None
            if own_fd in ready:
                return ready[own_fd]

    def _raise_if_cancelled(self) -> None:
        if self._cancellation is not None and self._cancellation.cancelled:
            raise CallCancelledError("cancelled")


def encode_request(http: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    """Return the bytes of a request, which must state the length of its body."""
    parts = [http.send(request) or b""]
    if body:
        parts.append(http.send(h11.Data(data=body)) or b"")
    parts.append(http.send(h11.EndOfMessage()) or b"")
    return b"".join(parts)


def connect(address: tuple[str, int], timeout: Millis, clock: Clock) -> Channel:
    """Connect to a server.

    Raises:
        ConnectionBrokenError: Connecting failed or timed out; nothing was sent.
    """
    try:
        sock = socket.create_connection(address, timeout / 1000.0)
    except OSError as error:
        raise ConnectionBrokenError(f"cannot connect: {error}") from error
    prepare(sock)
    return Channel(sock, h11.Connection(h11.CLIENT), clock)


def prepare(sock: socket.socket) -> None:
    """Set blocking mode, TCP_NODELAY and keepalive options on a connected socket."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


_LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def _shut_down_socket(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
