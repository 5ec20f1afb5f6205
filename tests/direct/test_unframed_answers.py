"""Answers that end with their connection, break off, or have no end."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    Answer,
    Deployment,
    Entry,
    all_results,
    deployment,
    eventually,
    job_body,
)

from carobspool_standins.platform_server import (
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_bytes,
    event_stream_handler,
)

EVENTS = 5
BODY = b"x" * 100_000
DEADLINE_S = 3.0
SLACK_S = 0.5
MAX_MEMORY_KB = 80_000
"""Two answers of 16 MiB that are read as a whole, each held twice while it is joined."""
ENDLESS = {
    "header": (b"HTTP/1.1 200 OK\r\na: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "body": (b"", b"x"),
    "no HTTP": (b"\0", b"\0"),
}
TARGETS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


def _events(first: int = 1) -> bytes:
    return b"".join(event_bytes(number) for number in range(first, EVENTS + 1))


def _first(request: ServedRequest) -> int:
    return int(request.headers.get("last-event-id", "0")) + 1


def _answer_open(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_open_headers(request)
    is_stream = request.target.startswith(("/stream", "/resume", "/batch"))
    connection.send(_events(_first(request)) if is_stream else BODY)
    connection.close()


def _end_in_an_event(request: ServedRequest, connection: ServerConnection) -> None:
    """Send two events and a part of the third, with a proper end of the connection."""
    connection.send_open_headers(request)
    connection.send(event_bytes(1) + event_bytes(2) + event_bytes(3)[:-5])
    connection.close()


def _end_chunks_in_an_event(request: ServedRequest, connection: ServerConnection) -> None:
    """The same with the last chunk of a chunked body."""
    connection.send_stream_headers(request)
    connection.send_chunk(event_bytes(1) + event_bytes(2) + event_bytes(3)[:-5])
    connection.end_stream()


def _end_before_the_first_event(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_open_headers(request)
    connection.close()


def _reset_in_the_body(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_open_headers(request)
    connection.send(BODY[:1000])
    time.sleep(0.05)
    connection.reset()


def _once(faulty: RequestHandler, sound: RequestHandler) -> RequestHandler:
    """Return a handler that is faulty at its first request."""
    calls: list[None] = []

    def handle(request: ServedRequest, connection: ServerConnection) -> None:
        calls.append(None)
        (faulty if len(calls) == 1 else sound)(request, connection)

    return handle


def _start_servers(system: Deployment, entry: Entry, handler: RequestHandler, count: int) -> None:
    """Start servers and wait until an entry knows them."""
    started = {system.start_server("engine", handler).instance for _ in range(count)}
    eventually(lambda: entry.known_servers() == started, 5.0)


def _call(entry: Entry, target: str) -> Answer | None:
    """Return the answer, ``None`` if it was cut off."""
    try:
        answer = entry.call("POST", target, body=b"x")
    except OSError:
        return None
    return answer if answer.complete else None


def test_an_answer_with_neither_length_nor_chunks_is_served_whole(system: Deployment) -> None:
    """Guards against losing what a server sends up to the end of its connection."""
    for service in ("plain", "engine"):
        system.start_server(service, _answer_open)
    entry = system.start_entry("e1")
    for target in TARGETS:
        answer = eventually(lambda t=target: _call(entry, t), 5.0)
        assert answer.status == 200
        assert answer.body == (BODY if target.startswith(("/safe", "/once")) else _events())
    assert entry.call("POST", "/batch/1", body=job_body("a"), request_id="job").status == 202
    (result,) = eventually(lambda: all_results(entry, "job"), 5.0)
    assert result["text"] == "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))


def test_an_open_answer_that_is_reset_is_not_taken_as_complete(system: Deployment) -> None:
    """Guards against passing on a part of an answer as the whole one."""
    system.start_server("plain", _once(_reset_in_the_body, _answer_open))
    entry = system.start_entry("e1")
    answer = _call(entry, "/once/x")
    assert answer is not None
    assert answer.status == 502


@pytest.mark.parametrize(
    "faulty", [_end_in_an_event, _end_chunks_in_an_event, _end_before_the_first_event]
)
def test_a_stream_that_ends_inside_an_event_has_been_broken_off(
    system: Deployment, faulty: RequestHandler
) -> None:
    """Guards against a stream that ends as complete though its server broke it off."""
    sound = event_stream_handler(EVENTS)
    entry = system.start_entry("e1")
    for target in ("/stream/x", "/resume/x"):
        system.remove_servers()
        handler = _once(faulty, sound)
        _start_servers(system, entry, handler, 2)
        answer = _call(entry, target)
        if target == "/resume/x":
            assert answer is not None
            assert answer.body == _events()
        else:
            assert answer is None or answer.status == 502
    system.remove_servers()
    _start_servers(system, entry, _once(faulty, sound), 1)
    assert entry.call("POST", "/batch/1", body=job_body("a"), request_id="job").status == 202
    (result,) = eventually(lambda: all_results(entry, "job"), 10.0)
    assert result["text"] == "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))


@pytest.mark.parametrize("answer", ENDLESS.values(), ids=ENDLESS)
def test_answers_without_end_neither_fill_the_memory_nor_hold_their_callers(
    system: Deployment, answer: tuple[bytes, bytes]
) -> None:
    """Guards against a faulty server whose bytes fill an entry's memory."""
    begin, piece = answer

    def write(request: ServedRequest, connection: ServerConnection) -> None:
        if b"endless" not in request.body:
            sound = _answer_open if request.target.startswith(("/safe", "/once")) else stream
            sound(request, connection)
            return
        if begin:
            connection.send(begin)
        else:
            connection.send_open_headers(request)
        until = time.monotonic() + 2.0 * DEADLINE_S
        while time.monotonic() < until and not connection.peer_has_closed:
            connection.send(piece * 65_536)
        connection.close()

    stream = event_stream_handler(EVENTS)
    for service in ("plain", "engine"):
        for _ in range(2):
            system.start_server(service, write)
    entry = system.start_entry("e1")
    eventually(lambda: all(_call(entry, target) for target in TARGETS), 5.0)
    before = _memory_kb(entry, "VmRSS")
    for target in TARGETS:
        begun = time.monotonic()
        found = None
        with contextlib.suppress(OSError):
            found = entry.call("POST", target, body=b"endless")
        assert time.monotonic() - begun < DEADLINE_S + SLACK_S
        assert found is None or found.status in (502, 504) or not found.complete
    assert _memory_kb(entry, "VmHWM") - before < MAX_MEMORY_KB
    assert [_call(entry, target) is not None for target in TARGETS] == [True] * len(TARGETS)


