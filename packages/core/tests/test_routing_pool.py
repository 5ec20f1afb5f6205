"""Routing and retries under load, checked by what the callers of a simulated pool receive."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from pool_model import Arrival, CallerResult, Pool, PoolShape, arrivals, first_tokens, percentile

from carobspool_core import Outcome, RetrySettings, RoutingSettings

CAPACITY = 30.0
SEEDS = (1, 2)
RANDOM_CHOICE = RoutingSettings(
    sample_size=1, prefer_own_domain=False, free_slot_first=False, search_free_slot=False
)


def run(
    load: list[Arrival],
    shape: PoolShape | None = None,
    routing: RoutingSettings | None = None,
    retry: RetrySettings | None = None,
) -> tuple[list[CallerResult], Pool]:
    """Simulate a load and return the callers' results and the pool."""
    pool = Pool(shape or PoolShape(), seed=7, routing=routing, retry=retry)
    return pool.run(load), pool


def p95(results: list[CallerResult]) -> float:
    """Return the 95th percentile of the time to the first token of complete answers."""
    return percentile(first_tokens(results), 0.95)


def count_waiting(results: list[CallerResult]) -> int:
    """Return the number of callers whose first token took longer than any prompt takes."""
    return sum(1 for each in first_tokens(results) if each > 400.0)


def share_answered(results: list[CallerResult]) -> float:
    """Return the share of callers that received a complete answer."""
    return len(first_tokens(results)) / len(results)


def test_burst_uses_free_slots() -> None:
    """In a burst of 50 requests in a second over 72 slots, few requests wait for a slot.

    With a uniformly random choice far more requests would wait.
    """
    routed, random_choice = 0, 0
    for seed in range(1, 7):
        load = arrivals(Random(seed), rate=8, seconds=12)
        load += arrivals(Random(seed + 100), rate=50, seconds=1, start=5_000.0)
        results, _ = run(load)
        assert share_answered(results) == 1.0
        assert count_waiting(results) <= 0.05 * len(load)
        routed += count_waiting(results)
        random_choice += count_waiting(run(load, routing=RANDOM_CHOICE)[0])
    assert routed < 0.4 * random_choice


@pytest.mark.parametrize("seed", SEEDS)
def test_short_requests_are_not_delayed_by_long_ones(seed: int) -> None:
    """One answer of 800 tokens a second does not delay the first token of short requests."""
    short = arrivals(Random(seed), rate=24, seconds=30, answer=50)
    load = short + arrivals(Random(seed), rate=1, seconds=30, prompt=4_000, answer=800)
    routed, _ = run(load)
    random_choice, _ = run(load, routing=RANDOM_CHOICE)
    assert p95(routed[: len(short)]) < 500.0
    assert p95(routed[: len(short)]) < 0.8 * p95(random_choice[: len(short)])


@pytest.mark.parametrize("seed", SEEDS)
def test_affinity_raises_cache_hits_and_a_hot_prefix_overloads_no_upstream(seed: int) -> None:
    """With 30 prefixes affinity raises the hit rate; one hot prefix overloads no upstream."""
    rng = Random(seed)
    many = arrivals(
        rng, rate=15, seconds=40, prompt=2_000, prefix=lambda rng: f"p{rng.randrange(30)}"
    )
    hot = [replace(each, prefix="hot") for each in many]
    hit_share = {}
    for affinity in (True, False):
        results, _ = run(many, routing=RoutingSettings(affinity=affinity))
        hit_share[affinity] = sum(each.cached for each in results) / len(results)
    assert hit_share[True] > 2.0 * hit_share[False]
    bounded, _ = run(hot)
    unlimited, _ = run(hot, routing=RoutingSettings(affinity_free_share=1e9))
    assert share_answered(bounded) == 1.0
    assert p95(bounded) < 500.0 < p95(unlimited)


@pytest.mark.parametrize("slow", [5.0, 400.0], ids=["slow", "hung"])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_upstream_affects_few_callers(seed: int, slow: float) -> None:
    """If one of nine upstreams is five times as slow or hangs, 95 of 100 callers are unaffected."""
    load = arrivals(Random(seed), rate=16, seconds=40)
    results, _ = run(load, PoolShape(slow={"up-4": slow}))
    healthy, _ = run(load)
    assert p95(results) < 1.5 * p95(healthy) + 50.0
    stuck = sum(1 for each in results if each.first_token is None or each.first_token > 5_000.0)
    assert stuck <= 20


@pytest.mark.parametrize("factor", [2.0, 5.0])
def test_overload_keeps_throughput_with_few_retries(factor: float) -> None:
    """At 2 and 5 times capacity, throughput stays at its maximum and few requests are retried."""
    seconds = 20.0
    load = arrivals(Random(1), rate=factor * CAPACITY, seconds=seconds)
    results, pool = run(load)
    during = [each for each in results if each.failure is None and each.answered_at < 20_000.0]
    assert len(during) >= 0.85 * CAPACITY * seconds
    assert pool.retries <= 0.02 * pool.first_attempts
    refused = [each for each in results if each.failure is not None]
    assert all(each.answered_at - each.arrival.at < 600.0 for each in refused)
    assert {each.failure.outcome for each in refused if each.failure} == {Outcome.NOT_RUN}
    unlimited_results, unlimited = run(
        load, retry=RetrySettings(budget=1.0, reserve=1e9, overload_share=1e9)
    )
    assert unlimited.retries > 20 * pool.retries
    assert share_answered(unlimited_results) < share_answered(results) + 0.05


def test_loss_of_a_third_of_the_upstreams_at_once() -> None:
    """Three of nine upstreams crash at once at half of the pool's capacity.

    A caller that has received no byte is answered by another upstream; a caller in the middle of
    an answer receives an error. The three upstreams are marked lost only three seconds later. Until
    then their failures eject them, so the retry budget suffices.
    """
    crash = {f"up-{n}": 10_000.0 for n in (0, 3, 6)}
    load = arrivals(Random(1), rate=14, seconds=30)
    results, pool = run(load, PoolShape(crash_at=crash))
    failed = [each for each in results if each.failure is not None]
    interrupted = [each for each in failed if each.first_token is not None]
    assert len(failed) - len(interrupted) <= 0.005 * len(results)
    assert all(each.arrival.at < 14_000.0 for each in failed)
    assert pool.retries <= 0.1 * pool.first_attempts + 30
    late = [each for each in results if each.arrival.at > 15_000.0]
    assert p95(late) < 1_000.0
