"""Which upstreams an entry uses, and with whom, as entries and upstreams come and go."""

from __future__ import annotations

from collections.abc import Sequence

from carobspool_core.direct import Upstream
from carobspool_node.direct._neighbourhood import MEMBERS_KNOWN_FOR, Neighbourhood


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
    """Entries and upstreams as one entry sees them; its view is shared by all here."""

    def __init__(self, entries: int, engines: int, plain: int) -> None:
        self.clock = _Clock()
        self.names = frozenset(f"e{number}" for number in range(entries))
        self.upstreams = {
            "engine": _upstreams("engine", engines),
            "plain": _upstreams("plain", plain),
        }
        self.views = {name: self._view(name) for name in self.names}

    def _view(self, name: str) -> Neighbourhood:
        return Neighbourhood(
            self.clock,
            name,
            members=lambda: self.names - {name},
            usable=lambda service: self.upstreams[service],
            largest_service=lambda: max(len(each) for each in self.upstreams.values()),
        )

    def parts(self, service: str) -> list[Sequence[Upstream]]:
        return [view.near(service) for view in self.views.values()]


def test_a_small_fleet_uses_everything_together() -> None:
    fleet = _Fleet(entries=58, engines=30, plain=5)
    view = fleet.views["e0"]
    assert view.peers() is None
    assert view.near("engine") is fleet.upstreams["engine"]
    assert view.reach("engine").far == ()


def test_a_large_fleet_shares_out_what_is_large() -> None:
    """Three hundred entries and as many engines a group as bursts need; five servers of a plain
    service stay everybody's."""
    fleet = _Fleet(entries=300, engines=600, plain=5)
    for view in fleet.views.values():
        reach = view.reach("engine")
        assert 33 <= len(reach.near) <= 34
        assert len(reach.near) + len(reach.far) == 600
        assert len(view.near("plain")) == 5
        peers = view.peers()
        assert peers is not None and 16 <= len(peers) <= 17
    users = [each.instance for part in fleet.parts("engine") for each in part]
    assert set(users) == {each.instance for each in fleet.upstreams["engine"]}


def test_parts_follow_what_comes_and_goes() -> None:
    fleet = _Fleet(entries=64, engines=128, plain=0)
    view = fleet.views["e0"]
    before = view.near("engine")
    assert view.near("engine") is before
    gone = before[0]
    fleet.upstreams["engine"] = [each for each in fleet.upstreams["engine"] if each is not gone]
    assert gone not in view.near("engine")
    fleet.names = frozenset({"e0", "e1"})
    fleet.clock.time += MEMBERS_KNOWN_FOR
    assert view.peers() is None
    assert len(view.near("engine")) == 127
