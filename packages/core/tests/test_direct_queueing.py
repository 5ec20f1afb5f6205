"""Queue limits, refusals, retry delays, and requests accepted during a shutdown. No network or
clock."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import pytest

from carobspool_core.direct import (
    BALANCER_TIME,
    Shutdown,
    can_finish_in_time,
    failover_at,
    has_time_to_serve,
    is_retry_by_deadline,
    queue_limit,
    retry_delay,
    retry_delay_in_outage,
)


@dataclass
class _Caller:
    arrived: float
    retries: int = 0


def _simulate_overload(new_queue: int, retry_queue: int) -> tuple[int, int, int]:
    """Simulate 20 s of 27 requests a second at two engines of 8 slots, which serve 17.8 requests of
    900 ms a second. Refused callers retry once. Return how many requests were on time (300 ms to
    the start, less 50 ms for the first token), late, and refused."""
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
        limit = retry_queue if caller.retries else new_queue
        if waiting - 8 >= limit:
            if caller.retries:
                refused += 1
                continue
            caller.retries += 1
            retry_at = now + retry_delay(draw.random(), 5_000.0)
            heapq.heappush(heap, (retry_at, number, caller))
            continue
        slot_index = engine.index(min(engine))
        engine[slot_index] = starts[0] + 900.0
        if starts[0] - now <= 250.0:
            on_time += 1
        else:
            late += 1
    return on_time, late, refused


def test_short_queue_serves_more_requests_on_time_under_overload() -> None:
    """The load exceeds the capacity of two engines by half. With a queue of six nearly all requests
    are late. With the queue that the target latency allows, most of the served requests are on
    time, and hardly fewer requests are served."""
    new = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, is_retry=False)
    retried = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, is_retry=True)
    short_on_time, short_late, _ = _simulate_overload(new, retried)
    long_on_time, long_late, _ = _simulate_overload(6, 6)
    assert short_on_time > 2 * long_on_time
    assert short_on_time + short_late > 0.93 * (long_on_time + long_late)


def test_queue_limit_depends_on_the_mean_duration() -> None:
    """If a slot takes longer to become free than the target allows, a queued request is late and
    delays the next ones. No new request may then wait, and one retried request may."""
    plain = queue_limit(slots=6, mean_duration=25.0, target_latency=125.0, is_retry=False)
    engine = queue_limit(slots=8, mean_duration=900.0, target_latency=300.0, is_retry=False)
    assert plain > 10 > engine >= 1
    assert queue_limit(slots=8, mean_duration=1_100.0, target_latency=300.0, is_retry=False) == 1
    assert queue_limit(slots=8, mean_duration=2_200.0, target_latency=300.0, is_retry=False) == 0
    assert queue_limit(slots=1, mean_duration=1e6, target_latency=1.0, is_retry=False) == 0
    assert queue_limit(slots=1, mean_duration=1e6, target_latency=1.0, is_retry=True) == 1


def test_retry_is_recognised_by_its_deadline() -> None:
    assert not is_retry_by_deadline(deadline=5_000.0, timeout=5_000.0)
    assert is_retry_by_deadline(deadline=4_500.0, timeout=5_000.0)


def test_retry_delays_are_spread_and_accepted_by_callers() -> None:
    times = [retry_delay(step / 10.0, 5_000.0) for step in range(11)]
    assert times == sorted(times)
    assert (times[0], times[-1]) == (300.0, 1_500.0)
    assert retry_delay(1.0, 1_500.0) == 500.0


@pytest.mark.parametrize(
    ("time_left", "mean", "accepted"),
    [
        (None, 5_000.0, True),
        (2_500.0, 800.0, True),
        (2_300.0, 800.0, False),
        (500.0, 25.0, True),
        (400.0, 25.0, False),
        (-10.0, 0.0, False),
    ],
)
def test_entry_that_shuts_down_accepts_requests_it_can_finish(
    time_left: float | None, mean: float, accepted: bool
) -> None:
    shutdown = None if time_left is None else Shutdown(elapsed=500.0, time_left=time_left)
    assert has_time_to_serve(shutdown, mean_duration=mean, longest=60_000.0) is accepted


@pytest.mark.parametrize(
    ("time_left", "mean", "accepted"),
    [(3_100.0, 25.0, True), (3_050.0, 25.0, False), (2_900.0, 1.0, False), (3_200.0, 9e3, True)],
)
def test_after_the_balancer_has_removed_it_an_entry_accepts_what_certainly_ends(
    time_left: float, mean: float, accepted: bool
) -> None:
    shutdown = Shutdown(elapsed=BALANCER_TIME, time_left=time_left)
    assert has_time_to_serve(shutdown, mean_duration=mean, longest=3_000.0) is accepted


@pytest.mark.parametrize(
    ("heard", "mean", "expected"),
    [
        (0.0, 700.0, 1_900.0),
        (1_500.0, 700.0, 1_900.0),
        (1_500.0, 2_200.0, 2_400.0),
        (3_100.0, 2_200.0, 3_200.0),
        (0.0, 2_200.0, 1_900.0),
    ],
)
def test_stream_waits_for_a_slot_at_an_upstream_that_serves_others(
    heard: float, mean: float, expected: float
) -> None:
    """The stream is sent at 1.0 s to engines whose streams take 0.7 or 2.2 s. An engine that sends
    nothing is given up after 0.9 s. A slow and full engine still sends events of other streams.
    Given up after the same time, streams left its queue for the end of another queue and ran
    twice."""
    given_up = failover_at(
        started=1_000.0, last_activity_at=heard, silence=900.0, mean_duration=mean
    )
    assert given_up == expected


def test_retries_during_a_store_outage_cover_most_of_the_remaining_time() -> None:
    """The store is unavailable for 3 s, and callers try five times in 4.15 s. With retry delays of
    at most 0.8 s many callers had used up their tries 0.1 s before the store was back."""
    draw = random.Random(7)
    for _ in range(100):
        now = 0.0
        for _ in range(4):
            now += retry_delay_in_outage(draw.random(), 4_150.0 - now)
        assert 3_000.0 < now < 4_000.0


def test_request_that_cannot_end_in_time_is_detected() -> None:
    """A caller retries with 1.0 s of its time left, at engines whose streams take 2.2 s. The
    request would occupy a slot for that second and be cut off."""
    assert not can_finish_in_time(time_left=1_000.0, mean_duration=2_200.0)
    assert can_finish_in_time(time_left=1_500.0, mean_duration=2_200.0)
