"""Promise: an online request never suffers head-of-line blocking behind batch work."""

from __future__ import annotations

import statistics
import time
from pathlib import Path

import pytest
from harness import Plan, Site, batch_items, in_threads, running_site
from history import History, items_without_one_result

pytestmark = pytest.mark.promise("no head-of-line blocking")
SLOTS = 16
STEP_BASE_MS = 16.0
STEP_STREAM_MS = 0.4
ENGINE = {"step_base_ms": STEP_BASE_MS, "step_stream_ms": STEP_STREAM_MS, "slots": SLOTS}
DECODE_STEP = (STEP_BASE_MS + SLOTS * STEP_STREAM_MS) / 1000.0
ALLOWED_RATIO = 1.25
TRIES = 15
SCHEDULING_NOISE = 0.010
"""Seconds: the machine runs other tests at the same time, and a thread may wait for a core."""


def _first_tokens(site: Site, name: str, *, pause: float) -> list[float]:
    history = History()
    firsts = []
    for number in range(TRIES):
        call = history.chat(site, f"{name} {number}", stream=True, tokens=3)
        assert call.is_complete, call
        assert call.first_data_after_s is not None
        firsts.append(call.first_data_after_s)
        time.sleep(pause)
    return firsts


def _fill_with_batch(site: Site, items: int) -> tuple[list[dict[str, object]], str]:
    lines = batch_items(items, tokens=150, name="bulk")
    batch = site.submit(lines)
    site.cluster.wait_until(
        "the engine is full of batch work",
        lambda: len(_running(site)) >= SLOTS,
        20.0,
    )
    return lines, str(batch["id"])


def _running(site: Site) -> list[dict[str, object]]:
    return [run for run in site.runs("engine-1") if run["ended"] is None]


def test_one_request_at_an_engine_full_of_batch_work(tmp_path: Path) -> None:
    """The caller's first token comes as soon as on an idle engine, plus at most one decode step.

    All slots are taken by batch streams with more behind them. Each online request makes one give
    way; what gave way finishes later, each item with exactly one result.
    """
    with running_site(tmp_path, Plan(entries=1, engines=1, engine=ENGINE)) as site:
        idle = statistics.median(_first_tokens(site, "idle", pause=0.05))
        lines, batch_id = _fill_with_batch(site, 60)
        full = statistics.median(_first_tokens(site, "full", pause=0.1))
        assert full <= ALLOWED_RATIO * idle + DECODE_STEP + SCHEDULING_NOISE
        batch = site.wait_ended(batch_id, seconds=90.0)
        assert batch["status"] == "completed"
        assert items_without_one_result(lines, site.results(batch)) == []


def test_a_burst_of_three_times_the_slots(tmp_path: Path) -> None:
    """A burst is served beside batch work as it is without: its slowest first token likewise."""
    with running_site(tmp_path, Plan(entries=1, engines=1, engine=ENGINE)) as site:
        alone = _burst(site, "alone")
        lines, batch_id = _fill_with_batch(site, 60)
        beside = _burst(site, "beside")
        assert len(alone) == len(beside) == 3 * SLOTS
        for share in (0.5, 0.95):
            bound = ALLOWED_RATIO * _quantile(alone, share) + DECODE_STEP + SCHEDULING_NOISE
            assert _quantile(beside, share) <= bound
        batch = site.wait_ended(batch_id, seconds=90.0)
        assert items_without_one_result(lines, site.results(batch)) == []


def _burst(site: Site, name: str) -> list[float]:
    history = History()
    in_threads(
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
