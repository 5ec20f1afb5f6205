"""Subsets of upstreams and groups of entries, as entries and upstreams come and go."""

from __future__ import annotations

from collections.abc import Sequence

from carobspool_core.direct import Upstream
from carobspool_node.direct._group_assignment import GROUP_CACHE_TIME, GroupAssignment


class _Clock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


def _upstreams(service: str, count: int) -> list[Upstream]:
    return [
        Upstream(
            instance=f"{service}-{number}",
            service=service,
            address=("127.0.0.1", 1),
            failure_domain="z",
            slots=7,
            ready=True,
        )
        for number in range(count)
    ]


class _Fleet:
    """Entries and upstreams that all entries of the test see alike."""

    def __init__(self, entries: int, engines: int, plain: int) -> None:
        self.clock = _Clock()
        self.names = frozenset(f"e{number}" for number in range(entries))
        self.upstreams = {
            "engine": _upstreams("engine", engines),
            "plain": _upstreams("plain", plain),
        }
        self.views = {name: self._view(name) for name in self.names}

    def _view(self, name: str) -> GroupAssignment:
        return GroupAssignment(
            self.clock,
            name,
            members=lambda: self.names - {name},
            usable=lambda service: self.upstreams[service],
            largest_service=lambda: max(len(each) for each in self.upstreams.values()),
        )

    def subsets(self, service: str) -> list[Sequence[Upstream]]:
        return [view.near(service) for view in self.views.values()]


def test_all_entries_of_a_small_fleet_use_all_upstreams() -> None:
    fleet = _Fleet(entries=58, engines=30, plain=5)
    view = fleet.views["e0"]
    assert view.group_members() is None
    assert view.near("engine") is fleet.upstreams["engine"]
    assert view.split_upstreams("engine").far == ()


def test_a_large_fleet_splits_only_large_services() -> None:
    """Of 600 engines each group of the 300 entries gets as many as its bursts need, while all
    entries keep using the five servers of the plain service."""
    fleet = _Fleet(entries=300, engines=600, plain=5)
    for view in fleet.views.values():
        split = view.split_upstreams("engine")
        assert 33 <= len(split.near) <= 34
        assert len(split.near) + len(split.far) == 600
        assert len(view.near("plain")) == 5
        peers = view.group_members()
        assert peers is not None and 16 <= len(peers) <= 17
    used = [each.instance for subset in fleet.subsets("engine") for each in subset]
    assert set(used) == {each.instance for each in fleet.upstreams["engine"]}


def test_subsets_follow_changes_of_upstreams_and_entries() -> None:
    fleet = _Fleet(entries=64, engines=128, plain=0)
    view = fleet.views["e0"]
    before = view.near("engine")
    assert view.near("engine") is before
    gone = before[0]
    fleet.upstreams["engine"] = [each for each in fleet.upstreams["engine"] if each is not gone]
    assert gone not in view.near("engine")
    fleet.names = frozenset({"e0", "e1"})
    fleet.clock.time += GROUP_CACHE_TIME
    assert view.group_members() is None
    assert len(view.near("engine")) == 127
