"""Placement by the load table: suspects, restarts, peers' hints, far upstreams, and log lines."""

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
    """Two peers each report a failure at one of two upstreams. Requests go to the other upstream
    until the failures expire, and the log has one line for each of the two changes."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    upstreams = [_upstream("bad"), _upstream("good")]
    with caplog.at_level(logging.INFO, logger="absl"):
        for peer in ("e2", "e3"):
            table.apply_hint(peer, {}, upstreams, {})
            table.apply_hint(peer, {}, upstreams, {"bad": 1})
            table.apply_hint(peer, {}, upstreams, {"bad": 1})
        for _ in range(6):
            placed = table.place_online(upstreams, target_latency=300.0, is_retry=False)
            assert placed is not None
            assert placed.upstream.instance == "good"
        clock.at = 2_500.0
        table.retain_only({"bad", "good"})
    lines = [record.getMessage() for record in caplog.records]
    assert [line.split()[0] for line in lines] == [
        "event=upstream_avoided",
        "event=upstream_used_again",
    ]
    assert all("upstream=bad" in line for line in lines)


def test_a_restarted_upstream_has_no_load_or_failures_of_its_earlier_start() -> None:
    """The only upstream has requests of this entry and of peers in flight and has failed; then it
    restarts. Its new start counts as idle and healthy, also when a request that was sent to the
    earlier start fails later."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    earlier, restarted = _upstream("x", 1), _upstream("x", 2)
    table.apply_hint("e2", {}, [earlier], {earlier.identity: 0})
    table.apply_hint("e2", {earlier.identity: Load(400, 0)}, [earlier], {earlier.identity: 9})
    table.record_failure(earlier)
    placed = table.place_online([earlier], target_latency=300.0, is_retry=False)
    assert placed is None
    run = table.place_batch([restarted], urgency=BatchUrgency.ORDINARY, due=0.0)
    assert run is not None
    table.end_batch(*run)
    table.record_restart(restarted)
    table.record_failure(earlier)
    placed = table.place_online([restarted], target_latency=300.0, is_retry=False)
    assert placed is not None
    assert placed.load == Load()
    assert table.own_loads() == {restarted.identity: Load(1, 0)}
    table.retain_only({restarted.identity})
    assert table.own_failures() == {}


def test_hints_of_the_previous_version_count_until_the_upstream_restarts() -> None:
    """Entries of the previous version report loads by instance id, without a start time. The loads
    count for the known start, so that upstreams are not overfilled, until that upstream restarts.
    Their failures never count for a start that is known."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    first, second, other = _upstream("x", 1), _upstream("x", 2), _upstream("y")
    loads = {"x": Load(400, 0), "y": Load(1, 0)}
    for failures in ({"x": 0, "y": 0}, {"x": 5, "y": 5}):
        table.apply_hint("e2", loads, [first, other], failures, knows_starts=False)
    assert table.place_online([first], target_latency=300.0, is_retry=False) is None
    assert "x:400+0/8 y!:1+0/8" in table.describe([first, other]).replace(",", " ")
    table.record_restart(second)
    table.apply_hint("e2", loads, [second, other], {}, knows_starts=False)
    assert "x:0+0/8 y!:1+0/8" in table.describe([second, other]).replace(",", " ")


def test_a_request_goes_to_far_upstreams_when_the_near_ones_are_full_or_suspect() -> None:
    """The upstreams of the entry's own group are full or have failed, while others are idle."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    near, far = _upstream("near"), _upstream("far")

    def place() -> str:
        placed = table.place_online([near], target_latency=300.0, is_retry=False, far=[near, far])
        assert placed is not None
        table.end_online(placed, completed=False)
        return placed.upstream.instance

    assert place() == "near"
    table.record_failure(near)
    assert place() == "far"
    clock.at = 5_000.0
    assert place() == "near"
    table.apply_hint("e2", {"near": Load(400, 0)}, (), {})
    assert place() == "far"
    table.apply_hint("e2", {"near": Load(400, 0), "far": Load(400, 0)}, (), {})
    assert table.place_online([near], target_latency=300.0, is_retry=False, far=[far]) is None


def test_a_second_try_avoids_an_upstream_with_recent_failures() -> None:
    """First attempts may go to an upstream again a second after its failure. Guards against sending
    a second attempt there as well: it failed again, and the request missed its deadline."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    slow, good = _upstream("slow"), _upstream("good")
    table.record_failure(slow)
    table.apply_hint("e2", {"good": Load(7, 0)}, (), {})
    clock.at = SUSPECT_TIME + 1.0
    first = table.place_online([slow, good], target_latency=300.0, is_retry=False)
    assert first is not None and first.upstream is slow
    tried = frozenset({"another"})
    second = table.place_online([slow, good], target_latency=300.0, is_retry=True, excluded=tried)
    assert second is not None and second.upstream is good
    only_choice = table.place_online([slow], target_latency=300.0, is_retry=True, excluded=tried)
    assert only_choice is not None
