"""What direct entries pay for placing a request and for a hint, and how that grows.

Prints microseconds of processor time of one process, the least of five rounds, for fleets of
growing size: a placement with its end, and a hint of another entry taken.

    .venv/bin/python tools/cost_placement.py
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from carobspool_core.direct import FleetLoads, Load, Upstream, choose_upstream

ROUNDS = 5
CALLS = 200
IN_FLIGHT = 5
"""Requests in flight at each upstream."""
SLOTS = 8
SIZES = ((5, 9), (18, 23), (58, 60), (100, 250), (300, 2_000), (380, 2_900))


def main() -> None:
    """Print the table."""
    print("| entries x upstreams | placement and its end | hint taken |")
    print("|---|---|---|")
    for entries, upstreams in SIZES:
        placement, hint = _costs(entries, upstreams)
        print(f"| {entries} x {upstreams} | {placement:.0f} us | {hint:.0f} us |")


def _costs(entries: int, count: int) -> tuple[float, float]:
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

    def tell_all() -> None:
        for entry in range(1, entries):
            fleet.update_peer(f"entry-{entry}", loads[entry], 0.0)

    tell_all()
    hint_cost = _least(hint)
    tell_all()
    return _least(place), hint_cost


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
