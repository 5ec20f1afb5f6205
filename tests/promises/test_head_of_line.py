"""Promise: an online request never suffers head-of-line blocking behind batch work."""

from __future__ import annotations

import statistics
import time
from pathlib import Path

import pytest
from harness import Site, SitePlan, batch_items, run_concurrently, running_site
from history import History, items_without_one_result

pytestmark = pytest.mark.promise("no head-of-line blocking")
SLOTS = 16
STEP_BASE_MS = 16.0
STEP_STREAM_MS = 0.4
ENGINE = {"step_base_ms": STEP_BASE_MS, "step_stream_ms": STEP_STREAM_MS, "slots": SLOTS}
PLAN = SitePlan(entries=1, engines=1, engine=ENGINE, sidecar={"declared": {"slots": SLOTS}})
"""The declared slots are those of the engine. With the default of 32, the sidecar would start twice
as many streams as the engine runs, and the rest would wait in the engine's own queue."""
DECODE_STEP_S = (STEP_BASE_MS + SLOTS * STEP_STREAM_MS) / 1000.0
ALLOWED_RATIO = 1.25
REQUESTS = 15
SCHEDULING_NOISE_S = 0.010
"""Allowance for other tests on the same machine: a thread may wait for a core."""


def _first_token_times(site: Site, name: str, *, pause_s: float) -> list[float]:
    history = History()
    first_token_times = []
    for number in range(REQUESTS):
        call = history.chat(site, f"{name} {number}", stream=True, tokens=3)
        assert call.is_complete, call
        assert call.first_data_after_s is not None
        first_token_times.append(call.first_data_after_s)
        time.sleep(pause_s)
    return first_token_times


def _fill_engine_with_batch(site: Site, items: int) -> tuple[list[dict[str, object]], str]:
    lines = batch_items(items, tokens=150, name="bulk")
    batch = site.submit_batch(lines)
    site.cluster.wait_until(
        "the engine is full of batch work",
        lambda: len(_unfinished_runs(site)) >= SLOTS,
        20.0,
    )
    return lines, str(batch["id"])


def _unfinished_runs(site: Site) -> list[dict[str, object]]:
    return [run for run in site.engine_runs("engine-1") if run["ended"] is None]


def test_one_request_at_an_engine_full_of_batch_work(tmp_path: Path) -> None:
    """The first token takes at most a quarter longer than on an idle engine, plus a decode step.

    Batch streams take all slots, and more of them are queued. Each online request preempts one; the
    preempted items finish later, each with exactly one result.
    """
    with running_site(tmp_path, PLAN) as site:
        idle = statistics.median(_first_token_times(site, "idle", pause_s=0.05))
        lines, batch_id = _fill_engine_with_batch(site, 60)
        full = statistics.median(_first_token_times(site, "full", pause_s=0.1))
        assert full <= ALLOWED_RATIO * idle + DECODE_STEP_S + SCHEDULING_NOISE_S
        batch = site.wait_batch_ended(batch_id, timeout_s=90.0)
        assert batch["status"] == "completed"
        assert items_without_one_result(lines, site.batch_results(batch)) == []


def test_a_burst_of_three_times_the_slots(tmp_path: Path) -> None:
    """Batch work delays the first tokens of a burst by at most a quarter and one decode step."""
    with running_site(tmp_path, PLAN) as site:
        idle_times = _burst(site, "alone")
        lines, batch_id = _fill_engine_with_batch(site, 60)
        loaded_times = _burst(site, "beside")
        assert len(idle_times) == len(loaded_times) == 3 * SLOTS
        for share in (0.5, 0.95):
            bound = (
                ALLOWED_RATIO * _quantile(idle_times, share) + DECODE_STEP_S + SCHEDULING_NOISE_S
            )
            assert _quantile(loaded_times, share) <= bound
        batch = site.wait_batch_ended(batch_id, timeout_s=90.0)
        assert items_without_one_result(lines, site.batch_results(batch)) == []


def _burst(site: Site, name: str) -> list[float]:
    history = History()
    run_concurrently(
        [
            lambda number=number: history.chat(  # type: ignore[misc]
                site, f"{name} burst {number}", stream=True, tokens=20
            )
            for number in range(3 * SLOTS)
        ]
    )
    return [
        call.first_data_after_s
        for call in history.calls
        if call.is_complete and call.first_data_after_s is not None
    ]


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
