"""Records in the store that come from other writers, or cannot be read."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from direct_harness import Deployment, Entry, deployment, eventually

from carobspool_standins.platform_server import PlatformServer, ServedRequest, ServerConnection

CALLS = 12
"""Calls on one service of three upstreams that make it all but certain that each is chosen."""
KNOWN_S = 0.8
"""A change is known within two pauses between watches of 250 ms."""
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
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.answer(request)


def _register(system: Deployment, server: PlatformServer, **changes: Any) -> None:
    value = server.registration("plain")
    assert isinstance(value, dict)
    system.objects.put("servers", server.instance, value | changes)


def _calls_at(entry: Entry, server: PlatformServer) -> int:
    """Make some calls, which must all be answered; return how many reached a server."""
    before = len(server.seen)
    for _ in range(CALLS):
        assert entry.call("GET", "/safe/x").status == 200
    return len(server.seen) - before


def test_a_registration_that_turns_bad_names_no_upstream_until_it_mends(
    system: Deployment,
) -> None:
    """One of three registrations is overwritten by another writer, mends, and is bad again, once
    for each fault. Callers must be answered all the while; while it is bad its server gets nothing,
    and afterwards it is used again. The log tells each change once."""
    others = [system.server("plain", _answer) for _ in range(2)]
    server = system.server("plain", _answer)
    entry = system.entry("e1")
    for number, fault in enumerate(FAULTS):
        _register(system, server, sequence=number)
        eventually(lambda: _calls_at(entry, server) > 0, 3)
        _register(system, server, **fault)
        time.sleep(KNOWN_S)
        assert _calls_at(entry, server) == 0, fault
    assert all(other.seen for other in others)
    bad = entry.logged("event=bad_registration")
    assert len(bad) == len(FAULTS)
    assert all(f"upstream={server.instance}" in line for line in bad)
