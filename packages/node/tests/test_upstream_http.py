"""Tests of calls to upstreams: how far a call came is told truly."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from carobspool_node.upstreams._upstream_http import CallEnd, Exchange, UpstreamCall

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@contextmanager
def _upstream(behave: Callable[[socket.socket], None]) -> Iterator[str]:
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection:
            behave(connection)

    thread = threading.Thread(target=accept)
    thread.start()
    yield f"http://127.0.0.1:{listener.getsockname()[1]}/"
    listener.close()
    thread.join(5.0)


def _run(url: str, timeout: float = 2_000.0) -> tuple[CallEnd, bytes]:
    pieces: list[bytes] = []
    call = UpstreamCall(method="POST", url=url, headers={}, body=b"x" * 10, timeout=timeout)
    result = Exchange().run(call, lambda status, headers: None, pieces.append)
    return result.end, b"".join(pieces)


def _whole(connection: socket.socket) -> None:
    connection.recv(65536)
    connection.sendall(_ANSWER)


def _half(connection: socket.socket) -> None:
    connection.recv(65536)
    connection.sendall(_ANSWER[:-2])


def _silent(connection: socket.socket) -> None:
    connection.recv(65536)


@pytest.mark.parametrize(
    ("behave", "end"),
    [(_whole, CallEnd.COMPLETE), (_half, CallEnd.BROKEN), (_silent, CallEnd.BROKEN)],
)
def test_each_break_has_its_end(behave: Callable[[socket.socket], None], end: CallEnd) -> None:
    """Whole, half and missing answers are told apart."""
    with _upstream(behave) as url:
        assert _run(url)[0] is end


def test_nobody_listening_is_not_sent() -> None:
    """A refused connection is the one break in which nothing was sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    assert _run(f"http://127.0.0.1:{port}/")[0] is CallEnd.NOT_SENT


def test_a_slow_answer_times_out() -> None:
    """A call over its time limit ends as timed out, after it was sent."""
    done = threading.Event()

    def wait(connection: socket.socket) -> None:
        connection.recv(65536)
        done.wait(5.0)

    with _upstream(wait) as url:
        assert _run(url, timeout=100.0)[0] is CallEnd.TIMED_OUT
        done.set()


def test_abort_cuts_a_call_at_once() -> None:
    """Another thread can end a call that waits for its answer."""
    reached = threading.Event()
    done = threading.Event()

    def wait(connection: socket.socket) -> None:
        connection.recv(65536)
        reached.set()
        done.wait(5.0)

    exchange = Exchange()
    ends: list[CallEnd] = []
    with _upstream(wait) as url:
        call = UpstreamCall(method="POST", url=url, headers={}, body=b"x")
        thread = threading.Thread(
            target=lambda: ends.append(
                exchange.run(call, lambda status, headers: None, lambda data: None).end
            )
        )
        thread.start()
        assert reached.wait(5.0)
        exchange.abort()
        thread.join(5.0)
        done.set()
    assert ends == [CallEnd.ABORTED]


def test_a_call_that_may_not_open_is_not_sent() -> None:
    """A call whose moment has passed opens no connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(0.2)
        url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
        call = UpstreamCall(method="POST", url=url, headers={}, body=b"x")
        exchange = Exchange(lambda: False)
        result = exchange.run(call, lambda status, headers: None, lambda data: None)
        assert result.end is CallEnd.NOT_SENT
        with pytest.raises(TimeoutError):
            listener.accept()


def test_a_call_whose_moment_passes_while_its_connection_opens_sends_nothing() -> None:
    """The process freezes between opening the connection and sending. On waking the request must
    not start, since its caller was told long ago that it did not run."""
    received: list[bytes] = []

    def receive(connection: socket.socket) -> None:
        with contextlib.suppress(ConnectionResetError):
            received.append(connection.recv(65536))

    with _upstream(receive) as url:
        asked = iter([True, False])
        call = UpstreamCall(method="POST", url=url, headers={}, body=b"x")
        exchange = Exchange(lambda: next(asked))
        result = exchange.run(call, lambda status, headers: None, lambda data: None)
    assert result.end is CallEnd.NOT_SENT
    assert b"".join(received) == b""
