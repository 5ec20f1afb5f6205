"""Print the table of the admission's trial on a simulated engine.

Each row is a policy under one load pattern: the ratio of the online 95th percentiles to those of
online alone, and batch tokens as a share of what straight-through reaches, same seeds, same run.
"""

from __future__ import annotations

import argparse
import dataclasses
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "packages" / "core" / "tests"))

import _engine_model as model  # noqa: E402

from carobspool_core import AdmissionMode, AdmissionSettings, OnlineSlowdown  # noqa: E402

PATTERNS: dict[str, Callable[[int], model.Arrivals]] = {
    "bursts": model.bursts,
    "steady": model.steady,
    "ramp": model.ramp,
}
TABOSA = AdmissionSettings(slowdown=OnlineSlowdown(first_token=1.05, between_tokens=1.5))
HOLLOWBROOK = AdmissionSettings(
    slowdown=OnlineSlowdown(first_token=1.15, between_tokens=2.0), between_tokens_allowance=78.0
)
POLICIES: dict[str, AdmissionSettings] = {
    "straight": AdmissionSettings(mode=AdmissionMode.STRAIGHT),
    "cap-4": AdmissionSettings(mode=AdmissionMode.CAP, batch_cap=4),
    "cap-8": AdmissionSettings(mode=AdmissionMode.CAP, batch_cap=8),
    "cap-16": AdmissionSettings(mode=AdmissionMode.CAP, batch_cap=16),
    "tabosa": TABOSA,
    "tabosa-kv-lost": dataclasses.replace(TABOSA, keep_kv=False),
    "tabosa-unpaced": dataclasses.replace(TABOSA, pace_batch_prompts=False),
    "hollowbrook": HOLLOWBROOK,
    "hollowbrook-kv-lost": dataclasses.replace(HOLLOWBROOK, keep_kv=False),
    "hollowbrook-unpaced": dataclasses.replace(HOLLOWBROOK, pace_batch_prompts=False),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Figures of one policy, pattern and seed."""

    first: float
    first_p99: float
    between: float
    between_ms: float
    batch: float
    again: float
    preemptions: float


def trial(policies: list[str], pattern: str, seed: int, seconds: float) -> list[Row]:
    """Run the policies, and what they are compared with, on one seed."""
    arrivals = PATTERNS[pattern]
    alone, _ = model.run(POLICIES["straight"], arrivals(seed), seconds=seconds, batch=False)
    straight, _ = model.run(POLICIES["straight"], arrivals(seed), seconds=seconds)
    rows = []
    for policy in policies:
        figures, _ = model.run(POLICIES[policy], arrivals(seed), seconds=seconds)
        rows.append(compare(figures, alone, straight))
    return rows


def compare(
    figures: model.RunMeasurements, alone: model.RunMeasurements, straight: model.RunMeasurements
) -> Row:
    """Return what one run's callers received against the two references."""
    q = model.quantile
    return Row(
        first=q(figures.first_token_times, 0.95) / q(alone.first_token_times, 0.95),
        first_p99=q(figures.first_token_times, 0.99) / q(alone.first_token_times, 0.99),
        between=q(figures.token_gaps, 0.95) / q(alone.token_gaps, 0.95),
        between_ms=q(figures.token_gaps, 0.95),
        batch=figures.batch_rate / straight.batch_rate,
        again=figures.recomputed_tokens * 1000.0 / figures.elapsed,
        preemptions=figures.preemptions * 1000.0 / figures.elapsed,
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=900.0)
    parser.add_argument("--patterns", default=",".join(PATTERNS))
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--workers", type=int, default=5)
    options = parser.parse_args()
    print(
        "pattern   policy                 first p95 (worst)  between p95 (worst)  p95 ms  "
        "first p99  batch (worst)  again/s  preempt/s"
    )
    policies = options.policies.split(",")
    seeds = range(1, options.seeds + 1)
    with ProcessPoolExecutor(options.workers) as pool:
        jobs = {
            pattern: [pool.submit(trial, policies, pattern, s, options.seconds) for s in seeds]
            for pattern in options.patterns.split(",")
        }
        for pattern, submitted in jobs.items():
            tables = [job.result() for job in submitted]
            for index, policy in enumerate(policies):
                print(_line(pattern, policy, [rows[index] for rows in tables]), flush=True)


def _line(pattern: str, policy: str, rows: list[Row]) -> str:
    def mean(name: str) -> float:
        return statistics.mean(getattr(row, name) for row in rows)

    first = f"{mean('first'):6.3f} ({max(row.first for row in rows):6.3f})"
    between = f"{mean('between'):6.2f} ({max(row.between for row in rows):5.2f})"
    batch = f"{mean('batch'):5.3f} ({min(row.batch for row in rows):5.3f})"
    return (
        f"{pattern:9} {policy:22} {first:18} {between:20} {mean('between_ms'):6.1f}  "
        f"{mean('first_p99'):9.2f}  {batch:14} {mean('again'):7.0f}  {mean('preemptions'):8.2f}"
    )


if __name__ == "__main__":
    main()
