"""Tests of the pooled HTTP server."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from carobspool_node.callers._http_server import PooledServer, TruncatedAnswerError


@contextmanager
def _serving(application: Callable[..., Iterable[bytes]], *, workers: int) -> Iterator[int]:
    server = PooledServer("127.0.0.1", 0, application, workers=workers)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server.server_port
    server.shutdown()
    thread.join(5.0)
    server.server_close()


def _get(port: int) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    connection.request("GET", "/")
    answer = connection.getresponse()
    return answer.status, answer.read()


def test_a_stream_arrives_piece_by_piece() -> None:
    """Each piece is sent when it is there, not when the answer is whole."""
    go_on = threading.Event()

    def application(environ: Any, start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"data: 1\n\n"
        go_on.wait(5.0)
        yield b"data: 2\n\n"

    with _serving(application, workers=2) as port:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
        connection.request("GET", "/")
        answer = connection.getresponse()
        assert answer.read1() == b"data: 1\n\n"
        go_on.set()
        assert answer.read() == b"data: 2\n\n"


def test_a_truncated_answer_never_ends_clean() -> None:
    """The caller sees: an incomplete read, not a short answer.

    The application finds in the middle of the body that it cannot go on. The connection is closed
    without the closing chunk, which every HTTP library reports as an error.
    """

    def application(environ: Any, start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/plain")])
        yield b"half of "
        raise TruncatedAnswerError("cut")

    with (
        _serving(application, workers=2) as port,
        pytest.raises((http.client.IncompleteRead, ConnectionError)),
    ):
        _get(port)


def test_a_full_server_refuses_at_once() -> None:
    """The caller sees: 503 with type, outcome and when to come back, without waiting.

    One worker is held by a slow request and the short queue is empty by its size; the accepting
    task answers the next connection itself.
    """
    inside = threading.Event()
    go_on = threading.Event()

    def application(environ: Any, start_response: Any) -> Iterator[bytes]:
        inside.set()
        go_on.wait(5.0)
        start_response("200 OK", [])
        yield b"late"

    with _serving(application, workers=1) as port:
        first = threading.Thread(target=_get, args=(port,))
        first.start()
        assert inside.wait(5.0)
        status, body = _get(port)
        go_on.set()
        first.join(5.0)
    assert status == 503
    error = json.loads(body)["error"]
    assert error["outcome"] == "not_run"
    assert error["retry_after_ms"] == 1000


def test_garbage_does_not_harm_the_server() -> None:
    """A connection that speaks no HTTP is dropped and the next request is served."""

    def application(environ: Any, start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Length", "2")])
        yield b"ok"

    with _serving(application, workers=2) as port:
        with socket.create_connection(("127.0.0.1", port)) as stranger:
            stranger.sendall(b"\x00\xff\r\n\r\n")
        assert _get(port) == (200, b"ok")
