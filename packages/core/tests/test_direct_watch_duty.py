"""Which entries follow the store for all."""

from __future__ import annotations

import random

from carobspool_core.direct import DutyCandidate, has_watch_duty
from carobspool_core.direct._watch_duty import WATCHERS


def _on_duty(entries: list[DutyCandidate]) -> set[str]:
    """Return who follows the store, by what each entry decides of itself."""
    return {
        each.name
        for each in entries
        if has_watch_duty(each, [other for other in entries if other is not each])
    }


def _entries(count: int, *, cut_off: int = 0) -> list[DutyCandidate]:
    return [DutyCandidate(name=f"e{number}", store_ok=number >= cut_off) for number in range(count)]


def test_small_fleets_follow_the_store_everywhere() -> None:
    for count in range(1, WATCHERS + 1):
        assert len(_on_duty(_entries(count))) == count


def test_a_few_of_many_follow_it() -> None:
    assert len(_on_duty(_entries(58))) == WATCHERS
    assert len(_on_duty(_entries(380))) == WATCHERS


def test_whom_the_store_turns_away_hands_the_duty_on() -> None:
    """Otherwise nobody hears of changes while the store refuses just those that follow it."""
    on_duty = _on_duty(_entries(58, cut_off=30))
    assert len(on_duty) == WATCHERS
    assert all(int(name[1:]) >= 30 for name in on_duty)


def test_some_go_on_asking_while_the_store_answers_nobody() -> None:
    """If all waited for each other, nobody would find out that it is back."""
    assert len(_on_duty(_entries(58, cut_off=58))) == WATCHERS


def test_a_lost_watcher_is_replaced_and_the_others_stay() -> None:
    entries = _entries(58)
    before = _on_duty(entries)
    lost = random.Random(1).choice(sorted(before))
    after = _on_duty([each for each in entries if each.name != lost])
    assert len(after) == WATCHERS
    assert before - {lost} < after
