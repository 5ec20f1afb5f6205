"""Streams that callers take up after all entries were killed while two versions served or had just
served, with real processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, Entry, eventually
from stream_fleet import EVENTS, LONG_STREAM, Caller, Fleet, stream_deployment

VERSIONS = ("v1", "v2")
ENTRIES = 3
DEADLINE_MS = 30_000
AFTER_START_WINDOW_S = 15.5
"""Longer than three times the time limit of a stream, after which the registrations alone once told
the version of every stream."""
RETURNS_WITHIN_S = 2.0
SHARE_THAT_GOES_ON = 0.5
"""Of the streams that are taken up while two servers of their version serve, the least share that
goes on, as a part of the share of new streams that begin."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with stream_deployment(tmp_path) as running:
        yield running


def _begin(fleet: Fleet, target: str = "/resume/1", *, lasting_s: float = 0.0) -> list[Caller]:
    """Start streams at all entries, and wait until each has some events."""
    callers = []
    for number in range(18):
        entry = fleet.system.entries[number % len(fleet.system.entries)]
        callers.append(Caller(entry, target=target, deadline_ms=DEADLINE_MS))
        time.sleep(0.01)
    eventually(lambda: all(len(each.ids) > 2 for each in callers), 3.0)
    time.sleep(lasting_s)
    return callers


def _kill_all(system: Deployment) -> None:
    for entry in system.entries:
        entry.send_signal(signal.SIGKILL)
    for entry in system.entries:
        entry.process.wait()


def _change_old_servers(system: Deployment, old: str) -> None:
    """Do to the servers of the old version what happens to them while no entry runs."""
    for server in [each for each in system.servers if each.version == "v1"]:
        if old == "draining":
            system.objects.put(
                "servers", server.instance, server.registration("engine", state="draining")
            )
        elif old == "gone":
            system.servers.remove(server)
            system.objects.remove("servers", server.instance)
            server.crash()
        elif old == "reborn":
            server.crash()
            server.version = "v2"
            system.restart_server(server, "engine")


def _start_all(system: Deployment, *, wait: bool = True, first_start: bool = False) -> list[Entry]:
    return [
        system.start_entry(f"e{number}", first_start=first_start, wait=wait)
        for number in range(ENTRIES)
    ]


def _take_up(callers: list[Caller], entries: list[Entry]) -> list[Caller]:
    """Take broken streams up, again where an entry says when to return, as callers do."""
    broken = [each for each in callers if not each.join().complete and each.ids]
    assert len(broken) >= 12
    taken_up = [
        _call_again(entries[number % len(entries)], each) for number, each in enumerate(broken)
    ]
    for number, each in enumerate(taken_up):
        if each.join().status == 503 and each.retry_after <= RETURNS_WITHIN_S:
            time.sleep(each.retry_after)
            taken_up[number] = _call_again(entries[number % len(entries)], broken[number])
    return [each.join() for each in taken_up]


def _call_again(entry: Entry, broken: Caller) -> Caller:
    return Caller(entry, target=broken.target, takes_up=broken, deadline_ms=DEADLINE_MS)


def _assert_none_joined(taken_up: list[Caller]) -> None:
    joined = [each.origin.request_id for each in taken_up if len(each.held_versions) > 1]
    assert joined == []


def _went_on(taken_up: list[Caller]) -> int:
    return sum(each.ids[-1:] == [EVENTS] for each in taken_up)


@pytest.mark.parametrize(
    ("down_s", "wait_s"), [(1.0, 0.0), (3.0, AFTER_START_WINDOW_S)], ids=["soon", "late"]
)
@pytest.mark.parametrize("old", ["serving", "draining", "gone", "reborn"])
def test_no_stream_is_joined_from_two_versions_after_all_entries_were_killed(
    system: Deployment, old: str, down_s: float, wait_s: float
) -> None:
    """Guards against entries that take the versions which they find for all that have served."""
    fleet = Fleet(system, entries=ENTRIES, engines=4, versions=VERSIONS)
    callers = _begin(fleet)
    _kill_all(system)
    _change_old_servers(system, old)
    time.sleep(down_s)
    started = _start_all(system)
    time.sleep(wait_s)
    _assert_none_joined(_take_up(callers, started))


def test_no_stream_is_joined_by_entries_that_start_with_the_settings_of_the_first_start(
    system: Deployment,
) -> None:
    """Guards against processes that take a restart for the first start of the whole system."""
    fleet = Fleet(system, entries=ENTRIES, engines=4, versions=VERSIONS)
    callers = _begin(fleet)
    _kill_all(system)
    _change_old_servers(system, "gone")
    _assert_none_joined(_take_up(callers, _start_all(system, first_start=True)))


