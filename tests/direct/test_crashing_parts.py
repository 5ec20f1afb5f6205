"""Requests that differ in all but one part of their prompts, which ends each server."""

from __future__ import annotations

import itertools
import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest
from crashing_fleet import CrashingFleet
from direct_harness import Answer, Deployment, Entry, deployment, eventually

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
