"""Placement by what upstreams can do now, with real processes."""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    STANDARD_ROUTES,
    Deployment,
    Entry,
    configuration,
    deployment,
    eventually,
)

from carobspool_standins.platform_server import (
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries, whose entries choose by estimates."""
    with deployment(tmp_path) as running:
        running.settings["placement"] = "auto"
        yield running


def _fast_failures(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request, 500, b"no")


def _stream(pause_s: float) -> RequestHandler:
    return event_stream_handler(20, pause_s=pause_s)


def _paced_upstreams(entry: Entry) -> float:
    connection = http.client.HTTPConnection("127.0.0.1", entry.metrics_port, timeout=5.0)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return next(
        float(each.split()[1]) for each in lines if each.startswith("carobspool_paced_upstreams ")
    )


def _call_many(system: Deployment, count: int) -> list[int]:
    found: list[int] = []

    def call(number: int) -> None:
        entry = system.entries[number % len(system.entries)]
        found.append(entry.call("POST", "/stream/1", body=b"x").status)

    threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    for thread in threads:
        thread.join()
    return found


def test_entries_share_the_pace_of_a_slow_server(system: Deployment) -> None:
    """Guards against an entry that learns of a slow server only from its own callers."""
    fast = [system.start_server("engine", _stream(0.01)) for _ in range(2)]
    slow = system.start_server("engine", _stream(0.1))
    first, second = system.start_entry("e1"), system.start_entry("e2")
    system.entries = [first]
    assert set(_call_many(system, 30)) == {200}
    eventually(lambda: _paced_upstreams(second) == 3.0, 8.0)
    before = len(slow.requests), sum(len(each.requests) for each in fast)
    # One after another: streams that run side by side take the place of fast servers.
    assert [second.call("POST", "/stream/1", body=b"x").status for _ in range(12)] == [200] * 12
    to_slow = len(slow.requests) - before[0]
    to_fast = sum(len(each.requests) for each in fast) - before[1]
    assert (to_slow, to_fast) == (0, 12)


def test_a_server_that_fails_fast_has_no_pace(system: Deployment) -> None:
    """Guards against a server that attracts requests by failing them quickly."""
    good = system.start_server("engine", _stream(0.01))
    bad = system.start_server("engine", _fast_failures)
    entry = system.start_entry("e1")
    _call_many(system, 20)
    eventually(lambda: _paced_upstreams(entry) == 1.0, 4.0)
    assert len(good.requests) > len(bad.requests)


def test_a_request_larger_than_any_engine_is_refused_with_413(system: Deployment) -> None:
    """Guards against a request that no engine can ever run and that is tried at several."""
    server = system.start_server("engine", _stream(0.01))
    services = [{"name": "engine", "engine": {"kv_capacity_tokens": 10_000}}]
    declared = configuration(2, *STANDARD_ROUTES) | {"services": services}
    system.objects.put("config", "main", declared)
    entry = system.start_entry("e1")
    large = entry.call("POST", "/stream/1", body=b"x", headers={"Token-Count": "9990,20"})
    assert large.status == 413
    assert not server.requests
    for value in ("9000,20", "bad", "9990,20,3"):
        answer = entry.call("POST", "/stream/1", body=b"x", headers={"Token-Count": value})
        assert answer.status == 200
