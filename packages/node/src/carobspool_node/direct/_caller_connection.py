"""Reads the requests of one caller's connection and writes their answers."""

from __future__ import annotations

import os
import socket
import threading

import h11

from carobspool_core import Clock, Millis
from carobspool_core.direct import CallerLimits
from carobspool_node.direct._channel import CallerWatch, Channel, prepare
from carobspool_node.direct._errors import (
    BadRequestError,
    CallerGoneError,
    ConnectionBrokenError,
    DeadlinePassedError,
)
from carobspool_node.direct._messages import CallerRequest, HeaderNames, Headers, find_header

ANSWER_TIMEOUT: Millis = 2_000.0
"""Time in which a caller must accept the bytes of an answer, or the next piece of a stream; after
that the caller counts as disconnected. Callers give up on a stream that delivers nothing for
two seconds.
"""


class _WaitStoppedError(Exception):
    """Raised when another task ends the wait for a request."""


class _WaitStop:
    """Ends the wait for a request from another task.

    The input of the connection stays open: a request that arrives meanwhile is served, and the end
    of the input still shows that its caller has left.
    """

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = os.eventfd(0, os.EFD_CLOEXEC | os.EFD_NONBLOCK)

    def fileno(self) -> int:
        """Return the descriptor to poll."""
        return self._event

    def check(self, flags: int) -> None:
        """Raise `_WaitStoppedError`; the descriptor is readable once `set` was called."""
        raise _WaitStoppedError

    def set(self) -> None:
        """End the wait that is in progress, or the next one at once."""
        os.eventfd_write(self._event, 1)

    def clear(self) -> None:
        """Let the next wait last again, after `set`."""
        os.eventfd_read(self._event)

    def release(self) -> None:
        """Close the descriptor; no other task may call `set` afterwards."""
        os.close(self._event)


