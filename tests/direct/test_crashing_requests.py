"""Requests that end each server that begins to run them, and are sent again."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, Entry, deployment, eventually

from carobspool_standins.platform_server import (
    PlatformServer,
    RequestHandler,
    ServedRequest,
    ServerConnection,
)

MARKER = b"no server survives this"
STABILITY_WINDOW_S = 3.0
CRASHES = 3
MAX_LATE_RETRIES = 3
"""RULES.md, BUDGET: retries that reach servers `STABILITY_WINDOW_S` after the third crash."""
SERVERS = 9
ROUTES = {"once": "/once/x", "safe": "/safe/x", "stream": "/stream/x", "resume": "/resume/x"}


class CrashingFleet:
    """Servers that crash on marked requests; each is replaced by a new one at another address."""

    def __init__(self, system: Deployment, service: str) -> None:
        self._system = system
        self._service = service
        self._lock = threading.Lock()
        self.crash_times: list[float] = []
        self.arrival_times: list[float] = []
        for _ in range(SERVERS):
            self._start_server()

    def arrivals_after(self, moment: float) -> int:
        """Return how many marked requests reached a server after ``moment``."""
        return sum(arrived > moment for arrived in self.arrival_times)

    def _start_server(self) -> None:
        holder: list[PlatformServer] = []
        holder.append(self._system.start_server(self._service, self._handler(holder)))

    def _handler(self, holder: list[PlatformServer]) -> RequestHandler:
        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if MARKER not in request.body:
                connection.send_response(request)
                return
            with self._lock:
                self.arrival_times.append(time.monotonic())
            time.sleep(0.05)
            self._crash(holder[0])

        return handle_request

    def _crash(self, server: PlatformServer) -> None:
        with self._lock:
            self.crash_times.append(time.monotonic())
        server.crash()
        self._system.objects.remove("servers", server.instance)
        self._start_server()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


def _service(target: str) -> str:
    return "engine" if target.startswith(("/stream", "/resume")) else "plain"


def _send_until_crashed(entries: list[Entry], fleet: CrashingFleet, target: str) -> None:
    """Send the marked request through the entries in turn until `CRASHES` servers have crashed."""
    for entry in itertools.islice(itertools.cycle(entries), 4 * CRASHES):
        if len(fleet.crash_times) >= CRASHES:
            return
        entry.call("POST", target, body=MARKER)
        time.sleep(0.5)


def _send_late_copies(entries: list[Entry], target: str) -> list[int]:
    return [entry.call("POST", target, body=MARKER).status for entry in entries * 4]


@pytest.mark.parametrize("target", ROUTES.values(), ids=ROUTES)
def test_a_request_that_crashed_three_servers_is_not_sent_to_more(
    system: Deployment, target: str
) -> None:
    """Guards against a caller's copies of one request that end one server after the other."""
    entries = [system.start_entry(f"e{number}", wait=False) for number in range(3)]
    fleet = CrashingFleet(system, _service(target))
    for entry in entries:
        eventually(entry.is_ready, 15.0)
    _send_until_crashed(entries, fleet, target)
    time.sleep(STABILITY_WINDOW_S)
    late = time.monotonic()
    statuses = _send_late_copies(entries, target)
    assert fleet.arrivals_after(late) <= MAX_LATE_RETRIES, statuses
