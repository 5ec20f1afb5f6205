"""What direct entries pay for placing a request and for a hint, and how that grows.

Prints microseconds of processor time of one process, the least of five rounds, for fleets of
growing size: a placement with its end, by slots and by estimates with shared prompt parts, the
choice alone of each, and a hint of another entry taken.

    .venv/bin/python tools/cost_placement.py
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from carobspool_core.direct import NO_LOAD, FleetLoads, Load, Upstream, choose_upstream
from carobspool_core.upstream_pace import (
    FirstEventChoice,
    PromptDemand,
    UpstreamEstimates,
    Wanted,
)

ROUNDS = 5
CALLS = 200
IN_FLIGHT = 5
"""Requests in flight at each upstream."""
SLOTS = 8
MEAN_DURATION = 760.0
PARTS = 30
NOW = 10_000.0
SIZES = ((5, 9), (18, 23), (58, 60), (100, 250), (300, 2_000), (380, 2_900))

COLUMNS = (
    "choice by slots",
    "choice by pace",
    "choice by parts",
    "placement by slots and its end",
    "placement by parts and its end",
    "hint taken",
)


def main() -> None:
    """Print the table."""
    print("| entries x upstreams | " + " | ".join(COLUMNS) + " |")
    print("|---|" + "---|" * len(COLUMNS))
    for entries, upstreams in SIZES:
        costs = " | ".join(f"{each:.0f} us" for each in _costs(entries, upstreams))
        print(f"| {entries} x {upstreams} | {costs} |")


def _costs(entries: int, count: int) -> list[float]:
    draw = Random(1)
    upstreams = [
        Upstream(
            instance=f"upstream-{number:04d}",
            service="engine",
            address=("127.0.0.1", 1),
            failure_domain=f"domain-{number % 5}",
            slots=SLOTS,
            ready=True,
            started=1_700_000_000_000 + number,
        )
        for number in range(count)
    ]
    fleet = FleetLoads()
    loads: list[dict[str, Load]] = [{} for _ in range(entries)]
    for upstream in upstreams:
        for entry in draw.choices(range(entries), k=IN_FLIGHT):
            known = loads[entry].get(upstream.identity, Load())
            loads[entry][upstream.identity] = Load(known.online + 1, known.batch)

    def hint() -> None:
        entry = draw.randrange(1, entries)
        told = dict(loads[entry])
        chosen = draw.choice(upstreams).identity
        told[chosen] = Load(draw.randrange(3), 0)
        fleet.update_peer(f"entry-{entry}", told, 0.0)

    def place() -> None:
        chosen = choose_upstream(
            upstreams, fleet.totals, failure_domain="domain-0", queue_limit_of=lambda _: SLOTS
        )
        assert chosen is not None
        fleet.add_own(chosen.identity, online=1)
        fleet.add_own(chosen.identity, online=-1)

    estimates = UpstreamEstimates()
    for number, upstream in enumerate(upstreams):
        pause = 55.0 if number % 4 == 0 else 25.0
        estimates.paces.merge(upstream.identity, "engine", pause, 50, NOW)
    choice = FirstEventChoice("domain-0", estimates)
    demands = [
        PromptDemand("m", 3_350, 50, ((f"{part:x}", 3_000), ("0", 350))) for part in range(PARTS)
    ]

    def fresh(demand: PromptDemand) -> Wanted:
        return Wanted(
            demand=demand,
            mean_duration=MEAN_DURATION,
            queue_limit_of=lambda _: SLOTS,
            capacity=100_000,
        )

    without_parts = Wanted(demand=None, mean_duration=MEAN_DURATION, queue_limit_of=lambda _: SLOTS)

    def choose_by_slots() -> None:
        choose_upstream(
            upstreams, fleet.totals, failure_domain="domain-0", queue_limit_of=lambda _: SLOTS
        )

    def choose_by_pace() -> None:
        choice.choose(upstreams, fleet.totals, without_parts, now=NOW)

    def choose_by_parts() -> None:
        choice.choose(upstreams, fleet.totals, fresh(draw.choice(demands)), now=NOW)

    def place_by_parts() -> None:
        request = fresh(draw.choice(demands))
        chosen = choice.choose(upstreams, fleet.totals, request, now=NOW)
        assert chosen is not None
        load = fleet.totals.get(chosen.identity, NO_LOAD)
        forecast = estimates.place(chosen, load, request, entries=entries, now=NOW)
        fleet.add_own(chosen.identity, online=1)
        fleet.add_own(chosen.identity, online=-1)
        estimates.end(forecast, has_read=True)

    def tell_all() -> None:
        for entry in range(1, entries):
            fleet.update_peer(f"entry-{entry}", loads[entry], 0.0)

    tell_all()
    hint_cost = _least(hint)
    tell_all()
    calls = (choose_by_slots, choose_by_pace, choose_by_parts, place, place_by_parts)
    return [*(_least(each) for each in calls), hint_cost]


def _least(call: Callable[[], None]) -> float:
    found = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS):
            call()
        found.append((time.process_time() - started) / CALLS * 1e6)
    return min(found)


if __name__ == "__main__":
    main()
