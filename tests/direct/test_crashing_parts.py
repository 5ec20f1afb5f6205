"""Requests that differ in all but one part of their prompts, which ends each server."""

from __future__ import annotations

import base64
import itertools
import json
import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest
from crashing_fleet import CrashingFleet
from direct_harness import Answer, Deployment, Entry, all_results, deployment, eventually

from carobspool_core.direct import part_fingerprint
from carobspool_standins.crashing_parts import crash_on_part, shared_parts
from carobspool_standins.platform_server import (
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

FIRST = "a11ce"
CULPRIT = "bad0"
STABILITY_WINDOW_S = 3.0
CRASHES = 5
MAX_LATE_REQUESTS = 3
"""RULES.md, BUDGET: requests with the part that reach servers after the window."""
MIN_SERVED_SHARE = 0.5
"""RULES.md, LOST: sound requests with the same first part, against those before."""
PARTS = ["c0", "c1", "c2", "c3"]
ROUTES = {"once": "/once/x", "safe": "/safe/x", "stream": "/stream/x", "resume": "/resume/x"}


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


class SoundCallers:
    """Callers that send sound requests with the same first part through entries, all the time."""

    def __init__(self, entries: list[Entry], target: str) -> None:
        self._entries = entries
        self._target = target
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._answers: list[tuple[float, int]] = []
        self._threads = [
            threading.Thread(target=self._send_all, args=(entry,), daemon=True) for entry in entries
        ]

    def __enter__(self) -> SoundCallers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def statuses(self, since: float, until: float = float("inf")) -> list[int]:
        """Return the statuses of the requests that were sent in a period."""
        with self._lock:
            return [status for sent, status in self._answers if since <= sent < until]

    def _send_all(self, entry: Entry) -> None:
        parts = itertools.cycle([[], *([part] for part in PARTS)])
        while not self._stopped.wait(0.1):
            sent = time.monotonic()
            answer = send(entry, self._target, FIRST, *next(parts))
            with self._lock:
                self._answers.append((sent, answer.status if answer.complete else 0))


def send(entry: Entry, target: str, *shared: str) -> Answer:
    """Send a request with these shared parts that is unlike any other; status 0 if it is cut."""
    own = uuid.uuid4().hex
    parts = ",".join(f"{part}:100" for part in (*shared, own[:8]))
    headers = {"Prompt-Prefix": parts, "Token-Count": "400,20", "Model": "m"}
    try:
        return entry.call("POST", target, body=own.encode(), headers=headers)
    except OSError:
        return Answer(0, {}, b"", complete=False)


def _service(target: str) -> str:
    return "engine" if target.startswith(("/stream", "/resume")) else "plain"


def _start_fleet(system: Deployment, target: str, *, servers: int = 9) -> CrashingFleet:
    streams = _service(target) == "engine"
    serve: RequestHandler = event_stream_handler(5, pause_s=0.02) if streams else _answer
    return CrashingFleet(
        system,
        _service(target),
        lambda request: CULPRIT in shared_parts(request),
        lambda crash: crash_on_part(CULPRIT, serve, crash, streams=streams),
        servers=servers,
    )


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    time.sleep(0.05)
    connection.send_response(request)


def _start_entries(system: Deployment, count: int, target: str) -> list[Entry]:
    entries = [system.start_entry(f"e{number}", wait=False) for number in range(count)]
    for entry in entries:
        eventually(entry.is_ready, 15.0)
        eventually(lambda e=entry: send(e, target, FIRST).status == 200, 5.0)
    return entries


def _send_until_crashed(entries: list[Entry], fleet: CrashingFleet, target: str) -> None:
    """Send culprits through the entries in turn until `CRASHES` servers have ended, or 30 times."""
    for entry, part in zip(itertools.cycle(entries), itertools.cycle(PARTS), strict=False):
        if len(fleet.crash_times) >= CRASHES or len(fleet.arrival_times) > 30:
            return
        answer = send(entry, target, FIRST, part, CULPRIT)
        if answer.status == 422:
            return
        time.sleep(0.3)


@pytest.mark.parametrize("target", ROUTES.values(), ids=ROUTES)
def test_requests_with_a_part_that_crashed_servers_are_not_sent_to_more(
    system: Deployment, target: str
) -> None:
    """Guards against requests of which no two are alike that end one server after the other."""
    fleet = _start_fleet(system, target)
    entries = _start_entries(system, 3, target)
    with SoundCallers(entries, target) as sound:
        time.sleep(1.0)
        begun = time.monotonic()
        _send_until_crashed(entries, fleet, target)
        time.sleep(STABILITY_WINDOW_S)
        late = time.monotonic()
        for entry in entries * 4:
            send(entry, target, FIRST, CULPRIT)
        assert fleet.arrivals_after(late) <= MAX_LATE_REQUESTS
        time.sleep(STABILITY_WINDOW_S)
        after = time.monotonic()
        refused = [send(entry, target, FIRST, part, CULPRIT) for entry in entries for part in PARTS]
        time.sleep(1.0)
    assert {answer.status for answer in refused} == {422}
    assert {answer.headers["carobspool-outcome"] for answer in refused} == {"not_run"}
    served = [status == 200 for status in sound.statuses(after)]
    before = [status == 200 for status in sound.statuses(0.0, begun)]
    assert served.count(True) / len(served) >= MIN_SERVED_SHARE * before.count(True) / len(before)
    assert set(sound.statuses(late)) == {200}


def _quarantine(system: Deployment, part: str) -> None:
    """Write a quarantine of a part to the store, as an entry does."""
    crashes = ["i-1", "i-2", "i-3"]
    value = {"crashes": crashes, "confirmed": crashes[:1], "at": int(time.time() * 1000)}
    system.objects.put("quarantines", part_fingerprint(b"m", part), value)


def _crash_until_refused(entries: list[Entry], fleet: CrashingFleet, target: str) -> None:
    _send_until_crashed(entries, fleet, target)
    for entry in entries:
        eventually(lambda e=entry: send(e, target, FIRST, CULPRIT).status == 422, 5.0)


@pytest.mark.parametrize("lost", [False, True], ids=["one starts later", "all are killed"])
def test_a_part_stays_refused_at_entries_that_start_later(system: Deployment, lost: bool) -> None:
    """Guards against entries that start, or start again, and crash servers anew."""
    fleet = _start_fleet(system, "/stream/x")
    entries = _start_entries(system, 2, "/stream/x")
    _crash_until_refused(entries, fleet, "/stream/x")
    eventually(lambda: any(e.log_lines_containing("quarantine_saved") for e in entries), 3.0)
    if lost:
        for entry in entries:
            entry.process.kill()
            entry.process.wait()
    crashes = len(fleet.crash_times)
    later = system.start_entry("e9")
    eventually(lambda: later.log_lines_containing("event=quarantined"), 5.0)
    assert send(later, "/stream/x", FIRST, CULPRIT).status == 422
    assert send(later, "/stream/x", FIRST, PARTS[0]).status == 200
    assert len(fleet.crash_times) == crashes


def test_an_entry_without_its_peers_writes_what_it_knows_to_the_store(system: Deployment) -> None:
    """Guards against entries that hear no peer and crash two servers each before one is sure."""
    fleet = _start_fleet(system, "/stream/x")
    (entry,) = _start_entries(system, 1, "/stream/x")
    system.objects.put("entries", "e9", {"address": ["127.0.0.1", 9]})
    time.sleep(3.0)
    send(entry, "/stream/x", FIRST, CULPRIT)
    assert len(fleet.crash_times) == 1
    key = ("quarantines", part_fingerprint(b"m", CULPRIT))
    eventually(lambda: key in system.objects.objects, 3.0)


def test_rare_parts_beside_a_culprit_are_served_once_it_is_refused(system: Deployment) -> None:
    """Guards against refusing sound parts that were in flight at the same crashes."""
    fleet = _start_fleet(system, "/stream/x", servers=2)
    entries = _start_entries(system, 2, "/stream/x")
    for _ in range(CRASHES):
        senders = [
            threading.Thread(target=send, args=(entry, "/stream/x", FIRST, *shared))
            for entry in entries
            for shared in ([CULPRIT], [*PARTS], PARTS[:2])
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        time.sleep(0.4)
    assert len(fleet.crash_times) >= 3
    for entry in entries:
        eventually(lambda e=entry: send(e, "/stream/x", FIRST, CULPRIT).status == 422, 5.0)
        for part in PARTS:
            assert send(entry, "/stream/x", FIRST, part).status == 200


def test_a_request_that_waits_at_a_server_is_taken_back_when_its_part_is_refused(
    system: Deployment,
) -> None:
    """Guards against copies in flight that crash their servers after the part is known."""
    arrived = threading.Event()
    taken_back = threading.Event()

    def hold(request: ServedRequest, connection: ServerConnection) -> None:
        if CULPRIT not in shared_parts(request):
            event_stream_handler(5)(request, connection)
            return
        arrived.set()
        if connection.wait_for_peer_close(6.0):
            taken_back.set()

    system.start_server("engine", hold)
    (entry,) = _start_entries(system, 1, "/stream/x")
    answers: list[Answer] = []
    sender = threading.Thread(
        target=lambda: answers.append(send(entry, "/stream/x", FIRST, CULPRIT))
    )
    sender.start()
    assert arrived.wait(3.0)
    _quarantine(system, CULPRIT)
    system.start_entry("e9")
    assert taken_back.wait(2.5)
    sender.join()
    assert answers[0].status == 502
    assert answers[0].headers["carobspool-outcome"] == "unknown"


def test_a_request_that_waits_at_an_entry_is_refused_with_its_part(system: Deployment) -> None:
    """Guards against requests that wait for a slot and are then sent to a server."""
    system.settings["online_queue"] = "on"
    released = threading.Event()
    culprits: list[str] = []

    def hold(request: ServedRequest, connection: ServerConnection) -> None:
        if CULPRIT in shared_parts(request):
            culprits.append(request.request_id)
        connection.send_stream_headers(request)
        connection.send_event(1)
        if FIRST not in shared_parts(request):
            released.wait(10.0)
        connection.end_stream()

    server = system.start_server("engine", hold)
    (entry,) = _start_entries(system, 1, "/stream/x")
    holders = [
        threading.Thread(target=send, args=(entry, "/stream/x", "held"))
        for _ in range(server.slots + 4)
    ]
    for holder in holders:
        holder.start()
    eventually(lambda: entry.log_lines_containing("event=queued"), 3.0)
    answers: list[Answer] = []
    sender = threading.Thread(
        target=lambda: answers.append(send(entry, "/stream/x", FIRST, CULPRIT))
    )
    sender.start()
    _quarantine(system, CULPRIT)
    system.start_entry("e9")
    sender.join(4.0)
    released.set()
    for holder in holders:
        holder.join()
    assert [answer.status for answer in answers] == [422]
    assert culprits == []


def test_a_batch_item_with_a_refused_part_is_done(system: Deployment) -> None:
    """Guards against giving up items, which crash nothing by themselves."""
    system.start_server("engine", event_stream_handler(5))
    _quarantine(system, CULPRIT)
    (entry,) = _start_entries(system, 1, "/stream/x")
    eventually(lambda: entry.log_lines_containing("event=quarantined"), 5.0)
    item = {
        "id": "a",
        "path": "/batch/1",
        "headers": {"Model": "m", "Prompt-Prefix": f"{CULPRIT}:100,beef:100"},
        "body": base64.b64encode(b"a").decode(),
        "tokens": 10,
    }
    body = json.dumps({"items": [item]}).encode()
    assert entry.call("POST", "/batch/1", body=body, request_id="job-1").status == 202
    (result,) = eventually(lambda: all_results(entry, "job-1"), 5.0)
    assert result["state"] == "completed"
    # What a server has written on is sound, whoever sent it.
    assert send(entry, "/stream/x", FIRST, CULPRIT).status == 200
