"""Requests that end each server that begins to run them, and are sent again."""

from __future__ import annotations

import itertools
import re
import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from crashing_fleet import SERVERS, CrashingFleet
from direct_harness import (
    HOST,
    Answer,
    Deployment,
    Entry,
    all_results,
    deployment,
    eventually,
    fetch_results_page,
    job_body,
)

from carobspool_core.direct import request_fingerprint
from carobspool_standins.platform_server import (
    PlatformServer,
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

MARKER = b"no server survives this"
STABILITY_WINDOW_S = 3.0
CRASHES = 3
MAX_LATE_RETRIES = 3
"""RULES.md, BUDGET: retries that reach servers `STABILITY_WINDOW_S` after the third crash."""
SLOW_S = 0.5
UNLUCKY = "unlucky"
UNLUCKY_CRASHES = 6
CALM_S = 18.0
"""SYSTEM.md, `finish_s`: an item must be done by then after the traffic has ended."""
ROUTES = {"once": "/once/x", "safe": "/safe/x", "stream": "/stream/x", "resume": "/resume/x"}


def _crashing_fleet(system: Deployment, service: str, *, servers: int = SERVERS) -> CrashingFleet:
    """Start servers that crash on marked requests."""
    serve_sound_request = _answer if service == "plain" else event_stream_handler(5)

    def make_handler(crash: Callable[[], None]) -> RequestHandler:
        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if not _is_marked(request):
                serve_sound_request(request, connection)
                return
            time.sleep(0.05)
            crash()

        return handle_request

    return CrashingFleet(system, service, _is_marked, make_handler, servers=servers)


def _is_marked(request: ServedRequest) -> bool:
    return MARKER in request.body


def _slow_arrivals(system: Deployment) -> int:
    """Return how many slow requests have reached a server."""
    return sum(_slow_requests(server) for server in system.servers)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries; fails if an entry logs an error."""
    with deployment(tmp_path) as running:
        yield running
        assert [
            line for entry in running.entries for line in entry.log_lines_containing("level=error")
        ] == []


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    if request.target.endswith("/slow"):
        time.sleep(SLOW_S)
    connection.send_response(request)


def _slow_requests(server: PlatformServer) -> int:
    return sum(request.target.endswith("/slow") for request in server.requests)


def _wait_until_all_called(entry: Entry, servers: list[PlatformServer], target: str) -> None:
    """Send requests through an entry until each server has received one of them."""
    before = [len(server.requests) for server in servers]

    def send_one() -> bool:
        _call(entry, target, b"sound")
        return all(len(each.requests) > count for each, count in zip(servers, before, strict=True))

    eventually(send_one, 10.0)


def _service(target: str) -> str:
    return "engine" if target.startswith(("/stream", "/resume")) else "plain"


def _start_entries(system: Deployment, count: int) -> list[Entry]:
    entries = [system.start_entry(f"e{number}", wait=False) for number in range(count)]
    for entry in entries:
        eventually(entry.is_ready, 15.0)
    return entries


def _wait_until_served(entries: list[Entry], target: str) -> None:
    for entry in entries:
        eventually(lambda e=entry: _call(e, target, b"sound").status == 200, 5.0)


def _call(entry: Entry, target: str, body: bytes) -> Answer:
    return entry.call("POST", target, body=body)


def _send_until_quarantined(entries: list[Entry], target: str) -> None:
    """Send the marked request through the entries in turn until each of them refuses it."""

    def is_refused(entry: Entry) -> bool:
        return _call(entry, target, MARKER).status == 422

    for entry in entries:
        eventually(lambda e=entry: is_refused(e), 15.0)


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
    entries = _start_entries(system, 3)
    fleet = _crashing_fleet(system, _service(target))
    _wait_until_served(entries, target)
    _send_until_crashed(entries, fleet, target)
    time.sleep(STABILITY_WINDOW_S)
    late = time.monotonic()
    statuses = _send_late_copies(entries, target)
    assert fleet.arrivals_after(late) <= MAX_LATE_RETRIES, statuses


def test_an_entry_refuses_a_request_that_crashed_servers_of_others(system: Deployment) -> None:
    """Guards against an entry that starts later, or starts again, and runs the request anew."""
    entries = _start_entries(system, 2)
    fleet = _crashing_fleet(system, "plain")
    _wait_until_served(entries, "/once/x")
    _send_until_quarantined(entries, "/once/x")
    crashes = len(fleet.crash_times)
    assert crashes == CRASHES
    later = system.start_entry("e2")
    eventually(lambda: later.log_lines_containing("event=quarantined"), 5.0)
    assert _call(later, "/once/x", MARKER).status == 422
    assert _call(later, "/once/x", b"sound").status == 200
    assert len(fleet.crash_times) == crashes


def test_a_quarantine_outlasts_the_loss_of_all_entries(system: Deployment) -> None:
    """Guards against a caller that comes back after all entries were killed at once."""
    entries = _start_entries(system, 2)
    fleet = _crashing_fleet(system, "plain")
    _wait_until_served(entries, "/once/x")
    _send_until_quarantined(entries, "/once/x")
    eventually(lambda: any(e.log_lines_containing("quarantine_saved") for e in entries), 3.0)
    for entry in entries:
        entry.process.kill()
        entry.process.wait()
    crashes = len(fleet.crash_times)
    again = _start_entries(system, 2)
    for entry in again:
        eventually(lambda e=entry: e.log_lines_containing("event=quarantined"), 5.0)
        assert _call(entry, "/once/x", MARKER).status == 422
    assert len(fleet.crash_times) == crashes


def test_a_frozen_entry_learns_of_the_quarantine(system: Deployment) -> None:
    """Guards against an entry that missed every hint and runs the request after its return."""
    entries = _start_entries(system, 3)
    fleet = _crashing_fleet(system, "plain")
    _wait_until_served(entries, "/once/x")
    entries[2].send_signal(signal.SIGSTOP)
    _send_until_quarantined(entries[:2], "/once/x")
    crashes = len(fleet.crash_times)
    time.sleep(2.0)
    entries[2].send_signal(signal.SIGCONT)
    eventually(lambda: entries[2].log_lines_containing("event=quarantined"), 5.0)
    assert _call(entries[2], "/once/x", MARKER).status == 422
    assert len(fleet.crash_times) == crashes


def test_copies_of_a_suspect_that_are_sent_at_once_crash_one_server(system: Deployment) -> None:
    """Guards against copies of a suspect that spread over the fleet and crash a server each."""
    entries = _start_entries(system, 3)
    fleet = _crashing_fleet(system, "plain")
    _wait_until_served(entries, "/once/x")
    _call(entries[0], "/once/x", MARKER)
    assert len(fleet.crash_times) == 1
    time.sleep(0.5)
    for _ in range(2):
        callers = [
            threading.Thread(target=_call, args=(entry, "/once/x", MARKER)) for entry in entries * 2
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        time.sleep(0.5)
    assert len(fleet.crash_times) == CRASHES
    assert {_call(entry, "/once/x", MARKER).status for entry in entries} == {422}


@pytest.mark.parametrize("owner_killed", [False, True], ids=["same owner", "new owner"])
def test_an_item_that_crashes_servers_pauses_and_others_finish(
    system: Deployment, owner_killed: bool
) -> None:
    """Guards against a batch item that ends one server after the other until its retention."""
    entries = _start_entries(system, 2)
    fleet = _crashing_fleet(system, "engine")
    _wait_until_served(entries, "/stream/x")
    names = [f"sound-{number}" for number in range(6)]
    body = job_body(*names, MARKER.decode())
    assert entries[0].call("POST", "/batch/1", body=body, request_id="job-1").status == 202
    eventually(lambda: len(fleet.crash_times) >= CRASHES, 20.0)
    time.sleep(0.1)
    if owner_killed:
        entries[0].process.kill()
    time.sleep(STABILITY_WINDOW_S)
    late = time.monotonic()
    time.sleep(5.0)
    assert fleet.arrivals_after(late) <= 1
    page = eventually(lambda: fetch_results_page(entries[1], "job-1"), 5.0)
    assert isinstance(page, dict)
    assert {each["id"]: each["state"] for each in page["results"]} == dict.fromkeys(
        names, "completed"
    )


@pytest.mark.parametrize("owner_killed", [False, True], ids=["same owner", "new owner"])
def test_an_item_under_which_servers_crashed_is_done_once_they_are_calm(
    system: Deployment, owner_killed: bool
) -> None:
    """Guards against a sound item that is left behind since servers happened to end under it."""
    entries = _start_entries(system, 2)
    is_calm = threading.Event()
    holders: list[PlatformServer] = []

    def serve(request: ServedRequest, connection: ServerConnection) -> None:
        if UNLUCKY.encode() in request.body and not is_calm.is_set():
            (holder,) = [each for each in system.servers if request in each.requests]
            holders.append(holder)
        event_stream_handler(5, pause_s=0.1)(request, connection)

    for _ in range(UNLUCKY_CRASHES + 4):
        system.start_server("engine", serve)
    body = job_body(UNLUCKY, "sound-1", "sound-2")
    assert entries[0].call("POST", "/batch/1", body=body, request_id="job-1").status == 202
    for number in range(UNLUCKY_CRASHES):
        server = eventually(lambda n=number: holders[n] if len(holders) > n else None, 25.0)
        time.sleep(0.05)
        server.crash()
        system.objects.remove("servers", server.instance)
    is_calm.set()
    if owner_killed:
        entries[0].process.kill()
    results = eventually(lambda: all_results(entries[1], "job-1"), CALM_S)
    assert {each["state"] for each in results} == {"completed"}


def test_an_entry_without_its_peers_reads_the_quarantine_from_the_store(
    system: Deployment,
) -> None:
    """Guards against an entry that hears no peer and crashes three more servers by itself."""
    entry = system.start_entry("e1")
    fleet = _crashing_fleet(system, "plain")
    _wait_until_served([entry], "/once/x")
    system.objects.put("entries", "e9", {"address": ["127.0.0.1", 9]})
    time.sleep(3.0)
    _call(entry, "/once/x", MARKER)
    (crashed,) = eventually(lambda: entry.log_lines_containing("event=run_crashed"), 3.0)
    fingerprint = re.findall("fingerprint=([0-9a-f]+)", crashed)[0]
    value = {"crashes": ["i-1", "i-2", "i-3"], "at": int(time.time() * 1000)}
    system.objects.put("quarantines", fingerprint, value)
    time.sleep(1.0)
    _call(entry, "/once/x", MARKER)
    eventually(lambda: entry.log_lines_containing("event=quarantined"), 2.0)
    assert _call(entry, "/once/x", MARKER).status == 422
    assert len(fleet.crash_times) < CRASHES


def test_a_request_at_servers_that_were_lost_together_is_served_again(system: Deployment) -> None:
    """Guards against refusing a request that ran on all servers of a failure domain at its loss."""
    entries = _start_entries(system, 2)
    fleet = _crashing_fleet(system, "plain", servers=CRASHES + 1)
    for entry in entries:
        _wait_until_all_called(entry, system.servers, "/once/x")
    callers = []
    for number in range(4 * CRASHES):
        target = (entries[number % 2], "/once/slow", b"popular")
        callers.append(threading.Thread(target=_call, args=target))
        callers[-1].start()
    eventually(lambda: _slow_arrivals(system) == len(callers), 3.0)
    *lost, kept = system.servers
    popular = [_slow_requests(server) for server in system.servers]
    assert all(popular), popular
    for server in lost:
        fleet.lose(server)
    for caller in callers:
        caller.join()
    eventually(lambda: any(e.log_lines_containing("event=quarantined") for e in entries), 5.0)
    for entry in entries:
        eventually(lambda e=entry: _call(e, "/once/slow", b"popular").status == 200, 3.0)
    assert _slow_requests(kept) > popular[-1]


def test_an_operator_lifts_a_quarantine_through_the_store(system: Deployment) -> None:
    """Guards against a quarantine that entries restore from each other after it was lifted."""
    fingerprint = request_fingerprint(
        organisation=None, method=b"POST", host=HOST, target=b"/once/x", body=b"sound"
    )
    crashes = ["i-1", "i-2", "i-3"]
    value = {"crashes": crashes, "cleared": [], "at": int(time.time() * 1000)}
    system.objects.put("quarantines", fingerprint, value)
    system.start_server("plain", _answer)
    entries = _start_entries(system, 2)
    for entry in entries:
        eventually(lambda e=entry: _call(e, "/once/x", b"sound").status == 422, 5.0)
    system.objects.put("quarantines", fingerprint, value | {"cleared": crashes})
    entries[0].process.kill()
    entries[0].process.wait()
    again = system.start_entry("e0")
    for entry in (again, entries[1]):
        eventually(lambda e=entry: _call(e, "/once/x", b"sound").status == 200, 5.0)


def test_an_unusable_quarantine_in_the_store_holds_up_nothing(system: Deployment) -> None:
    """Guards against a record of another writer that keeps an entry from the valid ones."""
    at = int(time.time() * 1000)
    system.objects.put("quarantines", "a", {"crashes": "x"})
    system.objects.put("quarantines", "b", {"crashes": ["i-1", "i-2", "i-3"], "at": at})
    system.objects.put("quarantines", "c", [])
    entry = system.start_entry("e1")
    eventually(lambda: entry.log_lines_containing("event=quarantined fingerprint=b"), 5.0)
    assert len(entry.await_log_lines("event=bad_quarantine", 2)) == 2


def test_a_request_whose_answers_are_lost_is_not_taken_for_a_crashing_one(
    system: Deployment,
) -> None:
    """Guards against refusing a request whose connections break while its servers live."""
    entry = system.start_entry("e1")
    answers = iter([False] * 8)

    def lose_answers(request: ServedRequest, connection: ServerConnection) -> None:
        if next(answers, True):
            connection.send_response(request)
        else:
            connection.reset()

    for _ in range(4):
        system.start_server("plain", lose_answers)
    time.sleep(0.6)
    statuses = [_call(entry, "/once/x", b"sound").status for _ in range(10)]
    assert 422 not in statuses
    assert statuses[-1] == 200
    answered = "outcome=answered"
    eventually(lambda: len(entry.log_lines_containing(answered)) == statuses.count(200), 3.0)
    assert entry.log_lines_containing("event=run_crashed") == []


def test_a_bystander_is_cleared_by_its_next_run(system: Deployment) -> None:
    """Guards against refusing a request that ran beside the culprit in several crashes."""
    entry = system.start_entry("e1")
    fleet = _crashing_fleet(system, "plain", servers=1)
    _wait_until_served([entry], "/once/x")
    for number in range(CRASHES + 1):
        before = _slow_arrivals(system)
        beside = threading.Thread(target=_call, args=(entry, "/once/slow", b"bystander"))
        beside.start()
        eventually(lambda b=before: _slow_arrivals(system) > b, 3.0)
        _call(entry, "/once/x", MARKER + str(number).encode())
        beside.join()
        eventually(lambda: _call(entry, "/once/slow", b"bystander").status == 200, 5.0)
    assert len(fleet.crash_times) == CRASHES + 1
    cleared = "event=suspect_cleared"
    eventually(lambda: len(entry.log_lines_containing(cleared)) == CRASHES + 1, 3.0)
