"""Connections of callers at a listener whose threads are all in use."""

from __future__ import annotations

import http.client
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from carobspool_core import boottime_clock
from carobspool_core.direct import CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._errors import CallerGoneError
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._messages import CallerRequest, HeaderNames

WORKERS = 8
AGE_S = 0.2
WATCHED_S = 0.1
ARRIVED_S = 0.05
READ_IN_S = 0.5
"""PROTOCOL.md: a caller gives up a request that is not read within a second."""


class Entry:
    """A listener that answers at once, and streams until the test ends on ``/stream``."""

    def __init__(self, others_serve: Callable[[], bool] = lambda: True) -> None:
        self._ended = threading.Event()
        self.left: list[str] = []
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.listener = Listener(
            self.address,
            workers=WORKERS,
            clock=boottime_clock(),
            names=HeaderNames(),
            limits=CallerLimits,
            handle=self._handle,
            others_serve=others_serve,
        )
        self.listener.start()

    def end_streams(self) -> None:
        """End all streams; their callers keep their connections open."""
        self._ended.set()

    def close(self) -> None:
        """End all streams and stop listening."""
        self.end_streams()
        self.listener.close_socket()

    def _handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        if request.path == "/watched":
            try:
                _watch(caller, WATCHED_S)
            except CallerGoneError:
                self.left.append(request.path)
                raise
        if request.path != "/stream":
            caller.answer(200, [], b"ok")
            return
        caller.start_stream(200, [], b"OK")
        caller.send_piece(b"begun")
        self._ended.wait(20.0)
        caller.finish_stream()


def _watch(caller: CallerConnection, for_s: float) -> None:
    """Watch the caller for as long as a request takes at its upstream."""
    watch = caller.watch
    descriptor = watch.fileno()
    assert descriptor is not None
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        for _, flags in poller.poll(10.0):
            watch.check(flags)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as found:
        yield found


def _connect(stack: ExitStack, entry: Entry) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(*entry.address, timeout=READ_IN_S)
    stack.callback(connection.close)
    return connection


def _call(connection: http.client.HTTPConnection) -> int:
    connection.request("GET", "/")
    response = connection.getresponse()
    response.read()
    return response.status


def _start_streams(stack: ExitStack, entry: Entry, count: int) -> list[http.client.HTTPConnection]:
    streams = []
    for _ in range(count):
        stream = _connect(stack, entry)
        stream.request("GET", "/stream")
        assert stream.getresponse().read(5) == b"begun"
        streams.append(stream)
    return streams


def test_fresh_callers_are_read_although_others_keep_their_connections_open(
    stack: ExitStack,
) -> None:
    """Guards against kept-open connections that hold all threads while new callers wait unread."""
    entry = Entry()
    stack.callback(entry.close)
    _start_streams(stack, entry, 2)
    kept = [_connect(stack, entry) for _ in range(WORKERS - 2)]
    assert [_call(each) for each in kept] == [200] * len(kept)
    time.sleep(AGE_S)
    assert [_call(_connect(stack, entry)) for _ in range(3)] == [200] * 3


def test_a_caller_that_no_thread_can_serve_is_sent_elsewhere(stack: ExitStack) -> None:
    """Guards against a request that waits unread for streams to end while other entries serve."""
    entry = Entry()
    stack.callback(entry.close)
    _start_streams(stack, entry, WORKERS)
    begun = time.monotonic()
    with pytest.raises((ConnectionError, http.client.RemoteDisconnected)):
        _call(_connect(stack, entry))
    assert time.monotonic() - begun < READ_IN_S


def test_a_caller_waits_if_no_other_entry_serves(stack: ExitStack) -> None:
    """Guards against closing the connections of callers that have nowhere else to go."""
    entry = Entry(others_serve=lambda: False)
    stack.callback(entry.close)
    streams = _start_streams(stack, entry, WORKERS)
    waiting = _connect(stack, entry)
    waiting.request("GET", "/")
    time.sleep(AGE_S)
    entry.end_streams()
    assert waiting.getresponse().status == 200
    assert len(streams) == WORKERS


def _send_as_the_connection_is_closed(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> tuple[Entry, http.client.HTTPConnection]:
    """Send a request on the connection that a listener is about to close for a new caller."""
    entry = Entry()
    stack.callback(entry.close)
    kept = [_connect(stack, entry) for _ in range(WORKERS)]
    assert [_call(each) for each in kept] == [200] * len(kept)
    time.sleep(AGE_S)
    stop_waiting = CallerConnection.stop_waiting

    def stop_waiting_late(idle: CallerConnection) -> None:
        monkeypatch.undo()
        kept[0].request("GET", "/watched")
        time.sleep(ARRIVED_S)
        stop_waiting(idle)

    monkeypatch.setattr(CallerConnection, "stop_waiting", stop_waiting_late)
    assert _call(_connect(stack, entry)) == 200
    return entry, kept[0]


def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that are passed on and then cut, as if their callers had left."""
    entry, crossing = _send_as_the_connection_is_closed(stack, monkeypatch)
    response = crossing.getresponse()
    assert (response.status, response.read()) == (200, b"ok")


def test_a_caller_that_leaves_is_noticed_on_a_connection_that_is_to_be_closed(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that run on for callers who have left."""
    entry, crossing = _send_as_the_connection_is_closed(stack, monkeypatch)
    crossing.close()
    time.sleep(2 * WATCHED_S)
    assert entry.left == ["/watched"]


def test_a_connection_in_use_is_not_closed_for_another_caller(stack: ExitStack) -> None:
    """Guards against closing a connection whose caller sends its next request."""
    entry = Entry()
    stack.callback(entry.close)
    used = _connect(stack, entry)
    for _ in range(3):
        assert _call(used) == 200
        kept = [_connect(stack, entry) for _ in range(WORKERS)]
        assert [_call(each) for each in kept[: WORKERS - 1]] == [200] * (WORKERS - 1)
        time.sleep(AGE_S)
        assert _call(used) == 200
        assert _call(kept[-1]) == 200
        for each in kept:
            each.close()
        time.sleep(AGE_S)
