"""Whose batch items go first when less room is free than items wait."""

from __future__ import annotations

from carobspool_core.direct import Backlog, BatchUrgency, WaitingGroup, group_waiting, turn_of
from carobspool_core.direct._backlog import LONGEST_HOLD, MAX_GROUPS, TOLD_FOR


def _told(*groups: tuple[float, int]) -> Backlog:
    backlog = Backlog()
    backlog.take("e2", [WaitingGroup(*each) for each in groups], 0.0)
    return backlog


def _late(age: float) -> float:
    return turn_of(BatchUrgency.LATE, age=age, completion_target=18_000.0, remaining=5_000.0)


def test_what_is_due_sooner_elsewhere_goes_first() -> None:
    """Ten places are free and twelve items wait. Nine at the other entry are due before this one's,
    and three after: of its own, this entry may start the one that the others leave room for."""
    backlog = _told((4_000.0, 9), (9_000.0, 3))
    assert backlog.may_start(6_000.0, room=10, now=10.0)
    assert not backlog.may_start(6_000.0, room=9, now=10.0)
    assert backlog.may_start(3_000.0, room=1, now=10.0)


def test_an_item_that_is_late_waits_for_all_that_can_be_on_time() -> None:
    backlog = _told((4_000.0, 2), (9_000.0, 3))
    assert not backlog.may_start(_late(20_000.0), room=5, now=10.0)
    assert backlog.may_start(_late(20_000.0), room=6, now=10.0)


def test_late_items_wait_for_each_other_too() -> None:
    """Nearly all that waits under lasting overload is late. Without an order every entry started an
    item at each place that came free, and all but one of them were cut at once."""
    backlog = _told((_late(21_000.0), 2))
    assert not backlog.may_start(_late(20_000.0), room=2, now=10.0)
    assert backlog.may_start(_late(20_000.0), room=3, now=10.0)
    assert backlog.may_start(_late(22_000.0), room=1, now=10.0)


def test_room_that_nobody_takes_is_used_after_all() -> None:
    """The other entry cannot reach the upstreams and tells of its waiting items all the same. Left
    to it for good, the room would serve nobody."""
    backlog = _told((4_000.0, 9))
    assert not backlog.may_start(6_000.0, room=5, now=10.0)
    assert not backlog.may_start(6_000.0, room=5, now=10.0 + LONGEST_HOLD)
    backlog.take("e2", [WaitingGroup(3_600.0, 9)], 400.0)
    assert backlog.may_start(6_000.0, room=5, now=11.0 + LONGEST_HOLD)
    assert backlog.may_start(6_000.0, room=4, now=12.0 + LONGEST_HOLD)


def test_a_hold_begins_anew_once_all_room_is_taken() -> None:
    backlog = _told((4_000.0, 9))
    assert not backlog.may_start(6_000.0, room=5, now=10.0)
    assert not backlog.may_start(6_000.0, room=0, now=200.0)
    assert not backlog.may_start(6_000.0, room=5, now=20.0 + LONGEST_HOLD)


def test_an_entry_that_falls_silent_holds_nobody_back() -> None:
    backlog = _told((4_000.0, 9))
    assert backlog.may_start(6_000.0, room=1, now=TOLD_FOR + 1.0)


def test_nothing_waits_at_an_entry_any_more() -> None:
    backlog = _told((4_000.0, 9))
    backlog.take("e2", [], 100.0)
    assert backlog.may_start(6_000.0, room=1, now=110.0)


def test_items_that_are_due_together_are_told_together() -> None:
    assert group_waiting([5.0, 3.0, 5.0]) == (WaitingGroup(3.0, 1), WaitingGroup(5.0, 2))
    assert len(group_waiting(float(each) for each in range(100))) == MAX_GROUPS
