"""What placing and yielding are worth under a load: each constant at half and at twice its value.

.venv/bin/python tools/serving_trial.py --seeds 3

Plays `tests/fleet_load.py`, which has no plain services, prompts or faults. Rows show the share of
streams whose first event is on time, the share of items in time, interruptions an item, refusals.
"""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import mean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from fleet_load import FleetPlan, simulate_fleet

TARGET_MS = 308.0
"""Time to the first event within which a stream is on time."""
FLEET = {"entries": 23, "engines": 25, "slots": 8, "stream": 690.0, "item": 4_400.0}
PLANS = {
    "usual": FleetPlan(**FLEET, calm_rate=33.0, burst_rate=162.0, jobs_rate=1.05, target=TARGET_MS),
    "jump": FleetPlan(**FLEET, calm_rate=120.0, burst_rate=300.0, jobs_rate=1.05, target=TARGET_MS),
    "many jobs": FleetPlan(
        **FLEET,
        calm_rate=33.0,
        burst_rate=162.0,
        jobs_rate=2.4,
        jobs_at_once=40,
        target=TARGET_MS,
    ),
}
PLACEMENT = "carobspool_core.direct._placement"
ARMS: dict[str, tuple[str, str, float] | None] = {
    "as it stands": None,
    "reserve of 1": (PLACEMENT, "BATCH_RESERVE", 1),
    "reserve of 4": (PLACEMENT, "BATCH_RESERVE", 4),
    "2 upstreams drawn": (PLACEMENT, "SAMPLE_SIZE", 2),
    "10 upstreams drawn": (PLACEMENT, "SAMPLE_SIZE", 10),
    "all upstreams looked at": (PLACEMENT, "SAMPLE_SIZE", 25),
    "penalty of a full one halved": (PLACEMENT, "FULL_PENALTY", 0.125),
    "penalty of a full one doubled": (PLACEMENT, "FULL_PENALTY", 0.5),
    "no tie by failure domain": (PLACEMENT, "OTHER_DOMAIN_PENALTY", 0.0),
}


def main() -> None:
    """Print a table for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    for name, plan in PLANS.items():
        print(f"\n| {name} | streams on time | items in time | interruptions an item | refused |")
        print("|---|---|---|---|---|")
        for arm, change in ARMS.items():
            with _changed(change):
                print(f"| {arm} | {_row(plan, seeds)} |", flush=True)


@contextmanager
def _changed(change: tuple[str, str, float] | None) -> Iterator[None]:
    if change is None:
        yield
        return
    module, constant, value = importlib.import_module(change[0]), change[1], change[2]
    standing = getattr(module, constant)
    setattr(module, constant, value)
    try:
        yield
    finally:
        setattr(module, constant, standing)


def _row(plan: FleetPlan, seeds: range) -> str:
    reports = [simulate_fleet(plan, seed) for seed in seeds]
    streams = mean(each.on_time(plan.target) for each in reports)
    items = mean(sum(end <= plan.due for end in each.items) / each.submitted for each in reports)
    cuts = sum(each.interruptions for each in reports) / sum(each.submitted for each in reports)
    return f"{streams:.3f} | {items:.3f} | {cuts:.2f} | {sum(each.refused for each in reports)}"


if __name__ == "__main__":
    main()
