"""One HTTP/1.1 connection over h11, read event by event with a deadline.

While a task waits for an upstream it also watches the caller's socket, so that a caller who leaves
is noticed at once and not only when something is written to it.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading

import h11

from carobspool_core import Clock, Millis
from carobspool_node.direct._errors import (
    CallerGoneError,
    ConnectionBrokenError,
    DeadlinePassedError,
    RunCancelledError,
)

READ_BYTES = 65_536
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Established connections can go silent for good without a reset. Probes after one second of
silence, two of them, end such a connection after some three seconds; without them a request or a
watch would hang on it until its own time limit."""


class Cancellation:
    """Cancels a call that is waiting on a socket in another task."""

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
        """Why it was cancelled first, for the log."""
        return self._reason

    def attach(self, sock: socket.socket | None) -> None:
        """Name the socket on which the call waits now."""
        with self._lock:
            self._socket = sock
            if self._cancelled and sock is not None:
                _shut_down(sock)

    def cancel(self, reason: str) -> None:
        """Wake the call; it ends with `RunCancelledError`.

        Args:
            reason: Why, for the log.
        """
        with self._lock:
            if not self._cancelled:
                self._reason = reason
            self._cancelled = True
            if self._socket is not None:
                _shut_down(self._socket)


class CallerWatch:
    """Tells whether the caller of a request has gone."""

    __slots__ = ("_active", "_socket")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._active = True

    def fileno(self) -> int | None:
        """Return the descriptor to poll, ``None`` when there is nothing more to see."""
        return self._socket.fileno() if self._active else None

    def check(self, flags: int) -> None:
        """Take what poll reported.

        Raises:
            CallerGoneError: When the connection is closed.
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
        # A next request was sent ahead; from here on a close cannot be seen behind it.
        self._active = False


class Channel:
    """A connected socket and its HTTP state."""

    __slots__ = ("_cancellation", "_clock", "_http", "_socket", "fresh", "idle_limit", "last_used")

    def __init__(self, sock: socket.socket, http: h11.Connection, clock: Clock) -> None:
        self._socket = sock
        self._http = http
        self._clock = clock
        self._cancellation: Cancellation | None = None
        self.fresh = True
        self.last_used: Millis = clock.now()
        self.idle_limit: Millis = 0.0

    @property
    def http(self) -> h11.Connection:
        """The HTTP state of the connection."""
        return self._http

    @property
    def socket(self) -> socket.socket:
        """The socket."""
        return self._socket

    def replace_http(self, http: h11.Connection) -> None:
        """Go on with another HTTP state on the same socket."""
        self._http = http

    def cancel_with(self, cancellation: Cancellation | None) -> None:
        """Let ``cancellation`` end calls on this connection."""
        if self._cancellation is not None:
            # The connection may serve another call next, which the earlier one must not end.
            self._cancellation.attach(None)
        self._cancellation = cancellation
        if cancellation is not None:
            cancellation.attach(self._socket)

    def next_event(self, deadline: Millis, watch: CallerWatch | None = None) -> h11.Event:
        """Return the next event.

        Raises:
            ConnectionBrokenError: The peer is gone or does not speak HTTP.
            DeadlinePassedError: ``deadline`` has passed.
            CallerGoneError: The watched caller has left.
            RunCancelledError: The call was cancelled.
        """
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(self.receive(deadline, watch))
                    continue
                if isinstance(event, type):
                    raise ConnectionBrokenError("bytes of another message")
                return event
            except h11.RemoteProtocolError as error:
                self._raise_if_cancelled()
                raise ConnectionBrokenError(f"not proper HTTP: {error}") from error

    def receive(self, deadline: Millis, watch: CallerWatch | None = None) -> bytes:
        """Return the next bytes, empty at the end of the connection."""
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
        """Wait until bytes, or an end of the connection, can be read."""
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
        """Send all bytes unless an answer arrives first; return whether all were sent.

        A server may answer before it has read a long body. Waiting for room to send the rest would
        hold the answer back.
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
        """Whether bytes or an end of the connection wait to be read."""
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the connection."""
        if self._cancellation is not None:
            self._cancellation.attach(None)
        self._socket.close()

    def reset(self) -> None:
        """Close the connection so that the peer cannot take it for a proper end."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.close()

    def _wait(self, flags: int, deadline: Millis, watch: CallerWatch | None) -> int:
        own = self._socket.fileno()
        if own < 0:
            raise ConnectionBrokenError("connection closed")
        poller = select.poll()
        poller.register(own, flags)
        watched = watch.fileno() if watch is not None else None
        if watched is not None and watched >= 0:
            poller.register(watched, select.POLLIN)
        while True:
            left = deadline - self._clock.now()
            if left <= 0:
                raise DeadlinePassedError("time is over")
            ready = dict(poller.poll(min(left + 1.0, 60_000.0)))
            if watch is not None and watched is not None and watched in ready:
                watch.check(ready.pop(watched))
                if watch.fileno() is None:
                    poller.unregister(watched)
                    watched = None
            if own in ready:
                return ready[own]

    def _raise_if_cancelled(self) -> None:
        if self._cancellation is not None and self._cancellation.cancelled:
            raise RunCancelledError("cancelled")


def connect(address: tuple[str, int], timeout: Millis, clock: Clock) -> Channel:
    """Open a connection as a client.

    Raises:
        ConnectionBrokenError: It cannot be opened in time; nothing was sent.
    """
    try:
        sock = socket.create_connection(address, timeout / 1000.0)
    except OSError as error:
        raise ConnectionBrokenError(f"cannot connect: {error}") from error
    prepare(sock)
    return Channel(sock, h11.Connection(h11.CLIENT), clock)


def prepare(sock: socket.socket) -> None:
    """Set the options that every connection needs."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


_LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
