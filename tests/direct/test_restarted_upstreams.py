"""Upstreams that start again under the id that they had, while requests run there."""

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
    deployment,
    eventually,
    finished,
    submission,
)

from carobspool_standins.platform_server import (
    PlatformServer,
    ServedRequest,
    ServerConnection,
    answer_bytes,
    stream_events,
)

SHOWN_S = 1.0
"""A registration is known within 0.25 s of its change, and 0.3 s later all that is silent ends."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Stand-ins without entries; no entry may log an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [line for entry in running.entries for line in entry.logged("level=error")] == []


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.answer(request)


def _numbers(answer: Answer) -> list[int]:
    return [int(each) for each in re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)]


def _seen_by(server: PlatformServer, started: int) -> list[ServedRequest]:
    return [each for each in server.seen if each.started == started]


class _Caller:
    """A call in a task of its own."""

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
        """Wait for the answer."""
        self._task.join()
        return self._found[0]


def test_what_the_earlier_start_has_not_answered_ends_as_unknown_at_once(
    system: Deployment,
) -> None:
    """The only server is cut off with a request that may run once, and starts again under its id.
    Its connections stay open and silent, so that the caller would wait until its time limit of
    three seconds. It must be told 502 when the new start shows, and nothing may run twice."""
    server = system.server("plain", lambda request, connection: time.sleep(5.0))
    entry = system.entry("e1")
    caller = _Caller(entry, "/once/x")
    eventually(lambda: server.seen, 1.0)
    server.cut_off()
    server.behave = _answer
    system.restart(server, "plain")
    restarted = time.monotonic()
    answer = caller.answer()
    assert (answer.status, time.monotonic() - restarted < SHOWN_S) == (502, True)
    assert len(server.seen) == 1
    assert entry.call("POST", "/once/y", body=b"b").status == 200


def test_a_late_answer_of_the_earlier_start_belongs_to_nobody(system: Deployment) -> None:
    """The server is cut off with one request running and one connection kept, and starts again. The
    answers of its earlier start arrive when new requests run at the new one. Each caller must get
    the answer of its own request; the first one was told that its end is unknown."""

    def behave(request: ServedRequest, connection: ServerConnection) -> None:
        connection.answer(request, 200, request.target.encode())

    server = system.server("plain", behave)
    entry = system.entry("e1")
    late: list[ServerConnection] = []

    def answer_cut(request: ServedRequest, connection: ServerConnection) -> None:
        late.append(connection)
        time.sleep(0.2)
        connection.answer(request, 200, b"late")

    server.behave = answer_cut
    assert entry.call("POST", "/once/kept", body=b"b").body == b"late"
    caller = _Caller(entry, "/once/x")
    eventually(lambda: len(server.seen) == 2, 1.0)
    server.cut_off()
    server.behave = behave
    system.restart(server, "plain")
    assert caller.answer().status == 502
    for connection in late:
        connection.send(answer_bytes(server.seen[1].request_id, 200, b"later"))
    server.deliver_late()
    for number in range(6):
        target = f"/once/{number}"
        answer = entry.call("POST", target, body=b"b")
        assert (answer.status, answer.body) == (200, target.encode())
    assert len(_seen_by(server, server.started)) == 6


def test_a_stream_goes_on_at_the_new_start(system: Deployment) -> None:
    """The only engine is cut off in the middle of a stream that may be resumed, and starts again
    under its id. The stream must go on there from its next event, as soon as the new start shows,
    though the earlier start has just failed."""
    server = system.server("engine", stream_events(30, pause_s=0.03))
    entry = system.entry("e1")
    first = server.started
    caller = _Caller(entry, "/resume/x")
    time.sleep(0.4)
    server.cut_off()
    system.restart(server, "engine")
    answer = caller.answer()
    assert (answer.status, answer.complete) == (200, True)
    assert _numbers(answer) == list(range(1, 31))
    assert caller.took_s < 0.4 + SHOWN_S + 1.0
    assert [len(_seen_by(server, each)) for each in (first, server.started)] == [1, 1]


def test_a_crash_that_no_heartbeat_misses_ends_what_is_believed(system: Deployment) -> None:
    """The only server crashes under load and is back within 0.1 s, long before its registration
    would lapse. It was failing, so that callers would be kept from it for a second or two; its new
    start must be used as soon as it shows, and whatever the crash cut ends as unknown."""
    server = system.server("plain", lambda request, connection: time.sleep(5.0))
    entries = [system.entry("e1"), system.entry("e2")]
    callers = [_Caller(entry, "/once/x") for entry in entries for _ in range(4)]
    eventually(lambda: len(server.seen) == len(callers), 2.0)
    server.crash()
    server.behave = _answer
    time.sleep(0.1)
    system.restart(server, "plain")
    assert {caller.answer().status for caller in callers} == {502}
    for entry in entries:
        eventually(lambda e=entry: e.logged("event=upstream_restarted"), SHOWN_S)
        for _ in range(4):
            assert entry.call("POST", "/once/y", body=b"b").status == 200
    assert len(server.seen) == len(callers) + 8


def test_a_stream_that_reached_the_new_start_early_is_not_cut(system: Deployment) -> None:
    """The server starts again and takes a stream before its new registration is read. When it is,
    the stream looks like one of the earlier start; it is alive, and its caller gets all of it."""
    server = system.server("engine", stream_events(40, pause_s=0.03))
    entry = system.entry("e1")
    server.crash()
    server.start()
    caller = _Caller(entry, "/stream/x")
    time.sleep(0.4)
    system.objects.put("servers", server.instance, server.registration("engine"))
    answer = caller.answer()
    assert entry.logged("event=upstream_restarted")
    assert (answer.complete, _numbers(answer)) == (True, list(range(1, 41)))


@pytest.mark.parametrize("deaf", [False, True], ids=["watched", "deaf"])
def test_items_go_on_when_their_engine_starts_again_twice(system: Deployment, deaf: bool) -> None:
    """A job runs at the only engine, which is cut off and starts again, crashes and starts again;
    the store's watches may hear nothing of it. Every item must end once with its whole text, going
    on from its last event; with deaf watches the reading every two seconds finds the new start."""
    server = system.server("engine", stream_events(40, pause_s=0.05))
    entries = [system.entry("e1"), system.entry("e2")]
    names = [f"item-{number}" for number in range(5)]
    answer = entries[0].call("POST", "/batch/1", body=submission(*names), request_id="job-1")
    assert answer.status == 202
    eventually(lambda: len(server.seen) >= 5, 3.0)
    time.sleep(0.5)
    system.objects.faults.deaf = deaf
    server.cut_off()
    system.restart(server, "engine")
    second = server.started
    eventually(lambda: len(_seen_by(server, second)) >= 5, 4.5 if deaf else 2.0)
    time.sleep(0.3)
    server.crash()
    system.restart(server, "engine")
    results = eventually(lambda: finished(entries[1], "job-1"), 15.0)
    texts = {json.dumps(each["text"]) for each in results}
    assert {each["state"] for each in results} == {"completed"}
    assert sorted(each["id"] for each in results) == sorted(names)
    assert len(texts) == 1
    assert texts.pop().count("piece") == 40
    resumed = [each for each in server.seen if each.started != server.seen[0].started]
    assert all("last-event-id" in each.headers for each in resumed)
    for entry in entries:
        eventually(lambda e=entry: e.logged(f"started={server.started}"), 4.5)


@contextmanager
def _peer_that_tells(entry: Entry, hint: dict[str, Any]) -> Iterator[None]:
    """Send hints as another entry does, five times a second."""
    over = threading.Event()
    own = {"n": "e9", "i": "1", "a": ["127.0.0.1", 9], "e": {}, "v": {}, "x": False, "s": True}

    def tell() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while not over.is_set():
                sock.sendto(cbor2.dumps(own | hint), ("127.0.0.1", entry.peer_port))
                over.wait(0.2)

    task = threading.Thread(target=tell)
    task.start()
    time.sleep(0.5)
    try:
        yield
    finally:
        over.set()
        task.join()


def test_what_peers_tell_of_the_earlier_start_is_not_held_against_the_new_one(
    system: Deployment,
) -> None:
    """Another entry goes on telling that the only server is overfull, of its earlier start or, of
    the version before, without a start. Callers are refused while that may be so, and served as
    soon as the server has started again."""
    server = system.server("plain", _answer)
    entry = system.entry("e1")
    loads = {"l": {server.instance: [400, 0]}}
    earlier = loads | {"b": {server.instance: server.started}}
    for hint in (loads, earlier):
        with _peer_that_tells(entry, hint):
            assert entry.call("POST", "/once/x", body=b"b").status == 503
    server.crash()
    system.restart(server, "plain")
    eventually(lambda: entry.logged("event=upstream_restarted"), SHOWN_S)
    for hint in (loads, earlier):
        with _peer_that_tells(entry, hint):
            assert entry.call("POST", "/once/x", body=b"b").status == 200
    with _peer_that_tells(entry, loads | {"b": {server.instance: server.started}}):
        assert entry.call("POST", "/once/x", body=b"b").status == 503


def test_a_server_that_told_no_start_is_another_one_when_it_tells_one(system: Deployment) -> None:
    """The earlier start came from a writer that names none. It is cut off; when a registration with
    a start shows, what waits for the earlier one ends at once."""
    server = system.server("plain", lambda request, connection: time.sleep(5.0), started=0)
    entry = system.entry("e1")
    caller = _Caller(entry, "/once/x")
    eventually(lambda: server.seen, 1.0)
    server.cut_off()
    server.behave = _answer
    system.restart(server, "plain")
    assert (caller.answer().status, caller.took_s < 2.0) == (502, True)
    assert entry.call("POST", "/once/y", body=b"b").status == 200
