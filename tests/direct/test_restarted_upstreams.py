"""Upstreams that restart under the same id while requests run on them."""

from __future__ import annotations

import json
import re
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import cbor2
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
    PlatformServer,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
    signed_response_bytes,
)

RESTART_KNOWN_S = 1.0
"""A registration is known within 0.25 s of its change; 0.3 s later all silent calls have ended."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


def _numbers(answer: Answer) -> list[int]:
    return [int(each) for each in re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)]


def _seen_by(server: PlatformServer, started: int) -> list[ServedRequest]:
    return [each for each in server.requests if each.started == started]


class _Caller:
    """A call on its own thread."""

    def __init__(self, entry: Entry, target: str) -> None:
        self._found: list[Answer] = []
        self.took_s = 0.0
        self._task = threading.Thread(target=self._call, args=(entry, target))
        self._task.start()

    def _call(self, entry: Entry, target: str) -> None:
        began = time.monotonic()
        self._found.append(entry.call("POST", target, body=b"b"))
        self.took_s = time.monotonic() - began

    def answer(self) -> Answer:
        """Wait for the answer and return it."""
        self._task.join()
        return self._found[0]


def test_requests_unanswered_by_the_earlier_start_end_as_unknown_at_once(
    system: Deployment,
) -> None:
    """The only server loses its network during a request that may run only once, and restarts under
    the same id. Its connections stay open and silent, so that the caller would wait until its time
    limit of three seconds. The caller must receive 502 as soon as the entry knows the new start,
    and the request must not run twice."""
    server = system.start_server("plain", lambda request, connection: time.sleep(5.0))
    entry = system.start_entry("e1")
    caller = _Caller(entry, "/once/x")
    eventually(lambda: server.requests, 1.0)
    server.isolate()
    server.handle_request = _answer
    system.restart_server(server, "plain")
    restarted = time.monotonic()
    answer = caller.answer()
    assert (answer.status, time.monotonic() - restarted < RESTART_KNOWN_S) == (502, True)
    assert len(server.requests) == 1
    assert entry.call("POST", "/once/y", body=b"b").status == 200


def test_a_late_answer_of_the_earlier_start_reaches_no_caller(system: Deployment) -> None:
    """The server loses its network with one request in progress and one idle connection, and
    restarts. The answers of its earlier start arrive while new requests run at the new start. The
    caller of the first request must receive 502, and each later caller its own answer."""

    def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_response(request, 200, request.target.encode())

    server = system.start_server("plain", handle_request)
    entry = system.start_entry("e1")
    late: list[ServerConnection] = []

    def answer_cut(request: ServedRequest, connection: ServerConnection) -> None:
        late.append(connection)
        time.sleep(0.2)
        connection.send_response(request, 200, b"late")

    server.handle_request = answer_cut
    assert entry.call("POST", "/once/kept", body=b"b").body == b"late"
    caller = _Caller(entry, "/once/x")
    eventually(lambda: len(server.requests) == 2, 1.0)
    server.isolate()
    server.handle_request = handle_request
    system.restart_server(server, "plain")
    assert caller.answer().status == 502
    for connection in late:
        connection.send(signed_response_bytes(server.requests[1].request_id, 200, b"later"))
    server.deliver_held_output()
    for number in range(6):
        target = f"/once/{number}"
        answer = entry.call("POST", target, body=b"b")
        assert (answer.status, answer.body) == (200, target.encode())
    assert len(_seen_by(server, server.started)) == 6


def test_a_stream_continues_at_the_new_start(system: Deployment) -> None:
    """The only engine loses its network during a resumable stream and restarts under the same id.
    The stream must continue there at its next event as soon as the entry knows the new start,
    although the earlier start has just failed."""
    server = system.start_server("engine", event_stream_handler(30, pause_s=0.03))
    entry = system.start_entry("e1")
    first = server.started
    caller = _Caller(entry, "/resume/x")
    time.sleep(0.4)
    server.isolate()
    system.restart_server(server, "engine")
    answer = caller.answer()
    assert (answer.status, answer.complete) == (200, True)
    assert _numbers(answer) == list(range(1, 31))
    assert caller.took_s < 0.4 + RESTART_KNOWN_S + 1.0
    assert [len(_seen_by(server, each)) for each in (first, server.started)] == [1, 1]


def test_a_new_start_after_a_fast_crash_is_used_at_once(system: Deployment) -> None:
    """The only server crashes under load and restarts within 0.1 s, long before its registration
    lapses. An entry avoids a failed server for a second or two. The new start must be used as soon
    as the entries know it, and the requests that the crash cut must end as unknown."""
    server = system.start_server("plain", lambda request, connection: time.sleep(5.0))
    entries = [system.start_entry("e1"), system.start_entry("e2")]
    callers = [_Caller(entry, "/once/x") for entry in entries for _ in range(4)]
    eventually(lambda: len(server.requests) == len(callers), 2.0)
    server.crash()
    server.handle_request = _answer
    time.sleep(0.1)
    system.restart_server(server, "plain")
    assert {caller.answer().status for caller in callers} == {502}
    for entry in entries:
        eventually(
            lambda e=entry: e.log_lines_containing("event=upstream_restarted"), RESTART_KNOWN_S
        )
        for _ in range(4):
            assert entry.call("POST", "/once/y", body=b"b").status == 200
    assert len(server.requests) == len(callers) + 8


def test_a_stream_that_reached_the_new_start_early_is_not_cut(system: Deployment) -> None:
    """The server restarts and accepts a stream before the entry reads its new registration. The
    entry then attributes the stream to the earlier start. Since the stream still receives events,
    it must not be ended, and its caller must receive all of it."""
    server = system.start_server("engine", event_stream_handler(40, pause_s=0.03))
    entry = system.start_entry("e1")
    server.crash()
    server.start()
    caller = _Caller(entry, "/stream/x")
    time.sleep(0.4)
    system.objects.put("servers", server.instance, server.registration("engine"))
    answer = caller.answer()
    assert entry.log_lines_containing("event=upstream_restarted")
    assert (answer.complete, _numbers(answer)) == (True, list(range(1, 41)))


@pytest.mark.parametrize("deaf", [False, True], ids=["watched", "deaf"])
def test_items_continue_when_their_engine_restarts_twice(system: Deployment, deaf: bool) -> None:
    """A job runs at the only engine, which loses its network and restarts, then crashes and
    restarts. With ``deaf``, the store's watches deliver none of these changes, and the read every
    two seconds finds the new start. Every item must continue after its last event and end once with
    its whole text."""
    server = system.start_server("engine", event_stream_handler(40, pause_s=0.05))
    entries = [system.start_entry("e1"), system.start_entry("e2")]
    names = [f"item-{number}" for number in range(5)]
    answer = entries[0].call("POST", "/batch/1", body=job_body(*names), request_id="job-1")
    assert answer.status == 202
    eventually(lambda: len(server.requests) >= 5, 3.0)
    time.sleep(0.5)
    system.objects.faults.suppress_watch_events = deaf
    server.isolate()
    system.restart_server(server, "engine")
    second = server.started
    eventually(lambda: len(_seen_by(server, second)) >= 5, 4.5 if deaf else 2.0)
    time.sleep(0.3)
    server.crash()
    system.restart_server(server, "engine")
    results = eventually(lambda: all_results(entries[1], "job-1"), 15.0)
    texts = {json.dumps(each["text"]) for each in results}
    assert {each["state"] for each in results} == {"completed"}
    assert sorted(each["id"] for each in results) == sorted(names)
    assert len(texts) == 1
    assert texts.pop().count("piece") == 40
    resumed = [each for each in server.requests if each.started != server.requests[0].started]
    assert all("last-event-id" in each.headers for each in resumed)
    for entry in entries:
        eventually(lambda e=entry: e.log_lines_containing(f"started={server.started}"), 4.5)


@contextmanager
def _peer_sending(entry: Entry, hint: dict[str, Any]) -> Iterator[None]:
    """Send hints like another entry, five times a second."""
    over = threading.Event()
    own = {"n": "e9", "i": "1", "a": ["127.0.0.1", 9], "e": {}, "v": {}, "x": False, "s": True}

    def send_hints() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while not over.is_set():
                sock.sendto(cbor2.dumps(own | hint), ("127.0.0.1", entry.peer_port))
                over.wait(0.2)

    task = threading.Thread(target=send_hints)
    task.start()
    time.sleep(0.5)
    try:
        yield
    finally:
        over.set()
        task.join()


def test_peer_loads_of_the_earlier_start_do_not_count_for_the_new_one(
    system: Deployment,
) -> None:
    """Another entry reports the only server as overloaded: either with its earlier start, or, like
    entries of the previous version, without a start. Callers must be refused before the server
    restarts and served after it. A report with the new start must cause refusals again."""
    server = system.start_server("plain", _answer)
    entry = system.start_entry("e1")
    loads = {"l": {server.instance: [400, 0]}}
    earlier = loads | {"b": {server.instance: server.started}}
    for hint in (loads, earlier):
        with _peer_sending(entry, hint):
            assert entry.call("POST", "/once/x", body=b"b").status == 503
    server.crash()
    system.restart_server(server, "plain")
    eventually(lambda: entry.log_lines_containing("event=upstream_restarted"), RESTART_KNOWN_S)
    for hint in (loads, earlier):
        with _peer_sending(entry, hint):
            assert entry.call("POST", "/once/x", body=b"b").status == 200
    with _peer_sending(entry, loads | {"b": {server.instance: server.started}}):
        assert entry.call("POST", "/once/x", body=b"b").status == 503


def test_a_registration_that_gains_a_start_counts_as_a_restart(system: Deployment) -> None:
    """The first registration comes from a writer that sends no start. The server loses its network;
    when a registration with a start arrives, the calls to the earlier one must end at once."""
    server = system.start_server("plain", lambda request, connection: time.sleep(5.0), started=0)
    entry = system.start_entry("e1")
    caller = _Caller(entry, "/once/x")
    eventually(lambda: server.requests, 1.0)
    server.isolate()
    server.handle_request = _answer
    system.restart_server(server, "plain")
    assert (caller.answer().status, caller.took_s < 2.0) == (502, True)
    assert entry.call("POST", "/once/y", body=b"b").status == 200
