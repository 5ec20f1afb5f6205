"""Tests of writing straight to a caller's socket."""

from __future__ import annotations

import socket
import threading

import pytest

from carobspool_node.callers._caller_socket import CallerSocket, caller_socket

_PIECE = b"data: " + b"x" * 50_000 + b"\n\n"


def _pair() -> tuple[socket.socket, socket.socket]:
    worker, caller = socket.socketpair()
    worker.settimeout(5.0)
    caller.settimeout(5.0)
    return worker, caller


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_a_piece_is_one_chunk() -> None:
    """A caller that reads gets each piece as one chunk, and its events are counted."""
    worker, caller = _pair()
    with worker, caller:
        written = CallerSocket(worker)
        assert written.write(b"data: 1\n\ndata: 2\n\n")
        assert caller.recv(100) == _chunk(b"data: 1\n\ndata: 2\n\n")
        assert written.events == 2
        written.close()
        worker.sendall(b"0\r\n\r\n")
        assert caller.recv(100) == b"0\r\n\r\n"


def test_a_caller_that_does_not_read_is_left_to_its_worker() -> None:
    """The caller sees every byte once, in order, when it reads late.

    The socket's buffer is full, so the receiving task writes a part and returns at once; the worker
    sends the rest, waiting for the caller, before anything else is written.
    """
    worker, caller = _pair()
    with worker, caller:
        written = CallerSocket(worker)
        count = 1
        while written.write(_PIECE):
            count += 1
        received = bytearray()

        def read() -> None:
            while len(received) < count * len(_chunk(_PIECE)):
                received.extend(caller.recv(65_536))

        reader = threading.Thread(target=read)
        reader.start()
        written.settle()
        reader.join(5.0)
        assert bytes(received) == _chunk(_PIECE) * count


def test_a_caller_that_is_gone_is_told_to_the_worker() -> None:
    """A broken connection ends the pushing, and the worker raises what ends the request."""
    worker, caller = _pair()
    with worker:
        written = CallerSocket(worker)
        caller.close()
        while written.write(_PIECE):
            continue
        with pytest.raises(ConnectionError):
            written.settle()


def test_callers_without_chunks_are_served_by_their_worker() -> None:
    """A caller of HTTP/1.0 knows no chunks."""
    worker, caller = _pair()
    with worker, caller:
        environ = {"werkzeug.socket": worker, "SERVER_PROTOCOL": "HTTP/1.0"}
        assert caller_socket(environ) is None
        assert caller_socket({}) is None
