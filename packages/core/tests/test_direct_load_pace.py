"""When loads are told: at once while changes are few, within a budget of datagrams otherwise."""

from __future__ import annotations

import pytest

from carobspool_core.direct import LoadPace
from carobspool_core.direct._load_pace import (
    BURST,
    DATAGRAMS_A_SECOND,
    LONGEST_GAP,
    SHORTEST_GAP,
)


def test_a_change_after_a_pause_is_told_at_once() -> None:
    pace = LoadPace()
    pace.sent(0.0, peers=57)
    assert pace.wait(SHORTEST_GAP, peers=57) == 0.0


def test_changes_of_one_request_are_told_together() -> None:
    pace = LoadPace()
    pace.sent(100.0, peers=57)
    assert pace.wait(101.0, peers=57) == pytest.approx(SHORTEST_GAP - 1.0)


@pytest.mark.parametrize("peers", [4, 57, 379])
def test_a_rush_of_changes_stays_within_the_budget(peers: int) -> None:
    """With hundreds of peers every entry that told each change would drown all of them."""
    pace = LoadPace()
    now, sent = 0.0, 0
    while now < 10_000.0:
        wait = pace.wait(now, peers=peers)
        assert wait <= LONGEST_GAP
        if wait > 0.0:
            now += wait
            continue
        pace.sent(now, peers=peers)
        sent += 1
    allowed = max(DATAGRAMS_A_SECOND / peers, 1_000.0 / LONGEST_GAP)
    assert sent <= BURST + 10.0 * min(allowed, 1_000.0 / SHORTEST_GAP) + 1
