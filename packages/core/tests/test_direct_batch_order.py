"""Urgency and start order of batch items with regard to their due times."""

from __future__ import annotations

import pytest

from carobspool_core.direct import BatchUrgency, ItemDurationEstimate, start_order_of, urgency_of


@pytest.mark.parametrize(
    ("age", "remaining", "expected"),
    [
        (0.0, 5_000.0, BatchUrgency.ORDINARY),
        (8_000.0, 5_000.0, BatchUrgency.URGENT),
        (8_000.0, 1_000.0, BatchUrgency.DELAYED),
        (2_000.0, 5_000.0, BatchUrgency.ORDINARY),
        (2_300.0, 5_000.0, BatchUrgency.DELAYED),
        (13_500.0, 5_000.0, BatchUrgency.LATE),
        (30_000.0, 500.0, BatchUrgency.LATE),
        (37_000.0, 5_000.0, BatchUrgency.RESCUED),
    ],
)
def test_urgency_follows_from_slack_and_retention(
    age: float, remaining: float, expected: BatchUrgency
) -> None:
    """Items are due after 18 s and may be given up after 60 s. The item of the last case has waited
    so long that it might never finish if it went on waiting for all others."""
    urgency = urgency_of(
        age=age, completion_target=18_000.0, retention=60_000.0, remaining=remaining
    )
    assert urgency is expected


def test_remaining_time_follows_recorded_runs() -> None:
    pace = ItemDurationEstimate()
    for _ in range(60):
        pace.record_run(events=100, duration=5_000.0)
        pace.record_item(events=100)
    assert pace.estimate_remaining(0) == pytest.approx(5_000.0, rel=0.02)
    assert pace.estimate_remaining(50) == pytest.approx(2_500.0, rel=0.05)
    assert pace.estimate_remaining(250) > 0


RUN_TIME = 4_700.0
COMPLETION_TARGET = 18_000.0


def _start_order(age: float) -> float:
    urgency = urgency_of(
        age=age, completion_target=COMPLETION_TARGET, retention=60_000.0, remaining=RUN_TIME
    )
    return start_order_of(urgency, age=age, completion_target=COMPLETION_TARGET, remaining=RUN_TIME)


def test_rescued_items_start_before_items_with_slack_and_after_urgent_ones() -> None:
    """Old items that started before all others took the slots of items that could still be on time.
    Under lasting overload no item was on time any more."""
    urgent, delayed, new = _start_order(12_900.0), _start_order(4_000.0), _start_order(0.0)
    rescued, older = _start_order(37_000.0), _start_order(50_000.0)
    late, later = _start_order(30_000.0), _start_order(14_000.0)
    assert urgent < older < rescued < delayed < new < late < later


def test_start_orders_fit_into_four_bytes_for_very_late_items() -> None:
    """Hints encode start orders in four bytes, and an item may wait for days if no engine runs."""
    day = 86_400_000.0
    for age in (0.0, COMPLETION_TARGET, 3 * day, 60 * day):
        start_order = start_order_of(
            BatchUrgency.LATE, age=age, completion_target=COMPLETION_TARGET, remaining=RUN_TIME
        )
        assert start_order_of(
            BatchUrgency.ORDINARY, age=0.0, completion_target=40 * day, remaining=RUN_TIME
        ) < (start_order)
        assert start_order < 2**32
