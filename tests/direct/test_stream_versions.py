"""Streams while servers of two software versions serve, with real processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import STANDARD_ROUTES, Deployment, Entry, configuration, deployment, eventually
from stream_fleet import EVENTS, SURE_AFTER_S, Caller, Fleet

VERSIONS = ("v1", "v2")
SHARE_THAT_GOES_ON = 0.5
"""Of the streams that are taken up while two servers of their version serve, the least share that
goes on, as a part of the share of new streams that begin."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries, whose engines declare copies and moves."""
    with deployment(tmp_path) as running:
        running.settings["stream_backups"] = "auto"
        services = [{"name": "engine", "engine": {"backups": True, "moves": True}}]
        declared = configuration(2, *STANDARD_ROUTES) | {"services": services}
        running.objects.put("config", "main", declared)
        yield running
        assert [e.log_lines_containing("level=error") for e in running.entries] == [
            [] for _ in running.entries
        ]


def _kill(entry: Entry) -> None:
    entry.send_signal(signal.SIGKILL)
    entry.process.wait()


def _joined(callers: list[Caller]) -> list[str]:
    """Return the streams that hold events of two versions."""
    return [
        f"{each.origin.request_id}: {sorted(each.held_versions)}"
        for each in callers
        if len(each.held_versions) > 1
    ]


def test_streams_hold_events_of_one_version_when_engines_and_an_entry_end(
    system: Deployment,
) -> None:
    """Guards against streams that go on at another software version than the one that began."""
    fleet = Fleet(system, entries=3, engines=6, versions=VERSIONS)
    first, *others = system.entries
    callers = []
    for number in range(36):
        entry = others[number // 2 % 2] if number % 2 else first
        callers.append(Caller(entry, target="/stream/1" if number % 6 == 5 else "/resume/1"))
        time.sleep(0.01)
    eventually(lambda: all(each.events for each in callers), 3.0)
    time.sleep(SURE_AFTER_S)
    for engine in system.servers[:2]:
        engine.crash()
    time.sleep(SURE_AFTER_S)
    _kill(first)
    broken = [each for each in callers if each.join().events and not each.complete]
    resumable = [each for each in broken if each.target.startswith("/resume/")]
    taken_up = [
        Caller(others[number % 2], target=each.target, takes_up=each)
        for number, each in enumerate(resumable)
    ]
    for each in taken_up:
        each.join()
    assert len(taken_up) >= 12
    assert _joined([*callers, *taken_up]) == []
    assert fleet.engines.violations == []
    went_on = [each for each in taken_up if each.complete and each.ids[-1] == EVENTS]
    assert len(went_on) >= SHARE_THAT_GOES_ON * len(taken_up)


@pytest.mark.parametrize("target", ["/resume/1", "/stream/1"])
def test_a_broken_stream_goes_on_within_its_answer_at_its_version(
    system: Deployment, target: str
) -> None:
    """Guards against an answer whose events come from servers of two versions."""
    fleet = Fleet(system, entries=1, engines=4, versions=VERSIONS)
    callers = [Caller(system.entries[0], target=target) for _ in range(16)]
    eventually(lambda: all(each.events for each in callers), 3.0)
    time.sleep(2 * SURE_AFTER_S)
    system.servers[0].crash()
    for each in callers:
        each.join()
    assert _joined(callers) == []
    assert fleet.engines.violations == []
    assert [each.ids for each in callers] == [list(range(1, EVENTS + 1))] * len(callers)
    assert {version for each in callers for version in each.versions} == set(VERSIONS)


@pytest.mark.parametrize("target", ["/resume/1", "/stream/1"])
def test_a_stream_whose_version_nobody_serves_ends_at_once(system: Deployment, target: str) -> None:
    """Guards against callers that wait until their deadline for a version that is gone."""
    fleet = Fleet(system, entries=1, engines=3, versions=("v1", "v2", "v2"))
    callers = [Caller(system.entries[0], target=target) for _ in range(12)]
    eventually(lambda: all(each.events for each in callers), 3.0)
    time.sleep(2 * SURE_AFTER_S)
    system.servers[0].crash()
    crashed_at = time.monotonic()
    lost = [each for each in callers if each.versions == {"v1"}]
    for each in lost:
        each.join()
    assert time.monotonic() - crashed_at < 0.5
    assert lost and not any(each.complete for each in lost)
    assert all(each.join().complete for each in callers if each not in lost)
    assert _joined(callers) == []
    assert fleet.engines.violations == []
