"""Requests to an upstream that answers late, or that has started again."""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from carobspool_core import Millis, monotonic_clock
from carobspool_core.direct import UNKNOWN_VERSION, Upstream
from carobspool_node.direct._channel import Cancellation
from carobspool_node.direct._errors import CallCancelledError, DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._start_check import StartReport
from carobspool_node.direct._upstream_calls import (
    CHECK_TIMEOUT,
    FIRST_CHECK_TIMEOUT,
    Joins,
    UpstreamCall,
    UpstreamRequest,
)
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections
from carobspool_standins.platform_server import (
    REPORT_PATH,
    PlatformServer,
    ServedRequest,
    ServerConnection,
    serve_platform_server,
)

NAMES = HeaderNames(**{each: b"x-" + each.encode() for each in HeaderNames.__struct_fields__})
ANSWER_AFTER_S = 0.4


@pytest.fixture
def upstream() -> Iterator[Upstream]:
    """A server that accepts one request and answers it after `ANSWER_AFTER_S`."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                time.sleep(ANSWER_AFTER_S)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                connection.recv(65_536)

        threading.Thread(target=serve, daemon=True).start()
        yield Upstream(
            instance="u",
            service="engine",
            address=listener.getsockname(),
            failure_domain="a",
            slots=8,
            ready=True,
        )


@pytest.mark.parametrize("busy", [False, True])
def test_a_call_ends_when_its_upstream_falls_silent(upstream: Upstream, busy: bool) -> None:
    """The answer arrives after 400 ms. The upstream counts as silent after 100 ms without sending a
    byte to any caller. A busy upstream still sends data to other callers, so the call waits."""
    clock = monotonic_clock()
    started = clock.now()

    def idle_deadline() -> Millis:
        return (clock.now() if busy else started) + 100.0

    call = UpstreamCall(UpstreamConnections(clock), upstream, NAMES)
    request = UpstreamRequest(
        method=b"POST", target=b"/", headers=[(b"Host", b"h")], body=b"", request_id="r"
    )
    try:
        if not busy:
            with pytest.raises(DeadlinePassedError):
                call.start(request, started + 5_000.0, idle_deadline=idle_deadline)
            return
        assert call.start(request, started + 5_000.0, idle_deadline=idle_deadline).status == 200
    finally:
        call.close()


SERVER_NAMES = HeaderNames(expect_instance=b"expect-instance", signature=b"server-stamp")
STARTED = 1_700_000_000_000
VERSION = "v1"
REPORT = StartReport(path=REPORT_PATH, read_started=lambda body: json.loads(body).get("born", 0))


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


@contextmanager
def _server(started: int = STARTED) -> Iterator[PlatformServer]:
    with serve_platform_server("u", _answer, started=started) as server:
        yield server


def _registered(server: PlatformServer, instance: str = "u") -> Upstream:
    return Upstream(
        instance=instance,
        service="engine",
        address=server.address,
        failure_domain="a",
        slots=8,
        ready=True,
        started=STARTED,
        version=VERSION,
    )


def _call(
    connections: UpstreamConnections, upstream: Upstream, joins: Joins | None = Joins.BEFORE
) -> tuple[int, str]:
    """Make a call under an id of its own; return its status and the version that it counts as."""
    request_id = uuid.uuid4().hex
    call = UpstreamCall(connections, upstream, SERVER_NAMES)
    request = UpstreamRequest(
        method=b"POST",
        target=b"/",
        headers=[
            (b"Host", b"h"),
            (b"Request-Id", request_id.encode()),
            (b"Content-Length", b"0"),
        ],
        body=b"",
        request_id=request_id,
    )
    deadline = connections.clock.now() + 5_000.0
    try:
        head = call.start(request, deadline, joins=joins)
        call.read_body(deadline)
        return head.status, call.version
    finally:
        call.close()


def _start_again(server: PlatformServer) -> None:
    """Restart a server without registering its new start."""
    server.crash()
    server.start()
    assert server.started != STARTED


def test_an_upstream_confirms_its_start_once_on_each_connection() -> None:
    """Guards against a question before each stream that goes on."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        assert [_call(connections, _registered(server)) for _ in range(3)] == [(200, VERSION)] * 3
        assert (server.reports, server.connections) == (1, 1)
        _start_again(server)
        # The resets of its connections may arrive later.
        connections.retain_only(set())
        with pytest.raises(CallFailedError, match="it has started again") as failure:
            _call(connections, _registered(server))
        assert not failure.value.sent
        assert len(server.requests) == 3


