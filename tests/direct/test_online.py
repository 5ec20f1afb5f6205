"""Online requests through a direct entry, to servers that work or fail in various ways."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import HOST, Deployment, Entry, deployment, eventually

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
    signed_response_bytes,
)

Served = tuple[Deployment, Entry]


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Served]:
    """One entry for all tests of this file."""
    with deployment(tmp_path_factory.mktemp("online")) as system:
        yield system, system.start_entry("e1")


@pytest.fixture
def served(running: Served) -> Iterator[Served]:
    """The deployment and its entry; after the test, the entry has no servers."""
    system, _ = running
    yield running
    system.remove_servers()


def _settle() -> None:
    """Wait until the entry knows all servers; it pauses 250 ms between two watches."""
    time.sleep(0.6)


def test_an_answer_is_passed_on_unchanged(served: Served) -> None:
    system, entry = served

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_response(request, 418, b"\x00tea", "X-Own: 1\r\n")

    server = system.start_server("plain", handle_request)
    _settle()
    answer = entry.call("POST", "/safe/a?b=c", body=b"hello", headers={"X-Mine": "2"})
    assert (answer.status, answer.body) == (418, b"\x00tea")
    assert (answer.headers["server-stamp"], answer.headers["x-own"]) == ("s", "1")
    (seen,) = server.requests
    assert (seen.method, seen.target, seen.body) == ("POST", "/safe/a?b=c", b"hello")
    assert (seen.headers["x-mine"], seen.headers["host"]) == ("2", HOST)
    assert seen.headers["expect-instance"] == server.instance
    assert 0 < int(seen.headers["deadline-ms"]) <= 3_000


def test_a_late_second_answer_never_reaches_another_request(served: Served) -> None:
    """The server answers the first request twice. The second copy is read on the reused connection
    in place of the answer to the next caller, who must receive the answer to its own request."""
    system, entry = served

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_response(request, 200, request.target.encode())
        if request.target.endswith("first"):
            late = signed_response_bytes(request.request_id, 200, b"stale")
            threading.Timer(0.3, connection.send, (late,)).start()
        else:
            time.sleep(0.0)

    system.start_server("plain", handle_request)
    _settle()
    assert entry.call("GET", "/safe/first").body == b"/safe/first"
    time.sleep(0.5)
    assert entry.call("GET", "/safe/second").body == b"/safe/second"


def test_a_stale_answer_before_the_expected_one_is_skipped(served: Served) -> None:
    """The stale answer arrives after the second request was sent, directly before its answer."""
    system, entry = served
    earlier: list[str] = []

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        for request_id in earlier:
            connection.send(signed_response_bytes(request_id, 200, b"stale"))
        earlier[:] = [request.request_id]
        connection.send_response(request, 200, request.target.encode())

    server = system.start_server("plain", handle_request)
    _settle()
    for name in ("a", "b"):
        assert entry.call("GET", f"/safe/{name}").body == f"/safe/{name}".encode()
    assert server.connections == 1


@pytest.mark.parametrize(
    "invalid",
    [
        b"these bytes are no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 20\r\n\r\nshort",
    ],
    ids=["garbage", "unsigned", "truncated"],
)
def test_invalid_answers_are_never_forwarded(served: Served, invalid: bytes) -> None:
    """A safe request is answered by another server. A request that may run only once ends with an
    unknown outcome, since it may have run, and is not sent again."""
    system, entry = served

    def answer_invalid(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send(invalid)
        connection.close()

    system.start_server("plain", answer_invalid)
    _settle()
    answer = entry.call("POST", "/once/x", body=b"b")
    assert (answer.status, answer.headers["carobspool-outcome"]) == (502, "unknown")
    assert "retry-after" not in answer.headers
    assert len(system.servers[0].requests) == 1
    system.start_server("plain", lambda request, connection: connection.send_response(request))
    _settle()
    assert entry.call("GET", "/safe/x").body == b"ok"


def test_a_request_that_one_server_rejects_runs_at_another(served: Served) -> None:
    system, entry = served
    system.start_server("plain", lambda request, connection: connection.send_not_executed(request))
    _settle()
    assert entry.call("POST", "/once/x", body=b"b").status == 503
    good = system.start_server(
        "plain", lambda request, connection: connection.send_response(request)
    )
    _settle()
    for _ in range(4):
        assert entry.call("POST", "/once/x", body=b"b").status == 200
    assert len(good.requests) == 4


def test_a_refusal_is_immediate_and_has_a_retry_after(served: Served) -> None:
    """No server is registered. The entry must refuse at once and not wait for the deadline."""
    _, entry = served
    began = time.monotonic()
    answer = entry.call("POST", "/once/x", body=b"b")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert time.monotonic() - began < 0.5


def test_a_server_at_a_reused_address_does_not_run_the_request(served: Served) -> None:
    """A registration remains of a server whose address another service's server now uses. That
    server rejects the request, which then runs at a server of the right service."""
    system, entry = served
    good = system.start_server(
        "plain", lambda request, connection: connection.send_response(request)
    )
    stranger = system.start_server(
        "other", lambda request, connection: connection.send_response(request)
    )
    gone = stranger.registration("plain")
    system.objects.put("servers", "i-gone", gone)
    _settle()
    assert {entry.call("POST", "/once/x", body=b"b").status for _ in range(6)} == {200}
    system.objects.remove("servers", "i-gone")
    assert len(good.requests) == 6


def test_the_time_limit_of_the_route_ends_the_wait(served: Served) -> None:
    system, entry = served
    system.start_server("plain", lambda request, connection: time.sleep(8))
    _settle()
    began = time.monotonic()
    answer = entry.call("POST", "/once/x", body=b"b", headers={"Deadline-Ms": "600"})
    assert answer.status == 504
    assert 0.5 < time.monotonic() - began < 0.9


def test_a_disconnected_caller_ends_the_call_to_the_server(served: Served) -> None:
    """A caller closes its connection while a server works on its request. Within half a second the
    entry must close its connection to the server, so that the server can stop the work."""
    system, entry = served
    left: list[bool] = []

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        left.append(connection.wait_for_peer_close(2.0))
        connection.close()

    server = system.start_server("engine", handle_request)
    _settle()
    with socket.create_connection(("127.0.0.1", entry.port)) as caller:
        caller.sendall(
            f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: gone\r\n"
            "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n".encode()
        )
        eventually(lambda: server.requests, 2.0)
    eventually(lambda: left, 1.0)
    assert left == [True]


def test_events_arrive_complete_and_in_order(served: Served) -> None:
    system, entry = served
    system.start_server("engine", event_stream_handler(5, pause_s=0.02))
    _settle()
    answer = entry.call("POST", "/stream/x", body=b"b")
    assert answer.complete
    assert answer.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


def _break_after(count: int, rest: bytes = b"") -> object:
    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        start = int(request.headers.get("last-event-id", "0"))
        connection.send_stream_headers(request)
        for number in range(start + 1, start + count + 1):
            connection.send_event(number)
        if rest:
            connection.send_chunk(rest)
        time.sleep(0.1)
        connection.reset()

    return handle_request


def test_a_broken_stream_that_may_not_be_repeated_does_not_look_complete(served: Served) -> None:
    """The server resets the stream after two events. The caller must see that the answer is
    incomplete, and the request must not run a second time."""
    system, entry = served
    first = system.start_server("engine", _break_after(2))  # type: ignore[arg-type]
    second = system.start_server("engine", _break_after(2))  # type: ignore[arg-type]
    _settle()
    try:
        answer = entry.call("POST", "/stream/x", body=b"b")
        assert not answer.complete
    except ConnectionError:
        pass
    assert len(first.requests) + len(second.requests) == 1


@pytest.mark.parametrize("rest", [b"", b"id: 3\nda"], ids=["between events", "within an event"])
def test_a_resumable_stream_continues_at_its_next_event(served: Served, rest: bytes) -> None:
    system, entry = served
    broken = system.start_server("engine", _break_after(2, rest))  # type: ignore[arg-type]
    _settle()
    threading.Timer(0.05, lambda: None).start()
    good = system.start_server("engine", event_stream_handler(4))
    _settle()
    for _ in range(6):
        answer = entry.call("POST", "/resume/x", body=b"b")
        assert answer.complete
        expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
        assert answer.body == expected
        if broken.requests:
            break
        time.sleep(1.1)
    assert good.requests[-1].headers.get("last-event-id") in (None, "2")


def test_a_request_without_a_matching_route_is_answered_404(served: Served) -> None:
    _, entry = served
    assert entry.call("GET", "/nowhere/x").status == 404


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("POST /safe/x HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n", 400),
        ("POST /safe/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", 400),
        ("POST /safe/x HTTP/1.1\r\nX: " + "y" * 20_000 + "\r\n", 431),
        ("GET /safe/ HTTP/1.1\r\nbad line\r\n", 400),
        ("GET /safe/x", 408),
    ],
    ids=["two lengths", "bad chunk", "long header", "bad header", "slow header"],
)
def test_invalid_requests_are_refused_and_the_entry_continues_to_serve(
    served: Served, head: str, status: int
) -> None:
    system, entry = served
    server = system.start_server(
        "plain", lambda request, connection: connection.send_response(request)
    )
    _settle()
    with socket.create_connection(("127.0.0.1", entry.port)) as caller:
        caller.settimeout(3.0)
        ending = "" if status == 408 else f"Host: {HOST}\r\nRequest-Id: r\r\n\r\nzz\r\n"
        caller.sendall((head + ending).encode())
        assert caller.recv(4_096).split()[1] == str(status).encode()
    assert server.requests == []
    assert entry.call("GET", "/safe/x").status == 200


def test_a_burst_beyond_all_slots_is_spread_and_the_rest_is_refused_at_once(
    served: Served,
) -> None:
    """Forty callers send requests at once to two servers of eight slots each, whose answers took
    some milliseconds before and now take half a second. The servers must be used evenly, no caller
    waits for a deadline, and every refusal has a Retry-After."""
    system, entry = served
    slow = threading.Event()

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        if slow.is_set():
            time.sleep(0.5)
        connection.send_response(request)

    servers = [system.start_server("plain", handle_request) for _ in range(2)]
    _settle()
    for _ in range(30):
        assert entry.call("POST", "/once/x", body=b"b").status == 200
    slow.set()
    used_before = [len(server.requests) for server in servers]
    found: list[tuple[int, float, str]] = []

    def call() -> None:
        began = time.monotonic()
        answer = entry.call("POST", "/once/x", body=b"b")
        took = time.monotonic() - began
        found.append((answer.status, took, answer.headers.get("retry-after", "")))

    callers = [threading.Thread(target=call) for _ in range(40)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    served_count = sum(status == 200 for status, _, _ in found)
    refused = [each for each in found if each[0] == 503]
    assert served_count + len(refused) == 40
    assert served_count >= 24
    assert all(took < 0.4 and float(retry) > 0 for _, took, retry in refused)
    used = [len(each.requests) - before for each, before in zip(servers, used_before, strict=True)]
    assert abs(used[0] - used[1]) <= 4


def test_the_log_contains_the_outcome_of_a_request(served: Served, tmp_path: Path) -> None:
    system, entry = served
    system.start_server("plain", lambda request, connection: connection.send_response(request))
    _settle()
    entry.call("GET", "/safe/x", request_id="logged")
    (line,) = eventually(lambda: entry.log_lines_containing("request=logged"), 2.0)
    assert "outcome=answered status=200" in line
