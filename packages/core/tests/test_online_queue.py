"""Order, shares and refusals of online requests that wait at an entry."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from carobspool_core.direct import UNKNOWN_SERVICE
from carobspool_core.online_queue import (
    HOLD_TIME,
    MIN_RETRY_AFTER,
    REPORT_TTL,
    Competition,
    EntryQueue,
    FleetReports,
    FleetWaiting,
    FreeSlots,
    QueuedRequest,
    ReturnTimes,
    cost_of,
    predicted_wait,
    queue_in_force,
    rate_left,
    retry_after,
)
from carobspool_core.organisations import Organisation


def _request(
    number: int, rank: int = 0, organisation: str = "o", **changes: float
) -> QueuedRequest:
    values = {"cost": 1.0, "on_time_until": 300.0, "latest_start": 4_000.0} | changes
    return QueuedRequest(
        number=number,
        rank=rank,
        organisation=organisation,
        cost=values["cost"],
        on_time_until=values["on_time_until"],
        latest_start=values["latest_start"],
        is_retry=bool(values.get("is_retry", False)),
    )


def _start_all(queue: EntryQueue, now: float) -> list[int]:
    started = []
    while (first := queue.first(now)) is not None:
        queue.start(first)
        started.append(first.number)
    return started


def test_late_and_less_urgent_requests_do_not_delay_the_others() -> None:
    """Rank goes before lateness, on time before late, returned callers before new ones, and late
    requests of one organisation go by their deadlines and not by arrival."""
    queue = EntryQueue()
    queue.add(_request(1, rank=1), 0.0)
    queue.add(_request(2, on_time_until=50.0, latest_start=3_000.0), 0.0)
    queue.add(_request(3, on_time_until=50.0, latest_start=2_000.0), 0.0)
    queue.add(_request(4), 0.0)
    queue.add(_request(5, is_retry=True), 0.0)
    queue.add(_request(6, is_retry=True, on_time_until=50.0, latest_start=1_000.0), 0.0)
    assert _start_all(queue, 100.0) == [5, 4, 6, 3, 2, 1]


def test_a_rank_is_not_starved() -> None:
    """Urgent requests never end; a less urgent rank still gets one of ten starts."""
    queue = EntryQueue()
    ranks = []
    for number in range(200):
        queue.add(_request(number, rank=2 * (number % 2)), 0.0)
    for number in range(200, 300):
        queue.add(_request(number), 0.0)
        first = queue.first(0.0)
        assert first is not None
        queue.start(first)
        ranks.append(first.rank)
    assert Counter(ranks) == {0: 90, 2: 10}


def test_a_burst_of_one_organisation_waits_behind_itself() -> None:
    """50 requests of one organisation arrive before one of another, which is served second."""
    queue = EntryQueue()
    for number in range(50):
        queue.add(_request(number, organisation="hot"), 0.0)
    queue.add(_request(99, organisation="calm"), 0.0)
    assert 99 in _start_all(queue, 0.0)[:2]


def test_the_least_urgent_request_is_evicted_and_expired_ones_end() -> None:
    """A full queue must not drop an urgent request, nor keep one that can no longer be served."""
    queue = EntryQueue()
    for number, rank in enumerate((0, 2, 1)):
        queue.add(_request(number, rank=rank, latest_start=1_000.0 * (number + 1)), 0.0)
    evicted = queue.evict()
    assert evicted is not None
    assert evicted.number == 1
    assert [each.number for each in queue.expire(1_500.0)] == [0]
    assert len(queue) == 1


def test_all_entries_draw_the_same_winner_in_proportion() -> None:
    """If several entries won the same slot, their requests would queue at one engine."""
    numbers = {f"e{number}": 1 + 3 * (number == 0) for number in range(5)}
    won: Counter[str] = Counter()
    for slot in range(800):
        winners = []
        for name, count in numbers.items():
            peers = FleetWaiting()
            for peer, waiting in numbers.items():
                if peer != name:
                    peers.update(peer, {(0, 0): waiting}, 0.0)
            if peers.is_drawn(f"i{slot}", (0, 0), name, count):
                winners.append(name)
        assert len(winners) == 1
        won[winners[0]] += 1
    assert won["e0"] == pytest.approx(400, abs=60)


def test_no_slot_is_held_for_long_for_an_entry_that_is_gone() -> None:
    """A peer reports more urgent requests and then stops: the slot is used after the hold, and the
    report does not count after 700 ms."""
    peers, slots = FleetWaiting(), FreeSlots(Random(1))
    peers.update("gone", {(0, 0): 30}, 0.0)
    competition = Competition(ahead=peers.ahead((1, 0)), peers=len(peers))
    slots.observe({"i": 1}, 16, 0.0)
    assert slots.usable(competition, HOLD_TIME / 2.0, lambda _: True) == frozenset()
    assert slots.usable(competition, HOLD_TIME, lambda _: True) == {"i"}
    peers.expire(REPORT_TTL + 1.0)
    assert peers.ahead((1, 0)) == 0


def test_requests_at_peers_count_for_their_service() -> None:
    """Those of an entry of the previous version, which names no services, count for all."""
    reports = FleetReports()
    early = reports.service(1)
    reports.update("e1", {1: {(0, 0): 2}, 2: {(0, 0): 5, (1, 0): 1}}, 0.0)
    reports.update("e2", {UNKNOWN_SERVICE: {(0, 0): 3}}, 10.0)
    late = reports.service(2)
    assert (early.equal((0, 0)), late.equal((0, 0)), late.ahead((1, 0))) == (5, 8, 8)
    assert (len(reports), reports.count("e1"), reports.oldest_age(20.0)) == (2, 8, 20.0)
    assert reports.update("e1", {1: {(0, 0): 2}}, 20.0)
    assert not reports.update("e2", {1: {(0, 0): 4}}, 20.0)
    assert (early.equal((0, 0)), late.equal((0, 0))) == (6, 0)
    reports.expire(21.0 + REPORT_TTL)
    assert (len(reports), len(early), len(late)) == (0, 0, 0)


def test_refused_callers_do_not_return_together() -> None:
    """Each refused caller gets the time of another slot, within the bounds of Retry-After."""
    returns = ReturnTimes()
    delays = [
        retry_after(
            returns,
            wait=400.0,
            spacing=50.0,
            time_left=3_000.0,
            now=0.0,
            drawn=number / 20.0 + 0.01,
        )
        for number in range(20)
    ]
    assert delays[:12] == [400.0 + 50.0 * number for number in range(12)]
    assert all(MIN_RETRY_AFTER <= delay <= 1_000.0 for delay in delays)
    assert len(set(delays)) == len(delays)


def test_arrivals_of_more_urgent_ranks_lengthen_the_predicted_wait() -> None:
    """A request of a lower rank would wait and be late, in place of a refusal that comes at once.

    The engines free 0.3 slots a millisecond, and the most urgent rank asks for half or all of them.
    """
    queue = EntryQueue()
    for number in range(9):
        queue.add(_request(number, rank=1), 0.0)
    waits = [
        predicted_wait(
            queue,
            FleetWaiting(),
            rank=1,
            organisation="o",
            is_retry=False,
            free_rate=rate_left(0.3, urgent),
        )
        for urgent in (0.0, 0.15, 0.3)
    ]
    assert waits == pytest.approx([33.3, 66.7, 333.3], rel=0.01)


def test_the_queue_is_in_force_only_where_it_is_called_for() -> None:
    """Deployments without priorities are served as before."""
    plain, ranked = Organisation(name="a"), Organisation(name="b", priority=1)
    assert not queue_in_force("off", [ranked])
    assert not queue_in_force("auto", None)
    assert not queue_in_force("auto", [plain])
    assert queue_in_force("auto", [plain, ranked])


@pytest.mark.parametrize("value", [None, b"", b"5", b"x,5", b"1,-2", b"9" * 30 + b",1"])
def test_invalid_token_counts_are_ignored(value: bytes | None) -> None:
    """A bad header must not fail the request or make it free of cost."""
    assert cost_of(value) == cost_of(None)
    assert cost_of(b"250,10") == 350.0
