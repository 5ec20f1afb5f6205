"""Answers of servers that have not read the whole request, and statuses that HTTP does not define,
at a running entry."""

from __future__ import annotations

import socket
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

UPLOAD = b"x" * 3_500_000
EVENTS = 4
TARGETS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


def _call(entry: Entry, target: str, body: bytes = b"x") -> Answer | None:
    """Return the answer, ``None`` if it was cut off."""
    try:
        answer = entry.call("POST", target, body=body)
    except OSError:
        return None
    return answer if answer.complete else None


def _cut(end: str) -> RequestHandler:
    """Return a handler that sends a part of an open answer and cuts the upload."""

    def handle(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_open_headers(request)
        connection.send(event_bytes(1) + event_bytes(2))
        if end == "shut down":
            connection.socket.shutdown(socket.SHUT_WR)
        time.sleep(0.1)
        connection.reset()

    return handle


@pytest.mark.parametrize("end", ["reset", "shut down"])
@pytest.mark.parametrize("target", TARGETS)
def test_no_part_of_an_answer_is_complete_if_the_upload_was_cut(
    system: Deployment, target: str, end: str
) -> None:
    """Guards against a part of an answer that the caller gets as a complete one."""
    for service in ("plain", "engine"):
        system.start_server(service, _cut(end)).reads_bodies = False
    entry = system.start_entry("e1")
    eventually(lambda: len(entry.known_servers()) == 2, 5.0)
    answer = _call(entry, target, UPLOAD)
    assert answer is None or answer.status in (502, 504)


def _item(job_id: str, body: bytes) -> bytes:
    return job_body(job_id).replace(b'"body": "', b'"body": "' + body, 1)


@pytest.mark.parametrize("end", ["reset", "shut down"])
def test_no_part_of_an_items_answer_is_its_result(system: Deployment, end: str) -> None:
    """Guards against a result that lacks what the server had not sent."""
    calls: list[ServedRequest] = []
    sound = event_stream_handler(EVENTS)
    server = system.start_server("engine", sound)

    def handle(request: ServedRequest, connection: ServerConnection) -> None:
        calls.append(request)
        server.reads_bodies = True
        (_cut(end) if len(calls) == 1 else sound)(request, connection)

    server.handle_request, server.reads_bodies = handle, False
    entry = system.start_entry("e1")
    eventually(lambda: len(entry.known_servers()) == 1, 5.0)
    submitted = entry.call("POST", "/batch/1", body=_item("a", UPLOAD[:3_000_000]), request_id="j")
    assert submitted.status == 202
    (result,) = eventually(lambda: all_results(entry, "j"), 15.0)
    assert len(calls) > 1
    assert result["text"] == "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))


def _status(status: str) -> RequestHandler:
    def handle(request: ServedRequest, connection: ServerConnection) -> None:
        head = f"HTTP/1.1 {status} X\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n"
        connection.send(head.encode() + b"Content-Length: 2\r\n\r\nok")
        connection.close()

    return handle


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_a_status_that_http_does_not_define_reaches_no_caller(
    system: Deployment, status: str
) -> None:
    """Guards against bytes of a server in trouble that the caller gets as an answer."""
    for service in ("plain", "engine"):
        system.start_server(service, _status(status))
    entry = system.start_entry("e1")
    eventually(lambda: len(entry.known_servers()) == 2, 5.0)
    for target in TARGETS:
        answer = _call(entry, target)
        assert answer is None or answer.status in (502, 503, 504)
    assert entry.call("POST", "/batch/1", body=job_body("a"), request_id="j").status == 202
    time.sleep(1.0)
    assert all_results(entry, "j") is None
    system.remove_servers()
    system.start_server("engine", event_stream_handler(EVENTS))
    (result,) = eventually(lambda: all_results(entry, "j"), 15.0)
    assert result["state"] == "completed"


@pytest.mark.parametrize("status", [0, 600, 999])
def test_a_store_that_answers_with_such_a_status_counts_as_down(
    system: Deployment, status: int
) -> None:
    """Guards against a store whose bytes are taken for a listing, or for an acknowledgement."""
    system.start_server("engine", event_stream_handler(EVENTS))
    entry = system.start_entry("e1")
    eventually(lambda: len(entry.known_servers()) == 1, 5.0)
    system.objects.faults.status = status or -1
    answer = _call(entry, "/resume/x")
    assert answer is not None
    assert answer.status == 200
    refused = entry.call("POST", "/batch/1", body=job_body("a"), request_id="j")
    assert refused.status in (502, 503, 504)
    system.objects.faults.status = 0
    eventually(
        lambda: entry.call("POST", "/batch/1", body=job_body("a"), request_id="j").status == 202,
        10.0,
    )
    eventually(lambda: all_results(entry, "j"), 15.0)
