"""What an entry believes of its upstreams, and what it says about that."""

from __future__ import annotations

import logging

import pytest

from carobspool_core.direct import BatchUrgency, Load, Upstream
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._suspects import SUSPECT_TIME


class _Clock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


def _upstream(name: str, started: int = 0) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
        started=started,
    )


def test_an_upstream_that_failed_elsewhere_is_avoided_and_the_log_says_so(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Two other entries met a failure each at one of two upstreams. Requests go to the other one
    until the failures are old, and the log tells of both turns, once."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    upstreams = [_upstream("bad"), _upstream("good")]
    with caplog.at_level(logging.INFO, logger="absl"):
        for peer in ("e2", "e3"):
            table.take_hint(peer, {}, upstreams, {})
            table.take_hint(peer, {}, upstreams, {"bad": 1})
            table.take_hint(peer, {}, upstreams, {"bad": 1})
        for _ in range(6):
            placed = table.place_online(upstreams, target_latency=300.0, returned=False)
            assert placed is not None
            assert placed.upstream.instance == "good"
        clock.at = 2_500.0
        table.forget({"bad", "good"})
    told = [record.getMessage() for record in caplog.records]
    assert [line.split()[0] for line in told] == [
        "event=upstream_avoided",
        "event=upstream_used_again",
    ]
    assert all("upstream=bad" in line for line in told)


def test_nothing_believed_of_an_earlier_start_touches_the_new_one() -> None:
    """The only upstream has requests of this entry and of others in flight, is silent and has
    failed, and starts again. Its new start is as good as one never heard of; a request that was
    sent to the earlier one and fails late changes nothing."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    earlier, now = _upstream("x", 1), _upstream("x", 2)
    table.take_hint("e2", {}, [earlier], {earlier.identity: 0})
    table.take_hint("e2", {earlier.identity: Load(400, 0)}, [earlier], {earlier.identity: 9})
    table.suspect(earlier)
    placed = table.place_online([earlier], target_latency=300.0, returned=False)
    assert placed is None
    run = table.place_batch([now], urgency=BatchUrgency.ORDINARY, due=0.0)
    assert run is not None
    table.end_batch(*run)
    table.restarted(now)
    table.suspect(earlier)
    placed = table.place_online([now], target_latency=300.0, returned=False)
    assert placed is not None
    assert placed.load == Load()
    assert table.own_loads() == {now.identity: Load(1, 0)}
    table.forget({now.identity})
    assert table.own_failures() == {}


def test_hints_of_the_version_before_count_until_a_restart_is_seen() -> None:
    """While two versions run, entries of the older one tell their loads by the bare id. They count
    for the start that is known, so that upstreams are not overfilled, but no longer once that
    upstream has started again; their failures never count for a known start."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    first, second, other = _upstream("x", 1), _upstream("x", 2), _upstream("y")
    told = {"x": Load(400, 0), "y": Load(1, 0)}
    for failures in ({"x": 0, "y": 0}, {"x": 5, "y": 5}):
        table.take_hint("e2", told, [first, other], failures, knows_starts=False)
    assert table.place_online([first], target_latency=300.0, returned=False) is None
    assert "x:400+0/8 y!:1+0/8" in table.describe([first, other]).replace(",", " ")
    table.restarted(second)
    table.take_hint("e2", told, [second, other], {}, knows_starts=False)
    assert "x:0+0/8 y!:1+0/8" in table.describe([second, other]).replace(",", " ")


def test_a_request_goes_to_far_upstreams_when_the_near_ones_are_full_or_suspects() -> None:
    """The upstreams of this entry's group are full, or have all failed, while others are idle."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    near, far = _upstream("near"), _upstream("far")

    def place() -> str:
        placed = table.place_online([near], target_latency=300.0, returned=False, far=[near, far])
        assert placed is not None
        table.end_online(placed, completed=False)
        return placed.upstream.instance

    assert place() == "near"
    table.suspect(near)
    assert place() == "far"
    clock.at = 5_000.0
    assert place() == "near"
    table.take_hint("e2", {"near": Load(400, 0)}, (), {})
    assert place() == "far"
    table.take_hint("e2", {"near": Load(400, 0), "far": Load(400, 0)}, (), {})
    assert table.place_online([near], target_latency=300.0, returned=False, far=[far]) is None


def test_a_second_try_does_not_go_where_requests_have_failed_of_late() -> None:
    """An upstream is tried again a second after a failure. A request whose first try has failed met
    it there, failed once more, and was cut off at its deadline."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    slow, good = _upstream("slow"), _upstream("good")
    table.suspect(slow)
    table.take_hint("e2", {"good": Load(7, 0)}, (), {})
    clock.at = SUSPECT_TIME + 1.0
    first = table.place_online([slow, good], target_latency=300.0, returned=False)
    assert first is not None and first.upstream is slow
    met = frozenset({"another"})
    second = table.place_online([slow, good], target_latency=300.0, returned=True, excluded=met)
    assert second is not None and second.upstream is good
    alone = table.place_online([slow], target_latency=300.0, returned=True, excluded=met)
    assert alone is not None