def test_nothing_goes_on_at_an_upstream_under_another_id() -> None:
    """Guards against an address that another upstream has taken over."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        with pytest.raises(CallFailedError, match="status 421"):
            _call(connections, _registered(server, instance="earlier"))
        assert not server.requests


def test_an_upstream_whose_report_states_no_start_is_called() -> None:
    """Guards against streams that end because an upstream does not state its start."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server(started=0) as server:
        assert _call(connections, _registered(server)) == (200, VERSION)


@pytest.mark.parametrize(
    ("joins", "timeout"),
    [(Joins.BEFORE, CHECK_TIMEOUT), (Joins.AFTER, FIRST_CHECK_TIMEOUT)],
)
def test_an_upstream_that_does_not_report_is_given_up_soon(joins: Joins, timeout: Millis) -> None:
    """Guards against a stream that waits for a frozen upstream until its caller gives up."""
    clock = monotonic_clock()
    connections = UpstreamConnections(clock, REPORT)
    with _server() as server:
        server.hold_output()
        began = clock.now()
        with pytest.raises(CallFailedError, match="start not confirmed"):
            _call(connections, _registered(server), joins)
        assert timeout <= clock.now() - began < timeout + CHECK_TIMEOUT
        assert not server.requests


def test_a_stream_begins_at_an_upstream_that_reports_late() -> None:
    """Guards against requests that are refused since a busy server is slow to report."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        server.hold_output()
        threading.Timer(1.5 * CHECK_TIMEOUT / 1_000.0, server.release_output).start()
        assert _call(connections, _registered(server), Joins.AFTER) == (200, VERSION)


def test_an_upstream_that_closes_after_its_report_is_called_on_another_connection() -> None:
    """Guards against streams that cannot go on at servers without persistent connections."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        server.closes_after_report = True
        assert _call(connections, _registered(server)) == (200, VERSION)
        assert (server.reports, server.connections) == (1, 2)


def test_a_stream_that_begins_at_another_start_is_served() -> None:
    """Guards against a stream that counts as one of the version which is registered."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        upstream = _registered(server)
        assert _call(connections, upstream, Joins.AFTER) == (200, VERSION)
        _start_again(server)
        # The resets of its connections may arrive later.
        connections.retain_only(set())
        assert [_call(connections, upstream, Joins.AFTER) for _ in range(2)] == [
            (200, UNKNOWN_VERSION)
        ] * 2
        assert server.reports == 2
        with pytest.raises(CallFailedError, match="start not confirmed"):
            _call(connections, upstream)
        assert server.reports == 2


def test_an_upstream_is_not_asked_for_answers_that_nothing_joins() -> None:
    """Guards against a question before each request."""
    connections = UpstreamConnections(monotonic_clock(), REPORT)
    with _server() as server:
        assert _call(connections, _registered(server), None) == (200, VERSION)
        assert server.reports == 0


def test_a_question_for_the_start_can_be_cancelled() -> None:
    """Guards against a batch item that cannot be preempted while its upstream is silent."""
    clock = monotonic_clock()
    cancellation = Cancellation()
    with _server() as server:
        server.hold_output()
        call = UpstreamCall(
            UpstreamConnections(clock, REPORT),
            _registered(server),
            SERVER_NAMES,
            cancellation=cancellation,
        )
        threading.Timer(0.1, cancellation.cancel, ["preempted"]).start()
        request = UpstreamRequest(
            method=b"POST", target=b"/", headers=[(b"Host", b"h")], body=b"", request_id="r"
        )
        began = clock.now()
        with pytest.raises(CallCancelledError):
            call.start(request, began + 5_000.0, joins=Joins.AFTER)
        call.close()
        assert clock.now() - began < CHECK_TIMEOUT


def test_a_connection_carries_no_second_request_with_an_id() -> None:
    """Guards against a late second answer that is taken for the answer to a further request."""
    with _server() as server:
        connections = UpstreamConnections(monotonic_clock())
        upstream = _registered(server)
        first = connections.acquire(upstream, "r")
        first.record_request("r")
        first.idle_limit = 5_000.0
        connections._add_idle(upstream, first)
        other = connections.acquire(upstream, "r")
        assert other is not first
        other.close()
        assert connections.acquire(upstream, "s") is first
        first.close()
