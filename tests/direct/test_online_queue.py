"""Online requests that wait at direct entries: one test for each failure, with real processes."""

from __future__ import annotations

import contextlib
import http.client
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from direct_harness import (
    HOST,
    Answer,
    Deployment,
    Entry,
    configuration,
    deployment,
    eventually,
    route,
)

from carobspool_standins.platform_server import ServedRequest, ServerConnection

ROUTES = (
    route("/stream/", "streaming", "engine", target_latency_ms=1_500, timeout_ms=9_000),
    route("/low/", "streaming", "engine", target_latency_ms=1_500, timeout_ms=9_000, priority=2),
)
ON = {"online_queue": "on"}
PLACES = 9
"""Requests that a stand-in of 8 slots gets: one for each slot and one further request."""


class Gate:
    """An engine that holds each request until the test lets it end."""

    def __init__(self) -> None:
        self._release = threading.Semaphore(0)
        self.started: list[str] = []

    def handle(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Stream one event when the test releases the request."""
        self.started.append(request.request_id)
        connection.send_stream_headers(request)
        self._release.acquire(timeout=20.0)
        connection.send_event(1)
        connection.end_stream()

    def release(self, count: int) -> None:
        """Let requests end."""
        self._release.release(count)


class Callers:
    """Requests that are sent on threads of their own."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self._threads: list[threading.Thread] = []

    def send(self, entry: Entry, name: str, target: str = "/stream/a", **headers: str) -> None:
        """Send a request under a name."""

        def call() -> None:
            sent = {"Deadline-Ms": "9000"} | headers
            # Entries that a test kills leave their callers without an answer.
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.answers[name] = entry.call("POST", target, headers=sent, request_id=name)

        thread = threading.Thread(target=call, daemon=True)
        self._threads.append(thread)
        thread.start()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment whose routes lead to the engine's service."""
    with deployment(tmp_path, *ROUTES) as found:
        yield found


def _gate(system: Deployment) -> Gate:
    gate = Gate()
    system.start_server("engine", gate.handle)
    return gate


def _fill(entry: Entry, gate: Gate, callers: Callers, **headers: str) -> None:
    """Occupy all slots of the engine and its further place."""
    time.sleep(0.6)
    for number in range(PLACES):
        callers.send(entry, f"fill-{number}", **headers)
    eventually(lambda: len(gate.started) == PLACES, 5.0)
    # Until the hints arrive, another entry still sees free slots.
    time.sleep(0.2)


def _warm_up(entry: Entry, gate: Gate, callers: Callers, **headers: str) -> None:
    """Let short requests run first.

    An entry whose only known run took more than 800 ms, as on a busy machine, gives an engine of 8
    slots no further place, and the end of one of nine requests then leaves no room.
    """
    time.sleep(0.6)
    gate.release(8)
    for number in range(8):
        callers.send(entry, f"short-{number}", **headers)
    eventually(lambda: len(callers.answers) == 8, 5.0)
    callers.answers.clear()
    gate.started.clear()


def _wait_queued(entry: Entry, count: int) -> None:
    eventually(lambda: len(entry.log_lines_containing("event=queued ")) == count, 5.0)


def _two_entries(system: Deployment) -> tuple[Entry, Entry]:
    first, second = (system.start_entry(name, **ON) for name in ("e1", "e2"))
    eventually(lambda: first.log_lines_containing("event=peer_seen peer=e2"), 5.0)
    eventually(lambda: second.log_lines_containing("event=peer_seen peer=e1"), 5.0)
    return first, second


def test_a_caller_that_left_is_never_served(system: Deployment) -> None:
    """The caller disconnects while its request waits: the request must reach no server, and the
    requests behind it go on in the order of their ranks."""
    gate, callers = _gate(system), Callers()
    entry = system.start_entry("e1", **ON)
    _warm_up(entry, gate, callers)
    _fill(entry, gate, callers)
    with socket.create_connection(("127.0.0.1", entry.port)) as caller:
        head = f"POST /stream/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: gone\r\n"
        caller.sendall(f"{head}Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n".encode())
        _wait_queued(entry, 1)
        callers.send(entry, "low", "/low/a")
        _wait_queued(entry, 2)
        callers.send(entry, "high")
        _wait_queued(entry, 3)
    began = time.monotonic()
    eventually(lambda: entry.log_lines_containing("outcome=caller_gone"), 2.0)
    assert time.monotonic() - began < 0.5
    gate.release(1)
    eventually(lambda: len(gate.started) == PLACES + 1, 2.0)
    gate.release(PLACES + 2)
    eventually(lambda: len(callers.answers) == PLACES + 2, 5.0)
    assert gate.started[PLACES:] == ["high", "low"]
    assert {answer.status for answer in callers.answers.values()} == {200}
    assert len(entry.await_log_lines("event=dequeued ", 2)) == 2


def test_waiting_requests_are_refused_when_the_entry_closes(system: Deployment) -> None:
    """SIGTERM arrives while requests wait. They have not run, so their callers must receive 503 and
    not the unknown outcome of the requests that run."""
    gate, callers = _gate(system), Callers()
    entry = system.start_entry("e1", **ON)
    _fill(entry, gate, callers)
    for number in range(3):
        callers.send(entry, f"waiting-{number}")
    _wait_queued(entry, 3)
    entry.send_signal(signal.SIGTERM)
    entry.process.wait(10.0)
    waiting = [callers.answers[f"waiting-{number}"] for number in range(3)]
    assert [answer.status for answer in waiting] == [503] * 3
    assert {answer.headers["carobspool-outcome"] for answer in waiting} == {"not_run"}
    assert len(gate.started) == PLACES


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
def test_no_request_waits_for_an_entry_that_is_gone(
    system: Deployment, number: signal.Signals
) -> None:
    """An entry with more urgent requests is killed or frozen: its last report must not keep the
    other entry's request from a free slot."""
    gate, callers = _gate(system), Callers()
    first, second = _two_entries(system)
    _warm_up(first, gate, callers)
    _fill(first, gate, callers)
    for each in range(6):
        callers.send(second, f"urgent-{each}")
    _wait_queued(second, 6)
    callers.send(first, "low", "/low/a")
    _wait_queued(first, 1)
    time.sleep(0.1)
    second.send_signal(number)
    began = time.monotonic()
    gate.release(1)
    eventually(lambda: "low" in gate.started, 3.0)
    # The hold of 60 ms, with allowance for a busy machine.
    assert time.monotonic() - began < 0.5
    gate.release(2 * PLACES)


def test_a_changed_configuration_applies_to_waiting_requests(tmp_path: Path) -> None:
    """Requests wait while their key is revoked and their route removed: they must not run, and the
    answers must name the cause. A changed priority changes the order."""
    tenants = [
        {"name": name, "api_keys": [f"{name}-key"], "priority": priority}
        for name, priority in (("kept", 1), ("raised", 2), ("revoked", 1))
    ]

    def declared(version: int, changed: list[dict[str, Any]], count: int) -> dict[str, Any]:
        return configuration(version, *ROUTES[:count]) | {"tenants": changed}

    with deployment(tmp_path, *ROUTES) as system:
        system.objects.put("config", "main", declared(2, tenants, 2))
        gate, callers = _gate(system), Callers()
        entry = system.start_entry("e1", online_queue="auto")
        _warm_up(entry, gate, callers, Authorization="Bearer kept-key")
        _fill(entry, gate, callers, Authorization="Bearer kept-key")
        for name in ("kept", "raised", "revoked"):
            callers.send(entry, name, Authorization=f"Bearer {name}-key")
        callers.send(entry, "removed", "/low/a", Authorization="Bearer kept-key")
        _wait_queued(entry, 4)
        changed = [tenants[0], tenants[1] | {"priority": 0}]
        system.objects.put("config", "main", declared(3, changed, 1))
        eventually(lambda: {"revoked", "removed"} <= callers.answers.keys(), 5.0)
        assert callers.answers["revoked"].status == 401
        assert callers.answers["removed"].status == 404
        gate.release(1)
        eventually(lambda: len(gate.started) == PLACES + 1, 2.0)
        gate.release(1)
        eventually(lambda: len(gate.started) == PLACES + 2, 2.0)
        assert gate.started[PLACES:] == ["raised", "kept"]
        gate.release(PLACES)


def test_a_changed_limit_applies_to_waiting_requests(tmp_path: Path) -> None:
    """The limit of an organisation is lowered while its requests wait: those beyond the new limit
    must not run, and those within it must not be refused by a further change of something else."""

    def declared(version: int, rate_per_s: float, burst: int, priority: int) -> dict[str, Any]:
        tenants = [
            {"name": "kept", "api_keys": ["kept-key"], "priority": priority},
            {"name": "changed", "api_keys": ["changed-key"], "priority": 1}
            | {"rate_per_s": rate_per_s, "burst": burst},
        ]
        return configuration(version, *ROUTES) | {"tenants": tenants}

    with deployment(tmp_path, *ROUTES) as system:
        system.objects.put("config", "main", declared(2, 50.0, 50, 1))
        gate, callers = _gate(system), Callers()
        entry = system.start_entry("e1", online_queue="auto")
        _fill(entry, gate, callers, Authorization="Bearer kept-key")
        for number in range(6):
            callers.send(entry, f"changed-{number}", Authorization="Bearer changed-key")
        _wait_queued(entry, 6)
        # Three tokens are left: the burst, and one for the delay of hints.
        system.objects.put("config", "main", declared(3, 0.01, 2, 1))
        eventually(lambda: len(callers.answers) == 3, 5.0)
        assert {answer.status for answer in callers.answers.values()} == {429}
        system.objects.put("config", "main", declared(4, 0.01, 2, 0))
        time.sleep(1.0)
        assert len(callers.answers) == 3
        gate.release(PLACES + 3)
        eventually(lambda: len(callers.answers) == PLACES + 6, 5.0)
        assert len(gate.started) == PLACES + 3
        assert [each.status for each in callers.answers.values()].count(200) == PLACES + 3


def test_requests_go_on_when_half_of_the_engines_are_gone(system: Deployment) -> None:
    """One of two engines stops while requests wait. The waiting requests run at the other one, and
    those that can no longer be on time are refused with a Retry-After and not left to wait."""
    gates = [_gate(system), _gate(system)]
    callers = Callers()
    entry = system.start_entry("e1", **ON)
    time.sleep(0.6)
    for number in range(2 * PLACES):
        callers.send(entry, f"fill-{number}")
    eventually(lambda: sum(len(gate.started) for gate in gates) == 2 * PLACES, 5.0)
    for number in range(4):
        callers.send(entry, f"waiting-{number}")
    _wait_queued(entry, 4)
    system.servers[0].crash()
    system.objects.remove("servers", system.servers[0].instance)
    gates[1].release(PLACES + 4)
    names = {f"waiting-{number}" for number in range(4)}
    eventually(lambda: names <= callers.answers.keys(), 8.0)
    assert {callers.answers[name].status for name in names} == {200}
    assert names <= set(gates[1].started)


def test_requests_do_not_wait_behind_those_of_another_service(tmp_path: Path) -> None:
    """Guards against refusals, and slots that are handed over, because of requests that wait at
    another entry for a service that stands still."""
    still = route("/still/", "streaming", "still", target_latency_ms=9_000, timeout_ms=9_000)
    with deployment(tmp_path, *ROUTES, still) as system:
        gate, still_gate, callers = _gate(system), Gate(), Callers()
        system.start_server("still", still_gate.handle)
        first, second = _two_entries(system)
        _warm_up(first, gate, callers)
        _fill(first, gate, callers)
        for number in range(PLACES + 40):
            callers.send(second, f"still-{number}", "/still/a")
        _wait_queued(second, 40)
        time.sleep(0.2)
        for number in range(3):
            callers.send(first, f"waiting-{number}")
        _wait_queued(first, 3)
        gate.release(PLACES + 3)
        eventually(lambda: len(callers.answers) == PLACES + 3, 2.0)
        assert {answer.status for answer in callers.answers.values()} == {200}
        assert not first.log_lines_containing("event=slot_handed")
        assert not first.log_lines_containing("event=queue_refused")
        still_gate.release(PLACES + 40)


def test_requests_that_cannot_be_on_time_are_refused_at_once(system: Deployment) -> None:
    """More requests wait than can start in time. Without the refusal they would all be late."""
    gate, callers = _gate(system), Callers()
    entry = system.start_entry("e1", **ON)
    _fill(entry, gate, callers)
    for number in range(60):
        callers.send(entry, f"more-{number}")
    eventually(lambda: len(callers.answers) >= 20, 5.0)
    refused = list(callers.answers.values())
    assert {answer.status for answer in refused} == {503}
    assert all(0.3 <= float(answer.headers["retry-after"]) <= 3.0 for answer in refused)
    assert len({answer.headers["retry-after"] for answer in refused}) > len(refused) // 2
    assert entry.await_log_lines("event=queue_refused ")
    gate.release(100)


def test_without_the_setting_requests_go_to_the_engine(system: Deployment) -> None:
    """By default the engine receives requests beyond its slots up to the limit that follows from
    the target latency, none waits at the entry, and the next one is refused at once."""
    gate, callers = _gate(system), Callers()
    entry = system.start_entry("e1")
    _fill(entry, gate, callers)
    for number in range(30):
        callers.send(entry, f"more-{number}")
    # 1,500 ms x 0.5 / (400 ms / 8 slots) = 15 places beyond the slots.
    eventually(lambda: len(gate.started) == 8 + 15, 5.0)
    eventually(lambda: len(callers.answers) == PLACES + 30 - 23, 5.0)
    assert {answer.status for answer in callers.answers.values()} == {503}
    assert not entry.log_lines_containing("event=queue")
    gate.release(40)
