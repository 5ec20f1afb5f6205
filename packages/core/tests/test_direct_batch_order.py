"""How batch items stand against the time at which they are due."""

from __future__ import annotations

import pytest

from carobspool_core.direct import BatchUrgency, ItemPace, turn_of, urgency_of


@pytest.mark.parametrize(
    ("age", "remaining", "found"),
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
def test_an_item_is_delayed_urgent_late_or_has_time(
    age: float, remaining: float, found: BatchUrgency
) -> None:
    """Due after 18 s, may be given up after 60 s. The last one has waited for others so long that
    it might not finish any more if it waited for all of them."""
    urgency = urgency_of(
        age=age, completion_target=18_000.0, retention=60_000.0, remaining=remaining
    )
    assert urgency is found


def test_what_remains_follows_the_items_that_ran() -> None:
    pace = ItemPace()
    for _ in range(60):
        pace.ran(events=100, duration=5_000.0)
        pace.ended(events=100)
    assert pace.remaining(0) == pytest.approx(5_000.0, rel=0.02)
    assert pace.remaining(50) == pytest.approx(2_500.0, rel=0.05)
    assert pace.remaining(250) > 0


RUN = 4_700.0
DUE = 18_000.0


def _turn(age: float) -> float:
    urgency = urgency_of(age=age, completion_target=DUE, retention=60_000.0, remaining=RUN)
    return turn_of(urgency, age=age, completion_target=DUE, remaining=RUN)


def test_rescued_items_go_before_those_with_time_to_spare_and_never_make_others_late() -> None:
    """Old items that went before all others took the places of those that could still be on time:
    under lasting overload nothing was on time any more."""
    urgent, delayed, new = _turn(12_900.0), _turn(4_000.0), _turn(0.0)
    rescued, older = _turn(37_000.0), _turn(50_000.0)
    late, later = _turn(30_000.0), _turn(14_000.0)
    assert urgent < older < rescued < delayed < new < late < later


def test_turns_fit_the_hints_however_late_an_item_is() -> None:
    """Hints name turns in four bytes, and an item may wait for days while no engine runs."""
    day = 86_400_000.0
    for age in (0.0, DUE, 3 * day, 60 * day):
        turn = turn_of(BatchUrgency.LATE, age=age, completion_target=DUE, remaining=RUN)
        assert turn_of(
            BatchUrgency.ORDINARY, age=0.0, completion_target=40 * day, remaining=RUN
        ) < (turn)
        assert turn < 2**32
