"""What callers get of fleets under bursts, by the decisions of real entries in simulated time."""

from __future__ import annotations

import random

import pytest
from fleet_load import FleetPlan, play_fleet

from carobspool_core.direct import _placement as placement

LARGE = FleetPlan(entries=18, engines=20, slots=7, calm_rate=32.0, burst_rate=155.0, jobs_rate=1.0)
MIDDLE = FleetPlan(entries=5, engines=9, slots=8, calm_rate=15.0, burst_rate=74.0, jobs_rate=0.5)


@pytest.fixture(autouse=True)
def _same_draws(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "_draw", random.Random(5))


@pytest.mark.parametrize("seed", [1, 2])
def test_streams_of_a_burst_begin_in_time_on_a_large_fleet(seed: int) -> None:
    """Eighteen entries choose by the same loads, 100 ms old, in bursts of five times the calm rate.
    Choosing the least loaded upstream of all, they met at the same ones: 95.3% of the streams began
    within 300 ms. Their batch runs made room eight at a time: 2,700 interruptions of 330 items."""
    report = play_fleet(LARGE, seed)
    assert report.refused == 0
    assert report.on_time(300.0) > 0.975
    assert report.interruptions < 1_000
    assert len(report.items) == report.submitted
    assert max(report.items) < 18_000.0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_of_nine_serves_bursts_and_batch(seed: int) -> None:
    report = play_fleet(MIDDLE, seed)
    assert report.on_time(300.0) > 0.98
    assert report.interruptions < 350
    assert len(report.items) == report.submitted
    assert max(report.items) < 18_000.0
