"""Answers to callers while servers freeze and resume, are slow, reset connections or hang."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from direct_harness import Deployment, all_results, deployment, eventually, job_body

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

EVENTS = 30
PAUSE_S = 0.03
TARGET_S = 0.3


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


class _FreezableStream:
    """Streams events, and pauses with open connections while ``running`` is not set."""

    def __init__(self) -> None:
        self.running = threading.Event()
        self.running.set()

    def __call__(self, request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_stream_headers(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            self.running.wait(20.0)
            connection.send_event(number)
            time.sleep(PAUSE_S)
        connection.end_stream()


def test_a_job_completes_although_its_server_froze_and_resumed(system: Deployment) -> None:
    """A server freezes for five seconds during ten items, with its connections open. Every item
    must complete, and no event of the frozen runs may appear twice."""
    freezable = _FreezableStream()
    system.start_server("engine", freezable)
    system.start_server("engine", event_stream_handler(EVENTS, pause_s=PAUSE_S))
    entries = [system.start_entry("e1"), system.start_entry("e2")]
    names = [f"item-{number}" for number in range(10)]
    assert (
        entries[0].call("POST", "/batch/j", body=job_body(*names), request_id="job-1").status == 202
    )
    time.sleep(0.4)
    freezable.running.clear()
    threading.Timer(5.0, freezable.running.set).start()
    results = eventually(lambda: all_results(entries[1], "job-1"), 15.0)
    assert sorted(each["id"] for each in results) == sorted(names)
    assert {each["state"] for each in results} == {"completed"}
    assert len({each["text"] for each in results}) == 1
    assert results[0]["text"].count("piece") == EVENTS


def test_callers_do_not_wait_for_slow_servers(system: Deployment) -> None:
    """Two of six servers take two seconds until the first event. At first they receive streams too.
    Since these requests stay in flight, the other servers then receive nearly all streams, and most
    streams must begin in time."""

    def slow(request: ServedRequest, connection: ServerConnection) -> None:
        time.sleep(2.0)
        event_stream_handler(6, pause_s=PAUSE_S)(request, connection)

    for _ in range(2):
        system.start_server("engine", slow)
    for _ in range(4):
        system.start_server("engine", event_stream_handler(6, pause_s=PAUSE_S))
    entry = system.start_entry("e1")

    def first_event_s(_: int) -> float:
        started = time.monotonic()
        answer = entry.call("POST", "/resume/x", body=b"b")
        took = time.monotonic() - started
        assert answer.status == 200 and answer.complete
        return took

    with ThreadPoolExecutor(8) as callers:
        times = list(callers.map(first_event_s, range(80)))
    in_time = sum(each <= TARGET_S + 6 * PAUSE_S for each in times)
    assert in_time >= 0.85 * len(times)


def test_an_answer_is_made_and_delivered_once_although_connections_are_reset(
    system: Deployment,
) -> None:
    """The server runs each request and resets the connection before the answer or in the middle of
    it. A request that may not be repeated must reach a server once, and its caller must receive
    502. A resumable stream must contain each event once."""
    resets = Counter[str]()

    def runs_and_resets(request: ServedRequest, connection: ServerConnection) -> None:
        resets[request.request_id] += 1
        connection.reset()

    def breaks(request: ServedRequest, connection: ServerConnection) -> None:
        connection.send_stream_headers(request)
        for number in (1, 2, 3):
            connection.send_event(number)
        time.sleep(0.05)
        connection.reset()

    system.start_server("plain", runs_and_resets)
    broken = system.start_server("engine", breaks)
    system.start_server("engine", event_stream_handler(6))
    entry = system.start_entry("e1")
    for number in range(5):
        answer = entry.call("POST", "/once/x", body=b"b", request_id=f"once-{number}")
        assert answer.status == 502
        assert resets[f"once-{number}"] == 1
    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
    for _ in range(8):
        answer = entry.call("POST", "/resume/x", body=b"b")
        assert answer.complete
        assert answer.body == expected
        if broken.requests:
            return
        time.sleep(1.1)
    pytest.fail("no stream reached the server that resets connections")


def test_a_safe_request_is_answered_although_a_server_hangs(system: Deployment) -> None:
    """One of three servers accepts requests and never answers. Every request must be answered by
    another server within the route's time limit, and later requests must avoid the server that
    hangs."""
    hangs = system.start_server("plain", lambda request, connection: time.sleep(10.0))
    for _ in range(2):
        system.start_server("plain", lambda request, connection: connection.send_response(request))
    entry = system.start_entry("e1")
    slow = 0
    for _ in range(30):
        started = time.monotonic()
        assert entry.call("GET", "/safe/x").status == 200
        slow += time.monotonic() - started > 1.0
    assert 1 <= len(hangs.requests) <= 6
    assert slow <= len(hangs.requests)
