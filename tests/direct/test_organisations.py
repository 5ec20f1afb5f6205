"""Tests organisations at direct entries: keys, limits over all entries, and ownership of jobs."""

from __future__ import annotations

import http.client
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from direct_harness import (
    HOST,
    STANDARD_ROUTES,
    Deployment,
    Entry,
    all_results,
    configuration,
    deployment,
    eventually,
    job_body,
    route,
)

from carobspool_core.organisations import qualified_job_id
from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

ACME = {"Authorization": "Bearer acme-key"}
OTHER = {"Authorization": "Bearer other-key"}
APPLY_S = 2.0
ROUTES = (*STANDARD_ROUTES, route("/open/", "safe", "plain", auth_exempt=True))

Served = tuple[Deployment, Entry, Entry]


def _tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys), "priority": 1} | changes


TENANTS = (
    _tenant("acme", "acme-key", "acme-second"),
    _tenant("other", "other-key"),
    _tenant("limited", "limited-key", rate_per_s=2, burst=3),
)


def _answer_ok(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


def _write_configuration(system: Deployment, version: int, *tenants: dict[str, Any]) -> None:
    declared = configuration(version, *ROUTES) | {"tenants": list(tenants)}
    system.objects.put("config", "main", declared)


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Served]:
    """Two entries that receive each other's hints, and the organisations `TENANTS`."""
    with deployment(tmp_path_factory.mktemp("organisations"), *ROUTES) as system:
        _write_configuration(system, 2, *TENANTS)
        system.start_server("plain", _answer_ok)
        system.start_server("engine", event_stream_handler(3))
        first, second = system.start_entry("e1"), system.start_entry("e2")
        eventually(lambda: first.log_lines_containing("event=peer_seen peer=e2"), 5.0)
        eventually(lambda: second.log_lines_containing("event=peer_seen peer=e1"), 5.0)
        eventually(lambda: first.call("GET", "/safe/x", headers=ACME).status == 200, 5.0)
        yield system, first, second


def _seen_request(system: Deployment, request_id: str) -> ServedRequest:
    seen = [each for server in system.servers for each in server.requests]
    return next(each for each in seen if each.request_id == request_id)


def test_the_server_sees_the_organisation_and_never_the_key(running: Served) -> None:
    """A key that reaches a server could be used by anyone who reads the server's log."""
    system, entry, _ = running
    headers = ACME | {"Tenant": "other"}
    assert entry.call("GET", "/safe/x", headers=headers, request_id="r1").status == 200
    seen = _seen_request(system, "r1")
    assert seen.headers["tenant"] == "acme"
    assert "authorization" not in seen.headers


def test_an_exempt_route_needs_no_key_and_forwards_no_organisation(running: Served) -> None:
    """The header is not verified on an exempt route, and the server would trust it."""
    system, entry, _ = running
    headers = OTHER | {"Tenant": "acme"}
    assert entry.call("GET", "/open/x", headers=headers, request_id="r2").status == 200
    seen = _seen_request(system, "r2")
    assert "tenant" not in seen.headers
    assert "authorization" not in seen.headers


@pytest.mark.parametrize("value", ["", "Bearer", "Basic acme-key", "Bearer wrong", "acme-key"])
def test_a_request_without_a_known_key_is_denied(running: Served, value: str) -> None:
    _, entry, _ = running
    answer = entry.call("GET", "/safe/x", headers={"Authorization": value})
    assert answer.status == 401
    assert json.loads(answer.body)["error"]["outcome"] == "not_run"
    assert entry.call("GET", "/safe/x").status == 401


def test_keys_are_not_logged(running: Served) -> None:
    """Logs have more readers than keys are meant for."""
    _, entry, _ = running
    entry.call("GET", "/safe/x", headers=ACME)
    entry.call("GET", "/safe/x", headers={"Authorization": "Bearer wrong-key"})
    assert not entry.log_lines_containing("acme-key")
    assert not entry.log_lines_containing("wrong-key")


def test_invalid_keys_cause_no_store_calls(running: Served) -> None:
    """Anyone can send invalid keys, and the store serves all entries."""
    _, entry, _ = running
    before = _store_call_count(entry)
    started = time.monotonic()
    for number in range(100):
        headers = {"Authorization": f"Bearer false-{number}"}
        assert entry.call("GET", "/safe/x", headers=headers).status == 401
    # Watches and polls of the store continue during the test, at a few calls a second.
    assert _store_call_count(entry) - before <= 10 + 10 * (time.monotonic() - started)


