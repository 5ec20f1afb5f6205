"""A few entries follow the store for all: what the others know, how soon, and what it costs."""

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
WATCHERS = _watch_duty.WATCHERS
KNOWN_S = 1.0
"""Within which every entry knows of a change while all of them live."""
LEFT_S = 2.0
"""Within which a leaving server gets nothing new; a rule of the users."""


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.answer(request)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Nine entries that have heard of each other."""
    with deployment(tmp_path) as running:
        running.server("plain", _answer)
        for number in range(ENTRIES):
            running.entry(f"e{number}", wait=False)
        for entry in running.entries:
            eventually(entry.is_ready, 8.0)
        time.sleep(4.0)
        yield running


def _watchers(system: Deployment) -> list[Entry]:
    names = preferred_nodes("watch", [each.name for each in system.entries], WATCHERS)
    return [each for each in system.entries if each.name in names]


def _serves_new_route(entry: Entry, prefix: str) -> bool:
    return entry.call("GET", f"{prefix}x").status == 200


def test_all_entries_know_a_change_that_a_few_have_watched(system: Deployment) -> None:
    """Routes and servers change time and again. With a watch of each entry every change cost a call
    of all of them; now it costs one of those that follow the store, and is known as soon."""
    before = system.objects.calls.get("watch", 0)
    for version in range(2, 8):
        prefix = f"/new-{version}/"
        system.configure(version, *STANDARD_ROUTES, route(prefix, "safe", "plain"))
        system.server("plain", _answer)
        until = time.monotonic() + KNOWN_S
        for entry in system.entries:
            eventually(lambda e=entry, p=prefix: _serves_new_route(e, p), KNOWN_S)
        assert time.monotonic() < until
    assert system.objects.calls["watch"] - before <= 6 * 2 * WATCHERS + WATCHERS
    assert any(each.logged("event=view_taken") for each in system.entries)


def test_a_leaving_server_gets_nothing_new_while_most_watchers_are_frozen(
    system: Deployment,
) -> None:
    """Three of the five that follow the store stand still. The other two must be enough."""
    leaving = system.server("plain", _answer)
    time.sleep(KNOWN_S)
    frozen = _watchers(system)[:3]
    for entry in frozen:
        entry.signal(signal.SIGSTOP)
    try:
        system.objects.put(
            "servers", leaving.instance, leaving.registration("plain", state="draining")
        )
        time.sleep(LEFT_S)
        before = len(leaving.seen)
        for entry in system.entries:
            if entry in frozen:
                continue
            for _ in range(4):
                assert entry.call("GET", "/safe/x").status == 200
        assert len(leaving.seen) == before
    finally:
        for entry in frozen:
            entry.signal(signal.SIGCONT)


def test_others_follow_the_store_when_all_watchers_are_gone(system: Deployment) -> None:
    """All five are killed at once, and a configuration comes in the same moment. The next ones take
    the duty over as soon as the five are known to be dead."""
    killed = _watchers(system)
    for entry in killed:
        entry.signal(signal.SIGKILL)
    system.configure(2, *STANDARD_ROUTES, route("/new/", "safe", "plain"))
    for entry in system.entries:
        if entry not in killed:
            eventually(lambda e=entry: _serves_new_route(e, "/new/"), 4.0)


def test_an_entry_that_starts_later_is_heard_by_all_and_hears_all(system: Deployment) -> None:
    """Those that do not watch the list of entries learn of a new one by its announcement."""
    late = system.entry("late")
    for entry in system.entries[:-1]:
        eventually(lambda e=entry: e.logged("event=peer_seen peer=late#"), 3.0)
        eventually(lambda e=entry: late.logged(f"event=peer_seen peer={e.name}#"), 3.0)
