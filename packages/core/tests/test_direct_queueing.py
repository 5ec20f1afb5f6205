"""Queues, refusals, returns and requests that a leaving entry takes. No network, no clock."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import pytest

from carobspool_core.direct import (
    can_end,
    given_up_at,
    has_returned,
    has_time_to_serve,
    queue_limit,
    return_after,
    return_after_outage,
)


@dataclass
class _Caller:
    arrived: float
    returns: int = 0


def _play_overload(fresh_queue: int, returned_queue: int) -> tuple[int, int, int]:
    """Play 20 s at two engines of 8 slots, 900 ms a request: room for 17.8 a second, of 27 that
    come. Refused callers return once. Return how many were on time (300 ms to the start, less
    50 ms for the first token), late, and refused."""
    draw = random.Random(7)
    pending = [(draw.uniform(0.0, 20_000.0), _Caller(0.0)) for _ in range(540)]
    for at, caller in pending:
        caller.arrived = at
    heap = [(at, number, caller) for number, (at, caller) in enumerate(pending)]
    heapq.heapify(heap)
    free_at = [[0.0] * 8 for _ in range(2)]
    on_time = late = refused = 0
    while heap:
        now, number, caller = heapq.heappop(heap)
        engine = min(free_at, key=lambda slots: sum(max(0.0, slot - now) for slot in slots))
        starts = sorted(max(now, slot) for slot in engine)
        waiting = sum(slot > now for slot in engine) + sum(
            max(0.0, slot - now - 900.0) > 0 for slot in engine
        )
        limit = returned_queue if caller.returns else fresh_queue
        if waiting - 8 >= limit:
            if caller.returns:
                refused += 1
                continue
            caller.returns += 1
            back = now + return_after(draw.random(), 5_000.0)
            heapq.heappush(heap, (back, number, caller))
            continue
        place = engine.index(min(engine))
        engine[place] = starts[0] + 900.0
        if starts[0] - now <= 250.0:
            on_time += 1
        else:
            late += 1
    return on_time, late, refused


def test_a_short_queue_serves_more_callers_on_time_in_overload() -> None:
    """Half as much again as two engines can do. With a queue of six nearly everybody is late; with
    the queue that the target allows most of those served are on time, and hardly fewer are served
    at all."""
    new = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, returned=False)
    back = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, returned=True)
    short_on_time, short_late, _ = _play_overload(new, back)
    long_on_time, long_late, _ = _play_overload(6, 6)
    assert short_on_time > 2 * long_on_time
    assert short_on_time + short_late > 0.93 * (long_on_time + long_late)


def test_the_queue_follows_how_long_requests_run() -> None:
    """Where a slot takes longer to come free than the target allows, whoever queues is late and
    makes those late that come next: nobody new waits, and one of those that were refused before."""
    plain = queue_limit(slots=6, mean_duration=25.0, target_latency=125.0, returned=False)
    engine = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, returned=False)
    assert plain > 10 > engine >= 1
    assert queue_limit(slots=8, mean_duration=1_100.0, target_latency=300.0, returned=False) == 1
    assert queue_limit(slots=8, mean_duration=2_200.0, target_latency=300.0, returned=False) == 0
    assert queue_limit(slots=1, mean_duration=1e6, target_latency=1.0, returned=False) == 0
    assert queue_limit(slots=1, mean_duration=1e6, target_latency=1.0, returned=True) == 1


def test_a_caller_that_came_back_is_known_by_its_deadline() -> None:
    assert not has_returned(deadline=5_000.0, timeout=5_000.0)
    assert has_returned(deadline=4_500.0, timeout=5_000.0)


def test_returns_are_spread_and_never_later_than_callers_wait() -> None:
    times = [return_after(step / 10.0, 5_000.0) for step in range(11)]
    assert times == sorted(times)
    assert (times[0], times[-1]) == (300.0, 1_500.0)
    assert return_after(1.0, 1_500.0) == 500.0


@pytest.mark.parametrize(
    ("time_left", "mean", "taken"),
    [
        (None, 5_000.0, True),
        (2_500.0, 800.0, True),
        (2_300.0, 800.0, False),
        (500.0, 25.0, True),
        (400.0, 25.0, False),
        (-10.0, 0.0, False),
    ],
)
def test_a_leaving_entry_takes_what_it_can_finish(
    time_left: float | None, mean: float, taken: bool
) -> None:
    assert has_time_to_serve(time_left, mean) is taken


@pytest.mark.parametrize(
    ("heard", "mean", "found"),
    [
        (0.0, 700.0, 1_900.0),
        (1_500.0, 700.0, 1_900.0),
        (1_500.0, 2_200.0, 2_400.0),
        (3_100.0, 2_200.0, 3_200.0),
        (0.0, 2_200.0, 1_900.0),
    ],
)
def test_a_stream_waits_for_its_slot_at_an_upstream_that_serves_others(
    heard: float, mean: float, found: float
) -> None:
    """Sent at 1.0 s to engines whose streams take 0.7 or 2.2 s. One that says nothing is given up
    after 0.9 s. One that is slow and full sends events of the others; given up by the same clock,
    streams left its queue for the end of another one and ran twice."""
    given_up = given_up_at(started=1_000.0, heard=heard, silence=900.0, mean_duration=mean)
    assert given_up == found


def test_callers_of_a_store_that_is_away_try_for_most_of_their_time() -> None:
    """The store is away for 3 s and callers try five times in 4.15 s. Told to come back after 0.8 s
    at most, many had spent their tries 0.1 s before it was back."""
    draw = random.Random(7)
    for _ in range(100):
        now = 0.0
        for _ in range(4):
            now += return_after_outage(draw.random(), 4_150.0 - now)
        assert 3_000.0 < now < 4_000.0


def test_a_request_that_cannot_end_in_time_is_refused() -> None:
    """A caller comes back with 1.0 s of its time left, to engines whose streams take 2.2 s. It
    would hold a slot for that second and be cut off."""
    assert not can_end(time_left=1_000.0, mean_duration=2_200.0)
    assert can_end(time_left=1_500.0, mean_duration=2_200.0)