def _store_call_count(entry: Entry) -> float:
    connection = http.client.HTTPConnection("127.0.0.1", entry.metrics_port, timeout=5.0)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    lines = [each for each in text.splitlines() if each.startswith("carobspool_store_calls_total")]
    return sum(float(each.rpartition(" ")[2]) for each in lines)


def test_a_job_belongs_to_its_organisation(running: Served) -> None:
    """Guessing an id must not suffice to read another organisation's results or to end its job."""
    system, first, second = running
    body = job_body("j1-a", "j1-b")
    assert first.call("POST", "/batch/x", body=body, headers=ACME, request_id="j1").status == 202
    results = eventually(lambda: _all_results(second, "j1", ACME), 5.0)
    assert [each["state"] for each in results] == ["completed", "completed"]
    for entry in (first, second):
        assert entry.call("GET", "/api/lots/j1?after=0", headers=OTHER).status == 404
        assert entry.call("GET", "/api/items/j1?id=j1-a", headers=OTHER).status == 404
        assert entry.call("DELETE", "/api/lots/j1", headers=OTHER).status == 404
        assert entry.call("GET", "/api/lots/j1?after=0").status == 401
    items = [each for each in system.servers[1].requests if each.request_id == "j1-a"]
    assert {each.headers["tenant"] for each in items} == {"acme"}


def _all_results(entry: Entry, job_id: str, headers: dict[str, str]) -> list[dict[str, Any]] | None:
    answer = entry.call("GET", f"/api/lots/{job_id}?after=0", headers=headers)
    if answer.status != 200:
        return None
    page = json.loads(answer.body)
    return list(page["results"]) if len(page["results"]) == page["total"] else None


def test_two_organisations_may_use_the_same_job_id(running: Served) -> None:
    """The second submission must not be taken for a repetition of the first organisation's job."""
    _, first, second = running
    for entry, headers, item in ((first, ACME, "j2-a"), (second, OTHER, "j2-b")):
        answer = entry.call(
            "POST", "/batch/x", body=job_body(item), headers=headers, request_id="j2"
        )
        assert answer.status == 202
    for headers, item in ((ACME, "j2-a"), (OTHER, "j2-b")):
        results = eventually(lambda headers=headers: _all_results(first, "j2", headers), 5.0)
        assert [each["id"] for each in results] == [item]


def test_each_key_of_the_organisation_can_read_its_job(running: Served) -> None:
    _, first, second = running
    body = job_body("j3-a")
    assert first.call("POST", "/batch/x", body=body, headers=ACME, request_id="j3").status == 202
    other_key = {"Authorization": "Bearer acme-second"}
    assert eventually(lambda: _all_results(second, "j3", other_key), 5.0)


def test_headers_of_an_item_do_not_change_its_organisation(running: Served) -> None:
    """A submitter could otherwise have its items run under another organisation's name."""
    system, first, _ = running
    lot = json.loads(job_body("j4-a"))
    lot["items"][0]["headers"] |= {"Tenant": "other", "Authorization": "Bearer other-key"}
    body = json.dumps(lot).encode()
    assert first.call("POST", "/batch/x", body=body, headers=ACME, request_id="j4").status == 202
    eventually(lambda: _all_results(first, "j4", ACME), 5.0)
    seen = _seen_request(system, "j4-a")
    assert seen.headers["tenant"] == "acme"
    assert "authorization" not in seen.headers


def test_a_limit_holds_over_both_entries(running: Served) -> None:
    """An organisation that calls two entries must not get its limit twice."""
    _, first, second = running
    headers = {"Authorization": "Bearer limited-key"}
    time.sleep(2.5)
    started = time.monotonic()
    answers = []
    for _ in range(10):
        for entry in (first, second):
            answers.append(entry.call("GET", "/safe/x", headers=headers))
            time.sleep(0.02)
    allowed = 3 + 1 + 2 * (time.monotonic() - started) + 1
    served = [each for each in answers if each.status == 200]
    refused = [each for each in answers if each.status == 429]
    assert 3 <= len(served) <= allowed
    assert len(served) + len(refused) == len(answers)
    assert 0.0 < float(refused[-1].headers["retry-after"]) <= 2.0
    assert json.loads(refused[-1].body)["error"]["outcome"] == "not_run"
    assert first.call("GET", "/safe/x", headers=ACME).status == 200