@pytest.mark.parametrize("store", ["slow", "down"])
def test_no_stream_is_joined_while_the_store_does_not_answer_well(
    system: Deployment, store: str
) -> None:
    """Guards against entries that decide before they have read what served before them."""
    fleet = Fleet(system, entries=ENTRIES, engines=4, versions=VERSIONS)
    callers = _begin(fleet)
    _kill_all(system)
    _change_old_servers(system, "gone")
    if store == "slow":
        system.objects.faults.delay_s = 0.3
    else:
        system.objects.faults.status = 503
    started = _start_all(system, wait=False)
    time.sleep(2.0)
    system.objects.faults.status = 0
    for number in range(4):
        _assert_none_joined(_take_up(callers, started[number % ENTRIES :]))
        time.sleep(0.4)


def test_streams_of_a_rollout_go_on_after_all_entries_were_killed(system: Deployment) -> None:
    """Guards against refusing all streams, since most of their versions were recorded."""
    fleet = Fleet(system, entries=ENTRIES, engines=4, versions=VERSIONS)
    callers = _begin(fleet, LONG_STREAM, lasting_s=2.0)
    _kill_all(system)
    time.sleep(1.0)
    taken_up = _take_up(callers, _start_all(system))
    _assert_none_joined(taken_up)
    assert _went_on(taken_up) >= SHARE_THAT_GOES_ON * len(taken_up)
    assert fleet.lines("event=stream_taken_up .* known_by=record .* goes_on=True")


def test_streams_of_the_new_version_go_on_when_the_old_one_has_gone(system: Deployment) -> None:
    """Guards against refusing all streams while servers of the old version have just left."""
    fleet = Fleet(system, entries=ENTRIES, engines=4, versions=VERSIONS)
    callers = _begin(fleet, LONG_STREAM, lasting_s=2.0)
    _kill_all(system)
    _change_old_servers(system, "gone")
    time.sleep(1.0)
    taken_up = _take_up(callers, _start_all(system))
    _assert_none_joined(taken_up)
    of_new = [each for each in taken_up if each.origin.versions == {"v2"}]
    assert _went_on(of_new) >= SHARE_THAT_GOES_ON * len(of_new)
    assert _went_on(taken_up) == _went_on(of_new)


def test_streams_of_a_version_that_alone_has_served_go_on_after_all_entries_were_killed(
    system: Deployment,
) -> None:
    """Guards against entries that refuse what can only have begun at the one version."""
    fleet = Fleet(system, entries=ENTRIES, engines=3)
    callers = _begin(fleet)
    _kill_all(system)
    time.sleep(1.0)
    taken_up = _take_up(callers, _start_all(system))
    assert _went_on(taken_up) == len(taken_up)
    assert fleet.lines("event=stream_taken_up .* known_by=registrations .* goes_on=True")


def test_streams_go_on_after_a_restart_of_all_entries_in_turn(system: Deployment) -> None:
    """Guards against entries that have just started and know of no stream before them."""
    fleet = Fleet(system, entries=ENTRIES, engines=3)
    for number in range(ENTRIES):
        system.entries[0].send_signal(signal.SIGTERM)
        system.entries[0].process.wait(10.0)
        del system.entries[0]
        system.start_entry(f"e{number}", first_start=False)
    callers = _begin(fleet)
    for entry in system.entries:
        entry.send_signal(signal.SIGKILL)
        entry.process.wait()
    taken_up = _take_up(callers, _start_all(system))
    assert _went_on(taken_up) == len(taken_up)


def test_a_version_serves_streams_only_once_it_is_recorded(system: Deployment) -> None:
    """Guards against a version that comes and goes between two kills and leaves no trace."""
    fleet = Fleet(system, entries=ENTRIES, engines=2)
    eventually(lambda: fleet.lines("event=versions_recorded"), 3.0)
    system.objects.faults.status = 503
    new = fleet.start_engine("v2")
    time.sleep(1.0)
    callers = _begin(fleet)
    assert new.requests == []
    assert {version for each in callers for version in each.versions} == {"v1"}
    system.objects.faults.status = 0
    eventually(lambda: len(fleet.lines("event=versions_recorded .*v2")) > 0, 5.0)

    def begins_at_new() -> bool:
        return Caller(system.entries[0], target="/resume/1").join().versions == {"v2"}

    eventually(begins_at_new, 5.0)
