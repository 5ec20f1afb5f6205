"""Which entries watch the store on behalf of all entries."""

from __future__ import annotations

import random

from carobspool_core.direct import WatchCandidate, should_watch_store
from carobspool_core.direct._watch_duty import WATCHER_COUNT


def _watchers(entries: list[WatchCandidate]) -> set[str]:
    """Return the entries that watch the store, each by its own decision."""
    return {
        each.name
        for each in entries
        if should_watch_store(each, [other for other in entries if other is not each])
    }


def _entries(count: int, *, without_store: int = 0) -> list[WatchCandidate]:
    return [
        WatchCandidate(name=f"e{number}", store_ok=number >= without_store)
        for number in range(count)
    ]


def test_every_entry_of_a_small_fleet_watches_the_store() -> None:
    for count in range(1, WATCHER_COUNT + 1):
        assert len(_watchers(_entries(count))) == count


def test_few_entries_of_a_large_fleet_watch_the_store() -> None:
    assert len(_watchers(_entries(58))) == WATCHER_COUNT
    assert len(_watchers(_entries(380))) == WATCHER_COUNT


def test_entries_that_the_store_refuses_are_replaced() -> None:
    """Otherwise no entry would learn of changes while the store refuses exactly the watchers."""
    watchers = _watchers(_entries(58, without_store=30))
    assert len(watchers) == WATCHER_COUNT
    assert all(int(name[1:]) >= 30 for name in watchers)


def test_some_entries_keep_watching_while_the_store_answers_none() -> None:
    """If all entries waited for each other, none would notice that the store is back."""
    assert len(_watchers(_entries(58, without_store=58))) == WATCHER_COUNT


def test_lost_watcher_is_replaced_and_the_others_stay() -> None:
    entries = _entries(58)
    before = _watchers(entries)
    lost = random.Random(1).choice(sorted(before))
    after = _watchers([each for each in entries if each.name != lost])
    assert len(after) == WATCHER_COUNT
    assert before - {lost} < after
