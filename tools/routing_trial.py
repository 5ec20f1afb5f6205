"""What each part of routing is worth: load patterns with it and without it, in one run.

Prints a table of what callers receive, on the pool model of the core's tests: 9 upstreams with 8
slots and 3 entries (Hollowbrook's reading-desk). Each row is the
mean over the seeds, followed by the least and the greatest 95th percentile of the first token.

    .venv/bin/python tools/routing_trial.py --seeds 5
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from statistics import mean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "packages" / "core" / "tests"))

from pool_model import Arrival, Pool, PoolShape, arrivals, first_tokens, percentile

from carobspool_core import Millis, RetrySettings, RoutingSettings

CAPACITY = 30.0
"""Answers a second that the 9 x 8 slots give at full load, measured with 60 arrivals a second."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """Routing with one part switched off or changed."""

    routing: RoutingSettings = RoutingSettings()
    retry: RetrySettings = RetrySettings()
    report_every: Millis | None = None


BLIND = RoutingSettings(
    sample_size=1, prefer_own_domain=False, free_slot_first=False, search_free_slot=False
)
UNBOUNDED = RetrySettings(budget=1.0, reserve=1e9, overload_share=1e9)
VARIANTS = {
    "all parts": Variant(),
    "one choice": Variant(routing=BLIND),
    "three choices": Variant(routing=RoutingSettings(sample_size=3)),
    "no lag correction": Variant(routing=RoutingSettings(lag_correction=False)),
    "reports each 1 s": Variant(report_every=1_000.0),
    "reports each 5 s": Variant(report_every=5_000.0),
    "no search": Variant(routing=RoutingSettings(search_free_slot=False)),
    "tokens alone": Variant(routing=RoutingSettings(free_slot_first=False)),
    "no affinity": Variant(routing=RoutingSettings(affinity=False)),
    "affinity unbounded": Variant(routing=RoutingSettings(affinity_free_share=1e9)),
    "no ejection": Variant(routing=RoutingSettings(ejection=False)),
    "any domain": Variant(routing=RoutingSettings(prefer_own_domain=False)),
    "retries unbounded": Variant(retry=UNBOUNDED),
    "no retries": Variant(retry=RetrySettings(max_attempts=1)),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What the callers of one run received."""

    p50: float
    p95: float
    p99: float
    answered: float
    cached: float
    attempts: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One load pattern."""

    shape: PoolShape
    load: Callable[[Random], list[Arrival]]


def _hot(rng: Random) -> str | None:
    return "hot" if rng.random() < 0.6 else f"p{rng.randrange(200)}"


def _prefixes(rng: Random) -> str | None:
    return f"p{rng.randrange(30)}"


def _steady(rate: float, prompt: int = 330) -> Callable[[Random], list[Arrival]]:
    return lambda rng: arrivals(rng, rate=rate, seconds=90, prompt=prompt)


def _burst(rng: Random) -> list[Arrival]:
    calm = arrivals(rng, rate=8, seconds=90)
    for start in range(5, 90, 12):
        calm += arrivals(rng, rate=50, seconds=1.0, start=start * 1000.0)
    return calm


def _long_among_short(rng: Random) -> list[Arrival]:
    short = arrivals(rng, rate=24, seconds=90, answer=50)
    return short + arrivals(rng, rate=1.0, seconds=90, prompt=4_000, answer=800)


def _with_prefixes(prefix: Callable[[Random], str | None]) -> Callable[[Random], list[Arrival]]:
    return lambda rng: arrivals(rng, rate=18, seconds=90, prompt=2_000, prefix=prefix)


PLAIN = PoolShape()
SLOW = PoolShape(slow={"up-4": 5.0})
HUNG = PoolShape(slow={"up-4": 400.0})
THIRD_LOST = PoolShape(crash_at={f"up-{n}": 30_000.0 for n in (0, 3, 6)})
SCENARIOS = {
    "steady 0.8": Scenario(shape=PLAIN, load=_steady(24)),
    "bursts": Scenario(shape=PLAIN, load=_burst),
    "long among short": Scenario(shape=PLAIN, load=_long_among_short),
    "30 prefixes": Scenario(shape=PLAIN, load=_with_prefixes(_prefixes)),
    "hot prefix": Scenario(shape=PLAIN, load=_with_prefixes(_hot)),
    "slow upstream": Scenario(shape=SLOW, load=_steady(18)),
    "hung upstream": Scenario(shape=HUNG, load=_steady(18)),
    "third lost": Scenario(shape=THIRD_LOST, load=_steady(15)),
    "overload x2": Scenario(shape=PLAIN, load=_steady(2 * CAPACITY)),
    "overload x5": Scenario(shape=PLAIN, load=_steady(5 * CAPACITY)),
}


def main() -> None:
    """Run the chosen scenarios and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--scenario", choices=[*SCENARIOS], action="append")
    parser.add_argument("--variant", choices=[*VARIANTS], action="append")
    options = parser.parse_args()
    names = options.scenario or [*SCENARIOS]
    variants = options.variant or [*VARIANTS]
    print(
        "| pattern | variant | p50 ms | p95 ms (least-greatest) | p99 ms | whole | cached | tries |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for name in names:
        for variant in variants:
            runs = [_run(name, variant, seed) for seed in range(1, options.seeds + 1)]
            print(_row(name, variant, runs), flush=True)


def _run(name: str, variant: str, seed: int) -> Figures:
    scenario = SCENARIOS[name]
    chosen = VARIANTS[variant]
    shape = replace(scenario.shape, report_every=chosen.report_every)
    pool = Pool(shape, seed=seed, routing=chosen.routing, retry=chosen.retry)
    endings = pool.run(scenario.load(Random(seed)))
    times = first_tokens(endings)
    return Figures(
        p50=percentile(times, 0.50),
        p95=percentile(times, 0.95),
        p99=percentile(times, 0.99),
        answered=len(times) / len(endings),
        cached=sum(each.cached for each in endings) / len(endings),
        attempts=(pool.first_attempts + pool.retries) / pool.first_attempts,
    )


def _row(name: str, variant: str, runs: list[Figures]) -> str:
    least = min(each.p95 for each in runs)
    greatest = max(each.p95 for each in runs)
    cells = [
        name,
        variant,
        f"{mean(each.p50 for each in runs):.0f}",
        f"{mean(each.p95 for each in runs):.0f} ({least:.0f}-{greatest:.0f})",
        f"{mean(each.p99 for each in runs):.0f}",
        f"{mean(each.answered for each in runs):.4f}",
        f"{mean(each.cached for each in runs):.2f}",
        f"{mean(each.attempts for each in runs):.3f}",
    ]
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
