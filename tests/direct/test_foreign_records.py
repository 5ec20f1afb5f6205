"""Invalid records, hints and calls that other writers produce."""

from __future__ import annotations

import http.client
import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import cbor2
import pytest
from direct_harness import Deployment, Entry, all_results, deployment, eventually, job_body

from carobspool_standins.platform_server import (
    PlatformServer,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

CALLS = 12
"""Calls on one service of three upstreams, enough that each upstream is almost certainly chosen."""
DETECTION_TIME_S = 0.8
"""An entry detects a change within two pauses of 250 ms between watches."""
FAULTS: tuple[dict[str, Any], ...] = (
    {"slots": "8"},
    {"slots": True},
    {"slots": 0},
    {"address": "127.0.0.1:99999"},
    {"address": "nowhere:80"},
    {"address": ["127.0.0.1", 80]},
    {"service": 7},
    {"zone": None},
    {"state": "paused"},
    {"state": ["ready"]},
    {"sequence": "1"},
    {"born": True},
    {"born": 1.5},
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


def _register(system: Deployment, server: PlatformServer, **changes: Any) -> None:
    value = server.registration("plain")
    assert isinstance(value, dict)
    system.objects.put("servers", server.instance, value | changes)


def _calls_at(entry: Entry, server: PlatformServer) -> int:
    """Make `CALLS` calls, which must all be answered; return how many reached a server."""
    before = len(server.requests)
    for _ in range(CALLS):
        assert entry.call("GET", "/safe/x").status == 200
    return len(server.requests) - before


def test_invalid_registration_removes_its_upstream_until_it_is_valid_again(
    system: Deployment,
) -> None:
    """Another writer makes one of three registrations invalid and valid again, once for each fault.
    Callers must be answered throughout. The server gets no request while its registration is
    invalid, and is used again afterwards. Each change is logged once."""
    others = [system.start_server("plain", _answer) for _ in range(2)]
    server = system.start_server("plain", _answer)
    entry = system.start_entry("e1")
    for number, fault in enumerate(FAULTS):
        _register(system, server, sequence=number)
        eventually(lambda: _calls_at(entry, server) > 0, 3)
        _register(system, server, **fault)
        time.sleep(DETECTION_TIME_S)
        assert _calls_at(entry, server) == 0, fault
    assert all(other.requests for other in others)
    bad = entry.log_lines_containing("event=bad_registration")
    assert len(bad) == len(FAULTS)
    assert all(f"upstream={server.instance}" in line for line in bad)


HINT: dict[str, Any] = {
    "n": "e9",
    "i": "1",
    "a": ["127.0.0.1", 9],
    "l": {},
    "e": {},
    "v": {},
    "x": False,
    "s": True,
}
BAD_HINTS = (
    b"",
    b"\xff",
    cbor2.dumps([]),
    cbor2.dumps(["l"]),
    cbor2.dumps(["l", "e2", "1", 1, b"\0" * 7, b""]),
    cbor2.dumps(["l", "e2", "1", 1, b"", b"\0" * 7]),
    cbor2.dumps(["l", "e2", "1", -1, b"", b""]),
    cbor2.dumps({}),
    b"\x81" * 5_000,
    *(
        cbor2.dumps(HINT | each)
        for each in (
            {"l": []},
            {"l": {"i": ["1", None]}},
            {"e": {"i": 2**9_000}},
            {"a": ["127.0.0.1", 2**70]},
            {"a": "here"},
            {"v": {"configuration": "7"}},
            {"n": ["e2"]},
            {"j": 7, "f": [], "w": {}, "q": []},
            {"j": [], "f": [], "w": [], "q": []},
        )
    ),
)
BAD_ENTRIES: tuple[Any, ...] = (
    None,
    {},
    {"address": 3},
    {"address": ["127.0.0.1", "x"]},
    {"address": ["127.0.0.1", 2**70]},
    {"address": ["nowhere", 80]},
    {"address": "127.0.0.1:80"},
)
BAD_CALLS = (
    ("results", b""),
    ("results", b"\xff"),
    ("results", b"\x81" * 5_000),
    ("results", cbor2.dumps([])),
    ("results", cbor2.dumps({"id": "j", "after": "0", "wait": 0})),
    ("results", cbor2.dumps({"id": "j", "after": -1, "wait": 0})),
    ("results", cbor2.dumps({"id": "j", "after": 0, "wait": float("nan")})),
    ("end", cbor2.dumps({"id": 7})),
    ("view", cbor2.dumps({})),
    ("view", cbor2.dumps({"kind": "jobs"})),
    ("store", cbor2.dumps({"op": "get"})),
    ("store", cbor2.dumps({"op": "remove", "key": "jobs/j"})),
    ("store", cbor2.dumps({"op": "list", "key": "jobs/", "after": None, "limit": 1})),
    ("store", cbor2.dumps({"op": "update", "key": "jobs/j", "value": 1, "version": "1"})),
)


def test_invalid_messages_and_records_stop_no_entry(system: Deployment) -> None:
    """Two entries run a job each. Other writers register entries with invalid addresses and send
    invalid hints and calls. Calls must be refused with 400, and the entries must still receive each
    other's hints: an entry without hints counts as dead, and its job runs again elsewhere."""
    system.start_server("engine", event_stream_handler(10, pause_s=0.5))
    entries = [system.start_entry("e1"), system.start_entry("e2")]
    time.sleep(1.0)
    for entry in entries:
        body = job_body(f"{entry.name}-item")
        assert entry.call("POST", "/batch/j", body=body, request_id=entry.name).status == 202
    for number, value in enumerate(BAD_ENTRIES):
        system.objects.put("entries", f"bad-{number}", value)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for hint in BAD_HINTS:
            sender.sendto(hint, ("127.0.0.1", entries[0].peer_port))
    statuses = [_call_as_peer(entries[0], *each) for each in BAD_CALLS]
    assert statuses == [400] * len(BAD_CALLS)
    time.sleep(4.0)
    for entry in entries:
        assert entry.log_lines_containing("event=peer_lost") == []
        assert entry.log_lines_containing("event=job_taken_over") == []
        eventually(lambda e=entry: all_results(e, e.name), 8)
    assert len(entries[0].log_lines_containing("event=bad_hint")) == len(BAD_HINTS)
    for number in range(len(BAD_ENTRIES)):
        assert len(entries[1].log_lines_containing(f"event=bad_entry entry=bad-{number} ")) == 1


def _call_as_peer(entry: Entry, operation: str, body: bytes) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", entry.peer_port, timeout=5.0)
    try:
        connection.request("POST", f"/{operation}", body=body, headers={"Request-Id": "r"})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


BAD_COUNT = 10_000
GOOD_COUNT = 9
CPU_SHARE = 0.30
"""Bound of processor time over wall time; an entry without bad registrations takes about 0.02."""
MEMORY_MB = 60
"""Bound of the increase of the entry's peak memory by bad registrations."""


def test_ten_thousand_bad_registrations_use_few_resources(system: Deployment) -> None:
    """Another writer fills the list of servers with invalid registrations and keeps changing some
    of them. The valid servers must still answer callers, and the entry's memory, processor time and
    number of log lines must stay within their bounds."""
    servers = [system.start_server("plain", _answer) for _ in range(GOOD_COUNT)]
    entry = system.start_entry("e1")
    time.sleep(3.0)
    before_mb = _peak_mb(entry)
    for number in range(BAD_COUNT):
        bad = [None, {"service": 7}, {"slots": "8" * 200}, ["x"]][number % 4]
        system.objects.put("servers", f"bad-{number:05}", bad)
    eventually(lambda: _bad_registration_count(entry) >= BAD_COUNT, 60)
    quiet = _cpu_s(entry)
    began = time.monotonic()
    for number in range(40):
        system.objects.put("servers", f"bad-{number:05}", {"n": number})
        # The probability that two hundred calls miss one of nine servers by chance is about one in
        # a billion runs.
        for _ in range(5):
            assert entry.call("GET", "/safe/x").status == 200
        time.sleep(0.5)
    share = (_cpu_s(entry) - quiet) / (time.monotonic() - began)
    added_mb = _peak_mb(entry) - before_mb
    lines = len(entry.log_lines_containing("registration"))
    print(f"figures: cpu {share:.3f} of a core, memory +{added_mb:.1f} MB, lines {lines}")
    assert all(server.requests for server in servers)
    assert share < CPU_SHARE
    assert added_mb < MEMORY_MB
    assert lines < 400


def _bad_registration_count(entry: Entry) -> float:
    connection = http.client.HTTPConnection("127.0.0.1", entry.metrics_port, timeout=5.0)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    found = [line for line in text.splitlines() if "bad_records_total{" in line]
    return sum(float(line.split()[-1]) for line in found if 'kind="registration"' in line)


def _cpu_s(entry: Entry) -> float:
    fields = Path(f"/proc/{entry.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _peak_mb(entry: Entry) -> float:
    lines = Path(f"/proc/{entry.process.pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / 1024.0