def test_a_request_that_no_server_ran_does_not_count_towards_the_limit(running: Served) -> None:
    """Unavailable servers would otherwise use up the organisation's limit."""
    _, entry, _ = running
    headers = {"Authorization": "Bearer limited-key"}
    time.sleep(2.5)
    refused = [entry.call("GET", "/nowhere/x", headers=headers).status for _ in range(5)]
    assert refused == [404] * 5
    assert entry.call("GET", "/safe/x", headers=headers).status == 200


def test_added_and_removed_keys_take_effect_at_each_entry(running: Served) -> None:
    """A removed key may be compromised and must be denied; a new key must be accepted."""
    system, first, second = running
    added = {"Authorization": "Bearer new-key"}
    _write_configuration(system, 3, _tenant("acme", "acme-key", "new-key"), *TENANTS[1:])
    for entry in (first, second):
        eventually(lambda entry=entry: entry.call("GET", "/safe/x", headers=added).status == 200, 2)
    removed = {"Authorization": "Bearer acme-second"}
    for entry in (first, second):
        assert entry.call("GET", "/safe/x", headers=removed).status == 401


def test_a_new_key_is_not_denied_by_an_entry_with_an_older_configuration(running: Served) -> None:
    """The caller takes a denial as final, so the entry asks a peer first."""
    system, first, second = running
    key = {"Authorization": "Bearer just-added"}
    _write_configuration(system, 4, _tenant("acme", "acme-key", "just-added"), *TENANTS[1:])
    eventually(lambda: first.log_lines_containing("event=configuration version=4"), 2.0)
    answer = second.call("GET", "/safe/x", headers=key)
    assert answer.status == 200


def test_jobs_submitted_before_organisations_were_declared_stay_readable(tmp_path: Path) -> None:
    """The callers of these jobs were promised results, and now present a key."""
    with deployment(tmp_path, *ROUTES) as system:
        system.start_server("engine", event_stream_handler(2))
        entry = system.start_entry("e1")
        body = job_body("old-a")
        assert entry.call("POST", "/batch/x", body=body, request_id="old").status == 202
        eventually(lambda: all_results(entry, "old"), 5.0)
        _write_configuration(system, 2, *TENANTS)
        eventually(lambda: entry.log_lines_containing("event=configuration version=2"), 3.0)
        assert eventually(lambda: _all_results(entry, "old", ACME), 3.0)
        again = entry.call("POST", "/batch/x", body=body, headers=ACME, request_id="old")
        assert again.status == 202
        assert len([each for each in system.servers[0].requests if each.request_id == "old-a"]) == 1
        assert entry.call("GET", "/api/lots/old?after=0").status == 401


def test_an_entry_without_a_configuration_answers_no_job_calls(tmp_path: Path) -> None:
    """The entry cannot tell who owns a job; it must neither serve the job nor report it missing."""
    with deployment(tmp_path, *ROUTES) as system:
        _write_configuration(system, 2, *TENANTS)
        system.start_server("engine", event_stream_handler(2))
        first = system.start_entry("e1")
        body = job_body("j-a")
        assert first.call("POST", "/batch/x", body=body, headers=ACME, request_id="j").status == 202
        eventually(lambda: _all_results(first, "j", ACME), 5.0)
        first.send_signal(signal.SIGKILL)
        first.process.wait()
        system.objects.remove("config", "main")
        entry = system.start_entry("e2", wait=False)
        eventually(lambda: entry.log_lines_containing("event=upstreams_listed"), 10.0)
        for name in ("j", qualified_job_id("j", "acme")):
            for headers in ({}, ACME, OTHER):
                answer = entry.call("GET", f"/api/lots/{name}?after=0", headers=headers)
                assert answer.status == 503


def test_each_request_on_a_keep_alive_connection_is_checked_by_its_own_key(running: Served) -> None:
    """The first key on a connection must not authorise the requests that follow."""
    _, entry, _ = running
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=5.0)
    statuses = []
    for key in ("acme-key", "wrong", "other-key"):
        headers = {"Host": HOST, "Request-Id": f"kept-{key}", "Deadline-Ms": "3000"}
        connection.request("GET", "/safe/x", headers=headers | {"Authorization": f"Bearer {key}"})
        response = connection.getresponse()
        response.read()
        statuses.append(response.status)
    connection.close()
    assert statuses == [200, 401, 200]
