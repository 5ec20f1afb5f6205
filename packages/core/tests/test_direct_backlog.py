"""Order of waiting batch items across entries when free slots are scarce."""

from __future__ import annotations

from carobspool_core.direct import (
    BatchUrgency,
    PeerBacklog,
    WaitingGroup,
    group_by_start_order,
    lowest_groups,
    start_order_of,
)
from carobspool_core.direct._backlog import MAX_GROUPS_PER_HINT, MAX_HOLD_TIME, PEER_REPORT_TTL


def _backlog_of_peer(*groups: tuple[float, int]) -> PeerBacklog:
    backlog = PeerBacklog()
    backlog.update_peer("e2", [WaitingGroup(*each) for each in groups], 0.0)
    return backlog


def _late_start_order(age: float) -> float:
    return start_order_of(BatchUrgency.LATE, age=age, completion_target=18_000.0, remaining=5_000.0)


def test_items_of_peers_with_lower_turns_start_first() -> None:
    """The peer has nine items due before this entry's item and three due after it. With ten free
    slots this entry may start its item; with nine it must not."""
    backlog = _backlog_of_peer((4_000.0, 9), (9_000.0, 3))
    assert backlog.may_start(6_000.0, free_slots=10, now=10.0)
    assert not backlog.may_start(6_000.0, free_slots=9, now=10.0)
    assert backlog.may_start(3_000.0, free_slots=1, now=10.0)


def test_late_item_waits_for_all_items_that_can_be_on_time() -> None:
    backlog = _backlog_of_peer((4_000.0, 2), (9_000.0, 3))
    assert not backlog.may_start(_late_start_order(20_000.0), free_slots=5, now=10.0)
    assert backlog.may_start(_late_start_order(20_000.0), free_slots=6, now=10.0)


def test_late_items_are_ordered_among_entries() -> None:
    """Under lasting overload nearly all waiting items are late. Without an order among them every
    entry started an item at each slot that became free, and all but one of these runs were
    cancelled at once."""
    backlog = _backlog_of_peer((_late_start_order(21_000.0), 2))
    assert not backlog.may_start(_late_start_order(20_000.0), free_slots=2, now=10.0)
    assert backlog.may_start(_late_start_order(20_000.0), free_slots=3, now=10.0)
    assert backlog.may_start(_late_start_order(22_000.0), free_slots=1, now=10.0)


def test_slots_that_peers_leave_unused_are_used_after_the_hold() -> None:
    """The peer cannot reach the upstreams and still reports its waiting items. Slots held for it
    without a limit would stay unused."""
    backlog = _backlog_of_peer((4_000.0, 9))
    assert not backlog.may_start(6_000.0, free_slots=5, now=10.0)
    assert not backlog.may_start(6_000.0, free_slots=5, now=10.0 + MAX_HOLD_TIME)
    backlog.update_peer("e2", [WaitingGroup(3_600.0, 9)], 400.0)
    assert backlog.may_start(6_000.0, free_slots=5, now=11.0 + MAX_HOLD_TIME)
    assert backlog.may_start(6_000.0, free_slots=4, now=12.0 + MAX_HOLD_TIME)


def test_hold_restarts_after_all_slots_were_taken() -> None:
    backlog = _backlog_of_peer((4_000.0, 9))
    assert not backlog.may_start(6_000.0, free_slots=5, now=10.0)
    assert not backlog.may_start(6_000.0, free_slots=0, now=200.0)
    assert not backlog.may_start(6_000.0, free_slots=5, now=20.0 + MAX_HOLD_TIME)


def test_reports_of_a_silent_peer_expire() -> None:
    backlog = _backlog_of_peer((4_000.0, 9))
    assert backlog.may_start(6_000.0, free_slots=1, now=PEER_REPORT_TTL + 1.0)


def test_empty_report_clears_the_items_of_a_peer() -> None:
    backlog = _backlog_of_peer((4_000.0, 9))
    backlog.update_peer("e2", [], 100.0)
    assert backlog.may_start(6_000.0, free_slots=1, now=110.0)


def test_waiting_items_are_grouped_by_turn() -> None:
    assert group_by_start_order([5.0, 3.0, 5.0]) == (WaitingGroup(3.0, 1), WaitingGroup(5.0, 2))
    assert len(group_by_start_order(float(each) for each in range(100))) == MAX_GROUPS_PER_HINT


def test_items_of_other_services_at_peers_hold_no_slots() -> None:
    """Guards against an idle service whose slots are held for items of a service without any."""
    backlog = PeerBacklog()
    backlog.update_peer("e2", [WaitingGroup(4_000.0, 9, 1), WaitingGroup(5_000.0, 2, 2)], 0.0)
    assert backlog.may_start(6_000.0, free_slots=3, now=10.0, service_key=2)
    assert not backlog.may_start(6_000.0, free_slots=2, now=10.0, service_key=2)
    assert not backlog.may_start(6_000.0, free_slots=3, now=10.0, service_key=1)


def test_items_of_a_service_that_a_peer_does_not_name_hold_slots() -> None:
    """Guards against an entry that overtakes the items of entries of the previous version."""
    backlog = _backlog_of_peer((4_000.0, 9))
    assert not backlog.may_start(6_000.0, free_slots=9, now=10.0, service_key=2)


def test_a_full_service_does_not_restart_the_hold_of_another() -> None:
    """Guards against slots that stay unused: the pass over the items tries both services."""
    backlog = _backlog_of_peer((4_000.0, 9))
    for now in (10.0, 150.0, 290.0):
        assert not backlog.may_start(6_000.0, free_slots=0, now=now, service_key=1)
        assert not backlog.may_start(6_000.0, free_slots=5, now=now, service_key=2)
    backlog.update_peer("e2", [WaitingGroup(4_000.0, 9)], 300.0)
    assert backlog.may_start(6_000.0, free_slots=5, now=11.0 + MAX_HOLD_TIME, service_key=2)


def test_an_overloaded_service_leaves_groups_of_a_hint_to_others() -> None:
    """Guards against hints in which the items of one service hide those of another."""
    overloaded = [WaitingGroup(float(each), 1, 1) for each in range(100)]
    others = [WaitingGroup(200.0, 1, 2), WaitingGroup(300.0, 1, 2)]
    groups = lowest_groups(overloaded + others)
    assert len(groups) <= MAX_GROUPS_PER_HINT
    assert list(groups[-2:]) == others
    many = lowest_groups(WaitingGroup(float(each), 1, each) for each in range(100))
    assert len(many) == MAX_GROUPS_PER_HINT
