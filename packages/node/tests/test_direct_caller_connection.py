"""Answers that the exit of a process sends to requests in progress."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from carobspool_core import boottime_clock
from carobspool_core.direct import CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._errors import CallerGoneError
from carobspool_node.direct._messages import HeaderNames

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
MORE_THAN_BUFFERS_HOLD = b"x" * 30_000_000


@pytest.fixture
def sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    """The caller's and the entry's socket of a connection on which a request was sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        entry, _ = listener.accept()
    caller.sendall(REQUEST)
    caller.settimeout(0.3)
    with caller, entry:
        yield caller, entry


@pytest.fixture
def caller(sockets: tuple[socket.socket, socket.socket]) -> socket.socket:
    """The caller's socket."""
    return sockets[0]


@pytest.fixture
def connection(sockets: tuple[socket.socket, socket.socket]) -> Iterator[CallerConnection]:
    """The entry's side of the connection, with the request read."""
    found = CallerConnection(sockets[1], boottime_clock(), HeaderNames())
    assert found.read_request(CallerLimits()) is not None
    yield found
    found.release()


def _received(caller: socket.socket) -> bytes:
    data = b""
    with contextlib.suppress(TimeoutError):
        while piece := caller.recv(65_536):
            data += piece
    return data


def test_a_request_without_an_answer_gets_one_at_the_exit(
    caller: socket.socket, connection: CallerConnection
) -> None:
    """The caller receives 504 immediately. The answer that comes later is dropped, and does not
    reset the connection before the caller has read the 504."""
    assert connection.answer_at_exit([], b"left")
    with pytest.raises(CallerGoneError):
        connection.answer(200, [], b"late")
    connection.abort()
    received = _received(caller)
    assert received.startswith(b"HTTP/1.1 504")
    assert received.endswith(b"left")
    assert b"late" not in received


def test_a_connection_without_a_request_gets_no_answer_at_the_exit(
    caller: socket.socket, connection: CallerConnection
) -> None:
    """The last request has just been answered. The caller would take a second answer for the answer
    to its next request."""
    connection.answer(200, [], b"ok")
    assert connection.prepare_next_request()
    assert connection.answer_at_exit([], b"left")
    assert _received(caller).count(b"HTTP/1.1") == 1


def test_the_exit_does_not_wait_for_a_caller_that_is_slow_to_read(
    connection: CallerConnection,
) -> None:
    """An answer does not fit into the socket buffers and its caller does not read. Each such caller
    would delay the exit by two seconds, and the process would be killed before it had answered the
    other callers."""

    def answer() -> None:
        with contextlib.suppress(CallerGoneError):
            connection.answer(200, [], MORE_THAN_BUFFERS_HOLD)

    worker = threading.Thread(target=answer)
    worker.start()
    time.sleep(0.2)
    began = time.monotonic()
    assert not connection.answer_at_exit([], b"left")
    assert time.monotonic() - began < 0.2
    worker.join()


def test_a_stream_that_has_begun_gets_no_answer_at_the_exit(
    caller: socket.socket, connection: CallerConnection
) -> None:
    connection.start_stream(200, [], b"")
    connection.send_piece(b"piece")
    assert not connection.answer_at_exit([], b"left")
    assert b"504" not in _received(caller)
