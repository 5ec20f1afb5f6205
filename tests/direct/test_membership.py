"""Changes of the configuration, of servers and of entries, also while watches miss them."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    STANDARD_ROUTES,
    Answer,
    Deployment,
    all_results,
    deployment,
    eventually,
    job_body,
    route,
)

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


def test_changes_take_effect_although_every_watch_misses_them(system: Deployment) -> None:
    """The store's watches stay open without reporting that a route is added and a server leaves.
    Callers must be served by the current declarations within a few seconds."""
    removed = system.start_server("plain", _answer)
    system.start_server("plain", _answer)
    entries = [system.start_entry("e1"), system.start_entry("e2")]
    system.objects.faults.suppress_watch_events = True
    system.write_configuration(2, *STANDARD_ROUTES, route("/new/", "safe", "plain"))
    system.objects.remove("servers", removed.instance)
    system.objects.compact()
    for entry in entries:
        eventually(lambda e=entry: e.call("GET", "/new/x").status == 200, 4.5)
    time.sleep(1.0)
    before = len(removed.requests)
    for entry in entries:
        for _ in range(6):
            assert entry.call("GET", "/safe/x").status == 200
    assert len(removed.requests) == before


def test_an_older_configuration_is_not_applied(system: Deployment) -> None:
    system.start_server("plain", _answer)
    entry = system.start_entry("e1")
    system.write_configuration(5, route("/new/", "safe", "plain"))
    eventually(lambda: entry.call("GET", "/new/x").status == 200, 2)
    system.write_configuration(4, route("/safe/", "safe", "plain"))
    time.sleep(0.5)
    assert entry.call("GET", "/new/x").status == 200
    assert entry.call("GET", "/safe/x").status == 404


def test_an_entry_that_the_store_refuses_works_through_a_peer(system: Deployment) -> None:
    """The store refuses one entry and serves the other. The refused entry still applies a change of
    the configuration, accepts a job, runs it and commits its results."""
    system.start_server("plain", _answer)
    system.start_server("engine", event_stream_handler(4))
    address, faults = system.serve_second_address()
    entry, other = system.start_entry("e1", store=address), system.start_entry("e2")
    time.sleep(1.0)
    faults.status = 503
    system.write_configuration(2, *STANDARD_ROUTES, route("/new/", "safe", "plain"))
    eventually(lambda: entry.call("GET", "/new/x").status == 200, 4)
    assert entry.call("POST", "/batch/j", body=job_body("a"), request_id="j").status == 202
    for each in (entry, other):
        results = eventually(lambda e=each: all_results(e, "j"), 8)
        assert [result["state"] for result in results] == ["completed"]


def test_without_a_configuration_callers_are_told_to_retry(system: Deployment) -> None:
    """The store is unavailable when the entry starts. The entry is not ready, and tells callers to
    retry instead of that their route does not exist."""
    system.objects.faults.status = 503
    entry = system.start_entry("e1", wait=False)
    answer = eventually(lambda: _try(entry.call, "GET", "/safe/x"), 8)
    assert (answer.status, entry.is_ready()) == (503, False)
    assert float(answer.headers["retry-after"]) > 0
    system.objects.faults.status = 0
    eventually(entry.is_ready, 3)


def test_a_draining_server_gets_no_new_requests(system: Deployment) -> None:
    draining, staying = system.start_server("plain", _answer), system.start_server("plain", _answer)
    entry = system.start_entry("e1")
    system.objects.put(
        "servers", draining.instance, draining.registration("plain", state="draining")
    )
    time.sleep(0.6)
    before = len(draining.requests)
    for _ in range(10):
        assert entry.call("GET", "/safe/x").status == 200
    assert len(draining.requests) == before
    assert len(staying.requests) >= 10


def test_a_leaving_entry_finishes_its_streams_and_is_not_ready(system: Deployment) -> None:
    """SIGTERM arrives during a stream. The stream ends complete, a new request on an open
    connection is still served, and the process exits in time with code 0."""
    system.start_server("engine", event_stream_handler(10, pause_s=0.15))
    entry = system.start_entry("e1")
    found: list[Answer] = []
    caller = threading.Thread(
        target=lambda: found.append(entry.call("POST", "/stream/x", body=b"b"))
    )
    caller.start()
    time.sleep(0.4)
    entry.send_signal(signal.SIGTERM)
    eventually(lambda: not entry.is_ready(), 1)
    second = entry.call("POST", "/stream/y", body=b"b")
    assert (second.status, second.complete) == (200, True)
    assert second.headers["connection"] == "close"
    caller.join()
    assert found[0].complete
    assert entry.process.wait(timeout=6) == 0


def test_a_leaving_entry_refuses_requests_that_it_could_not_finish(system: Deployment) -> None:
    """Callers keep calling until the process has exited, since the balancer has no other entry.
    Each gets a complete stream, or is told at once that its request did not run. Guards against
    cutting off the last streams when the process exits."""
    system.start_server("engine", event_stream_handler(10, pause_s=0.1))
    entry = system.start_entry("e1")
    for _ in range(3):
        assert entry.call("POST", "/stream/x", body=b"b").complete
    entry.send_signal(signal.SIGTERM)
    found: list[Answer] = []
    lock = threading.Lock()

    def keep_calling() -> None:
        while True:
            try:
                answer = entry.call("POST", "/stream/x", body=b"b")
            except ConnectionRefusedError:
                return
            except OSError:
                answer = Answer(0, {}, b"", complete=False)
            with lock:
                found.append(answer)
            if answer.status == 503:
                time.sleep(0.1)

    callers = [threading.Thread(target=keep_calling) for _ in range(4)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(timeout=12)
    assert entry.process.wait(timeout=1) == 0
    refused = [each for each in found if each.status == 503]
    cut = [each for each in found if not each.complete and each.status]
    assert not cut
    assert any(each.status == 200 for each in found)
    assert all(float(each.headers["retry-after"]) < 0.1 for each in refused)


def test_idle_connections_do_not_delay_a_leaving_entry(system: Deployment) -> None:
    """A caller keeps a connection open without a request. The entry must still exit in time and
    serve new connections until then. Guards against waiting for the idle connection: the entry was
    killed, and left connections that it had accepted unanswered."""
    system.start_server("plain", _answer)
    entry = system.start_entry("e1")
    with socket.create_connection(("127.0.0.1", entry.port)):
        time.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        time.sleep(2.0)
        assert entry.call("GET", "/safe/x").status == 200
        assert entry.process.wait(timeout=3.5) == 0


@pytest.mark.parametrize("request_first", [True, False])
def test_a_host_with_a_disk_is_released_on_request(system: Deployment, request_first: bool) -> None:
    """The operator asks to empty a host. The host holds no data, so the request completes at once,
    whether it is written before the keeper starts or later."""
    if request_first:
        system.objects.put("retirements", "m1", {"duration_s": 8})
    system.keeper("k1")
    if not request_first:
        time.sleep(1.0)
        system.objects.put("retirements", "m1", {"duration_s": 8})
    stored = system.objects.objects
    eventually(lambda: stored[("retirements", "m1")]["status"] == {"state": "completed"}, 5)


def test_a_host_is_released_although_the_keepers_watch_misses_the_request(
    system: Deployment,
) -> None:
    """The keeper's watch stays open without reporting the request. The host must still be released
    well before its deadline. Guards against waiting for the end of the watch, 30 s."""
    system.keeper("k1")
    time.sleep(1.0)
    system.objects.faults.suppress_watch_events = True
    system.objects.put("retirements", "m1", {"duration_s": 8})
    stored = system.objects.objects
    eventually(lambda: stored[("retirements", "m1")]["status"] == {"state": "completed"}, 6)


def _try(call: object, *arguments: str) -> Answer | None:
    try:
        return call(*arguments)  # type: ignore[operator]
    except OSError:
        return None