@pytest.mark.parametrize(
    ("target", "status"),
    [
        *(("/batch/1", status) for status in (421, 500, 503)),
        *((target, status) for target in ("/once/x", "/stream/x") for status in (421, 503)),
    ],
)
@pytest.mark.parametrize("length", [None, 100_000], ids=["endless", "truncated"])
def test_a_refusal_whose_body_does_not_end_holds_nobody(
    system: Deployment, status: int, length: int | None, target: str
) -> None:
    """Guards against items, and requests, that wait for the rest of an answer whose head has told
    that they did not run."""

    def refuse(request: ServedRequest, connection: ServerConnection) -> None:
        if len(refused) >= 1:
            (sound if target != "/once/x" else _answer_open)(request, connection)
            return
        refused.append(request.request_id)
        head = f"HTTP/1.1 {status} No\r\nRequest-Id: {request.request_id}\r\n"
        head += "Server-Stamp: s\r\n" if status == 500 else "Not-Executed: 1\r\n"
        head += f"Content-Length: {length}\r\n" if length else ""
        connection.send(head.encode() + b"\r\n" + b"x" * 2_000)
        until = time.monotonic() + 10.0 * DEADLINE_S
        while time.monotonic() < until and not connection.peer_has_closed:
            time.sleep(0.05)
            if length is None:
                connection.send(b"x" * 1_000)
        connection.close()

    refused: list[str] = []
    sound = event_stream_handler(EVENTS)
    for service in ("plain", "engine"):
        for _ in range(2):
            system.start_server(service, refuse)
    entry = system.start_entry("e1")
    eventually(lambda: len(entry.known_servers()) == 4, 5.0)
    if target == "/batch/1":
        assert entry.call("POST", target, body=job_body("a"), request_id="job").status == 202
        (result,) = eventually(lambda: all_results(entry, "job"), 8.0)
        assert result["state"] == "completed"
        return
    begun = time.monotonic()
    answer = _call(entry, target)
    assert time.monotonic() - begun < 1.5
    assert answer is not None
    assert answer.status == 200


def _memory_kb(entry: Entry, name: str) -> int:
    status = Path(f"/proc/{entry.process.pid}/status").read_text()
    return int(status.split(f"{name}:")[1].split()[0])
