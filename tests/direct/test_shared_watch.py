"""A few entries follow the store for all: propagation of changes, its delay, and store calls."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import STANDARD_ROUTES, Deployment, Entry, deployment, eventually, route

from carobspool_core import preferred_nodes
from carobspool_core.direct import _watch_duty
from carobspool_standins.platform_server import ServedRequest, ServerConnection

ENTRIES = 9
WATCHER_COUNT = _watch_duty.WATCHER_COUNT
PROPAGATION_LIMIT_S = 1.0
"""Time within which every entry applies a change while all entries live."""
DRAIN_LIMIT_S = 2.0
"""Time after which a draining server must get no new requests, as users require."""


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.send_response(request)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of nine entries that have heard each other."""
    with deployment(tmp_path) as running:
        running.start_server("plain", _answer)
        for number in range(ENTRIES):
            running.start_entry(f"e{number}", wait=False)
        for entry in running.entries:
            eventually(entry.is_ready, 8.0)
        time.sleep(4.0)
        yield running


def _watchers(system: Deployment) -> list[Entry]:
    names = preferred_nodes("watch", [each.name for each in system.entries], WATCHER_COUNT)
    return [each for each in system.entries if each.name in names]


def _serves_new_route(entry: Entry, prefix: str) -> bool:
    return entry.call("GET", f"{prefix}x").status == 200


def test_all_entries_apply_a_change_that_a_few_have_watched(system: Deployment) -> None:
    """Routes and servers change repeatedly. If every entry watched the store, each change would
    cost a call of each entry. It costs a call only of those that follow the store, and all entries
    apply it as soon."""
    before = system.objects.calls.get("watch", 0)
    for version in range(2, 8):
        prefix = f"/new-{version}/"
        system.write_configuration(version, *STANDARD_ROUTES, route(prefix, "safe", "plain"))
        system.start_server("plain", _answer)
        until = time.monotonic() + PROPAGATION_LIMIT_S
        for entry in system.entries:
            eventually(lambda e=entry, p=prefix: _serves_new_route(e, p), PROPAGATION_LIMIT_S)
        assert time.monotonic() < until
    assert system.objects.calls["watch"] - before <= 6 * 2 * WATCHER_COUNT + WATCHER_COUNT
    assert any(each.log_lines_containing("event=view_taken") for each in system.entries)


def test_a_draining_server_gets_no_new_requests_while_most_watchers_are_frozen(
    system: Deployment,
) -> None:
    """Three of the five entries that follow the store are stopped. The other two must suffice."""
    draining = system.start_server("plain", _answer)
    time.sleep(PROPAGATION_LIMIT_S)
    frozen = _watchers(system)[:3]
    for entry in frozen:
        entry.send_signal(signal.SIGSTOP)
    try:
        system.objects.put(
            "servers", draining.instance, draining.registration("plain", state="draining")
        )
        time.sleep(DRAIN_LIMIT_S)
        before = len(draining.requests)
        for entry in system.entries:
            if entry in frozen:
                continue
            for _ in range(4):
                assert entry.call("GET", "/safe/x").status == 200
        assert len(draining.requests) == before
    finally:
        for entry in frozen:
            entry.send_signal(signal.SIGCONT)


def test_others_follow_the_store_when_all_watchers_are_gone(system: Deployment) -> None:
    """All five are killed at once, and a configuration is written at the same moment. Other entries
    take over the duty as soon as the five are known to be dead."""
    killed = _watchers(system)
    for entry in killed:
        entry.send_signal(signal.SIGKILL)
    system.write_configuration(2, *STANDARD_ROUTES, route("/new/", "safe", "plain"))
    for entry in system.entries:
        if entry not in killed:
            eventually(lambda e=entry: _serves_new_route(e, "/new/"), 4.0)


def test_a_new_entry_and_all_others_hear_each_other(system: Deployment) -> None:
    """Entries that do not watch the list of entries learn of a new entry from its announcement."""
    late = system.start_entry("late")
    for entry in system.entries[:-1]:
        eventually(lambda e=entry: e.log_lines_containing("event=peer_seen peer=late#"), 3.0)
        eventually(
            lambda e=entry: late.log_lines_containing(f"event=peer_seen peer={e.name}#"), 3.0
        )
