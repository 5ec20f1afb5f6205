"""What an entry pays for one decision about a waiting request, and how that grows.

Prints microseconds of processor time of one process, the least of five rounds, with requests of
1,000 organisations waiting: a request queued, a request started with the choice of its slot, the
prediction of a wait, the report of another entry taken, and the peer chosen that uses a slot next.

    .venv/bin/python tools/cost_queue.py
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from random import Random

from carobspool_core.online_queue import (
    Competition,
    EntryQueue,
    FleetWaiting,
    FreeSlots,
    QueuedRequest,
    choose_receiver,
    predicted_wait,
)

ROUNDS = 5
CALLS = 200
ORGANISATIONS = 1_000
RANKS = 3
SIZES = ((4, 25), (24, 25), (58, 60), (380, 60))


def main() -> None:
    """Print the table."""
    print("| entries, upstreams | queued | started | wait predicted | report taken | handed over |")
    print("|---|---|---|---|---|---|")
    for entries, upstreams in SIZES:
        costs = " | ".join(f"{cost:.1f} us" for cost in _costs(entries, upstreams))
        print(f"| {entries}, {upstreams} | {costs} |")


def _costs(entries: int, upstreams: int) -> tuple[float, ...]:
    draw = Random(1)
    queue, peers, slots = EntryQueue(), FleetWaiting(), FreeSlots(draw)
    numbers = iter(range(10**9))
    ranks = itertools.cycle(range(RANKS))

    def add() -> None:
        number = next(numbers)
        queue.add(
            QueuedRequest(
                number=number,
                rank=next(ranks),
                organisation=f"o{number % ORGANISATIONS}",
                cost=1_000.0,
                on_time_until=1e9,
                latest_start=1e9,
                is_retry=False,
            ),
            0.0,
        )

    for _ in range(ORGANISATIONS):
        add()
    for peer in range(1, entries):
        peers.update(f"e{peer}", {(rank, 0): 5 for rank in range(RANKS)}, 0.0)
    free = {f"i{number}#1": 1 for number in range(2)}

    def start() -> None:
        slots.observe(free, 8 * upstreams, 0.0)
        first = queue.first(0.0)
        assert first is not None
        counts = queue.counts()
        own = min(counts)
        competition = Competition(
            ahead=peers.ahead(own), equal=peers.equal(own), own=counts[own], peers=len(peers)
        )
        slots.usable(
            competition, 0.0, lambda identity: peers.is_drawn(identity, own, "e0", counts[own])
        )
        queue.start(first)

    def predict() -> None:
        predicted_wait(queue, peers, rank=1, organisation="o7", is_retry=False, free_rate=0.1)

    def report() -> None:
        peers.update(f"e{draw.randrange(1, entries)}", {(0, 0): draw.randrange(1, 9)}, 0.0)

    def hand_over() -> None:
        choose_receiver({(1, 0): 1}, peers, {"e1": 1, "e2": 1}, draw)

    return tuple(_least(each) for each in (add, start, predict, report, hand_over))


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