class CallerConnection:
    """An HTTP server connection that serves its requests one after the other.

    `release` must be called once the connection is closed.
    """

    def __init__(self, sock: socket.socket, clock: Clock, names: HeaderNames) -> None:
        prepare(sock)
        self._stop = _WaitStop()
        self._clock = clock
        self._names = names
        self._channel = Channel(sock, h11.Connection(h11.SERVER), clock)
        self._close_after_answer = False
        self._answer_lock = threading.Lock()
        self._answered = True
        self._streaming = False
        self._answered_at_exit = False

    @property
    def watch(self) -> CallerWatch:
        """A new watch that detects when the caller disconnects during the current request."""
        return CallerWatch(self._channel.socket)

    def close_after_answer(self) -> None:
        """Announce with the next answer that the connection will be closed."""
        self._close_after_answer = True

    def wait_for_request(self, idle_timeout: Millis) -> bool:
        """Wait for the first bytes of the next request; return whether the caller sends one."""
        try:
            return self._wait_for_request(idle_timeout)
        except ConnectionBrokenError:
            return False

    def stop_waiting(self) -> None:
        """End `wait_for_request` from another task; bytes that have arrived are still read."""
        self._stop.set()

    def keep_waiting(self) -> None:
        """Take back `stop_waiting`, after which a request was read all the same."""
        self._stop.clear()

    def release(self) -> None:
        """Release what the connection holds beside its socket."""
        self._stop.release()

    def read_request(self, limits: CallerLimits) -> CallerRequest | None:
        """Return the next request, ``None`` if the caller sends no more.

        Raises:
            BadRequestError: The bytes are not a valid request; nothing was run.
        """
        try:
            if not self._wait_for_request(limits.idle_timeout):
                return None
            request = self._read(limits)
        except DeadlinePassedError as error:
            raise BadRequestError("the request was not sent in time", 408) from error
        except ConnectionBrokenError as error:
            cause = error.__cause__
            if isinstance(cause, h11.RemoteProtocolError):
                raise BadRequestError(str(cause), cause.error_status_hint) from error
            return None
        self._answered = False
        return request

    def answer(self, status: int, headers: Headers, body: bytes, *, reason: bytes = b"") -> None:
        """Send a complete answer.

        Raises:
            CallerGoneError: The caller has disconnected, or `answer_at_exit` has answered.
        """
        with self._answer_lock:
            self._mark_answered()
            self._send_answer(status, headers, body, reason)

    def answer_at_exit(self, headers: Headers, body: bytes) -> bool:
        """Answer 504 to the current request from another task while the process exits.

        The outcome of the request is unknown. A stream that has begun gets no such answer and is
        cut by the exit. The same holds for an answer that is still being written because its caller
        reads slowly: the exit does not wait for it.

        Returns:
            Whether the current request, if there is one, has a complete answer.
        """
        if not self._answer_lock.acquire(blocking=False):
            return False
        try:
            if self._answered:
                return not self._streaming
            self._answered_at_exit = True
            self._close_after_answer = True
            self._send_answer(504, headers, body, b"")
            return True
        except (CallerGoneError, h11.LocalProtocolError):
            return False
        finally:
            self._answer_lock.release()

    def _mark_answered(self) -> None:
        if self._answered_at_exit:
            raise CallerGoneError("answered at process exit")
        self._answered = True

    def _send_answer(self, status: int, headers: Headers, body: bytes, reason: bytes) -> None:
        """Send a complete answer; `_answer_lock` must be held."""
        headers = [(key, value) for key, value in headers if key.lower() != b"content-length"]
        headers.append((b"Content-Length", str(len(body)).encode()))
        http = self._channel.http
        parts = [self._encode_head(status, headers, reason)]
        if body:
            parts.append(http.send(h11.Data(data=body)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        self._send(b"".join(parts))

    def start_stream(self, status: int, headers: Headers, reason: bytes) -> None:
        """Send the head of a streamed answer."""
        headers = [(key, value) for key, value in headers if key.lower() != b"content-length"]
        with self._answer_lock:
            self._mark_answered()
            self._streaming = True
            self._send(self._encode_head(status, headers, reason))

    def send_piece(self, data: bytes) -> None:
        """Send one piece of a streamed answer."""
        self._send(self._channel.http.send(h11.Data(data=data)) or b"")

    def finish_stream(self) -> None:
        """Send the end of a streamed answer, which marks it as complete."""
        self._send(self._channel.http.send(h11.EndOfMessage()) or b"")
        self._streaming = False

    def prepare_next_request(self) -> bool:
        """Prepare to read the next request; return whether the connection can be reused."""
        http = self._channel.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection without a reset, so that the caller can read what was sent."""
        self._channel.close()

    def abort(self) -> None:
        """Reset the connection, so that an unfinished answer does not look complete.

        An answer sent by `answer_at_exit` is complete. The connection is then closed without a
        reset, because the reset could discard the answer before the caller reads it.
        """
        if self._answered_at_exit:
            self._channel.close()
            return
        self._channel.reset()

    def _wait_for_request(self, idle_timeout: Millis) -> bool:
        if self._channel.http.trailing_data[0]:
            return True
        deadline = self._clock.now() + idle_timeout
        try:
            data = self._channel.receive(deadline, self._stop)
        except DeadlinePassedError:
            return False
        except _WaitStoppedError:
            if not self._channel.has_input():
                return False
            data = self._channel.receive(deadline)
        if not data:
            return False
        self._channel.http.receive_data(data)
        return True

    def _read(self, limits: CallerLimits) -> CallerRequest:
        deadline = self._clock.now() + limits.header_timeout
        head = self._channel.next_event(deadline)
        if not isinstance(head, h11.Request):
            raise ConnectionBrokenError("closed")
        if self._channel.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._channel.send(self._channel.http.send(interim) or b"", deadline)
        headers = [(bytes(key), bytes(value)) for key, value in head.headers]
        if sum(len(key) + len(value) + 4 for key, value in headers) > limits.header_bytes:
            raise BadRequestError("the header is too long", 431)
        body = self._read_body(limits)
        path, _, query = head.target.partition(b"?")
        return CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            body=body,
            arrived=self._clock.now(),
            request_id=(find_header(headers, self._names.request_id) or b"").decode("latin-1"),
            host=(find_header(headers, b"host") or b"").decode("latin-1").partition(":")[0],
            path=path.decode("latin-1"),
            query=query.decode("latin-1"),
        )

    def _read_body(self, limits: CallerLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._channel.next_event(self._clock.now() + limits.idle_timeout)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionBrokenError("closed in the middle of a body")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                raise BadRequestError("the body is too long", 413)

    def _encode_head(self, status: int, headers: Headers, reason: bytes) -> bytes:
        """Encode the head of an answer, with ``Connection: close`` if this answer is the last."""
        if self._close_after_answer:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._channel.http.send(response) or b""

    def _send(self, data: bytes) -> None:
        if not data:
            return
        try:
            self._channel.send(data, self._clock.now() + ANSWER_TIMEOUT)
        except (ConnectionBrokenError, DeadlinePassedError) as error:
            raise CallerGoneError(str(error)) from error
