"""Retries: never of requests that must run at most once, and limited by a budget."""

from __future__ import annotations

from random import Random

import pytest

from carobspool_core import (
    Failure,
    ManualClock,
    Outcome,
    broken_upstream,
    invalid_request,
    make_retry_policy,
    rate_limited,
    unavailable,
)

NOT_RUN = unavailable("no_upstream", "")
UNKNOWN = broken_upstream("broken", "", outcome=Outcome.UNKNOWN)
FULL = rate_limited("queue_full", "", retry_after_ms=1_000.0)


@pytest.mark.parametrize(
    ("failure", "idempotent", "attempt", "deadline", "sent", "allowed"),
    [
        (NOT_RUN, False, 1, 10_000.0, False, True),
        (UNKNOWN, True, 1, 10_000.0, False, True),
        (UNKNOWN, False, 1, 10_000.0, False, False),
        (broken_upstream("error", "", outcome=Outcome.RAN), False, 1, 10_000.0, False, False),
        (NOT_RUN, True, 1, 10_000.0, True, False),
        (NOT_RUN, True, 3, 10_000.0, False, False),
        (NOT_RUN, True, 1, 5.0, False, False),
        (invalid_request("malformed", ""), True, 1, 10_000.0, False, False),
        (FULL, False, 1, 10_000.0, False, True),
    ],
)
def test_which_failures_may_be_retried(
    failure: Failure, idempotent: bool, attempt: int, deadline: float, sent: bool, allowed: bool
) -> None:
    """Only attempts that did not run or are idempotent are retried, within the other limits.

    The caller must have received no byte, the deadline must allow it, and there are at most three
    attempts.
    """
    policy = make_retry_policy(ManualClock())
    assert policy.consume_retry(failure, idempotent, attempt, deadline, sent, 0.0) is allowed


def test_retries_add_a_tenth_when_every_request_fails() -> None:
    """Of 2,000 requests that all fail, at most 200 are retried, plus the reserve of 10."""
    policy = make_retry_policy(ManualClock())
    retried = 0
    for n in range(2_000):
        policy.record_request()
        retried += policy.consume_retry(UNKNOWN, True, 1, 1e9, False, float(n))
    assert 190 <= retried <= 210


def test_an_overloaded_pool_receives_no_retries_until_it_recovers() -> None:
    """If half of the requests are refused for overload, none is retried; 20 s later one is."""
    clock = ManualClock()
    policy = make_retry_policy(clock)
    late = 0
    for n in range(400):
        clock.advance(5.0)
        policy.record_request()
        if n % 2:
            retried = policy.consume_retry(FULL, True, 1, 1e9, False, clock.now())
            late += retried and n > 100
    assert late == 0
    assert policy.overloaded
    clock.advance(20_000.0)
    policy.record_request()
    assert policy.consume_retry(NOT_RUN, True, 1, 1e9, False, clock.now())


def test_delays_are_random_and_bounded() -> None:
    """Delays of a lost upstream's requests differ, so that their retries are not simultaneous."""
    policy = make_retry_policy(ManualClock())
    rng = Random(1)
    delays = [policy.delay(attempt, rng) for attempt in (1, 2, 9) for _ in range(50)]
    assert len(set(delays)) == 150
    assert min(delays) >= 0.0 and max(delays) <= 500.0
    retry_after = policy.retry_after(FULL, rng)
    assert retry_after is not None and 1_000.0 <= retry_after <= 1_500.0
